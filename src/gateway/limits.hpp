#pragma once

#include <gateway/daemon.hpp>

namespace rhubarbwharf::gateway {

/*! @brief Applies what the headers of a response say of the limit of its backend server.
 * @param sent_at When the request of the response was sent. */
auto on_limit_header(daemon& self, const dispatch::server_load& backend, const net::http_response& head,
                     time_point sent_at) -> void;

/*! @brief Returns what cold servers of a service take, by the configuration in force. */
[[nodiscard]] auto warm_up_terms_of(const daemon& self, std::string_view service) -> fleet::warm_up_terms;

/*! @brief Records that a backend server may have started, and that no gateway has used it since. */
auto begin_warm_up(daemon& self, dispatch::server_load& backend) -> void;

/*! @brief Sets this gateway's share in the limit of a backend server, if that has named one or is cold. */
auto update_turns(daemon& self, dispatch::server_load& backend) -> void;

/*! @brief Sets the shares at all backend servers anew, as gateways come and go. */
auto update_all_turns(daemon& self) -> void;

} // namespace rhubarbwharf::gateway
