#pragma once

#include <iosfwd>

#include "load/options.hpp"

namespace rhubarbwharf::load {

/*! @brief Sends arrivals at their times. @param wanted The settings. @param out For figures. @return The exit code. */
[[nodiscard]] auto run_open_loop(settings config, std::ostream& out) -> status;

/*! @brief Measures pairs of requests. @param wanted The settings. @param out For figures. @return The exit code. */
[[nodiscard]] auto run_overhead(const settings& config, std::ostream& out) -> status;

/*! @brief Measures the net module. @param wanted The settings. @param out For figures. @return The exit code. */
[[nodiscard]] auto run_net(const settings& config, std::ostream& out) -> status;

} // namespace rhubarbwharf::load
