#include <algorithm>
#include <charconv>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <entry/daemon.hpp>
#include <rhubarbwharf/net/log.hpp>
#include <rhubarbwharf/ticket/json.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr std::uint32_t submit_tries = 8;
constexpr duration come_back = std::chrono::seconds{1};
constexpr std::string_view group_scope = "group:";
constexpr std::string_view instance_scope = "instance:";

/*! @brief One submission under way. */
struct submission {
    ticket::ticket m_order{};
    std::shared_ptr<net::responder> m_answer{};
    std::uint32_t m_tries{};
};

[[nodiscard]] auto read_state(const std::string_view text) -> std::optional<ticket::desired_state> {
    return boost::leaf::try_handle_all(
        [text]() -> result<std::optional<ticket::desired_state>> {
            BOOST_LEAF_AUTO(state, ticket::parse_state(text));
            return std::optional{std::move(state)};
        },
        []() -> std::optional<ticket::desired_state> { return std::nullopt; });
}

[[nodiscard]] auto read_ticket(const std::string_view text, std::string& fault) -> std::optional<ticket::ticket> {
    return boost::leaf::try_handle_all(
        [text]() -> result<std::optional<ticket::ticket>> {
            BOOST_LEAF_AUTO(order, ticket::parse_ticket(text));
            return std::optional{std::move(order)};
        },
        [&fault](const error& what) -> std::optional<ticket::ticket> {
            fault = what.m_detail;
            return std::nullopt;
        },
        []() -> std::optional<ticket::ticket> { return std::nullopt; });
}

auto answer_json(const std::shared_ptr<net::responder>& answer, const std::uint16_t status,
                 const boost::json::value& body) -> void {
    net::http_response out{};
    out.m_status = status;
    out.m_headers = {{"Content-Type", "application/json"}};
    out.m_body = boost::json::serialize(body);
    answer->respond(std::move(out));
}

auto answer_accepted(const submission& order, const ticket::accept_result& verdict) -> void {
    answer_json(order.m_answer, 200,
                {{"accepted", true},
                 {"number", verdict.m_number.value()},
                 {"submission", order.m_order.m_submission_id},
                 {"repeated", verdict.m_duplicate}});
}

auto answer_refused(const submission& order, const ticket::accept_result& verdict) -> void {
    const auto detail = verdict.m_code == code::ticket_conflict ? "ticket " + std::to_string(verdict.m_number.value()) +
                                                                      " is in force in " + verdict.m_scope
                                                                : verdict.m_scope;
    auto refusal = net::problem(verdict.m_code, outcome::not_run, detail, {});
    boost::json::error_code fault{};
    auto body = boost::json::parse(refusal.m_body, fault);
    if (!fault && body.is_object()) {
        body.get_object()["number"] = verdict.m_number.value();
        body.get_object()["scope"] = verdict.m_scope;
        refusal.m_body = boost::json::serialize(body);
    }
    order.m_answer->respond(std::move(refusal));
}

auto attempt(daemon& self, const std::shared_ptr<submission>& order, const platform::key_value& current) -> void;

auto on_put(daemon& self, const std::shared_ptr<submission>& order, const ticket::desired_state& wanted,
            const ticket::accept_result& verdict, const platform::put_outcome& done) -> void {
    if (done.m_code == code::ok) {
        take_state(self, wanted.m_entries, {});
        self.m_counters.add("entry_tickets_accepted_total");
        return answer_accepted(*order, verdict);
    }
    if (done.m_code == code::compare_failed && ++order->m_tries < submit_tries) {
        return attempt(self, order, done.m_current);
    }
    const auto detail = done.m_written == outcome::unknown
                            ? "send the ticket again with submission " + order->m_order.m_submission_id
                            : std::string{};
    order->m_answer->respond(net::problem(done.m_code, done.m_written, detail, come_back));
}

