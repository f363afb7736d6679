#include <rhubarbwharf/ticket/json.hpp>

#include <algorithm>
#include <array>

#include <boost/json.hpp>

namespace rhubarbwharf::ticket {

namespace internal {

namespace {

namespace json = boost::json;

/*! @brief Takes typed members out of an object and notes the first fault. */
struct taker {
    const json::object& m_object;
    std::string m_fault{};

    auto fault(const std::string_view name, const std::string_view wanted) -> void {
        if (m_fault.empty()) {
            m_fault = std::string{name} + ": " + std::string{wanted};
        }
    }

    auto text(const std::string_view name, std::string& value) -> void {
        if (const auto* const found = m_object.if_contains(name); found != nullptr) {
            const auto* const string = found->if_string();
            string != nullptr ? value.assign(string->data(), string->size()), void() : fault(name, "not a text");
        }
    }

    auto truth(const std::string_view name, bool& value) -> void {
        if (const auto* const found = m_object.if_contains(name); found != nullptr) {
            found->is_bool() ? value = found->get_bool(), void() : fault(name, "not true or false");
        }
    }

    auto number(const std::string_view name, ticket_number& value) -> void {
        if (const auto* const found = m_object.if_contains(name); found != nullptr) {
            json::error_code reason{};
            const auto read = found->to_number<std::uint64_t>(reason);
            reason ? fault(name, "not a whole number") : void(value = ticket_number{read});
        }
    }

    auto manifest(const std::string_view name, digest& value) -> void {
        std::string hex{};
        text(name, hex);
        if (hex.empty()) {
            return;
        }
        const auto read = digest_from_hex(hex);
        read ? void(value = *read) : fault(name, "not 64 hexadecimal digits");
    }

    auto only(const std::span<const std::string_view> known) -> void {
        for (const auto& member : m_object) {
            const std::string_view name{member.key().data(), member.key().size()};
            if (std::ranges::find(known, name) == known.end()) {
                fault(name, "unknown key");
            }
        }
    }
};

constexpr std::array<std::string_view, 7> scope_keys{"scope", "model",   "manifest", "adapter",
                                                     "role",  "traffic", "ticket"};
constexpr std::array<std::string_view, 3> ticket_keys{"number", "submission", "changes"};
constexpr std::array<std::string_view, 2> state_keys{"entries", "submissions"};
constexpr std::array<std::string_view, 2> submission_keys{"id", "ticket"};

[[nodiscard]] auto parse_object(const std::string_view text) -> result<json::object> {
    json::error_code reason{};
    auto value = json::parse({text.data(), text.size()}, reason);
    if (reason) {
        return fail(code::ticket_malformed, reason.message());
    }
    if (!value.is_object()) {
        return fail(code::ticket_malformed, "not an object");
    }
    return std::move(value.get_object());
}

[[nodiscard]] auto read_entry(const json::value& value) -> result<scope_entry> {
    if (!value.is_object()) {
        return fail(code::ticket_malformed, "a change is not an object");
    }
    scope_entry entry{};
    taker members{value.get_object()};
    members.only(scope_keys);
    members.text("scope", entry.m_scope);
    members.number("ticket", entry.m_ticket);
    members.text("model", entry.m_state.m_model);
    members.manifest("manifest", entry.m_state.m_manifest);
    members.text("adapter", entry.m_state.m_adapter);
    members.text("role", entry.m_state.m_role);
    members.truth("traffic", entry.m_state.m_traffic);
    if (!members.m_fault.empty()) {
        return fail(code::ticket_malformed, members.m_fault);
    }
    return entry;
}

template <typename Reader>
[[nodiscard]] auto each(const json::object& object, const std::string_view name, Reader reader) -> result<void> {
    const auto* const found = object.if_contains(name);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_array()) {
        return fail(code::ticket_malformed, std::string{name} + ": not a list");
    }
    for (const auto& element : found->get_array()) {
        BOOST_LEAF_CHECK(reader(element));
    }
    return {};
}

[[nodiscard]] auto write_entry(const std::string_view scope, const scope_state& state) -> json::object {
    json::object object{};
    object["scope"] = scope;
    object["model"] = state.m_model;
    object["manifest"] = state.m_manifest == digest{} ? std::string{} : to_hex(state.m_manifest);
    object["adapter"] = state.m_adapter;
    object["role"] = state.m_role;
    object["traffic"] = state.m_traffic;
    return object;
}

[[nodiscard]] auto read_submission(const json::value& value) -> result<submission> {
    if (!value.is_object()) {
        return fail(code::ticket_malformed, "a submission is not an object");
    }
    submission kept{};
    taker members{value.get_object()};
    members.only(submission_keys);
    members.text("id", kept.m_id);
    members.number("ticket", kept.m_ticket);
    if (!members.m_fault.empty()) {
        return fail(code::ticket_malformed, members.m_fault);
    }
    return kept;
}

} // namespace

} // namespace internal

