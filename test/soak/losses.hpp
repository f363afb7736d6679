#pragma once

#include <string>
#include <vector>

#include <soak/clients.hpp>

namespace rhubarbwharf::soak {

/*! @brief Requests that were cut or late, by reason. */
struct loss_report {
    /*! @brief One line for each request that was lost or late without an excuse. */
    std::vector<std::string> m_lines{};
    std::size_t m_disturbed{};
    std::size_t m_crossed{};
    std::size_t m_broken_off{};
    std::size_t m_timed_out{};
};

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
 * @return The requests that were found, and how many were excused for which reason.
 */
[[nodiscard]] auto find_losses(const client_statistics& statistics, const std::vector<daemon>& daemons,
                               standin_site::site& platform, duration shortest_timeout) -> loss_report;

} // namespace rhubarbwharf::soak
