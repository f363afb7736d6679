#pragma once

#include <span>
#include <string_view>

namespace rhubarbwharf::membership {

/**
 * @brief Selects a name for a key by rendezvous hashing (highest random weight).
 *
 * Processes with the same candidates select the same name. Adding or removing a name moves only the keys of that name.
 *
 * @param candidates Names in any order.
 * @return The selected name; empty if there are no candidates.
 */
[[nodiscard]] auto rendezvous_select(std::span<const std::string_view> candidates, std::string_view key) noexcept
    -> std::string_view;

} // namespace rhubarbwharf::membership
