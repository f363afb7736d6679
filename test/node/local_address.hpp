#pragma once

#include <net/fixture.hpp>

namespace rhubarbwharf::node {

/*! @brief Returns a local address on which nothing listens. */
[[nodiscard]] inline auto free_address() -> net::endpoint {
    net::loop loop{};
    net::http_server probe{loop, net::http_limits{},
                           [](const net::http_request&, const std::shared_ptr<net::responder>&) {
                           }};
    net::ensure_listening(probe);
    return net::local(probe.port());
}

} // namespace rhubarbwharf::node
