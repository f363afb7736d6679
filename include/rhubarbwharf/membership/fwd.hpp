#pragma once

#include <cstdint>

/**
 * @brief Failure detection and state of the members, from the view of one process.
 */
namespace rhubarbwharf::membership {

enum class phase : std::uint8_t;
enum class standing : std::uint8_t;
enum class applied : std::uint8_t;
struct owned_shard;
struct report;
struct member;
struct limits;
struct table;

} // namespace rhubarbwharf::membership
