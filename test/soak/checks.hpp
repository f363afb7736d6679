#pragma once

#include <cstdint>
#include <vector>

#include <soak/clients.hpp>

namespace rhubarbwharf::soak {

/*! @brief Checks that each gateway routes by the newest configuration and not by the previous one. */
auto check_configuration(const std::vector<daemon>& daemons, std::uint64_t newest_version) -> void;

/*! @brief Checks that no attempt ran that may not have run, or more often than it may, and that servers saw no fault.
 */
auto check_executions(const client_statistics& statistics, const standin_site::site_observations& observations) -> void;

} // namespace rhubarbwharf::soak
