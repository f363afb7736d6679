#pragma once

#include <rhubarbwharf/config/settings.hpp>

namespace rhubarbwharf::entry {

/**
 * @brief Runs an entry until it has stopped.
 * @param settings Settings of the role `entry`.
 * @return Exit status of the process: 0 after a stop, planned or immediate; 1 if a listener could not be opened.
 */
[[nodiscard]] auto run(const config::settings& settings) -> int;

} // namespace rhubarbwharf::entry
