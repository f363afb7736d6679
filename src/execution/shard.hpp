#pragma once

#include <rhubarbwharf/execution/owner.hpp>

namespace rhubarbwharf::execution::internal {

/*! @brief Time after which a refused caller may come back. */
inline constexpr duration refusal_retry_time = std::chrono::seconds{1};

/*! @brief Looks a shard up. @param table The tables. @param id The shard. @return It. */
[[nodiscard]] auto at(owner& table, shard_id id) -> shard&;

/*! @brief Returns whether the shard's journal may be written. @param item The shard. @return Whether it is owned. */
[[nodiscard]] auto is_held(const shard& item) noexcept -> bool;

/*! @brief Numbers an operation of a shard and marks it as in flight. @param table The tables. @param item The shard.
 * @param now The time. @return The number. */
[[nodiscard]] auto begin_operation(owner& table, shard& item, time_point now) -> operation_number;

/*! @brief Refuses calls that were not started and never will be. @param callers The calls. @param value The code.
 * @param out Gets the answers. */
auto refuse(std::span<const call_number> callers, code value, commands& out) -> void;

/*! @brief Gives a shard up: its waiting claims are refused, what runs goes on. @param item The shard. @param value Code
 * for the refused calls. @param out Gets the answers. */
auto drop(shard& item, code value, commands& out) -> void;

/*! @brief Refuses the claims that wait to be written. @param item The shard. @param out Gets the answers. */
auto refuse_pending(shard& item, commands& out) -> void;

/*! @brief Writes what is due in all shards as far as the rate of writes allows, longest wait first. @param table The
 * tables. @param now The time. @param out Gets the writes. */
auto flush(owner& table, time_point now, commands& out) -> void;

/*! @brief Ends a write to the open segment. @param table The tables. @param item The shard. @param value How.
 * @param now The time. @param out Gets calls to start and answers. */
auto end_append(owner& table, shard& item, const write_result& value, time_point now, commands& out) -> void;

/*! @brief Deletes the oldest segment if all of it is past the retention. @param table The tables. @param item The
 * shard. @param wall Wall-clock time. @param out Gets the delete. */
auto fold(owner& table, shard& item, wall_time wall, commands& out) -> void;

/*! @brief Ends the delete of a segment. @param table The tables. @param item The shard. @param value How. */
auto end_fold(owner& table, shard& item, const write_result& value) -> void;

/*! @brief Moves a shard that is being taken or given away on. @param table The tables. @param item The shard.
 * @param now The time. @param out Gets what to do. */
auto step_ownership(owner& table, shard& item, time_point now, commands& out) -> void;

/*! @brief Ends the write of the owner's key. @param table The tables. @param item The shard. @param value How.
 * @param now The time. @param out Gets what to do. */
auto end_acquire(owner& table, shard& item, const write_result& value, time_point now, commands& out) -> void;

/*! @brief Ends the swap of the own token into the open segment. @param table The tables. @param item The shard.
 * @param value How. @param now The time. */
auto end_take(owner& table, shard& item, const write_result& value, time_point now) -> void;

/*! @brief Ends the delete of the owner's key. @param item The shard. @param value How. @param now The time. @param out
 * Gets answers. */
auto end_release(shard& item, const write_result& value, time_point now, commands& out) -> void;

} // namespace rhubarbwharf::execution::internal
