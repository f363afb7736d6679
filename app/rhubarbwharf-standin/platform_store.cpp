#include "platform_store.hpp"

#include <algorithm>

#include <openssl/evp.h>

#include "standin.hpp"

namespace rhubarbwharf::standin::internal {

constexpr std::size_t max_undo_records = 16'384;

[[nodiscard]] auto base64_encode(const std::string_view bytes) -> std::string {
    std::string text(4U * ((bytes.size() + 2U) / 3U), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return text;
}

auto base64_decode(const std::string_view text) -> std::string {
    std::string bytes(text.size() / 4U * 3U, '\0');
    const auto written =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    const auto padding = static_cast<std::size_t>(std::count(text.begin(), text.end(), '='));
    bytes.resize(written < 0 ? 0U : static_cast<std::size_t>(written) - padding);
    return bytes;
}

auto in_range(const std::string_view key, const std::string_view first, const std::string_view end) -> bool {
    constexpr std::string_view all{"\0", 1};
    if (end.empty()) {
        return key == first;
    }
    return key >= first && (end == all || key < end);
}

[[nodiscard]] auto key_value_json(const key_value& found) -> boost::json::object {
    boost::json::object value{{"key", base64_encode(found.m_key)},
                              {"create_revision", std::to_string(found.m_create_revision)},
                              {"mod_revision", std::to_string(found.m_mod_revision)},
                              {"version", std::to_string(found.m_version)}};
    if (!found.m_value.empty()) {
        value["value"] = base64_encode(found.m_value);
    }
    if (found.m_lease != 0) {
        value["lease"] = std::to_string(found.m_lease);
    }
    return value;
}

auto to_json(const event& change) -> boost::json::object {
    if (!change.m_deleted) {
        return {{"kv", key_value_json(change.m_key_value)}};
    }
    return {{"type", "DELETE"},
            {"kv",
             {{"key", base64_encode(change.m_key_value.m_key)},
              {"mod_revision", std::to_string(change.m_key_value.m_mod_revision)}}}};
}

auto range_json(const store& kv_store, const boost::json::object& body) -> boost::json::object {
    const auto first = base64_decode(string_member(body, "key"));
    const auto end = base64_decode(string_member(body, "range_end"));
    boost::json::array rows{};
    for (auto found = kv_store.m_key_values.lower_bound(first); found != kv_store.m_key_values.end(); ++found) {
        if (!in_range(found->first, first, end)) {
            break;
        }
        rows.push_back(key_value_json(found->second));
    }
    if (rows.empty()) {
        return {};
    }
    const auto count = rows.size();
    return {{"kvs", std::move(rows)}, {"count", std::to_string(count)}};
}

auto record_undo(store& kv_store, const std::string& key) -> void {
    const auto found = kv_store.m_key_values.find(key);
    kv_store.m_undo_log.push_back(
        {.m_key = key,
         .m_previous = found == kv_store.m_key_values.end() ? std::nullopt : std::optional<key_value>{found->second}});
    if (kv_store.m_undo_log.size() > max_undo_records) {
        kv_store.m_undo_log.pop_front();
    }
    ++kv_store.m_revision;
}

[[nodiscard]] auto put(store& kv_store, const boost::json::object& body) -> event {
    const auto key = base64_decode(string_member(body, "key"));
    record_undo(kv_store, key);
    auto& changed = kv_store.m_key_values[key];
    changed.m_key = key;
    changed.m_value = base64_decode(string_member(body, "value"));
    changed.m_create_revision = changed.m_version == 0 ? kv_store.m_revision : changed.m_create_revision;
    changed.m_mod_revision = kv_store.m_revision;
    changed.m_lease = integer_member(body, "lease");
    ++changed.m_version;
    return {.m_key_value = changed, .m_deleted = false};
}

[[nodiscard]] auto erase_key(store& kv_store, const std::string& key) -> std::vector<event> {
    if (!kv_store.m_key_values.contains(key)) {
        return {};
    }
    record_undo(kv_store, key);
    kv_store.m_key_values.erase(key);
    key_value deleted{};
    deleted.m_key = key;
    deleted.m_mod_revision = kv_store.m_revision;
    return {{.m_key_value = deleted, .m_deleted = true}};
}

[[nodiscard]] auto compare_succeeds(const store& kv_store, const boost::json::object& compare) -> bool {
    const auto found = kv_store.m_key_values.find(base64_decode(string_member(compare, "key")));
    const auto exists = found != kv_store.m_key_values.end();
    if (string_member(compare, "target") == "VERSION") {
        return integer_member(compare, "version") == (exists ? static_cast<std::int64_t>(found->second.m_version) : 0);
    }
    return integer_member(compare, "mod_revision") ==
           (exists ? static_cast<std::int64_t>(found->second.m_mod_revision) : 0);
}

/*! @brief Returns the element of an array member that holds exactly one object, otherwise null. */
[[nodiscard]] auto single_element(const boost::json::object& body, const std::string_view name)
    -> const boost::json::object* {
    const auto* rows = body.if_contains(name);
    if (rows == nullptr || !rows->is_array() || rows->get_array().size() != 1U ||
        !rows->get_array().front().is_object()) {
        return nullptr;
    }
    return &rows->get_array().front().get_object();
}

[[nodiscard]] auto object_member(const boost::json::object& body, const std::string_view snake,
                                 const std::string_view camel) -> const boost::json::object* {
    for (const auto name : {snake, camel}) {
        if (const auto* found = body.if_contains(name); found != nullptr && found->is_object()) {
            return &found->get_object();
        }
    }
    return nullptr;
}

[[nodiscard]] auto is_supported_compare(const boost::json::object& compare) -> bool {
    const auto target = string_member(compare, "target");
    const auto result = string_member(compare, "result");
    return (target == "MOD" || target == "VERSION") && (result.empty() || result == "EQUAL");
}

auto run_transaction(store& kv_store, const boost::json::object& body) -> std::optional<transaction_result> {
    const auto* compare = single_element(body, "compare");
    const auto* success = single_element(body, "success");
    const auto* failure = single_element(body, "failure");
    if (compare == nullptr || success == nullptr || !is_supported_compare(*compare)) {
        return std::nullopt;
    }
    transaction_result result{};
    if (!kv_store.m_ignores_compare && !compare_succeeds(kv_store, *compare)) {
        const auto* requested = failure == nullptr ? nullptr : object_member(*failure, "request_range", "requestRange");
        if (requested != nullptr) {
            result.m_response["responses"] =
                boost::json::array{boost::json::object{{"response_range", range_json(kv_store, *requested)}}};
        }
        return result;
    }
    result.m_response["succeeded"] = true;
    if (const auto* requested = object_member(*success, "request_put", "requestPut")) {
        result.m_events.push_back(put(kv_store, *requested));
        result.m_response["responses"] =
            boost::json::array{boost::json::object{{"response_put", boost::json::object{}}}};
        return result;
    }
    if (const auto* requested = object_member(*success, "request_delete_range", "requestDeleteRange")) {
        result.m_events = erase_key(kv_store, base64_decode(string_member(*requested, "key")));
        result.m_response["responses"] =
            boost::json::array{boost::json::object{{"response_delete_range", boost::json::object{}}}};
        return result;
    }
    return std::nullopt;
}

auto grant_lease(store& kv_store, const std::int64_t requested, const duration ttl, const time_point now)
    -> std::int64_t {
    const auto number = requested != 0 ? requested : ++kv_store.m_last_lease_number + 7'000'000'000;
    kv_store.m_leases[number] = {.m_ttl = ttl, .m_expires_at = now + ttl};
    return number;
}

auto renew_lease(store& kv_store, const std::int64_t number, const time_point now) -> std::int64_t {
    const auto found = kv_store.m_leases.find(number);
    if (found == kv_store.m_leases.end()) {
        return 0;
    }
    found->second.m_expires_at = now + found->second.m_ttl;
    return std::chrono::duration_cast<std::chrono::seconds>(found->second.m_ttl).count();
}

auto revoke_lease(store& kv_store, const std::int64_t number) -> std::vector<event> {
    kv_store.m_leases.erase(number);
    std::vector<std::string> keys{};
    for (const auto& [key, found] : kv_store.m_key_values) {
        if (found.m_lease == number) {
            keys.push_back(key);
        }
    }
    std::vector<event> events{};
    for (const auto& key : keys) {
        for (const auto& changed : erase_key(kv_store, key)) {
            events.push_back(changed);
        }
    }
    return events;
}

auto roll_back(store& kv_store, const std::uint64_t writes) -> void {
    for (std::uint64_t done = 0; done < writes && !kv_store.m_undo_log.empty(); ++done) {
        const auto last = kv_store.m_undo_log.back();
        kv_store.m_undo_log.pop_back();
        --kv_store.m_revision;
        if (last.m_previous) {
            kv_store.m_key_values[last.m_key] = *last.m_previous;
        } else {
            kv_store.m_key_values.erase(last.m_key);
        }
    }
}

} // namespace rhubarbwharf::standin::internal
