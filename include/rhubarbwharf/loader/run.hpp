#pragma once

#include <string>

#include <rhubarbwharf/config/node.hpp>

namespace rhubarbwharf::loader {

/**
 * @brief Runs a loader until it is stopped.
 * @param settings Settings of the process.
 * @param file File that the settings were read from; reloaded on SIGHUP.
 * @return Exit status: 0 after a planned stop, 1 if a listener can't be opened.
 */
[[nodiscard]] auto run(const config::node_settings& settings, const std::string& file) -> int;

} // namespace rhubarbwharf::loader
