#pragma once

/**
 * @brief Command-line client for operators: submits tickets, inspects processes and checks settings files.
 */
namespace rhubarbwharf::command {

enum class status : int;

} // namespace rhubarbwharf::command
