#pragma once

#include <span>
#include <string_view>

namespace rhubarbwharf::membership {

/**
 * @brief Picks one of several names for a key, alike in every process that sees the same names; each name that comes
 * or goes moves only its own share of the keys.
 * @param candidates The names, in any order.
 * @param key The key.
 * @return The name picked, or an empty view if there is none.
 */
[[nodiscard]] auto rendezvous(std::span<const std::string_view> candidates, std::string_view key) noexcept
    -> std::string_view;

} // namespace rhubarbwharf::membership
