#pragma once

#include <cstdint>

/**
 * @brief Backend selection, admission limits, fair queueing, retries, circuit breakers and quarantine.
 */
namespace rhubarbwharf::routing {

enum class step : std::uint8_t;
struct breaker;
struct backend;
struct candidate;
struct choice_limits;
struct queued;
struct fair_queue;
struct push_result;
struct retry_budget;
struct attempt_end;
struct flight;
struct verdict;
struct quarantine;

} // namespace rhubarbwharf::routing