auto attempt(daemon& self, const std::shared_ptr<submission>& order, const platform::key_value& current) -> void {
    auto wanted = read_state(current.m_value);
    if (!wanted) {
        return order->m_answer->respond(net::problem(code::platform_unavailable, outcome::not_run,
                                                     "the desired state in the service can't be read", come_back));
    }
    ticket::merge(*wanted, self.m_desired.m_entries);
    const auto verdict = ticket::accept(*wanted, order->m_order);
    if (verdict.m_code != code::ok) {
        return answer_refused(*order, verdict);
    }
    if (verdict.m_duplicate) {
        take_state(self, wanted->m_entries, {});
        return answer_accepted(*order, verdict);
    }
    const auto text = ticket::to_json(*wanted);
    self.m_platform.put(state_key, text, current.m_modified, 0,
                        [&self, order, wanted = std::move(*wanted), verdict](const platform::put_outcome& done) {
                            on_put(self, order, wanted, verdict, done);
                        });
}

[[nodiscard]] auto is_ahead(const ticket::desired_state& held, const ticket::desired_state& stored) -> bool {
    return !ticket::outdated_scopes(stored, held).empty();
}

/*! @brief Takes what stands in the service over, and writes back what it has lost. */
auto on_stored(daemon& self, const platform::key_value& stored) -> void {
    const auto state = read_state(stored.m_value);
    if (!state) {
        self.m_counters.add("entry_state_unreadable_total");
        return;
    }
    take_state(self, state->m_entries, {});
    if (!is_ahead(self.m_desired, *state)) {
        return;
    }
    self.m_counters.add("entry_state_restored_total");
    net::log(net::level::warn, "entry", "the desired state in the service went back; the join is written");
    auto joined = *state;
    ticket::merge(joined, self.m_desired.m_entries);
    self.m_platform.put(state_key, ticket::to_json(joined), stored.m_modified, 0, [](const platform::put_outcome&) {});
}

/*! @brief The scope of a member that is behind, or nothing. */
[[nodiscard]] auto scope_behind(const daemon& self, const membership::member& row, const ticket_number number)
    -> const ticket::scope_entry* {
    const auto* const group = ticket::find(self.m_desired, std::string{group_scope} + row.m_report.m_group);
    const auto* const own = ticket::find(self.m_desired, std::string{instance_scope} + row.m_report.m_instance);
    for (const auto* const entry : {group, own}) {
        if (entry != nullptr && entry->m_ticket >= number && row.m_report.m_ticket < number) {
            return entry;
        }
    }
    return nullptr;
}

/*! @brief Whether a member has to follow tickets. */
[[nodiscard]] auto follows(const daemon& self, const membership::member& row, const time_point now) -> bool {
    return membership::is_retained(row, now, self.m_bounds) && row.m_status != membership::member_status::leaving;
}

/*! @brief Counts the processes that a ticket has to reach, this one among them. */
[[nodiscard]] auto count_instances(const daemon& self) -> std::size_t {
    const auto now = steady_now();
    const auto agents = std::ranges::count_if(
        self.m_members.m_members, [&self, now](const membership::member& row) { return follows(self, row, now); });
    const auto entries = std::ranges::count_if(self.m_peers, [](const auto& named) { return !named.second.m_leaving; });
    return static_cast<std::size_t>(agents + entries) + 1U;
}

[[nodiscard]] auto agents_behind(const daemon& self, const ticket_number number) -> boost::json::array {
    boost::json::array list{};
    const auto now = steady_now();
    for (const auto& row : self.m_members.m_members) {
        if (!follows(self, row, now)) {
            continue;
        }
        const auto* const entry = scope_behind(self, row, number);
        if (entry != nullptr) {
            list.push_back({{"instance", row.m_report.m_instance},
                            {"scope", entry->m_scope},
                            {"ticket", row.m_report.m_ticket.value()},
                            {"phase", membership::to_string(row.m_report.m_phase)},
                            {"standing", membership::to_string(row.m_status)},
                            {"chunks_held", row.m_report.m_chunks_held},
                            {"chunks_total", row.m_report.m_chunks_total}});
        }
    }
    return list;
}

[[nodiscard]] auto entries_behind(const daemon& self, const ticket_number number) -> boost::json::array {
    boost::json::array list{};
    for (const auto& [name, other] : self.m_peers) {
        if (!other.m_leaving && other.m_ticket < number) {
            list.push_back({{"instance", name}, {"ticket", other.m_ticket.value()}});
        }
    }
    return list;
}

