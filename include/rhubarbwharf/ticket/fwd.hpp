#pragma once

/**
 * @brief Desired state of the system, set by tickets of operators; in each scope the highest ticket wins.
 */
namespace rhubarbwharf::ticket {

struct scope_state;
struct scope_entry;
struct submission;
struct desired_state;
struct change;
struct ticket;
struct accept_result;

} // namespace rhubarbwharf::ticket
