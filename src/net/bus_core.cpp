#include <algorithm>
#include <cerrno>

#include <boost/asio/post.hpp>

#include <rhubarbwharf/core/assert.hpp>

#include "net/bus_core.hpp"

namespace rhubarbwharf::net::internal {

constexpr int io_threads = 1;
constexpr int off = 0;
constexpr int on = 1;
constexpr int handshake_ms = 5'000;
constexpr int reconnect_least_ms = 100;
constexpr int reconnect_most_ms = 5'000;
constexpr int unacknowledged_most_ms = 10'000;
constexpr std::size_t most_name_bytes = 255U;
constexpr std::size_t messages_at_once = 256U;
constexpr std::size_t most_held_messages = 64U;
constexpr auto hold_time = std::chrono::seconds{2};
constexpr auto flush_period = std::chrono::milliseconds{10};

namespace {

[[nodiscard]] auto to_milliseconds(const duration time) -> int {
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

[[nodiscard]] auto to_address(const endpoint& where) -> std::string {
    return "tcp://" + to_string(where);
}

/*! @brief Runs an operation on a socket again for as long as a signal interrupts it before it has had an effect. */
auto uninterrupted(const auto& operation) {
    for (;;) {
        try {
            return operation();
        } catch (const zmq::error_t& error) {
            if (error.num() != EINTR) {
                throw;
            }
        }
    }
}

} // namespace

watched_socket::watched_socket(zmq::context_t& context, asio::io_context& executor)
    : m_socket{context, zmq::socket_type::router}, m_descriptor{executor, m_socket.get(zmq::sockopt::fd)} {}

bus_core::bus_core(asio::io_context& executor, std::string name, const bus_limits limits, bus::handler on_message)
    : m_executor{executor}, m_name{std::move(name)}, m_limits{limits}, m_on_message{std::move(on_message)},
      m_context{io_threads}, m_listener{m_context, executor}, m_connector{m_context, executor}, m_flush_timer{
                                                                                                    executor} {
    ensure(!m_name.empty() && m_name.size() <= most_name_bytes && m_name.front() != '\0',
           "a peer's name is 1 to 255 bytes");
    configure(m_listener.m_socket);
    configure(m_connector.m_socket);
    const auto heartbeat = to_milliseconds(m_limits.m_heartbeat);
    m_connector.m_socket.set(zmq::sockopt::heartbeat_ivl, heartbeat);
    m_connector.m_socket.set(zmq::sockopt::heartbeat_timeout, heartbeat);
    m_connector.m_socket.set(zmq::sockopt::heartbeat_ttl, 2 * heartbeat);
    m_connector.m_socket.set(zmq::sockopt::immediate, on);
}

auto bus_core::configure(zmq::socket_t& socket) const -> void {
    socket.set(zmq::sockopt::routing_id, m_name);
    socket.set(zmq::sockopt::router_mandatory, on);
    socket.set(zmq::sockopt::router_handover, on);
    socket.set(zmq::sockopt::linger, off);
    socket.set(zmq::sockopt::ipv6, on);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(m_limits.m_message_bytes));
    socket.set(zmq::sockopt::sndhwm, m_limits.m_queue_messages);
    socket.set(zmq::sockopt::rcvhwm, m_limits.m_queue_messages);
    socket.set(zmq::sockopt::handshake_ivl, handshake_ms);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_least_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_most_ms);
    socket.set(zmq::sockopt::tcp_maxrt, unacknowledged_most_ms);
}

auto bus_core::start() -> void {
    wait(m_listener);
    wait(m_connector);
}

auto bus_core::close() -> void {
    m_closed = true;
    m_on_message = nullptr;
    m_flush_timer.cancel();
    m_listener.m_descriptor.release();
    m_connector.m_descriptor.release();
    m_listener.m_socket.close();
    m_connector.m_socket.close();
    m_context.close();
}

auto bus_core::listen(const endpoint& where) -> code {
    try {
        uninterrupted([&] { m_listener.m_socket.bind(to_address(where)); });
        const auto bound = uninterrupted([&] { return m_listener.m_socket.get(zmq::sockopt::last_endpoint); });
        m_port = static_cast<std::uint16_t>(std::stoul(bound.substr(bound.rfind(':') + 1U)));
    } catch (const zmq::error_t&) {
        return code::connection_failed;
    }
    return code::ok;
}

auto bus_core::connect(const std::string_view name, const endpoint& where) -> void {
    const auto address = to_address(where);
    if (const auto known = m_peers.find(name); known != m_peers.end() && known->second.m_address == address) {
        return;
    }
    disconnect(name);
    const auto same = std::ranges::find_if(m_peers, [&](const auto& each) { return each.second.m_address == address; });
    if (same != m_peers.end()) {
        disconnect(std::string{same->first});
    }
    try {
        uninterrupted([&] { m_connector.m_socket.connect(address); });
        m_peers.emplace(name, peer{address, {}, steady_now() + hold_time});
        drain_later();
    } catch (const zmq::error_t&) {
        return;
    }
}

auto bus_core::disconnect(const std::string_view name) -> void {
    const auto known = m_peers.find(name);
    if (known == m_peers.end()) {
        return;
    }
    const auto address = std::move(known->second.m_address);
    m_peers.erase(known);
    try {
        uninterrupted([&] { m_connector.m_socket.disconnect(address); });
        drain_later();
    } catch (const zmq::error_t&) {
        return;
    }
}

