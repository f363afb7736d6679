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

/*! @brief Availability of one piece of a version at a loader. */
enum class piece_state : std::uint8_t { missing, fetching, held };

/*! @brief Checks whether all pieces of a version are held. @return False if the list is empty. */
[[nodiscard]] auto is_complete(std::span<const piece_state> pieces) noexcept -> bool;

/*! @brief Another loader of the same service, as far as this loader knows it. */
struct peer {
    std::string m_instance{};
    std::string m_region{};
    /*! @brief Its pieces of the wanted version; empty until it has reported them. */
    std::vector<piece_state> m_pieces{};
    /*! @brief Version that its runner holds completely; 0 for none. */
    std::uint64_t m_held_version{};
    /*! @brief Fetches from it in progress. */
    unsigned m_active_fetches{};
    /*! @brief Time from which it may be used again after a failure. */
    time_point m_avoid_until{};
    /*! @brief Whether its runner has been ordered to load and has not finished. */
    bool m_loading{false};
};

/*! @brief State of a gateway that relays weights, from its last answer. */
enum class relay_state : std::uint8_t {
    /*! @brief It delivered the piece, or has not been asked yet. */
    available,
    /*! @brief It answered without the piece. As it requests the piece from the origin itself, it is asked again if no
     * loader holds the piece. */
    refusing,
    /*! @brief It did not answer, or does not relay this version. */
    unavailable,
};

/*! @brief A gateway of the loader's own data centre that relays weights. */
struct relay {
    std::string m_instance{};
    /*! @brief Fetches from it in progress. */
    unsigned m_active_fetches{};
    /*! @brief Time from which it may be used again after a failure. */
    time_point m_avoid_until{};
    relay_state m_state{relay_state::available};
};

/*! @brief Inputs of a planning step. */
struct plan_input {
    std::string_view m_instance{};
    std::string_view m_region{};
    std::uint64_t m_version{};
    /*! @brief Version that the loader's own runner holds completely; 0 for none. */
    std::uint64_t m_held_version{};
    std::span<const piece_state> m_pieces{};
    std::span<const peer> m_peers{};
    std::span<const relay> m_relays{};
    /*! @brief Time since this version was first wanted here. */
    duration m_age{};
    /*! @brief Time since the version was named; `m_age` if it is not known exactly. */
    duration m_version_age{};
    /*! @brief Age of the version from which it is loaded regardless of the other loaders. */
    duration m_max_load_delay{};
    time_point m_now{};
    std::uint64_t m_random{};
    /*! @brief Whether this loader fetches no piece from loaders of its own region, so that others of the region
     * complete the version first. */
    bool m_defers_local_fetches{false};
    /*! @brief Number of further fetches that may be started from the origin. */
    unsigned m_origin_fetch_slots{};
};

/*! @brief One piece to fetch and its source: a peer, a relay, or the origin if neither is set. */
struct fetch {
    std::size_t m_piece{};
    /*! @brief Index into `plan_input::m_peers`. */
    std::optional<std::size_t> m_peer{};
    /*! @brief Index into `plan_input::m_relays`. */
    std::optional<std::size_t> m_relay{};
};

/*! @brief Concurrent fetches over a link of the expected speed. */
inline constexpr unsigned max_concurrent_fetches = 4U;
/*! @brief Concurrent fetches before the speed of the link is known. */
inline constexpr unsigned initial_concurrent_fetches = 2U;
/*! @brief Longest time for which the pieces in transfer may fill the link. Requests to the runner and notices that a
 * caller has disconnected are queued behind them. */
inline constexpr duration max_link_backlog = std::chrono::milliseconds{250};

/**
 * @brief Returns the number of pieces that may be in transfer at once.
 * @param piece_transfer_time Time that the link takes for one piece; zero if unknown.
 * @return The limit, at least 1.
 */
[[nodiscard]] auto concurrent_fetch_limit(duration piece_transfer_time) noexcept -> unsigned;

