#pragma once

#include <string>

#include <rhubarbwharf/config/node.hpp>

namespace rhubarbwharf::gateway {

/**
 * @brief Runs a gateway until it is stopped.
 * @param settings Its settings.
 * @param file File that the settings came from; read again on SIGHUP.
 * @return Exit status: 0 after a planned stop, 1 if a listener can't be opened.
 */
[[nodiscard]] auto run(const config::node_settings& settings, const std::string& file) -> int;

} // namespace rhubarbwharf::gateway
