#include "store.hpp"

#include <algorithm>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/evp.h>

#include <platform/decode.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::standin_site {

namespace internal {

constexpr std::uint16_t ok = 200U;
constexpr std::uint16_t not_found = 404U;
constexpr std::uint16_t gone = 410U;
constexpr std::uint16_t compare_failed = 412U;
constexpr std::uint16_t unavailable = 503U;
constexpr duration tick_interval = std::chrono::milliseconds{20};
constexpr std::size_t max_history_size = 4096U;
constexpr duration copy_interval = std::chrono::milliseconds{100};
constexpr std::size_t max_copies = 100U;

namespace {

[[nodiscard]] auto base64_encode(const std::string_view bytes) -> std::string {
    std::string out((bytes.size() + 2U) / 3U * 4U + 1U, '\0');
    const auto count =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(count));
    return out;
}

[[nodiscard]] auto base64_decode(const std::string_view text) -> std::string {
    std::string out(text.size() + 1U, '\0');
    const auto count =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    const auto padding = text.ends_with("==") ? 2U : (text.ends_with('=') ? 1U : 0U);
    out.resize(count < 0 ? 0U : static_cast<std::size_t>(count) - padding);
    return out;
}

[[nodiscard]] auto percent_decode(const std::string_view text) -> std::string {
    std::string out{};
    for (std::size_t index = 0U; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2U < text.size()) {
            out.push_back(static_cast<char>(std::stoi(std::string{text.substr(index + 1U, 2U)}, nullptr, 16)));
            index += 2U;
        } else {
            out.push_back(text[index]);
        }
    }
    return out;
}

[[nodiscard]] auto query_parameter(const net::http_request& request, const std::string_view name) -> std::string {
    return percent_decode(adapter::query_value(request.m_target, name));
}

[[nodiscard]] auto numeric_parameter(const net::http_request& request, const std::string_view name) -> std::uint64_t {
    return std::strtoull(query_parameter(request, name).c_str(), nullptr, 10);
}

[[nodiscard]] auto integer_member(const boost::json::object& object, const char* name) -> std::uint64_t {
    const auto* const found = object.if_contains(name);
    return found != nullptr && found->is_number() ? found->to_number<std::uint64_t>() : 0U;
}

[[nodiscard]] auto path_of(const net::http_request& request) -> std::string_view {
    return std::string_view{request.m_target}.substr(0U, request.m_target.find('?'));
}

} // namespace

} // namespace internal

auto json_response(const std::uint16_t status, const boost::json::object& body) -> net::http_response {
    return {status, {{"Content-Type", "application/json"}}, boost::json::serialize(body)};
}

store::store(net::loop& owner)
    : m_loop{owner}, m_server{owner, net::http_limits{},
                              [this](const net::http_request& request, const responder_ptr& responder) {
                                  on_request(request, responder);
                              }} {
    m_loop.every(internal::tick_interval, [this] { expire_leases_and_watches(); });
    m_loop.every(internal::copy_interval, [this] {
        m_copies.push_back({steady_now(), m_entries, m_leases, m_revision, m_last_lease_id});
        if (m_copies.size() > internal::max_copies) {
            m_copies.pop_front();
        }
    });
}

auto store::listen() -> net::endpoint {
    const auto result = m_server.listen({"127.0.0.1", 0U});
    return result == code::ok ? net::endpoint{"127.0.0.1", m_server.port()} : net::endpoint{};
}

auto store::put(const std::string& key, std::string value) -> std::uint64_t {
    ++m_revision;
    apply_change(key, entry{std::move(value), m_revision, 0U});
    notify_watchers();
    return m_revision;
}

auto store::remove(const std::string& key) -> void {
    if (m_entries.contains(key)) {
        ++m_revision;
        apply_change(key, std::nullopt);
        notify_watchers();
    }
}

auto store::compact() -> void {
    m_history.clear();
    m_compacted_revision = m_revision;
    auto waiting = std::move(m_watchers);
    m_watchers.clear();
    for (const auto& each : waiting) {
        each.m_responder->abort();
    }
}

auto store::restore(const duration age, const duration rewrite_delay) -> void {
    const auto now = steady_now();
    const auto found = std::ranges::find_if(m_copies.rbegin(), m_copies.rend(),
                                            [&](const copy& each) { return each.m_taken_at <= now - age; });
    ensure(found != m_copies.rend(), "a copy of the store is old enough");
    const auto chosen = *found;
    const auto lost = std::exchange(m_entries, chosen.m_entries);
    m_leases = chosen.m_leases;
    for (auto& [id, each] : m_leases) {
        each.m_expires_at += now - chosen.m_taken_at;
    }
    m_revision = chosen.m_revision;
    m_last_lease_id = chosen.m_last_lease_id;
    std::erase_if(m_history, [this](const change& each) { return each.m_revision > m_revision; });
    m_copies.clear();
    ++m_era;
    for (const auto& each : std::exchange(m_watchers, {})) {
        each.m_responder->abort();
    }
    m_loop.after(rewrite_delay, [this, lost, restored = chosen.m_entries] { rewrite(lost, restored); });
}

