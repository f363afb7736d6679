#include <algorithm>
#include <charconv>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <entry/daemon.hpp>
#include <rhubarbwharf/net/log.hpp>
#include <rhubarbwharf/ticket/json.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr std::uint32_t max_put_attempts = 8;
constexpr duration retry_after = std::chrono::seconds{1};
constexpr std::string_view group_scope_prefix = "group:";
constexpr std::string_view instance_scope_prefix = "instance:";

/*! @brief A ticket that is being written to the key-value service. */
struct submission {
    ticket::ticket m_ticket{};
    std::shared_ptr<net::responder> m_responder{};
    std::uint32_t m_put_attempts{};
};

[[nodiscard]] auto parse_stored_state(const std::string_view text) -> std::optional<ticket::desired_state> {
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
            BOOST_LEAF_AUTO(parsed, ticket::parse_ticket(text));
            return std::optional{std::move(parsed)};
        },
        [&fault](const error& what) -> std::optional<ticket::ticket> {
            fault = what.m_detail;
            return std::nullopt;
        },
        []() -> std::optional<ticket::ticket> { return std::nullopt; });
}

auto respond_json(const std::shared_ptr<net::responder>& responder, const std::uint16_t status,
                  const boost::json::value& body) -> void {
    net::http_response out{};
    out.m_status = status;
    out.m_headers = {{"Content-Type", "application/json"}};
    out.m_body = boost::json::serialize(body);
    responder->respond(std::move(out));
}

auto respond_accepted(const submission& pending, const ticket::accept_result& verdict) -> void {
    respond_json(pending.m_responder, 200,
                 {{"accepted", true},
                  {"number", verdict.m_number.value()},
                  {"submission", pending.m_ticket.m_submission_id},
                  {"repeated", verdict.m_duplicate}});
}

auto respond_refused(const submission& pending, const ticket::accept_result& verdict) -> void {
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
    pending.m_responder->respond(std::move(refusal));
}

auto try_submit(daemon& self, const std::shared_ptr<submission>& pending, const platform::key_value& current) -> void;

auto on_put(daemon& self, const std::shared_ptr<submission>& pending, const ticket::desired_state& desired,
            const ticket::accept_result& verdict, const platform::put_outcome& put_result) -> void {
    if (put_result.m_code == code::ok) {
        apply_state(self, desired.m_entries, {});
        self.m_counters.add("entry_tickets_accepted_total");
        return respond_accepted(*pending, verdict);
    }
    if (put_result.m_code == code::compare_failed && ++pending->m_put_attempts < max_put_attempts) {
        return try_submit(self, pending, put_result.m_current);
    }
    const auto detail = put_result.m_written == outcome::unknown
                            ? "send the ticket again with submission " + pending->m_ticket.m_submission_id
                            : std::string{};
    pending->m_responder->respond(net::problem(put_result.m_code, put_result.m_written, detail, retry_after));
}

auto try_submit(daemon& self, const std::shared_ptr<submission>& pending, const platform::key_value& current) -> void {
    auto desired = parse_stored_state(current.m_value);
    if (!desired) {
        return pending->m_responder->respond(net::problem(code::platform_unavailable, outcome::not_run,
                                                          "the desired state in the service can't be read",
                                                          retry_after));
    }
    ticket::merge(*desired, self.m_desired_state.m_entries);
    const auto verdict = ticket::accept(*desired, pending->m_ticket);
    if (verdict.m_code != code::ok) {
        return respond_refused(*pending, verdict);
    }
    if (verdict.m_duplicate) {
        apply_state(self, desired->m_entries, {});
        return respond_accepted(*pending, verdict);
    }
    const auto text = ticket::to_json(*desired);
    self.m_platform_client.put(
        desired_state_key, text, current.m_modified, 0,
        [&self, pending, desired = std::move(*desired), verdict](const platform::put_outcome& put_result) {
            on_put(self, pending, desired, verdict, put_result);
        });
}

[[nodiscard]] auto is_ahead(const ticket::desired_state& held, const ticket::desired_state& stored) -> bool {
    return !ticket::outdated_scopes(stored, held).empty();
}

/*! @brief Applies the state stored in the key-value service. If the stored state lacks entries that this process holds,
 * for example because the service lost writes, the merged state is written back. */
auto on_stored_state(daemon& self, const platform::key_value& stored) -> void {
    const auto state = parse_stored_state(stored.m_value);
    if (!state) {
        self.m_counters.add("entry_state_unreadable_total");
        return;
    }
    apply_state(self, state->m_entries, {});
    if (!is_ahead(self.m_desired_state, *state)) {
        return;
    }
    self.m_counters.add("entry_state_restored_total");
    net::log(net::level::warn, "entry",
             "desired state in the key-value service is older than the local one; writing the merged state");
    auto merged = *state;
    ticket::merge(merged, self.m_desired_state.m_entries);
    self.m_platform_client.put(desired_state_key, ticket::to_json(merged), stored.m_modified, 0,
                               [](const platform::put_outcome&) {});
}

/*! @brief Finds a scope of a member whose ticket is at least `number` while the member reports one below `number`.
 * @return Null if there is none. */
[[nodiscard]] auto find_lagging_scope(const daemon& self, const membership::member& row, const ticket_number number)
    -> const ticket::scope_entry* {
    const auto* const group =
        ticket::find(self.m_desired_state, std::string{group_scope_prefix} + row.m_report.m_group);
    const auto* const instance =
        ticket::find(self.m_desired_state, std::string{instance_scope_prefix} + row.m_report.m_instance);
    for (const auto* const entry : {group, instance}) {
        if (entry != nullptr && entry->m_ticket >= number && row.m_report.m_ticket < number) {
            return entry;
        }
    }
    return nullptr;
}

