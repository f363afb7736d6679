#pragma once

/**
 * @brief Placement, queueing, refusal, outlier ejection and retry budgets of a gateway.
 *
 * Free functions over plain data: time and random bits are arguments; no function reads a clock or a socket.
 */
namespace rhubarbwharf::dispatch {

struct health;
struct free_slots;
struct server_load;
struct request_requirements;
struct placement_options;
struct choice;
struct pending_response;
struct tail_latency;
struct hedge_allowance;
struct waiting_request;
struct wait_queue;
struct refusal;
struct service_retry_budget;
struct inherited_retries;
struct told_retries;
struct budget_claim;
struct budget_part;
struct gateway_peak;
struct named_limit;
struct turn_share;
struct warm_up;
struct turn_outlook;

} // namespace rhubarbwharf::dispatch