[[nodiscard]] auto scopes_of(const daemon& self, const ticket_number number) -> boost::json::array {
    boost::json::array list{};
    for (const auto& entry : self.m_desired.m_entries) {
        if (number == ticket_number{} || entry.m_ticket == number) {
            list.push_back({{"scope", entry.m_scope},
                            {"ticket", entry.m_ticket.value()},
                            {"model", entry.m_state.m_model},
                            {"manifest", entry.m_state.m_manifest == digest{} ? "" : to_hex(entry.m_state.m_manifest)},
                            {"adapter", entry.m_state.m_adapter},
                            {"role", entry.m_state.m_role},
                            {"traffic", entry.m_state.m_traffic}});
        }
    }
    return list;
}

} // namespace internal

auto watch_state(daemon& self) -> void {
    if (self.m_settings.m_platform.m_watch && !self.m_settings.m_platform.m_addresses.empty()) {
        self.m_platform.watch(state_key, false,
                              [&self](const platform::key_value& stored) { internal::on_stored(self, stored); });
    }
}

auto take_state(daemon& self, const std::vector<ticket::scope_entry>& entries, const std::string_view from) -> void {
    std::vector<ticket::scope_entry> taken{};
    for (const auto& entry : entries) {
        if (ticket::merge(self.m_desired, entry)) {
            taken.push_back(entry);
        }
    }
    if (taken.empty()) {
        return;
    }
    self.m_fingerprint = ticket::fingerprint(self.m_desired);
    const auto highest = ticket::highest_ticket(self.m_desired).value();
    self.m_counters.set("entry_ticket", static_cast<double>(highest));
    net::log(net::level::info, "entry", "ticket " + std::to_string(highest) + " is in force here");
    push_state(self, taken, from);
}

auto submit_ticket(daemon& self, const std::string_view body, const std::shared_ptr<net::responder>& answer) -> void {
    std::string fault{};
    auto order = internal::read_ticket(body, fault);
    if (!order) {
        return answer->respond(net::problem(code::ticket_malformed, outcome::not_run, fault, {}));
    }
    if (order->m_submission_id.empty()) {
        order->m_submission_id = std::to_string(self.m_random()) + '-' + std::to_string(self.m_random());
    }
    const auto pending = std::make_shared<internal::submission>(internal::submission{std::move(*order), answer});
    self.m_platform.get(state_key, [&self, pending](const code done, const platform::key_value& current) {
        if (done != code::ok) {
            return pending->m_answer->respond(net::problem(done, outcome::not_run, {}, internal::come_back));
        }
        internal::attempt(self, pending, current);
    });
}

auto show_ticket(daemon& self, const std::string_view number, const std::shared_ptr<net::responder>& answer) -> void {
    std::uint64_t value{};
    const auto [end, fault] = std::from_chars(number.data(), number.data() + number.size(), value);
    if (!number.empty() && (fault != std::errc{} || end != number.data() + number.size() || value == 0U)) {
        return answer->respond(net::problem(code::not_found, outcome::not_run, "a ticket has a number", {}));
    }
    const auto highest = ticket::highest_ticket(self.m_desired);
    if (number.empty()) {
        return internal::answer_json(answer, 200,
                                     {{"highest", highest.value()}, {"scopes", internal::scopes_of(self, {})}});
    }
    if (value > highest.value()) {
        return answer->respond(net::problem(code::not_found, outcome::not_run, "the ticket is not known here", {}));
    }
    auto agents = internal::agents_behind(self, ticket_number{value});
    auto entries = internal::entries_behind(self, ticket_number{value});
    const auto has_heard_all = steady_now() - self.m_started > self.m_bounds.m_suspect_timeout;
    const auto in_force = has_heard_all && agents.empty() && entries.empty();
    internal::answer_json(answer, 200,
                          {{"number", value},
                           {"in_force", in_force},
                           {"instances", internal::count_instances(self)},
                           {"behind", std::move(agents)},
                           {"entries_behind", std::move(entries)},
                           {"scopes", internal::scopes_of(self, ticket_number{value})}});
}

} // namespace rhubarbwharf::entry
