#include <vector>

#include <rhubarbwharf/net/loop.hpp>

#include "net/server.hpp"

namespace rhubarbwharf::net {

namespace internal {

constexpr auto sweep_period = std::chrono::milliseconds{100};
constexpr auto accept_retry_time = std::chrono::milliseconds{100};
constexpr auto full_retry_time = std::chrono::seconds{1};
constexpr std::size_t most_refused_at_once = 64U;

server_state::server_state(asio::io_context& context, const http_limits limits, http_handler handler)
    : m_context{context}, m_limits{limits}, m_handler{std::move(handler)}, m_acceptor{context}, m_sweep{context} {}

auto server_state::accept() -> void {
    m_acceptor.async_accept([self = shared_from_this()](const boost::system::error_code failure, tcp_socket socket) {
        if (!self->m_acceptor.is_open()) {
            return;
        }
        if (failure) {
            auto timer = std::make_shared<asio::steady_timer>(self->m_context, accept_retry_time);
            timer->async_wait([self, timer](const boost::system::error_code) {
                if (self->m_acceptor.is_open()) {
                    self->accept();
                }
            });
            return;
        }
        const auto open = self->m_sessions.size();
        if (open < self->m_limits.m_connections + most_refused_at_once) {
            const auto made = std::make_shared<session>(std::move(socket), self);
            self->m_sessions.insert(made);
            if (open < self->m_limits.m_connections) {
                made->start();
            } else {
                made->refuse(problem(code::overloaded, outcome::not_run, "too many connections", full_retry_time));
            }
            if (!self->m_sweeping) {
                self->sweep();
            }
        }
        self->accept();
    });
}

auto server_state::sweep() -> void {
    m_sweeping = true;
    m_sweep.expires_after(sweep_period);
    m_sweep.async_wait([self = shared_from_this()](const boost::system::error_code failure) {
        if (failure || self->m_sessions.empty()) {
            self->m_sweeping = false;
            return;
        }
        const auto now = steady_now();
        const std::vector<std::shared_ptr<session>> sessions{self->m_sessions.begin(), self->m_sessions.end()};
        for (const auto& each : sessions) {
            each->check(now);
        }
        self->sweep();
    });
}

} // namespace internal

auto to_string(const close_reason value) noexcept -> std::string_view {
    switch (value) {
    case close_reason::client_left:
        return "client_left";
    case close_reason::slow_reader:
        return "slow_reader";
    case close_reason::queue_full:
        return "queue_full";
    case close_reason::idle:
        return "idle";
    case close_reason::drained:
        return "drained";
    case close_reason::response_ended:
        return "response_ended";
    }
    return {};
}

struct http_server::state : internal::server_state {
    using server_state::server_state;
};

http_server::http_server(loop& owner, const http_limits limits, http_handler handler)
    : m_state{std::make_shared<state>(owner.context(), limits, std::move(handler))} {}

http_server::~http_server() {
    boost::system::error_code ignored{};
    m_state->m_acceptor.close(ignored);
    m_state->m_sweep.cancel();
    m_state->m_on_connection_closed = nullptr;
    const auto sessions = std::move(m_state->m_sessions);
    m_state->m_sessions.clear();
    for (const auto& each : sessions) {
        each->close(close_reason::response_ended);
    }
    m_state->m_handler = nullptr;
}

auto http_server::on_connection_closed(std::function<void(close_reason)> handler) -> void {
    m_state->m_on_connection_closed = std::move(handler);
}

auto http_server::listen(const endpoint& where) -> code {
    boost::system::error_code failure{};
    const auto address = boost::asio::ip::make_address(where.m_address, failure);
    if (failure) {
        return code::connection_failed;
    }
    auto& acceptor = m_state->m_acceptor;
    const boost::asio::ip::tcp::endpoint local{address, where.m_port};
    acceptor.open(local.protocol(), failure);
    if (!failure) {
        acceptor.set_option(boost::asio::socket_base::reuse_address{true}, failure);
    }
    if (!failure) {
        acceptor.bind(local, failure);
    }
    if (!failure) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        boost::system::error_code ignored{};
        acceptor.close(ignored);
        return code::connection_failed;
    }
    m_state->m_port = acceptor.local_endpoint(failure).port();
    m_state->accept();
    return code::ok;
}

auto http_server::port() const noexcept -> std::uint16_t {
    return m_state->m_port;
}

auto http_server::drain() -> void {
    boost::system::error_code ignored{};
    m_state->m_acceptor.close(ignored);
    m_state->m_draining = true;
    const std::vector<std::shared_ptr<internal::session>> sessions{m_state->m_sessions.begin(),
                                                                   m_state->m_sessions.end()};
    for (const auto& each : sessions) {
        each->drain();
    }
}

auto http_server::retire() -> void {
    m_state->m_draining = true;
}

auto http_server::set_limits(const http_limits& limits) -> void {
    m_state->m_limits = limits;
}

auto http_server::connections() const noexcept -> std::size_t {
    return m_state->m_sessions.size();
}

} // namespace rhubarbwharf::net
