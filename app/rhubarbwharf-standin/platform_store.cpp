#include "platform_store.hpp"

#include <algorithm>

#include <openssl/evp.h>

#include "standin.hpp"

namespace rhubarbwharf::standin::internal {

constexpr std::size_t undo_kept = 16'384;

[[nodiscard]] auto encode(const std::string_view bytes) -> std::string {
    std::string text(4U * ((bytes.size() + 2U) / 3U), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return text;
}

auto decode(const std::string_view text) -> std::string {
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

[[nodiscard]] auto row_json(const row& found) -> boost::json::object {
    boost::json::object value{{"key", encode(found.m_key)},
                              {"create_revision", std::to_string(found.m_created)},
                              {"mod_revision", std::to_string(found.m_modified)},
                              {"version", std::to_string(found.m_version)}};
    if (!found.m_value.empty()) {
        value["value"] = encode(found.m_value);
    }
    if (found.m_lease != 0) {
        value["lease"] = std::to_string(found.m_lease);
    }
    return value;
}

auto to_json(const event& changed) -> boost::json::object {
    if (!changed.m_deleted) {
        return {{"kv", row_json(changed.m_row)}};
    }
    return {{"type", "DELETE"},
            {"kv", {{"key", encode(changed.m_row.m_key)}, {"mod_revision", std::to_string(changed.m_row.m_modified)}}}};
}

auto range_json(const store& held, const boost::json::object& body) -> boost::json::object {
    const auto first = decode(text_of(body, "key"));
    const auto end = decode(text_of(body, "range_end"));
    boost::json::array rows{};
    for (auto found = held.m_rows.lower_bound(first); found != held.m_rows.end(); ++found) {
        if (!in_range(found->first, first, end)) {
            break;
        }
        rows.push_back(row_json(found->second));
    }
    if (rows.empty()) {
        return {};
    }
    const auto count = rows.size();
    return {{"kvs", std::move(rows)}, {"count", std::to_string(count)}};
}

auto remember(store& held, const std::string& key) -> void {
    const auto found = held.m_rows.find(key);
    held.m_undo.push_back(
        {.m_key = key, .m_before = found == held.m_rows.end() ? std::nullopt : std::optional<row>{found->second}});
    if (held.m_undo.size() > undo_kept) {
        held.m_undo.pop_front();
    }
    ++held.m_revision;
}

[[nodiscard]] auto put(store& held, const boost::json::object& body) -> event {
    const auto key = decode(text_of(body, "key"));
    remember(held, key);
    auto& changed = held.m_rows[key];
    changed.m_key = key;
    changed.m_value = decode(text_of(body, "value"));
    changed.m_created = changed.m_version == 0 ? held.m_revision : changed.m_created;
    changed.m_modified = held.m_revision;
    changed.m_lease = number_of(body, "lease");
    ++changed.m_version;
    return {.m_row = changed, .m_deleted = false};
}

[[nodiscard]] auto erase(store& held, const std::string& key) -> std::vector<event> {
    if (!held.m_rows.contains(key)) {
        return {};
    }
    remember(held, key);
    held.m_rows.erase(key);
    row gone{};
    gone.m_key = key;
    gone.m_modified = held.m_revision;
    return {{.m_row = gone, .m_deleted = true}};
}

[[nodiscard]] auto holds(const store& held, const boost::json::object& compare) -> bool {
    const auto found = held.m_rows.find(decode(text_of(compare, "key")));
    const auto exists = found != held.m_rows.end();
    if (text_of(compare, "target") == "VERSION") {
        return number_of(compare, "version") == (exists ? static_cast<std::int64_t>(found->second.m_version) : 0);
    }
    return number_of(compare, "mod_revision") == (exists ? static_cast<std::int64_t>(found->second.m_modified) : 0);
}

/*! @brief Returns the only element of an array member, or null. */
[[nodiscard]] auto only(const boost::json::object& body, const std::string_view name) -> const boost::json::object* {
    const auto* rows = body.if_contains(name);
    if (rows == nullptr || !rows->is_array() || rows->get_array().size() != 1U ||
        !rows->get_array().front().is_object()) {
        return nullptr;
    }
    return &rows->get_array().front().get_object();
}

[[nodiscard]] auto member(const boost::json::object& body, const std::string_view snake, const std::string_view camel)
    -> const boost::json::object* {
    for (const auto name : {snake, camel}) {
        if (const auto* found = body.if_contains(name); found != nullptr && found->is_object()) {
            return &found->get_object();
        }
    }
    return nullptr;
}

[[nodiscard]] auto is_compare(const boost::json::object& compare) -> bool {
    const auto target = text_of(compare, "target");
    const auto result = text_of(compare, "result");
    return (target == "MOD" || target == "VERSION") && (result.empty() || result == "EQUAL");
}

auto run_transaction(store& held, const boost::json::object& body) -> std::optional<transaction_end> {
    const auto* compare = only(body, "compare");
    const auto* success = only(body, "success");
    const auto* failure = only(body, "failure");
    if (compare == nullptr || success == nullptr || !is_compare(*compare)) {
        return std::nullopt;
    }
    transaction_end ended{};
    if (!held.m_ignores_compare && !holds(held, *compare)) {
        const auto* wanted = failure == nullptr ? nullptr : member(*failure, "request_range", "requestRange");
        if (wanted != nullptr) {
            ended.m_answer["responses"] =
                boost::json::array{boost::json::object{{"response_range", range_json(held, *wanted)}}};
        }
        return ended;
    }
    ended.m_answer["succeeded"] = true;
    if (const auto* wanted = member(*success, "request_put", "requestPut")) {
        ended.m_events.push_back(put(held, *wanted));
        ended.m_answer["responses"] = boost::json::array{boost::json::object{{"response_put", boost::json::object{}}}};
        return ended;
    }
    if (const auto* wanted = member(*success, "request_delete_range", "requestDeleteRange")) {
        ended.m_events = erase(held, decode(text_of(*wanted, "key")));
        ended.m_answer["responses"] =
            boost::json::array{boost::json::object{{"response_delete_range", boost::json::object{}}}};
        return ended;
    }
    return std::nullopt;
}

auto grant(store& held, const std::int64_t wanted, const duration ttl, const time_point now) -> std::int64_t {
    const auto number = wanted != 0 ? wanted : ++held.m_last_lease + 7'000'000'000;
    held.m_leases[number] = {.m_ttl = ttl, .m_end = now + ttl};
    return number;
}

auto keep_alive(store& held, const std::int64_t number, const time_point now) -> std::int64_t {
    const auto found = held.m_leases.find(number);
    if (found == held.m_leases.end()) {
        return 0;
    }
    found->second.m_end = now + found->second.m_ttl;
    return std::chrono::duration_cast<std::chrono::seconds>(found->second.m_ttl).count();
}

auto end_lease(store& held, const std::int64_t number) -> std::vector<event> {
    held.m_leases.erase(number);
    std::vector<std::string> keys{};
    for (const auto& [key, found] : held.m_rows) {
        if (found.m_lease == number) {
            keys.push_back(key);
        }
    }
    std::vector<event> events{};
    for (const auto& key : keys) {
        for (const auto& changed : erase(held, key)) {
            events.push_back(changed);
        }
    }
    return events;
}

auto restore(store& held, const std::uint64_t writes) -> void {
    for (std::uint64_t done = 0; done < writes && !held.m_undo.empty(); ++done) {
        const auto last = held.m_undo.back();
        held.m_undo.pop_back();
        --held.m_revision;
        if (last.m_before) {
            held.m_rows[last.m_key] = *last.m_before;
        } else {
            held.m_rows.erase(last.m_key);
        }
    }
}

} // namespace rhubarbwharf::standin::internal
