#pragma once

#include <string>
#include <vector>

#include <soak/clients.hpp>

namespace rhubarbwharf::soak {

/**
 * @brief Finds the requests that gateways lost, or answered more than 0.5 s after their deadline.
 *
 * A request that was cut after some of its bytes were sent is lost, unless
 * - the soak killed, froze or started its gateway in that time,
 * - it reached no server, and was cut at once, so that it crossed the close of its connection,
 * - a server broke off the response, and no other server held the request after that,
 * - or its stream was cut when its timeout had passed.
 *
 * @param statistics Results of the clients.
 * @param daemons Daemons with the disturbances that the soak caused.
 * @param platform Site with the servers' records of the requests.
 * @param shortest_timeout Shortest timeout that any configuration, or the request itself, allows.
 * @return One line for each request.
 */
[[nodiscard]] auto find_losses(const client_statistics& statistics, const std::vector<daemon>& daemons,
                               standin_site::site& platform, duration shortest_timeout) -> std::vector<std::string>;

} // namespace rhubarbwharf::soak
