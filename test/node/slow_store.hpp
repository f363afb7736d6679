#pragma once

#include <memory>
#include <string_view>

#include <net/fixture.hpp>

namespace rhubarbwharf::node {

/*! @brief Makes a handler that answers each request with a page, byte by byte, as over a link that many share.
 * @param page The page; outlives the server. @param interval Time between two bytes. */
[[nodiscard]] inline auto trickle(net::loop& loop, const std::string_view page, const duration interval)
    -> net::http_handler {
    return [&loop, page, interval](const net::http_request&, const std::shared_ptr<net::responder>& responder) {
        responder->start({200U, {{"Content-Type", "application/json"}}, {}});
        auto sent = std::make_shared<std::size_t>(0U);
        loop.every(interval, [responder, sent, page] {
            if (*sent < page.size()) {
                responder->write(page.substr((*sent)++, 1U));
            } else if (*sent == page.size()) {
                ++*sent;
                responder->finish();
            }
        });
    };
}

} // namespace rhubarbwharf::node