/*! @brief Delay of each further loader of a region before it brings a piece into the region itself. */
inline constexpr duration region_stagger = std::chrono::milliseconds{1'200};
/*! @brief Delay of each further region before it reads a piece from the origin itself. */
inline constexpr duration origin_stagger = std::chrono::milliseconds{1'500};
/*! @brief Concurrent fetches from one peer or relay, so that its link is shared evenly. */
inline constexpr unsigned max_fetches_per_peer = 2U;

/**
 * @brief Chooses the next fetch.
 *
 * Each gateway of the data centre relays its share of the pieces over a link that is faster than a loader's, so that a
 * loader's own link carries a version only once. A gateway reads a piece from a loader of the region whose runner holds
 * the version, if there is one: where many empty runners are added, those that serve would otherwise send each of them
 * whole copies over the links that carry their answers. If no gateway answers, one loader reads a piece from the
 * origin, one loader brings it into each region, and the loaders of a region exchange it. If a loader does not do its
 * part, the next in rank takes over after a delay. The rarest pieces are fetched first.
 *
 * @return The fetch; empty if none can be started now.
 */
[[nodiscard]] auto next_fetch(const plan_input& in) -> std::optional<fetch>;

/*! @brief Share of a region's loaders that form the first group. They complete a new version while the runners of the
 * second group serve, and serve while the second group loads. If all loaders fetched at once, none would hold the
 * complete version before every link had carried it twice. */
inline constexpr double first_group_share = 0.5;
/*! @brief Age of a version from which the second group no longer waits for the first: one copy over a link, plus a
 * margin. */
inline constexpr duration first_group_timeout = std::chrono::milliseconds{2'600};

/**
 * @brief Checks whether a loader belongs to the second group while the first group of its region is still incomplete.
 * Runners with the oldest version are in the first group, as that version is the first that may no longer be used.
 * @param in The inputs; `m_defers_local_fetches` is ignored.
 * @return Always false from the age `first_group_timeout` on.
 */
[[nodiscard]] auto defers_local_fetches(const plan_input& in) -> bool;

/*! @brief Share of a version's time limit after which the version is loaded regardless of the other loaders. */
inline constexpr double max_load_delay_share = 0.625;

/*! @brief Age of the read-backs up to which a load is ordered at once. It is below `max_unnoticed_corruption`, so that
 * a runner that accepts the order soon needs no further reads before it serves. */
inline constexpr duration max_verification_age = std::chrono::seconds{2};
/*! @brief Time that reading all pieces back is to take; well below `max_verification_age`, as read times vary. */
inline constexpr duration verification_target_time = std::chrono::seconds{1};
/*! @brief Concurrent reads of staged pieces, so that a runner that serves meanwhile is not flooded. */
inline constexpr unsigned max_concurrent_reads = 8U;
/*! @brief Times that pieces are read back before a load, at most. */
inline constexpr unsigned max_verifications = 2U;

/*! @brief What follows after all staged pieces were found intact. */
enum class load_decision : std::uint8_t {
    order,
    /*! @brief Too much time has passed since the first read; read them again. */
    verify_again,
};

/*! @brief Decides whether a load is ordered or its pieces are read again first. What is loaded is used only once it is
 * proven, so that the age of the reads bounds how long the runner takes no requests, not what it may answer with. A
 * runner that always reads slowly gains nothing by another round, and would never get the version.
 * @param age Elapsed time, suspensions included, since the first piece was requested.
 * @param round_time Time that another round is expected to take.
 * @param verifications Times that the pieces were read back, this one included. */
[[nodiscard]] auto decide_load(duration age, duration round_time, unsigned verifications) noexcept -> load_decision;

/*! @brief Estimates the time of reading all pieces back.
 * @param read_time Time that the runner takes for one piece; zero if unknown.
 * @param pieces Number of pieces. */
[[nodiscard]] auto estimate_round_time(duration read_time, std::size_t pieces) noexcept -> duration;

/**
 * @brief Returns the number of staged pieces that are read at once, so that all are read in `verification_target_time`.
 * @param read_time Time that the runner takes for one piece; zero if unknown.
 * @param pieces Number of pieces.
 * @return The limit, from 1 to `max_concurrent_reads`.
 */
[[nodiscard]] auto concurrent_read_limit(duration read_time, std::size_t pieces) noexcept -> unsigned;

/*! @brief Time of a read up to which more reads are started at once; half of the time limit of a call to the runner. */
inline constexpr duration max_growth_read_time = std::chrono::milliseconds{750};

/*! @brief Adjusts the largest number of concurrent reads after a round: a runner that reads one piece at a time answers
 * none of many in time.
 * @param limit The present limit.
 * @param answered Whether all reads of the round were answered in time.
 * @param read_time Time that the runner takes for one of them.
 * @return The limit of the next round, from 1 to `max_concurrent_reads`. */
[[nodiscard]] auto adjust_read_limit(unsigned limit, bool answered, duration read_time) noexcept -> unsigned;

/**
 * @brief Checks whether a loader lets others of its region load a version first. A runner that has been ordered to load
 * accepts no requests until its running ones have ended; if all runners were ordered at once, none would accept any.
 * Runners with the oldest version load first, and each finished load admits the next.
 * @return Always false if the own runner holds no version, and once the version is older than
 * `plan_input::m_max_load_delay`.
 */
[[nodiscard]] auto defers_load(const plan_input& in) -> bool;

} // namespace rhubarbwharf::loader