auto bus_core::send(const std::string_view name, const std::string_view bytes) -> code {
    const auto known = m_peers.find(name);
    const auto holds = known != m_peers.end() && !known->second.m_held.empty();
    const auto done = holds ? code::connection_failed : send_now(name, bytes);
    if (done != code::connection_failed || known == m_peers.end()) {
        return done;
    }
    if (!holds && steady_now() >= known->second.m_hold_until) {
        return done;
    }
    if (known->second.m_held.size() >= most_held_messages) {
        return code::send_queue_full;
    }
    known->second.m_held.emplace_back(bytes);
    flush_later();
    return code::ok;
}

auto bus_core::send_now(const std::string_view name, const std::string_view bytes) -> code {
    const auto known = m_peers.find(name);
    if (known == m_peers.end()) {
        return send_on(m_listener.m_socket, name, bytes);
    }
    const auto own = send_on(m_connector.m_socket, name, bytes);
    if (own == code::ok) {
        known->second.m_hold_until = time_point{};
    }
    return own == code::connection_failed ? send_on(m_listener.m_socket, name, bytes) : own;
}

auto bus_core::send_on(zmq::socket_t& socket, const std::string_view name, const std::string_view bytes) -> code {
    constexpr auto first = zmq::send_flags::dontwait | zmq::send_flags::sndmore;
    try {
        if (!uninterrupted([&] { return socket.send(zmq::const_buffer{name.data(), name.size()}, first); })) {
            drain_if_ready(socket);
            return code::send_queue_full;
        }
        const auto last = uninterrupted([&] {
            return socket.send(zmq::const_buffer{bytes.data(), bytes.size()}, zmq::send_flags::dontwait);
        });
        ensure(last.has_value(), "a message whose first frame was taken is taken whole");
    } catch (const zmq::error_t&) {
        drain_if_ready(socket);
        return code::connection_failed;
    }
    drain_if_ready(socket);
    m_sent_bytes += bytes.size();
    return code::ok;
}

auto bus_core::drain_if_ready(zmq::socket_t& socket) -> void {
    if ((uninterrupted([&] { return socket.get(zmq::sockopt::events); }) & ZMQ_POLLIN) != 0) {
        drain_later();
    }
}

auto bus_core::flush_later() -> void {
    if (m_flush_armed) {
        return;
    }
    m_flush_armed = true;
    m_flush_timer.expires_after(flush_period);
    m_flush_timer.async_wait([self = shared_from_this()](const boost::system::error_code failure) {
        self->m_flush_armed = false;
        if (!failure && !self->m_closed) {
            self->flush_all();
        }
    });
}

auto bus_core::flush_all() -> void {
    const auto now = steady_now();
    auto waits = false;
    for (auto& [name, known] : m_peers) {
        waits = !flush(name, known, now) || waits;
    }
    if (waits) {
        flush_later();
    }
}

auto bus_core::flush(const std::string& name, peer& known, const time_point now) -> bool {
    std::size_t gone{};
    while (gone < known.m_held.size() && send_now(name, known.m_held[gone]) == code::ok) {
        ++gone;
    }
    known.m_held.erase(known.m_held.begin(), known.m_held.begin() + static_cast<std::ptrdiff_t>(gone));
    if (now >= known.m_hold_until && gone == 0U) {
        known.m_held.clear();
    }
    return known.m_held.empty();
}

auto bus_core::wait(watched_socket& watched) -> void {
    watched.m_descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                    [self = shared_from_this(), &watched](const boost::system::error_code failure) {
                                        if (failure || self->m_closed) {
                                            return;
                                        }
                                        self->drain();
                                        if (!self->m_closed) {
                                            self->wait(watched);
                                        }
                                    });
}

auto bus_core::drain_later() -> void {
    if (m_drain_posted || m_closed) {
        return;
    }
    m_drain_posted = true;
    asio::post(m_executor, [self = shared_from_this()] {
        self->m_drain_posted = false;
        self->drain();
    });
}

auto bus_core::drain() -> void {
    const auto listener_left = !m_closed && drain(m_listener.m_socket);
    const auto connector_left = !m_closed && drain(m_connector.m_socket);
    if (listener_left || connector_left) {
        drain_later();
    }
}

auto bus_core::drain(zmq::socket_t& socket) -> bool {
    for (std::size_t count = 0U; count < messages_at_once; ++count) {
        if (m_closed || !receive(socket)) {
            return false;
        }
    }
    return true;
}

auto bus_core::receive(zmq::socket_t& socket) -> bool {
    const auto receive_part = [&socket](zmq::message_t& part) {
        return uninterrupted([&] { return socket.recv(part, zmq::recv_flags::dontwait); });
    };
    if (!receive_part(m_sender)) {
        return false;
    }
    auto frames = 0;
    auto more = m_sender.more();
    while (more && receive_part(m_bytes)) {
        more = m_bytes.more();
        ++frames;
    }
    m_received_bytes += m_bytes.size();
    if (frames == 1 && m_on_message) {
        m_on_message(m_sender.to_string_view(), m_bytes.to_string_view());
    }
    return true;
}

} // namespace rhubarbwharf::net::internal
