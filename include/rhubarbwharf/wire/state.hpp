#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include <rhubarbwharf/ticket/state.hpp>
#include <rhubarbwharf/wire/fwd.hpp>

namespace rhubarbwharf::wire {

/*! @brief Version of the frames between processes; frames of another version are counted and dropped. */
inline constexpr std::uint32_t protocol_version = 1;

/**
 * @brief Reads the entries of a push; those without a scope or with a malformed digest are left out.
 * @param push The message.
 * @return The entries.
 */
[[nodiscard]] auto entries_of(const StatePush& push) -> std::vector<ticket::scope_entry>;

/**
 * @brief Writes entries into a push.
 * @param push The message.
 * @param entries The entries.
 */
auto fill(StatePush& push, std::span<const ticket::scope_entry> entries) -> void;

} // namespace rhubarbwharf::wire
