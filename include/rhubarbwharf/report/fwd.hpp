#pragma once

/**
 * @brief Tables and plots from the JSON lines that the benchmarks write.
 */
namespace rhubarbwharf::report {

struct field;
struct record;
struct plot_options;

} // namespace rhubarbwharf::report
