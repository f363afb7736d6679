#pragma once

/**
 * @brief The agent process: admits requests for one backend server, relays the answers and updates the loaded version.
 */
namespace rhubarbwharf::agent {} // namespace rhubarbwharf::agent