/*! @brief Checks whether a member must apply a ticket before the ticket counts as in force. */
[[nodiscard]] auto must_apply_tickets(const daemon& self, const membership::member& row, const time_point now) -> bool {
    return membership::is_retained(row, now, self.m_member_limits) &&
           row.m_status != membership::member_status::leaving;
}

/*! @brief Counts the processes that must apply a ticket, including this one. */
[[nodiscard]] auto count_instances(const daemon& self) -> std::size_t {
    const auto now = steady_now();
    const auto agents = std::ranges::count_if(self.m_members.m_members, [&self, now](const membership::member& row) {
        return must_apply_tickets(self, row, now);
    });
    const auto entries = std::ranges::count_if(self.m_peers, [](const auto& named) { return !named.second.m_leaving; });
    return static_cast<std::size_t>(agents + entries) + 1U;
}

[[nodiscard]] auto list_agents_behind(const daemon& self, const ticket_number number) -> boost::json::array {
    boost::json::array list{};
    const auto now = steady_now();
    for (const auto& row : self.m_members.m_members) {
        if (!must_apply_tickets(self, row, now)) {
            continue;
        }
        const auto* const entry = find_lagging_scope(self, row, number);
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

[[nodiscard]] auto list_entries_behind(const daemon& self, const ticket_number number) -> boost::json::array {
    boost::json::array list{};
    for (const auto& [name, other] : self.m_peers) {
        if (!other.m_leaving && other.m_highest_ticket < number) {
            list.push_back({{"instance", name}, {"ticket", other.m_highest_ticket.value()}});
        }
    }
    return list;
}

[[nodiscard]] auto scopes_of(const daemon& self, const ticket_number number) -> boost::json::array {
    boost::json::array list{};
    for (const auto& entry : self.m_desired_state.m_entries) {
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

auto watch_desired_state(daemon& self) -> void {
    if (self.m_settings.m_platform.m_watch && !self.m_settings.m_platform.m_addresses.empty()) {
        self.m_platform_client.watch(desired_state_key, false, [&self](const platform::key_value& stored) {
            internal::on_stored_state(self, stored);
        });
    }
}

auto apply_state(daemon& self, const std::vector<ticket::scope_entry>& entries, const std::string_view from) -> void {
    std::vector<ticket::scope_entry> accepted{};
    for (const auto& entry : entries) {
        if (ticket::merge(self.m_desired_state, entry)) {
            accepted.push_back(entry);
        }
    }
    if (accepted.empty()) {
        return;
    }
    self.m_state_digest = ticket::fingerprint(self.m_desired_state);
    const auto highest = ticket::highest_ticket(self.m_desired_state).value();
    self.m_counters.set("entry_ticket", static_cast<double>(highest));
    net::log(net::level::info, "entry", "ticket " + std::to_string(highest) + " applied to the desired state");
    push_state(self, accepted, from);
}

auto submit_ticket(daemon& self, const std::string_view body, const std::shared_ptr<net::responder>& responder)
    -> void {
    std::string fault{};
    auto submitted = internal::read_ticket(body, fault);
    if (!submitted) {
        return responder->respond(net::problem(code::ticket_malformed, outcome::not_run, fault, {}));
    }
    if (submitted->m_submission_id.empty()) {
        submitted->m_submission_id = std::to_string(self.m_random()) + '-' + std::to_string(self.m_random());
    }
    const auto pending = std::make_shared<internal::submission>(internal::submission{std::move(*submitted), responder});
    self.m_platform_client.get(desired_state_key, [&self, pending](const code read_code,
                                                                   const platform::key_value& current) {
        if (read_code != code::ok) {
            return pending->m_responder->respond(net::problem(read_code, outcome::not_run, {}, internal::retry_after));
        }
        internal::try_submit(self, pending, current);
    });
}

auto show_ticket(daemon& self, const std::string_view number, const std::shared_ptr<net::responder>& responder)
    -> void {
    std::uint64_t value{};
    const auto [end, fault] = std::from_chars(number.data(), number.data() + number.size(), value);
    if (!number.empty() && (fault != std::errc{} || end != number.data() + number.size() || value == 0U)) {
        return responder->respond(net::problem(code::not_found, outcome::not_run, "a ticket has a number", {}));
    }
    const auto highest = ticket::highest_ticket(self.m_desired_state);
    if (number.empty()) {
        return internal::respond_json(responder, 200,
                                      {{"highest", highest.value()}, {"scopes", internal::scopes_of(self, {})}});
    }
    if (value > highest.value()) {
        return responder->respond(net::problem(code::not_found, outcome::not_run, "the ticket is not known here", {}));
    }
    auto agents = internal::list_agents_behind(self, ticket_number{value});
    auto entries = internal::list_entries_behind(self, ticket_number{value});
    const auto has_complete_view = steady_now() - self.m_started > self.m_member_limits.m_suspect_timeout;
    const auto in_force = has_complete_view && agents.empty() && entries.empty();
    internal::respond_json(responder, 200,
                           {{"number", value},
                            {"in_force", in_force},
                            {"instances", internal::count_instances(self)},
                            {"behind", std::move(agents)},
                            {"entries_behind", std::move(entries)},
                            {"scopes", internal::scopes_of(self, ticket_number{value})}});
}

} // namespace rhubarbwharf::entry
