#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/routing/fwd.hpp>

/**
 * @file
 * @brief Holds back prompts with a part that ends each backend server that begins to answer it.
 *
 * Requests that share such a part may have nothing else in common, and sound requests run beside them. Evidence is kept
 * by backend server that ended: the parts of all requests there, at any gateway, that had not begun their answers. A
 * part that is answered anywhere is sound. A part that is left at two ended servers is suspect, and one request with it
 * at a time is tried; if its server ends too, the part is held back for a while.
 */
namespace rhubarbwharf::routing {

/*! @brief Digest of a model and the id of a part of a prompt. */
using part_id = basic_id<struct part_tag, std::uint64_t>;
/*! @brief Digest of a backend server's id and start. */
using incarnation_id = basic_id<struct incarnation_tag, std::uint64_t>;

/*! @brief Ended servers from which a part that was answered nowhere since is suspect. */
inline constexpr std::uint32_t suspect_crashes = 2U;
/*! @brief Time before a crash within which an answer shows that a part is not its cause. */
inline constexpr duration served_window = std::chrono::seconds{1};
/*! @brief Time for which a crash is remembered, so that rare requests with a part add up. */
inline constexpr duration crash_retention = std::chrono::minutes{10};
/*! @brief Time after a crash from which an answer of the same incarnation shows that it has not ended. */
inline constexpr duration alive_delay = std::chrono::milliseconds{250};
/*! @brief Time after which a trial without an outcome no longer keeps others from trying. */
inline constexpr duration trial_timeout = std::chrono::seconds{3};
/*! @brief Time for which parts are held back first; each further time is longer by `hold_time_factor`. */
inline constexpr duration first_hold_time = std::chrono::seconds{15};
inline constexpr int hold_time_factor = 6;
inline constexpr duration max_hold_time = std::chrono::minutes{10};
/*! @brief `Retry-After` of a request whose part is on trial: the time of a usual first event. */
inline constexpr duration trial_retry_after = std::chrono::milliseconds{500};
/*! @brief Rows of each table, at most; the oldest is evicted. */
inline constexpr std::size_t max_crash_records = 256U;
inline constexpr std::size_t max_crash_parts = 256U;
inline constexpr std::size_t max_served_parts = 4096U;
inline constexpr std::size_t max_held_parts = 64U;

/*! @brief A backend server that ended. */
struct server_crash {
    time_point m_at{};
    /*! @brief Parts of the requests there that had not begun their answers, and were answered nowhere since. */
    std::vector<part_id> m_parts{};
};

/*! @brief Parts that are held back together, as no request has told them apart. */
struct held_parts {
    std::vector<part_id> m_parts{};
    time_point m_until{};
    /*! @brief How often they have been held back. */
    std::uint32_t m_holds{};
    /*! @brief Backend server that ended during the trial. */
    incarnation_id m_server{};
};

/*! @brief Evidence and verdicts on parts. */
struct part_table {
    std::unordered_map<incarnation_id, server_crash> m_crashes{};
    /*! @brief Ended servers by part that no other held part explains; derived from `m_crashes` and `m_held`. */
    std::unordered_map<part_id, std::uint32_t> m_counts{};
    /*! @brief Parts of all crashes and verdicts; derived as well. */
    std::unordered_set<part_id> m_recorded{};
    /*! @brief When each part was last answered. */
    std::unordered_map<part_id, time_point> m_served{};
    std::vector<held_parts> m_held{};
    /*! @brief Until when a trial of a part is in progress, here or at another gateway. */
    std::unordered_map<part_id, time_point> m_trials{};
};

/*! @brief What to do with a request. */
enum class part_decision : std::uint8_t {
    admit,
    /*! @brief Send it as the only one with its suspect parts. */
    trial,
    /*! @brief Refuse it. */
    refuse,
};

/*! @brief Decision on a request, with its reason. */
struct part_admission {
    part_decision m_decision{part_decision::admit};
    /*! @brief Parts that are suspect or held back; empty if it is admitted. */
    std::vector<part_id> m_parts{};
    /*! @brief Time after which a refused request may be admitted. */
    duration m_retry_after{};
    bool m_is_held{false};
};

/**
 * @brief Records that a backend server ended, or adds what another gateway saw of the same end.
 * @param parts Parts of requests there that had not begun their answers. Those that were answered within
 * `served_window` are left out.
 * @return The parts that were not recorded before.
 */
auto add_crash(part_table& table, incarnation_id server, std::span<const part_id> parts, time_point now)
    -> std::vector<part_id>;

/*! @brief Removes the record of a backend server that has answered `alive_delay` after it seemed to end, and the
 * verdicts that rest on it. @return Whether there was one. */
auto remove_crash(part_table& table, incarnation_id server, time_point now) -> bool;

/*! @brief Records that a request with these parts was answered. @return The parts that were under evidence or held back
 * and are no longer. */
auto add_served(part_table& table, std::span<const part_id> parts, time_point now) -> std::vector<part_id>;

/*! @brief Decides on a request with these parts. */
[[nodiscard]] auto admit(const part_table& table, std::span<const part_id> parts, time_point now) -> part_admission;

/*! @brief Records that a trial of these parts begins, here or at another gateway. */
auto begin_trial(part_table& table, std::span<const part_id> parts, time_point now) -> void;

/*! @brief Records that a trial of these parts ended without an outcome. */
auto end_trial(part_table& table, std::span<const part_id> parts) -> void;

/*! @brief Holds parts back after the backend server of their trial has ended. Parts that were held back together with
 * others which this trial lacked are told apart from them.
 * @return The verdict; without parts if none of them has a crash left and was held back before, so that nothing speaks
 * against them. */
auto hold(part_table& table, std::span<const part_id> parts, incarnation_id server, time_point now) -> held_parts;

/*! @brief Merges the verdict of another gateway. @return Whether it changed the own ones. */
auto merge_hold(part_table& table, const held_parts& other) -> bool;

/*! @brief Returns the number of ended servers that speak against a part. */
[[nodiscard]] auto count_crashes(const part_table& table, part_id part) noexcept -> std::uint32_t;

/*! @brief Evicts crashes, trials and verdicts that have expired. */
auto evict_expired(part_table& table, time_point now) -> void;

} // namespace rhubarbwharf::routing
