#pragma once

/**
 * @brief Load generator: sends open-loop load over HTTP and runs the benchmarks of `make bench`.
 */
namespace rhubarbwharf::load {

struct settings;
enum class status : int;

} // namespace rhubarbwharf::load
