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

/*! @brief Tells whether all pieces of a version are held. @param pieces Their states. @return Whether they are; not if
 * there are none. */
[[nodiscard]] auto is_complete(std::span<const piece_state> pieces) noexcept -> bool;

/*! @brief Another loader of the same service, and the pieces of the wanted version that it has. */
struct peer {
    std::string m_instance{};
    std::string m_region{};
    std::vector<piece_state> m_pieces{};
    /*! @brief Version that its runner holds whole; 0 for none. */
    std::uint64_t m_held_version{};
    /*! @brief Fetches from it that are under way. */
    unsigned m_active_fetches{};
    /*! @brief Until when it is left alone after a failure. */
    time_point m_avoid_until{};
    /*! @brief Whether its runner has been told to load, and has not yet. */
    bool m_loading{false};
};

/*! @brief What a gateway's last answer says of the weights that it relays. */
enum class relay_state : std::uint8_t {
    /*! @brief It gave the piece, or has not been asked. */
    available,
    /*! @brief It answered without the piece: it asks the origin itself, and is asked again where no loader has one. */
    refusing,
    /*! @brief It did not answer, or does not relay this version. */
    unavailable,
};

/*! @brief A gateway of the own data centre that relays weights. */
struct relay {
    std::string m_instance{};
    /*! @brief Fetches from it that are under way. */
    unsigned m_active_fetches{};
    /*! @brief Until when it is left alone after a failure. */
    time_point m_avoid_until{};
    relay_state m_state{relay_state::available};
};

/*! @brief Inputs of a plan. */
struct plan_input {
    std::string_view m_instance{};
    std::string_view m_region{};
    std::uint64_t m_version{};
    /*! @brief Version that the own runner holds whole; 0 for none. */
    std::uint64_t m_held_version{};
    std::span<const piece_state> m_pieces{};
    std::span<const peer> m_peers{};
    std::span<const relay> m_relays{};
    /*! @brief Time since this version was first wanted here. */
    duration m_age{};
    /*! @brief Time after which it is loaded whatever the others do. */
    duration m_max_load_delay{};
    time_point m_now{};
    std::uint64_t m_random{};
    /*! @brief Whether this loader lets others of its region have a version first, and only brings pieces in. */
    bool m_defers_local_fetches{false};
    /*! @brief Fetches from the origin that may still be begun. */
    unsigned m_origin_fetch_slots{};
};

/*! @brief One piece to fetch, and from whom. */
struct fetch {
    std::size_t m_piece{};
    /*! @brief Index into the peers; nothing for the origin or a relay. */
    std::optional<std::size_t> m_peer{};
    /*! @brief Index into the relays, if one of them is asked. */
    std::optional<std::size_t> m_relay{};
};

/*! @brief Pieces fetched at once over a link that is as fast as it should be. */
inline constexpr unsigned max_concurrent_fetches = 4U;
/*! @brief The same while nothing is known of the link. */
inline constexpr unsigned initial_concurrent_fetches = 2U;
/*! @brief Longest time for which the pieces on their way may fill the link. The runner's requests, and word that a
 * caller has left, wait behind them. */
inline constexpr duration max_link_backlog = std::chrono::milliseconds{250};

/**
 * @brief Tells how many pieces may be on their way at once.
 * @param piece_time Time that the link takes for one; zero if that is not known.
 * @return The count, at least 1.
 */
[[nodiscard]] auto concurrent_fetch_limit(duration piece_time) noexcept -> unsigned;

/*! @brief Time that each further loader of a region waits before it brings a piece into the region itself. */
inline constexpr duration region_stagger = std::chrono::milliseconds{1'200};
/*! @brief Time that each further region waits before it reads a piece from the origin itself. */
inline constexpr duration origin_stagger = std::chrono::milliseconds{1'500};
/*! @brief Fetches from one peer at a time, so that its link is shared out evenly. */
inline constexpr unsigned max_fetches_per_peer = 2U;

/*! @brief Part of a region's loaders that hold a version whole from which on the others fetch it from them, so that no
 * byte of it leaves the origin or enters the region again. */
inline constexpr double sufficient_peer_share = 0.5;

/**
 * @brief Chooses the next fetch. Each gateway nearby relays its share of the pieces, over a link that is faster than a
 * loader's; a loader's own link then carries a version once. While none of them answers, or if many loaders of the
 * region have the version, a piece is read from the origin by one loader, brought into each region by one loader, and
 * swapped inside the region; the next in line takes over after a while. Rarest pieces go first.
 * @param in The inputs.
 * @return The fetch, or nothing that can be begun now.
 */
[[nodiscard]] auto next_fetch(const plan_input& in) -> std::optional<fetch>;

/*! @brief Part of the loaders that have a new version first. Its runners take it while the others serve, and serve
 * while the others take it; fetched by all at once, it would be whole everywhere only when all links have carried it
 * twice. */
inline constexpr double first_group_share = 0.5;
/*! @brief Time after which the second part fetches whatever the first has: a copy over one link, and some slack. */
inline constexpr duration first_group_timeout = std::chrono::milliseconds{2'600};

/**
 * @brief Tells whether a loader is of the second part, and the first part of its region is not whole yet. Runners with
 * the oldest version come first: theirs is the first that may no longer answer.
 * @param in The inputs; `m_yields` does not count.
 * @return Whether it yields.
 */
[[nodiscard]] auto defers_local_fetches(const plan_input& in) -> bool;

/*! @brief Part of a version's time limit after which it is loaded whatever the others do. */
inline constexpr double max_load_delay_share = 0.625;

/**
 * @brief Tells whether a loader lets others of its region load a version first. A runner that has been told to load
 * takes nothing new until what it runs has ended; if all were told at once, none would take anything. Runners with the
 * oldest version come first; each that has loaded makes room for the next.
 * @param in The inputs.
 * @return Whether it waits; never beside a runner that holds no version.
 */
[[nodiscard]] auto defers_load(const plan_input& in) -> bool;

} // namespace rhubarbwharf::loader
