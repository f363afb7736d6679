#pragma once

#include <string>

#include <rhubarbwharf/config/node.hpp>

namespace rhubarbwharf::loader {

/**
 * @brief Runs a loader until it receives a stop signal.
 * @param settings Settings to start with.
 * @param file File that the settings were read from; reloaded on SIGHUP.
 * @return Exit status: 0 after a regular stop, 1 if a listener cannot be opened.
 */
[[nodiscard]] auto run(const config::node_settings& settings, const std::string& file) -> int;

} // namespace rhubarbwharf::loader
