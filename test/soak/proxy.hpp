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

/*! @brief What a proxy does to the connections through it. */
enum class link_fault : std::uint8_t {
    none,
    /*! @brief Each part is passed on late. */
    delay,
    /*! @brief New and open connections are reset. */
    reset,
    /*! @brief What the server says is dropped; what the client says goes through. */
    drop_responses,
    /*! @brief Nothing goes through either way, and nothing is closed. */
    drop_all,
};

/*! @brief Loopback proxy to one server; belongs to one loop's thread. */
class proxy {
public:
    /*! @brief Starts listening. @param owner The loop; outlives the proxy. @param server The server. */
    proxy(net::loop& owner, net::endpoint server);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy(proxy&&) = delete;
    auto operator=(const proxy&) -> proxy& = delete;
    auto operator=(proxy&&) -> proxy& = delete;

    [[nodiscard]] auto address() const -> net::endpoint;

    /*! @brief Sets what happens from now on. @param kind The harm. */
    auto set_fault(link_fault kind) -> void;

private:
    struct state;
    struct connection;
    std::shared_ptr<state> m_state;
};

} // namespace rhubarbwharf::soak