auto parse_ticket(const std::string_view text) -> result<ticket> {
    BOOST_LEAF_AUTO(object, internal::parse_object(text));
    ticket order{};
    internal::taker members{object};
    members.only(internal::ticket_keys);
    members.number("number", order.m_number);
    members.text("submission", order.m_submission);
    if (!members.m_fault.empty()) {
        return fail(code::ticket_malformed, members.m_fault);
    }
    const auto add = [&order](const boost::json::value& value) -> result<void> {
        BOOST_LEAF_AUTO(entry, internal::read_entry(value));
        order.m_changes.push_back({entry.m_scope, entry.m_state});
        return {};
    };
    BOOST_LEAF_CHECK(internal::each(object, "changes", add));
    if (order.m_changes.empty()) {
        return fail(code::ticket_malformed, "changes: none");
    }
    return order;
}

auto to_json(const ticket& order) -> std::string {
    boost::json::object object{};
    if (order.m_number != ticket_number{}) {
        object["number"] = order.m_number.value();
    }
    object["submission"] = order.m_submission;
    auto& changes = object["changes"].emplace_array();
    for (const auto& [scope, state] : order.m_changes) {
        changes.emplace_back(internal::write_entry(scope, state));
    }
    return boost::json::serialize(object);
}

auto parse_state(const std::string_view text) -> result<desired_state> {
    desired_state state{};
    if (text.empty()) {
        return state;
    }
    BOOST_LEAF_AUTO(object, internal::parse_object(text));
    internal::taker members{object};
    members.only(internal::state_keys);
    if (!members.m_fault.empty()) {
        return fail(code::ticket_malformed, members.m_fault);
    }
    const auto add_entry = [&state](const boost::json::value& value) -> result<void> {
        BOOST_LEAF_AUTO(entry, internal::read_entry(value));
        merge(state, entry);
        return {};
    };
    const auto add_submission = [&state](const boost::json::value& value) -> result<void> {
        BOOST_LEAF_AUTO(kept, internal::read_submission(value));
        state.m_submissions.push_back(kept);
        return {};
    };
    BOOST_LEAF_CHECK(internal::each(object, "entries", add_entry));
    BOOST_LEAF_CHECK(internal::each(object, "submissions", add_submission));
    return state;
}

auto to_json(const desired_state& state) -> std::string {
    boost::json::object object{};
    auto& entries = object["entries"].emplace_array();
    for (const auto& entry : state.m_entries) {
        auto row = internal::write_entry(entry.m_scope, entry.m_state);
        row["ticket"] = entry.m_ticket.value();
        entries.emplace_back(std::move(row));
    }
    auto& submissions = object["submissions"].emplace_array();
    for (const auto& kept : state.m_submissions) {
        submissions.emplace_back(boost::json::object{{"id", kept.m_id}, {"ticket", kept.m_ticket.value()}});
    }
    return boost::json::serialize(object);
}

} // namespace rhubarbwharf::ticket
