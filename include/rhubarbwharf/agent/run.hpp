#pragma once

#include <rhubarbwharf/config/fwd.hpp>

namespace rhubarbwharf::agent {

/**
 * @brief Runs an agent until it has received a stop signal and has drained.
 * @param settings Validated settings of a process with the role `agent`.
 * @return Exit status: 0 if the stop ended no requests in progress, 1 if a listen address is malformed or a listener
 * could not be opened, 2 if a second stop signal ended requests in progress.
 */
[[nodiscard]] auto run(const config::settings& settings) -> int;

} // namespace rhubarbwharf::agent
