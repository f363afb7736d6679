#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

#include <rhubarbwharf/core/base64.hpp>

#include "platform/wire.hpp"

namespace rhubarbwharf::platform::internal {

namespace json = boost::json;

namespace {

[[nodiscard]] auto view(const json::string& text) -> std::string_view {
    return {text.data(), text.size()};
}

[[nodiscard]] auto to_number(const json::value& value) -> std::optional<std::int64_t> {
    if (const auto* const number = value.if_int64()) {
        return *number;
    }
    const auto* const text = value.if_string();
    if (text == nullptr) {
        return std::nullopt;
    }
    std::int64_t number{};
    const auto* const end = text->data() + text->size();
    const auto [stopped, failure] = std::from_chars(text->data(), end, number);
    return failure == std::errc{} && stopped == end ? std::optional{number} : std::nullopt;
}

/*! @brief Reads a number that the gateway leaves out where it is zero. */
[[nodiscard]] auto number_of(const json::object& object, const std::string_view name) -> std::optional<std::int64_t> {
    const auto* const member = object.if_contains(name);
    return member == nullptr ? std::optional<std::int64_t>{0} : to_number(*member);
}

[[nodiscard]] auto object_of(const json::object& object, const std::string_view name) -> const json::object* {
    const auto* const member = object.if_contains(name);
    return member == nullptr ? nullptr : member->if_object();
}

[[nodiscard]] auto bytes_of(const json::object& object, const std::string_view name) -> std::optional<std::string> {
    const auto* const member = object.if_contains(name);
    if (member == nullptr) {
        return std::string{};
    }
    const auto* const text = member->if_string();
    return text == nullptr ? std::nullopt : from_base64(view(*text));
}

[[nodiscard]] auto flag_of(const json::object& object, const std::string_view name) -> bool {
    const auto* const member = object.if_contains(name);
    return member != nullptr && member->is_bool() && member->get_bool();
}

[[nodiscard]] auto parse_object(const std::string_view text) -> std::optional<json::object> {
    boost::system::error_code failure{};
    auto value = json::parse(text, failure);
    if (failure || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

[[nodiscard]] auto revision_of(const json::object& answer) -> std::optional<revision> {
    const auto* const head = object_of(answer, "header");
    const auto number = head == nullptr ? std::nullopt : number_of(*head, "revision");
    return number && *number >= 0 ? std::optional{static_cast<revision>(*number)} : std::nullopt;
}

[[nodiscard]] auto parse_key(const json::value& value) -> std::optional<key_value> {
    const auto* const object = value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    auto key = bytes_of(*object, "key");
    auto bytes = bytes_of(*object, "value");
    const auto modified = number_of(*object, "mod_revision");
    const auto lease = number_of(*object, "lease");
    if (!key || !bytes || !modified || !lease || *modified < 0) {
        return std::nullopt;
    }
    return key_value{std::move(*key), std::move(*bytes), static_cast<revision>(*modified), *lease};
}

[[nodiscard]] auto parse_keys(const json::object& answer) -> std::optional<std::vector<key_value>> {
    std::vector<key_value> keys{};
    const auto* const member = answer.if_contains("kvs");
    if (member == nullptr) {
        return keys;
    }
    const auto* const list = member->if_array();
    if (list == nullptr) {
        return std::nullopt;
    }
    for (const auto& each : *list) {
        auto key = parse_key(each);
        if (!key) {
            return std::nullopt;
        }
        keys.push_back(std::move(*key));
    }
    return keys;
}

[[nodiscard]] auto parse_event(const json::value& value) -> std::optional<key_value> {
    const auto* const event = value.if_object();
    const auto* const key = event == nullptr ? nullptr : event->if_contains("kv");
    auto change = key == nullptr ? std::nullopt : parse_key(*key);
    if (!change) {
        return std::nullopt;
    }
    const auto* const type = event->if_contains("type");
    if (type != nullptr && type->is_string() && view(type->get_string()) == "DELETE") {
        change->m_value.clear();
        change->m_modified = 0U;
    }
    return change;
}

/*! @brief Returns the answer to a read that a compare-and-swap holds, if there is one. */
[[nodiscard]] auto range_in(const json::object& answer) -> const json::object* {
    const auto* const member = answer.if_contains("responses");
    const auto* const list = member == nullptr ? nullptr : member->if_array();
    const auto* const first = list == nullptr || list->empty() ? nullptr : list->front().if_object();
    return first == nullptr ? nullptr : object_of(*first, "response_range");
}

/*! @brief Returns the `result` of a streamed answer, or the answer itself where it has none. */
[[nodiscard]] auto result_in(const json::object& answer) -> const json::object& {
    const auto* const inner = object_of(answer, "result");
    return inner == nullptr ? answer : *inner;
}

} // namespace

auto prefix_end(const std::string_view prefix) -> std::string {
    constexpr auto last_byte = '\xff';
    std::string end{prefix.substr(0U, prefix.find_last_not_of(last_byte) + 1U)};
    if (end.empty()) {
        return std::string(1U, '\0');
    }
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1U);
    return end;
}

auto range_body(const std::string_view key, const bool is_prefix) -> std::string {
    json::object body{{"key", to_base64(key)}};
    if (is_prefix) {
        body["range_end"] = to_base64(prefix_end(key));
    }
    return json::serialize(body);
}

[[nodiscard]] auto compare_of(const std::string_view name, const revision expected) -> json::object {
    json::object compare{{"key", name}, {"result", "EQUAL"}};
    if (expected == 0U) {
        compare["target"] = "VERSION";
        compare["version"] = "0";
    } else {
        compare["target"] = "MOD";
        compare["mod_revision"] = std::to_string(expected);
    }
    return compare;
}

[[nodiscard]] auto txn_of(const std::string_view name, const revision expected, json::object operation) -> std::string {
    const json::object range{{"key", name}};
    const json::object body{{"compare", json::array{compare_of(name, expected)}},
                            {"success", json::array{std::move(operation)}},
                            {"failure", json::array{json::object{{"request_range", range}}}}};
    return json::serialize(body);
}

auto txn_body(const std::string_view key, const std::string_view value, const revision expected,
              const lease_number lease) -> std::string {
    const auto name = to_base64(key);
    json::object put{{"key", name}, {"value", to_base64(value)}};
    if (lease != 0) {
        put["lease"] = std::to_string(lease);
    }
    return txn_of(name, expected, json::object{{"request_put", std::move(put)}});
}

auto delete_body(const std::string_view key, const revision expected) -> std::string {
    const auto name = to_base64(key);
    return txn_of(name, expected, json::object{{"request_delete_range", json::object{{"key", name}}}});
}

auto grant_body(const std::chrono::seconds ttl) -> std::string {
    return json::serialize(json::object{{"TTL", std::to_string(ttl.count())}, {"ID", "0"}});
}

auto lease_body(const lease_number lease) -> std::string {
    return json::serialize(json::object{{"ID", std::to_string(lease)}});
}

auto watch_body(const std::string_view key, const bool is_prefix, const revision from) -> std::string {
    json::object create{{"key", to_base64(key)}, {"start_revision", std::to_string(from)}};
    if (is_prefix) {
        create["range_end"] = to_base64(prefix_end(key));
    }
    return json::serialize(json::object{{"create_request", std::move(create)}});
}

auto parse_range(const std::string_view text) -> std::optional<range_reply> {
    const auto answer = parse_object(text);
    const auto at = answer ? revision_of(*answer) : std::nullopt;
    auto keys = answer ? parse_keys(*answer) : std::nullopt;
    if (!at || !keys) {
        return std::nullopt;
    }
    return range_reply{*at, std::move(*keys)};
}

auto parse_txn(const std::string_view text) -> std::optional<txn_reply> {
    const auto answer = parse_object(text);
    const auto at = answer ? revision_of(*answer) : std::nullopt;
    if (!at) {
        return std::nullopt;
    }
    txn_reply reply{flag_of(*answer, "succeeded"), *at, {}};
    if (const auto* const range = range_in(*answer)) {
        auto keys = parse_keys(*range);
        if (!keys) {
            return std::nullopt;
        }
        reply.m_keys = std::move(*keys);
    }
    return reply;
}

auto parse_grant(const std::string_view text) -> std::optional<lease_number> {
    const auto answer = parse_object(text);
    const auto lease = answer ? number_of(*answer, "ID") : std::nullopt;
    return lease && *lease != 0 ? lease : std::nullopt;
}

auto parse_keep_alive(const std::string_view text) -> std::optional<std::chrono::seconds> {
    const auto answer = parse_object(text.substr(0U, text.find('\n')));
    if (!answer) {
        return std::nullopt;
    }
    const auto& result = result_in(*answer);
    const auto ttl = result.contains("ID") ? number_of(result, "TTL") : std::nullopt;
    return ttl ? std::optional{std::chrono::seconds{std::max<std::int64_t>(*ttl, 0)}} : std::nullopt;
}

auto parse_watch(const std::string_view text) -> std::optional<watch_reply> {
    const auto answer = parse_object(text);
    if (!answer || answer->contains("error")) {
        return std::nullopt;
    }
    const auto& result = result_in(*answer);
    const auto at = revision_of(result);
    if (!at) {
        return std::nullopt;
    }
    watch_reply reply{flag_of(result, "canceled"), *at, {}};
    const auto* const member = result.if_contains("events");
    const auto* const events = member == nullptr ? nullptr : member->if_array();
    if (events == nullptr) {
        return reply;
    }
    for (const auto& each : *events) {
        auto change = parse_event(each);
        if (!change) {
            return std::nullopt;
        }
        reply.m_changes.push_back(std::move(*change));
    }
    return reply;
}

} // namespace rhubarbwharf::platform::internal
