#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>

#include <rhubarbwharf/fleet/member.hpp>

namespace rhubarbwharf::fleet {

/*! @brief Transferable part of a version of weights: a piece, or the manifest. */
struct weights_part {
    std::uint64_t m_version{};
    /*! @brief Index of the piece, or `manifest_index`. */
    std::size_t m_index{};
};

/*! @brief Index that denotes the manifest. */
inline constexpr std::size_t manifest_index = std::numeric_limits<std::size_t>::max();
/*! @brief HTTP status of a gateway that does not relay a version. */
inline constexpr std::uint16_t status_not_relayed = 404U;
/*! @brief Corrupt pieces after which the manifest is downloaded again, as the manifest itself may be corrupt. */
inline constexpr unsigned max_corrupt_pieces = 3U;

/**
 * @brief Returns the request target for a transfer from a gateway or loader that holds weights.
 * @param kind `have`, `manifest` or `piece`.
 * @return The target; for a piece, the caller appends the query parameter `index`.
 */
[[nodiscard]] auto transfer_target(std::string_view kind, std::string_view model, std::uint64_t version) -> std::string;

/**
 * @brief Rendezvous weight of an instance for a piece. The instance with the highest weight is responsible, so
 * processes that know the same instances agree without communication.
 */
[[nodiscard]] auto rendezvous_weight(std::string_view instance, std::uint64_t version, std::size_t piece) noexcept
    -> std::uint64_t;

/*! @brief Tells whether a member can relay weights: a live gateway that serves pieces and is not leaving. */
[[nodiscard]] auto can_relay(const member_observation& row, time_point now) noexcept -> bool;

/*! @brief Finds the first one of some members in rendezvous order of a part, so that the parts of a version are spread
 * over them. @return Null if there is none. */
[[nodiscard]] auto first_in_rendezvous_order(std::span<const member* const> members, const weights_part& part) noexcept
    -> const member*;

/**
 * @brief Finds the gateway from which a gateway downloads a part. Each region has one gateway that downloads the part
 * from outside the region, and one representative of all regions reads it from the origin, so that every byte leaves
 * the origin once and enters each region once. Only representatives are known to all regions alike.
 * @param table The members, including the gateway.
 * @param self The gateway that needs the part.
 * @return The upstream gateway, owned by `table`; null for the origin.
 */
[[nodiscard]] auto find_upstream(const member_table& table, const member& self, const weights_part& part,
                                 time_point now) -> const member*;

} // namespace rhubarbwharf::fleet
