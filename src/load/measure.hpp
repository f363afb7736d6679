#pragma once

#include <iosfwd>

#include "load/options.hpp"

namespace rhubarbwharf::load {

/*! @brief Sends requests at their scheduled times, regardless of earlier responses, and writes one line of figures. */
[[nodiscard]] auto run_open_loop(settings config, std::ostream& out) -> status;

/*! @brief Measures the latency that an entry adds to direct calls of the engine, and writes one line of figures. */
[[nodiscard]] auto run_overhead(const settings& config, std::ostream& out) -> status;

/*! @brief Benchmarks the net module on the loopback interface, and writes a line of figures for each benchmark. */
[[nodiscard]] auto run_net(const settings& config, std::ostream& out) -> status;

} // namespace rhubarbwharf::load
