#pragma once

#include <cstdint>

/**
 * @brief Backend selection, admission limits, fair queueing, retries, circuit breakers and quarantine.
 */
namespace rhubarbwharf::routing {

enum class next_step : std::uint8_t;
struct breaker;
struct backend_state;
struct candidate;
struct choice_options;
struct queued_request;
struct fair_queue;
struct push_result;
struct retry_budget;
struct attempt_result;
struct request_progress;
struct attempt_decision;
struct quarantine;
struct server_crash;
struct held_parts;
struct part_table;
struct part_admission;

} // namespace rhubarbwharf::routing
