#pragma once

#include <cstdint>

/**
 * @brief Failure detection and state of the members, from the view of one process.
 */
namespace rhubarbwharf::membership {

enum class phase : std::uint8_t;
enum class member_status : std::uint8_t;
enum class apply_result : std::uint8_t;
struct owned_shard;
struct report;
struct member;
struct liveness_timeouts;
struct table;

} // namespace rhubarbwharf::membership
