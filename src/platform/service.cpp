#include <utility>

#include <rhubarbwharf/core/assert.hpp>

#include "platform/service.hpp"

namespace rhubarbwharf::platform::internal {

constexpr unsigned least_read_attempts = 2U;
constexpr std::uint16_t first_server_error = 500U;

namespace {

[[nodiscard]] auto make_random(const std::uint64_t seed) -> std::mt19937_64 {
    return std::mt19937_64{seed != 0U ? seed : std::random_device{}()};
}

[[nodiscard]] auto first_server(std::mt19937_64& random, const std::size_t count) -> std::size_t {
    ensure(count > 0U, "the platform's service has a server");
    return random() % count;
}

} // namespace

service::service(net::loop& owner, net::http_client& http, client_settings settings)
    : m_loop{owner}, m_http{http}, m_settings{std::move(settings)}, m_random{make_random(m_settings.m_seed)},
      m_reads{make_bucket(m_settings.m_reads_per_second, steady_now())},
      m_writes{make_bucket(m_settings.m_writes_per_second, steady_now())}, m_server{first_server(
                                                                               m_random, m_settings.m_servers.size())} {
}

auto service::server() const -> const net::endpoint& {
    return m_settings.m_servers[m_server];
}

auto service::close() -> void {
    m_closed = true;
    const auto calls = std::exchange(m_watch_calls, {});
    for (const auto& [number, running] : calls) {
        running->cancel();
    }
}

auto service::rotate() -> void {
    m_server = (m_server + 1U) % m_settings.m_servers.size();
}

auto service::after(const duration delay, std::function<void()> task) -> void {
    m_loop.after(delay, [self = shared_from_this(), task = std::move(task)] {
        if (!self->m_closed) {
            task();
        }
    });
}

auto service::call(const kind what, const duration most_wait, std::string path, std::string body, replied done)
    -> void {
    auto& rate = what == kind::read ? m_reads : m_writes;
    const auto wait = reserve(rate, steady_now(), most_wait);
    if (!wait) {
        after(duration::zero(), [done = std::move(done)] { done({code::rate_limited, net::sent::nothing, 0U, {}}); });
        return;
    }
    const auto servers = static_cast<unsigned>(m_settings.m_servers.size());
    const auto attempts = what == kind::read ? std::max(servers, least_read_attempts) : servers;
    if (*wait == duration::zero()) {
        attempt(what, std::move(path), std::move(body), attempts, std::move(done));
        return;
    }
    after(*wait, [self = shared_from_this(), what, path = std::move(path), body = std::move(body), attempts,
                  done = std::move(done)] { self->attempt(what, path, body, attempts, done); });
}

auto service::attempt(const kind what, std::string path, std::string body, const unsigned left, replied done) -> void {
    ++(what == kind::read ? m_counts.m_reads : m_counts.m_writes);
    const net::call_limits limits{m_settings.m_call_time, m_settings.m_call_time, m_settings.m_call_time};
    net::http_request request{"POST", path, {{"Content-Type", "application/json"}}, body, {}};
    auto on_end = [self = shared_from_this(), what, path = std::move(path), body = std::move(body), left,
                   done = std::move(done)](const net::call_end& end, net::http_response response) {
        if (self->m_closed) {
            return;
        }
        auto answer = self->on_answer(end, std::move(response));
        const auto again = what == kind::read || answer.m_sent == net::sent::nothing;
        if (answer.m_code != code::ok && again && left > 1U) {
            self->attempt(what, path, body, left - 1U, done);
        } else {
            done(std::move(answer));
        }
    };
    m_http.fetch(server(), std::move(request), limits, std::move(on_end));
}

auto service::on_answer(const net::call_end& end, net::http_response response) -> reply {
    if (end.m_code == code::ok && response.m_status < first_server_error) {
        m_last_answer = steady_now();
        return {code::ok, net::sent::some, response.m_status, std::move(response.m_body)};
    }
    ++m_counts.m_failures;
    rotate();
    const auto reached = end.m_code == code::ok ? net::sent::some : end.m_sent;
    return {code::platform_unavailable, reached, response.m_status, {}};
}

} // namespace rhubarbwharf::platform::internal
