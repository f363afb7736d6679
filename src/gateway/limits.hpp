#pragma once

#include <gateway/daemon.hpp>

namespace rhubarbwharf::gateway {

/*! @brief Applies what the headers of a response say of the limit of its backend server.
 * @param sent_at When the request of the response was sent. */
auto on_limit_header(daemon& self, const dispatch::server_load& backend, const net::http_response& head,
                     time_point sent_at) -> void;

/*! @brief Sets this gateway's share in the limit of a backend server, if that has named one. */
auto update_turns(daemon& self, dispatch::server_load& backend) -> void;

/*! @brief Sets the shares at all backend servers anew, as gateways come and go. */
auto update_all_turns(daemon& self) -> void;

} // namespace rhubarbwharf::gateway