auto store::rewrite(const std::map<std::string, entry>& lost, const std::map<std::string, entry>& restored) -> void {
    const auto value_in = [](const std::map<std::string, entry>& entries, const std::string& key) {
        const auto found = entries.find(key);
        return found == entries.end() ? std::optional<std::string>{} : found->second.m_value;
    };
    auto keys = lost;
    keys.insert(restored.begin(), restored.end());
    for (const auto& [key, unused] : keys) {
        const auto is_of_platform = key.starts_with("op/") || key.starts_with("servers/");
        const auto wanted = value_in(lost, key);
        const auto copied = value_in(restored, key);
        if (!is_of_platform || wanted == copied || value_in(m_entries, key) != copied) {
            continue;
        }
        if (wanted) {
            put(key, *wanted);
        } else {
            remove(key);
        }
    }
}

auto store::make_answer(const std::uint16_t status, const boost::json::object& body) const -> net::http_response {
    auto out = json_response(status, body);
    if (!m_faults.m_omit_era) {
        out.m_headers.push_back({std::string{adapter::field::store_era}, std::to_string(m_era)});
    }
    return out;
}

auto store::set_faults(const store_faults& faults) -> void {
    m_faults = faults;
    if (m_faults.m_unavailable) {
        auto waiting = std::move(m_watchers);
        m_watchers.clear();
        for (const auto& each : waiting) {
            each.m_responder->respond(make_answer(internal::unavailable, {}));
        }
    }
    if (!m_faults.m_unresponsive) {
        for (const auto& each : std::exchange(m_unanswered, {})) {
            each->abort();
        }
    }
}

auto store::count(const std::string_view prefix) const -> std::size_t {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_entries, [prefix](const auto& each) { return each.first.starts_with(prefix); }));
}

auto store::apply_change(const std::string& key, std::optional<entry> value) -> void {
    m_history.push_back({key, m_revision, value});
    if (m_history.size() > internal::max_history_size) {
        m_compacted_revision = m_history.front().m_revision;
        m_history.pop_front();
    }
    if (value) {
        m_entries[key] = std::move(*value);
    } else {
        m_entries.erase(key);
    }
}

auto store::encode_entry(const std::string& key, const entry& value) -> boost::json::object {
    return {{"key", key},
            {"value", internal::base64_encode(value.m_value)},
            {"revision", value.m_revision},
            {"create-revision", value.m_revision},
            {"lease", value.m_lease_id}};
}

auto store::changes_for(const watcher& recipient) const -> boost::json::object {
    boost::json::array events{};
    for (const auto& each : m_history) {
        if (each.m_revision <= recipient.m_after_revision || !each.m_key.starts_with(recipient.m_prefix)) {
            continue;
        }
        if (each.m_entry) {
            events.push_back(encode_entry(each.m_key, *each.m_entry));
        } else {
            events.push_back(
                boost::json::object{{"key", each.m_key}, {"revision", each.m_revision}, {"removed", true}});
        }
    }
    return {{"events", events}, {"store-revision", m_revision}};
}

auto store::notify_watchers() -> void {
    auto waiting = std::move(m_watchers);
    m_watchers.clear();
    for (auto& each : waiting) {
        auto body = changes_for(each);
        if (body.at("events").as_array().empty()) {
            m_watchers.push_back(std::move(each));
        } else if (m_faults.m_lose_changes) {
            m_lost_watches.push_back(std::move(each.m_responder));
        } else {
            each.m_responder->respond(make_answer(internal::ok, body));
        }
    }
}

auto store::expire_leases_and_watches() -> void {
    const auto now = steady_now();
    std::vector<std::uint64_t> expired{};
    for (const auto& [id, each] : m_leases) {
        if (now >= each.m_expires_at) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        m_leases.erase(id);
        std::vector<std::string> keys{};
        for (const auto& [key, each] : m_entries) {
            if (each.m_lease_id == id) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            remove(key);
        }
    }
    auto waiting = std::move(m_watchers);
    m_watchers.clear();
    for (auto& each : waiting) {
        if (now >= each.m_deadline && m_faults.m_lose_changes) {
            m_lost_watches.push_back(std::move(each.m_responder));
        } else if (now >= each.m_deadline) {
            each.m_responder->respond(make_answer(internal::ok, changes_for(each)));
        } else {
            m_watchers.push_back(std::move(each));
        }
    }
}

auto store::on_request(const net::http_request& request, const responder_ptr& responder) -> void {
    ++m_call_count;
    const auto path = internal::path_of(request);
    if (m_faults.m_unresponsive) {
        m_unanswered.push_back(responder);
    } else if (m_faults.m_unavailable) {
        responder->respond(make_answer(internal::unavailable, {}));
    } else if (path == "/api/kv-range") {
        on_range(request, responder);
    } else if (path == "/api/kv-watch") {
        on_watch(request, responder);
    } else if (path == "/api/kv-txn") {
        on_transaction(request, responder);
    } else {
        on_lease(request, responder);
    }
}

