#pragma once

#include <cstdint>

/**
 * @brief Choice of backend server, limits, fair shares, retries, breakers and quarantine.
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
