#pragma once

/**
 * @brief Open-loop load over HTTP, and the measurements behind `make bench`.
 */
namespace rhubarbwharf::load {

struct settings;
enum class status : int;

} // namespace rhubarbwharf::load
