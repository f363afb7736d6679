#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include <rhubarbwharf/net/bus.hpp>

namespace rhubarbwharf::net::internal {

namespace asio = boost::asio;

/*! @brief A peer that the own process connects to. */
struct peer {
    std::string m_address{};
    /*! @brief Messages sent before the first connection was up. */
    std::vector<std::string> m_held{};
    /*! @brief Until when messages are held for a first connection. */
    time_point m_hold_until{};
};

/*! @brief ZeroMQ socket and the descriptor that wakes the loop for it; the descriptor belongs to the socket. */
struct watched_socket {
    watched_socket(zmq::context_t& context, asio::io_context& executor);

    zmq::socket_t m_socket;
    asio::posix::stream_descriptor m_descriptor;
};

/*! @brief State of a bus, kept alive by its pending operations. */
class bus_core : public std::enable_shared_from_this<bus_core> {
public:
    bus_core(asio::io_context& executor, std::string name, bus_limits limits, bus::handler on_message);

    /*! @brief Starts to wait for messages. */
    auto start() -> void;

    /*! @brief Ends both sockets; later wakes do nothing. */
    auto close() -> void;

    [[nodiscard]] auto listen(const endpoint& where) -> code;
    auto connect(std::string_view name, const endpoint& where) -> void;
    auto disconnect(std::string_view name) -> void;
    [[nodiscard]] auto send(std::string_view name, std::string_view bytes) -> code;

    std::size_t m_sent_bytes{};
    std::size_t m_received_bytes{};
    std::uint16_t m_port{};

private:
    auto configure(zmq::socket_t& socket) const -> void;
    auto wait(watched_socket& watched) -> void;
    auto drain_later() -> void;

    /*! @brief Drains later if a call may have taken the wake of a message that waits. @param socket The socket. */
    auto drain_if_ready(zmq::socket_t& socket) -> void;
    auto drain() -> void;
    auto drain(zmq::socket_t& socket) -> bool;
    [[nodiscard]] auto receive(zmq::socket_t& socket) -> bool;
    [[nodiscard]] auto send_on(zmq::socket_t& socket, std::string_view name, std::string_view bytes) -> code;
    [[nodiscard]] auto send_now(std::string_view name, std::string_view bytes) -> code;
    [[nodiscard]] auto flush(const std::string& name, peer& known, time_point now) -> bool;
    auto flush_all() -> void;
    auto flush_later() -> void;

    asio::io_context& m_executor;
    std::string m_name{};
    bus_limits m_limits{};
    bus::handler m_on_message{};
    zmq::context_t m_context;
    watched_socket m_listener;
    watched_socket m_connector;
    asio::steady_timer m_flush_timer;
    std::map<std::string, peer, std::less<>> m_peers{};
    zmq::message_t m_sender{};
    zmq::message_t m_bytes{};
    bool m_drain_posted{};
    bool m_flush_armed{};
    bool m_closed{};
};

} // namespace rhubarbwharf::net::internal
