#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include <rhubarbwharf/ticket/state.hpp>
#include <rhubarbwharf/wire/fwd.hpp>

namespace rhubarbwharf::wire {

/*! @brief Version of the frames between processes; frames of other versions are counted and discarded. */
inline constexpr std::uint32_t protocol_version = 1;

/**
 * @brief Decodes the entries of a push; entries without a scope or with a malformed digest are skipped.
 */
[[nodiscard]] auto decode_entries(const StatePush& push) -> std::vector<ticket::scope_entry>;

/**
 * @brief Appends entries to a push.
 */
auto append_entries(StatePush& push, std::span<const ticket::scope_entry> entries) -> void;

} // namespace rhubarbwharf::wire
