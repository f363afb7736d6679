#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/fwd.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::net {

/*! @brief Limits of the bus of one process. */
struct bus_limits {
    /*! @brief Largest message taken; a sender of a larger one is cut off. */
    std::size_t m_message_bytes{std::size_t{8} * 1024U * 1024U};
    /*! @brief Messages that may wait for one peer. */
    int m_queue_messages{4096};
    /*! @brief Time between heartbeats to a peer; one that does not answer within it is taken for dead. */
    duration m_heartbeat{std::chrono::seconds{10}};
};

/**
 * @brief Messages between the system's processes over ZeroMQ.
 *
 * One ROUTER socket listens and one connects; peers are named by instance. A message goes out over the own
 * connection to the peer if there is one, else over the connection that the peer made. Messages of one peer
 * come in order, may be lost when a connection breaks, and are never doubled by the bus.
 */
class bus {
public:
    /*! @brief Gets the peer's name and the bytes; the views end with the call. */
    using handler = std::function<void(std::string_view, std::string_view)>;

    /**
     * @brief Makes a bus that does not listen yet.
     * @param owner The loop; outlives the bus.
     * @param name Own instance name, which peers see.
     * @param limits The limits.
     * @param on_message What is called with each message.
     */
    bus(loop& owner, std::string name, bus_limits limits, handler on_message);
    ~bus();

    bus(const bus&) = delete;
    bus(bus&&) = delete;
    auto operator=(const bus&) -> bus& = delete;
    auto operator=(bus&&) -> bus& = delete;

    /*! @brief Starts listening. @param where The address; port 0 takes a free one. @return `ok` or `connection_failed`.
     */
    [[nodiscard]] auto listen(const endpoint& where) -> code;

    /*! @brief Returns the port in use. @return The port, or 0. */
    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /**
     * @brief Connects to a peer, or does nothing if connected to that address already; another address replaces it.
     * @param peer The peer's instance name.
     * @param where The peer's address.
     */
    auto connect(std::string_view peer, const endpoint& where) -> void;

    /*! @brief Ends the own connection to a peer. @param peer The peer's instance name. */
    auto disconnect(std::string_view peer) -> void;

    /**
     * @brief Sends a message.
     * @param peer The peer's instance name.
     * @param bytes The message; copied before the call returns.
     * @return `ok` if queued; `connection_failed` if there is no connection, `send_queue_full`: nothing was sent.
     */
    [[nodiscard]] auto send(std::string_view peer, std::string_view bytes) -> code;

    /*! @brief Returns the bytes sent so far. @return The count. */
    [[nodiscard]] auto sent_bytes() const noexcept -> std::size_t;

    /*! @brief Returns the bytes received so far. @return The count. */
    [[nodiscard]] auto received_bytes() const noexcept -> std::size_t;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace rhubarbwharf::net
