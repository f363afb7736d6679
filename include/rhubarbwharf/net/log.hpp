#pragma once

#include <string_view>

namespace rhubarbwharf::net {

/*! @brief Levels of log lines. */
enum class level : unsigned char { debug, info, warn, error };

/**
 * @brief Sets up log4cxx to write to standard error.
 * @param instance Instance name that each line carries.
 * @param least Lowest level that is written.
 */
auto start_log(std::string_view instance, level least) -> void;

/**
 * @brief Writes a log line; only changes of state deserve one.
 * @param severity The level.
 * @param module Name of the module that logs.
 * @param text The line.
 */
auto log(level severity, std::string_view module, std::string_view text) -> void;

} // namespace rhubarbwharf::net
