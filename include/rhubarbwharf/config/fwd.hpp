#pragma once

/**
 * @brief Settings in JSON with comments, checked at start.
 */
namespace rhubarbwharf::config {

struct settings;
struct fault;

} // namespace rhubarbwharf::config
