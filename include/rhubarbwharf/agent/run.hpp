#pragma once

#include <rhubarbwharf/config/fwd.hpp>

namespace rhubarbwharf::agent {

/**
 * @brief Runs an agent until it has been told to stop and has drained.
 * @param settings Checked settings of which the role is `agent`.
 * @return Exit status: 0 after a graceful stop, 1 if a listener could not be opened, 2 if work was cut off.
 */
[[nodiscard]] auto run(const config::settings& settings) -> int;

} // namespace rhubarbwharf::agent