auto store::on_range(const net::http_request& request, const responder_ptr& responder) -> void {
    constexpr std::size_t page_size = 50U;
    const auto prefix = internal::query_parameter(request, "prefix");
    const auto after = internal::query_parameter(request, "after");
    const auto is_serializable = internal::query_parameter(request, "serializable") == "1";
    const auto is_old = is_serializable && m_faults.m_serializable_age > duration::zero() && !m_copies.empty();
    const auto until = steady_now() - m_faults.m_serializable_age;
    const auto found = std::ranges::find_if(m_copies.rbegin(), m_copies.rend(),
                                            [&](const copy& each) { return each.m_taken_at <= until; });
    const auto* const old = is_old ? &(found == m_copies.rend() ? m_copies.front() : *found) : nullptr;
    const auto revision = old == nullptr ? m_revision : old->m_revision;
    boost::json::array items{};
    auto has_more = false;
    for (const auto& [key, each] : old == nullptr ? m_entries : old->m_entries) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
            continue;
        }
        if (items.size() == page_size) {
            has_more = true;
            break;
        }
        items.push_back(encode_entry(key, each));
    }
    responder->respond(
        make_answer(internal::ok, {{"items", items}, {"has-more", has_more}, {"store-revision", revision}}));
}

auto store::on_watch(const net::http_request& request, const responder_ptr& responder) -> void {
    watcher watch{internal::query_parameter(request, "prefix"), internal::numeric_parameter(request, "after"),
                  steady_now() + std::chrono::milliseconds{internal::numeric_parameter(request, "wait-ms")}, responder};
    if (watch.m_after_revision < m_compacted_revision || watch.m_after_revision > m_revision) {
        responder->respond(make_answer(internal::gone, {}));
        return;
    }
    auto body = changes_for(watch);
    if (!body.at("events").as_array().empty()) {
        responder->respond(make_answer(internal::ok, body));
        return;
    }
    m_watchers.push_back(std::move(watch));
}

auto store::on_transaction(const net::http_request& request, const responder_ptr& responder) -> void {
    const auto body = boost::json::parse(request.m_body).as_object();
    for (const auto& each : body.at("expected").as_array()) {
        const auto& condition = each.as_object();
        const auto found = m_entries.find(std::string{condition.at("key").as_string()});
        if ((found == m_entries.end() ? 0U : found->second.m_revision) !=
            internal::integer_member(condition, "revision")) {
            responder->respond(make_answer(internal::compare_failed, {{"items", boost::json::array{}}}));
            return;
        }
    }
    ++m_revision;
    for (const auto& each : body.at("puts").as_array()) {
        const auto& write = each.as_object();
        const auto lease_id = internal::integer_member(write, "lease");
        if (lease_id != 0U && !m_leases.contains(lease_id)) {
            responder->respond(make_answer(internal::not_found, {}));
            return;
        }
        apply_change(std::string{write.at("key").as_string()},
                     entry{internal::base64_decode(write.at("value").as_string()), m_revision, lease_id});
    }
    for (const auto& each : body.at("deletes").as_array()) {
        apply_change(std::string{each.as_string()}, std::nullopt);
    }
    notify_watchers();
    if (m_faults.m_lose_reply_every != 0U && ++m_transaction_count % m_faults.m_lose_reply_every == 0U) {
        responder->abort();
        return;
    }
    responder->respond(make_answer(internal::ok, {{"revision", m_revision}}));
}

auto store::on_lease(const net::http_request& request, const responder_ptr& responder) -> void {
    const auto path = internal::path_of(request);
    const auto id = std::strtoull(std::string{path.substr(path.rfind('/') + 1U)}.c_str(), nullptr, 10);
    if (path == "/api/kv-lease") {
        const auto ttl_ms = internal::integer_member(boost::json::parse(request.m_body).as_object(), "ttl-ms");
        const auto ttl = duration{std::chrono::milliseconds{ttl_ms}};
        m_leases[++m_last_lease_id] = {ttl, steady_now() + ttl};
        responder->respond(make_answer(internal::ok, {{"lease", m_last_lease_id}, {"ttl-ms", ttl_ms}}));
        return;
    }
    const auto found = m_leases.find(id);
    if (found == m_leases.end()) {
        responder->respond(make_answer(internal::not_found, {}));
        return;
    }
    found->second.m_expires_at = request.m_method == "DELETE" ? steady_now() : steady_now() + found->second.m_ttl;
    responder->respond(make_answer(internal::ok, {{"ttl-ms", found->second.m_ttl.count() / 1'000}}));
}

} // namespace rhubarbwharf::standin_site
