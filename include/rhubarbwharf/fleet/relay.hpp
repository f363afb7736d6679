#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include <rhubarbwharf/fleet/member.hpp>

namespace rhubarbwharf::fleet {

/*! @brief One part of a version of weights: a piece, or the manifest. */
struct weights_part {
    std::uint64_t m_version{};
    std::size_t m_index{};
};

/*! @brief Index that stands for the manifest. */
inline constexpr std::size_t manifest_index = std::numeric_limits<std::size_t>::max();
/*! @brief Status of a gateway that does not relay a version. */
inline constexpr std::uint16_t status_not_relayed = 404U;
/*! @brief Spoilt pieces after which the manifest is read again, as it may be what is spoilt. */
inline constexpr unsigned most_spoilt = 3U;

/**
 * @brief Returns the target of a call to a gateway or loader that has weights.
 * @param kind `have`, `manifest` or `piece`.
 * @param model The model.
 * @param version The version.
 * @return The target; a piece's index is added to it as `index`.
 */
[[nodiscard]] auto transfer_target(std::string_view kind, std::string_view model, std::uint64_t version) -> std::string;

/**
 * @brief Weight of an instance for a piece: the instance with the most comes first (rendezvous hashing), so that all
 * who know the same instances agree without a word.
 * @param instance Name of the instance.
 * @param version The version.
 * @param piece Index of the piece.
 * @return The weight.
 */
[[nodiscard]] auto weight(std::string_view instance, std::uint64_t version, std::size_t piece) noexcept
    -> std::uint64_t;

/**
 * @brief Tells whether a member can relay weights now.
 * @param row The member.
 * @param now The time.
 * @return Whether it is a gateway that serves pieces, is heard and does not leave.
 */
[[nodiscard]] auto relays(const sighting& row, time_point now) noexcept -> bool;

/**
 * @brief Finds whom a gateway asks for a part that it does not have. In each region one gateway brings a part in, and
 * one of these reads it from the origin, so that each byte leaves the origin and enters a region once.
 * @param table The members, the gateway included.
 * @param self The gateway.
 * @param wanted The part.
 * @param now The time.
 * @return The gateway to ask; null for the origin.
 */
[[nodiscard]] auto upstream_of(const member_table& table, const member& self, const weights_part& part, time_point now)
    -> const member*;

} // namespace rhubarbwharf::fleet
