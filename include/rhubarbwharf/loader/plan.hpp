#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::loader {

/*! @brief What a loader has of one piece. */
enum class piece_state : std::uint8_t { missing, fetching, held };

/*! @brief Another loader of the same service, and the pieces of the wanted version that it has. */
struct peer {
    std::string m_instance{};
    std::string m_region{};
    std::vector<piece_state> m_has{};
    /*! @brief Fetches from it that are under way. */
    unsigned m_fetches{};
    /*! @brief Until when it is left alone after a failure. */
    time_point m_avoid_until{};
};

/*! @brief Inputs of a plan. */
struct plan_input {
    std::string_view m_instance{};
    std::string_view m_region{};
    std::uint64_t m_version{};
    std::span<const piece_state> m_pieces{};
    std::span<const peer> m_peers{};
    /*! @brief Time since this version was first wanted here. */
    duration m_age{};
    time_point m_now{};
    std::uint64_t m_random{};
    /*! @brief Fetches from the origin that may still be begun. */
    unsigned m_origin_room{};
};

/*! @brief One piece to fetch, and from whom. */
struct fetch {
    std::size_t m_piece{};
    /*! @brief Index into the peers; nothing for the origin. */
    std::optional<std::size_t> m_peer{};
};

/*! @brief Time that each further loader of a region waits before it brings a piece into the region itself. */
inline constexpr duration region_stagger = std::chrono::milliseconds{1'200};
/*! @brief Time that each further region waits before it reads a piece from the origin itself. */
inline constexpr duration origin_stagger = std::chrono::milliseconds{1'500};
/*! @brief Fetches from one peer at a time, so that its link is shared out evenly. */
inline constexpr unsigned most_fetches_of_peer = 2U;

/**
 * @brief Chooses the next fetch. A piece is read from the origin by one loader, brought into each region by one loader,
 * and swapped inside the region; the next in line takes over after a while. Rarest pieces go first.
 * @param in The inputs.
 * @return The fetch, or nothing that can be begun now.
 */
[[nodiscard]] auto next_fetch(const plan_input& in) -> std::optional<fetch>;

/**
 * @brief Gives each loader its place in the order in which runners take a new version, so that not all stop at once.
 * @param instance The loader.
 * @param peers The others of its service.
 * @param version The version.
 * @return Its place, from 0 to below 1.
 */
[[nodiscard]] auto load_place(std::string_view instance, std::span<const peer> peers, std::uint64_t version) -> double;

} // namespace rhubarbwharf::loader
