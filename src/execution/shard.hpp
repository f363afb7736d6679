#pragma once

#include <rhubarbwharf/execution/owner.hpp>

namespace rhubarbwharf::execution::internal {

/*! @brief Time after which a refused caller may retry. */
inline constexpr duration refusal_retry_delay = std::chrono::seconds{1};

[[nodiscard]] auto shard_at(owner& state, shard_id id) -> shard&;

/*! @brief Checks whether this process may write the shard's journal. */
[[nodiscard]] auto is_held(const shard& item) noexcept -> bool;

/*! @brief Allocates the number of an operation on a shard and marks it as in flight. */
[[nodiscard]] auto begin_operation(owner& state, shard& item, time_point now) -> operation_number;

/*! @brief Refuses calls that were not started and never will be. */
auto refuse(std::span<const call_number> callers, code value, commands& out) -> void;

/*! @brief Resets a shard: pending claims are refused, running calls continue. @param value Code of the refusals. */
auto drop_shard(shard& item, code value, commands& out) -> void;

/*! @brief Refuses the claims that wait to be written. */
auto refuse_pending(shard& item, commands& out) -> void;

/*! @brief Writes due records of all shards within the rate limit, least recently written shard first. */
auto flush(owner& state, time_point now, commands& out) -> void;

/*! @brief Completes a write to the open segment and starts the calls whose claims were stored. */
auto end_append(owner& state, shard& item, const write_result& value, time_point now, commands& out) -> void;

/*! @brief Deletes the oldest sealed segment if all of its keys are past the retention. */
auto expire_oldest_segment(owner& state, shard& item, wall_time wall, commands& out) -> void;

/*! @brief Completes the deletion of an expired segment. */
auto end_expiry(owner& state, shard& item, const write_result& value) -> void;

/*! @brief Advances a shard that is being acquired or released. */
auto step_ownership(owner& state, shard& item, time_point now, commands& out) -> void;

/*! @brief Completes the write of the owner key. */
auto end_acquire(owner& state, shard& item, const write_result& value, time_point now, commands& out) -> void;

/*! @brief Completes the write of the new fencing token to the open segment. */
auto end_takeover(owner& state, shard& item, const write_result& value, time_point now) -> void;

/*! @brief Completes the deletion of the owner key. */
auto end_release(shard& item, const write_result& value, time_point now, commands& out) -> void;

} // namespace rhubarbwharf::execution::internal
