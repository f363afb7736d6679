#pragma once

/**
 * @brief The operator's command line.
 */
namespace rhubarbwharf::command {

enum class status : int;

} // namespace rhubarbwharf::command
