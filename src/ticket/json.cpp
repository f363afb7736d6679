#include <rhubarbwharf/ticket/json.hpp>

#include <algorithm>
#include <array>

#include <boost/json.hpp>

namespace rhubarbwharf::ticket {

namespace internal {

namespace {

namespace json = boost::json;

/*! @brief Reads typed members of a JSON object and records the first error. An absent member leaves the value
 * unchanged. */
struct object_reader {
    const json::object& m_object;
    std::string m_error{};

    auto set_error(const std::string_view name, const std::string_view problem) -> void {
        if (m_error.empty()) {
            m_error = std::string{name} + ": " + std::string{problem};
        }
    }

    auto read_text(const std::string_view name, std::string& value) -> void {
        if (const auto* const found = m_object.if_contains(name); found != nullptr) {
            const auto* const string = found->if_string();
            string != nullptr ? value.assign(string->data(), string->size()), void() : set_error(name, "not a text");
        }
    }

    auto read_bool(const std::string_view name, bool& value) -> void {
        if (const auto* const found = m_object.if_contains(name); found != nullptr) {
            found->is_bool() ? value = found->get_bool(), void() : set_error(name, "not true or false");
        }
    }

    auto read_ticket_number(const std::string_view name, ticket_number& value) -> void {
        if (const auto* const found = m_object.if_contains(name); found != nullptr) {
            json::error_code error_code{};
            const auto read = found->to_number<std::uint64_t>(error_code);
            error_code ? set_error(name, "not a whole number") : void(value = ticket_number{read});
        }
    }

    auto read_manifest(const std::string_view name, digest& value) -> void {
        std::string hex{};
        read_text(name, hex);
        if (hex.empty()) {
            return;
        }
        const auto read = digest_from_hex(hex);
        read ? void(value = *read) : set_error(name, "not 64 hexadecimal digits");
    }

    auto reject_unknown_keys(const std::span<const std::string_view> allowed_keys) -> void {
        for (const auto& member : m_object) {
            const std::string_view name{member.key().data(), member.key().size()};
            if (std::ranges::find(allowed_keys, name) == allowed_keys.end()) {
                set_error(name, "unknown key");
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
    json::error_code error_code{};
    auto value = json::parse({text.data(), text.size()}, error_code);
    if (error_code) {
        return fail(code::ticket_malformed, error_code.message());
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
    object_reader reader{value.get_object()};
    reader.reject_unknown_keys(scope_keys);
    reader.read_text("scope", entry.m_scope);
    reader.read_ticket_number("ticket", entry.m_ticket);
    reader.read_text("model", entry.m_state.m_model);
    reader.read_manifest("manifest", entry.m_state.m_manifest);
    reader.read_text("adapter", entry.m_state.m_adapter);
    reader.read_text("role", entry.m_state.m_role);
    reader.read_bool("traffic", entry.m_state.m_traffic);
    if (!reader.m_error.empty()) {
        return fail(code::ticket_malformed, reader.m_error);
    }
    return entry;
}

template <typename Reader>
[[nodiscard]] auto for_each_element(const json::object& object, const std::string_view name, Reader reader)
    -> result<void> {
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
    submission accepted{};
    object_reader reader{value.get_object()};
    reader.reject_unknown_keys(submission_keys);
    reader.read_text("id", accepted.m_id);
    reader.read_ticket_number("ticket", accepted.m_ticket);
    if (!reader.m_error.empty()) {
        return fail(code::ticket_malformed, reader.m_error);
    }
    return accepted;
}

} // namespace

} // namespace internal

auto parse_ticket(const std::string_view text) -> result<ticket> {
    BOOST_LEAF_AUTO(object, internal::parse_object(text));
    ticket parsed{};
    internal::object_reader reader{object};
    reader.reject_unknown_keys(internal::ticket_keys);
    reader.read_ticket_number("number", parsed.m_number);
    reader.read_text("submission", parsed.m_submission_id);
    if (!reader.m_error.empty()) {
        return fail(code::ticket_malformed, reader.m_error);
    }
    const auto add = [&parsed](const boost::json::value& value) -> result<void> {
        BOOST_LEAF_AUTO(entry, internal::read_entry(value));
        parsed.m_changes.push_back({entry.m_scope, entry.m_state});
        return {};
    };
    BOOST_LEAF_CHECK(internal::for_each_element(object, "changes", add));
    if (parsed.m_changes.empty()) {
        return fail(code::ticket_malformed, "changes: none");
    }
    return parsed;
}

auto to_json(const ticket& value) -> std::string {
    boost::json::object object{};
    if (value.m_number != ticket_number{}) {
        object["number"] = value.m_number.value();
    }
    object["submission"] = value.m_submission_id;
    auto& changes = object["changes"].emplace_array();
    for (const auto& [scope, state] : value.m_changes) {
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
    internal::object_reader reader{object};
    reader.reject_unknown_keys(internal::state_keys);
    if (!reader.m_error.empty()) {
        return fail(code::ticket_malformed, reader.m_error);
    }
    const auto add_entry = [&state](const boost::json::value& value) -> result<void> {
        BOOST_LEAF_AUTO(entry, internal::read_entry(value));
        merge(state, entry);
        return {};
    };
    const auto add_submission = [&state](const boost::json::value& value) -> result<void> {
        BOOST_LEAF_AUTO(accepted, internal::read_submission(value));
        state.m_submissions.push_back(accepted);
        return {};
    };
    BOOST_LEAF_CHECK(internal::for_each_element(object, "entries", add_entry));
    BOOST_LEAF_CHECK(internal::for_each_element(object, "submissions", add_submission));
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
    for (const auto& accepted : state.m_submissions) {
        submissions.emplace_back(boost::json::object{{"id", accepted.m_id}, {"ticket", accepted.m_ticket.value()}});
    }
    return boost::json::serialize(object);
}

} // namespace rhubarbwharf::ticket
