#pragma once

/**
 * @brief Placement, waiting, refusal, outliers and the budget of repeats at a gateway.
 *
 * Free functions over plain tables: time and random bits come in as arguments, nothing here reads a clock or a socket.
 */
namespace rhubarbwharf::dispatch {

struct health;
struct server_load;
struct demand;
struct placement_limits;
struct choice;
struct waiting;
struct wait_queue;
struct refusal;
struct repeat_budget;

} // namespace rhubarbwharf::dispatch
