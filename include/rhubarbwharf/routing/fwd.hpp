#pragma once

/**
 * @brief Choice of backend server, limits, fair shares, retries, breakers and quarantine.
 */
namespace rhubarbwharf::routing {} // namespace rhubarbwharf::routing
