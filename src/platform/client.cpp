#include <rhubarbwharf/platform/client.hpp>

#include "platform/service.hpp"
#include "platform/wire.hpp"

namespace rhubarbwharf::platform {

namespace internal {

constexpr std::uint16_t status_ok = 200U;
constexpr std::uint16_t status_not_found = 404U;

namespace {

[[nodiscard]] auto code_of(const reply& answer) -> code {
    if (answer.m_code != code::ok || answer.m_status == status_ok) {
        return answer.m_code;
    }
    return answer.m_status == status_not_found ? code::lease_lost : code::platform_unavailable;
}

[[nodiscard]] auto renewal_of(const reply& answer) -> code {
    const auto value = code_of(answer);
    if (value != code::ok) {
        return value;
    }
    const auto left = parse_keep_alive(answer.m_body);
    if (!left) {
        return code::platform_unavailable;
    }
    return left->count() > 0 ? code::ok : code::lease_lost;
}

[[nodiscard]] auto removal_of(const std::string& key, const reply& answer) -> put_outcome {
    const auto value = code_of(answer);
    const auto txn = value == code::ok ? parse_txn(answer.m_body) : std::nullopt;
    if (!txn) {
        const auto is_unsent = answer.m_code != code::ok && answer.m_sent == net::sent::nothing;
        return {value == code::ok ? code::platform_unavailable : value,
                is_unsent ? outcome::not_run : outcome::unknown,
                {}};
    }
    if (txn->m_succeeded || txn->m_keys.empty()) {
        return {code::ok, outcome::unknown, key_value{key, {}, 0U, 0}};
    }
    return {code::compare_failed, outcome::not_run, txn->m_keys.front()};
}

} // namespace

} // namespace internal

struct client::state {
    std::shared_ptr<internal::service> m_service{};

    auto call(const internal::kind what, std::string path, std::string body, internal::service::replied done) const
        -> void {
        m_service->call(what, m_service->m_settings.m_call_time, std::move(path), std::move(body), std::move(done));
    }
};

client::client(net::loop& owner, net::http_client& http, client_settings settings)
    : m_state{std::make_shared<state>()} {
    m_state->m_service = std::make_shared<internal::service>(owner, http, std::move(settings));
}

client::~client() {
    m_state->m_service->close();
}

auto client::get(const std::string_view key, got done) -> void {
    m_state->call(internal::kind::read, "/v3/kv/range", internal::range_body(key, false),
                  [key = std::string{key}, done = std::move(done)](const internal::reply& answer) {
                      const auto value = internal::code_of(answer);
                      auto range = value == code::ok ? internal::parse_range(answer.m_body) : std::nullopt;
                      if (!range) {
                          done(value == code::ok ? code::platform_unavailable : value, {});
                      } else if (range->m_keys.empty()) {
                          done(code::ok, {key, {}, 0U, 0});
                      } else {
                          done(code::ok, std::move(range->m_keys.front()));
                      }
                  });
}

auto client::list(const std::string_view prefix, listed done) -> void {
    m_state->call(internal::kind::read, "/v3/kv/range", internal::range_body(prefix, true),
                  [done = std::move(done)](const internal::reply& answer) {
                      const auto value = internal::code_of(answer);
                      auto range = value == code::ok ? internal::parse_range(answer.m_body) : std::nullopt;
                      if (range) {
                          done(code::ok, std::move(range->m_keys));
                      } else {
                          done(value == code::ok ? code::platform_unavailable : value, {});
                      }
                  });
}

auto client::put(const std::string_view key, const std::string_view value, const revision expected,
                 const lease_number lease, put_done done) -> void {
    internal::start_put(m_state->m_service, {std::string{key}, std::string{value}, expected, lease}, std::move(done));
}

auto client::remove(const std::string_view key, const revision expected, put_done done) -> void {
    m_state->call(internal::kind::write, "/v3/kv/txn", internal::delete_body(key, expected),
                  [key = std::string{key}, done = std::move(done)](const internal::reply& answer) {
                      done(internal::removal_of(key, answer));
                  });
}

auto client::grant(const duration ttl, leased done) -> void {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(ttl);
    m_state->call(internal::kind::write, "/v3/lease/grant", internal::grant_body(seconds),
                  [done = std::move(done)](const internal::reply& answer) {
                      const auto value = internal::code_of(answer);
                      const auto lease = value == code::ok ? internal::parse_grant(answer.m_body) : std::nullopt;
                      if (lease) {
                          done(code::ok, *lease);
                      } else {
                          done(value == code::ok ? code::platform_unavailable : value, 0);
                      }
                  });
}

auto client::keep_alive(const lease_number lease, std::function<void(code)> done) -> void {
    m_state->call(internal::kind::read, "/v3/lease/keepalive", internal::lease_body(lease),
                  [done = std::move(done)](const internal::reply& answer) { done(internal::renewal_of(answer)); });
}

auto client::revoke(const lease_number lease, std::function<void(code)> done) -> void {
    m_state->call(internal::kind::write, "/v3/lease/revoke", internal::lease_body(lease),
                  [done = std::move(done)](const internal::reply& answer) { done(internal::code_of(answer)); });
}

auto client::watch(const std::string_view key, const bool is_prefix, changed handler) -> void {
    internal::start_watch(m_state->m_service, std::string{key}, is_prefix, std::move(handler));
}

auto client::counts() const noexcept -> const call_counts& {
    return m_state->m_service->m_counts;
}

auto client::last_answer() const noexcept -> time_point {
    return m_state->m_service->m_last_answer;
}

} // namespace rhubarbwharf::platform
