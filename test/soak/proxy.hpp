#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <set>

#include <boost/asio/ip/tcp.hpp>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>

namespace rhubarbwharf::soak {

/*! @brief Fault that a proxy applies to the connections through it. */
enum class link_fault : std::uint8_t {
    none,
    /*! @brief Forwards data after an added delay. */
    delay,
    /*! @brief Resets new and open connections. */
    reset,
    /*! @brief Drops data from the server; data from the client is forwarded. */
    drop_responses,
    /*! @brief Drops data in both directions and keeps the connections open. */
    drop_all,
};

/*! @brief TCP proxy on the loopback interface; all but `address` must be called on the thread of its event loop. */
class proxy {
public:
    /**
     * @brief Starts listening on a free port.
     * @param owner Event loop; must outlive the proxy.
     * @param server Address to which connections are forwarded.
     */
    proxy(net::loop& owner, net::endpoint server);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy(proxy&&) = delete;
    auto operator=(const proxy&) -> proxy& = delete;
    auto operator=(proxy&&) -> proxy& = delete;

    [[nodiscard]] auto address() const -> net::endpoint;

    /*! @brief Replaces the fault; applies to open and to new connections. */
    auto set_fault(link_fault fault) -> void;

private:
    struct state;
    struct connection;
    std::shared_ptr<state> m_state;
};

} // namespace rhubarbwharf::soak
