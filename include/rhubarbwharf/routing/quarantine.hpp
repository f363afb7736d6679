#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/routing/fwd.hpp>

namespace rhubarbwharf::routing {

/*! @brief Crashes after which a request is quarantined. */
inline constexpr std::uint32_t quarantine_crash_threshold = 2;
/*! @brief Maximum number of entries in the table; the one that expires first is evicted. */
inline constexpr std::size_t max_quarantine_entries = 4096;

/*! @brief Crashes during which one request was running. */
struct crash_record {
    /*! @brief Crashes that this process observed. */
    std::uint32_t m_local_crashes{};
    /*! @brief Crashes that other processes observed, by the digest of the process. */
    std::unordered_map<std::uint64_t, std::uint32_t> m_remote_crashes{};
    time_point m_expires{};
};

/*! @brief Requests that were running when a backend server crashed, by keyed digest. */
struct quarantine {
    std::unordered_map<std::uint64_t, crash_record> m_rows{};
};

/**
 * @brief Records that a request was running during a crash.
 * @param digest Keyed digest of the request.
 * @param expires When the record expires; an earlier time does not shorten it.
 * @return Crashes that this process has observed.
 */
auto record_crash(quarantine& table, std::uint64_t digest, time_point expires) -> std::uint32_t;

/**
 * @brief Merges the count of another process. A count never decreases, and the counts of all processes are added up.
 * @param digest Keyed digest of the request.
 * @param source Digest of the other process: of its name and incarnation where a process forgets its count when it
 * restarts, as the count of the new one begins anew.
 * @param crashes Crashes that the other process has observed.
 * @param expires When the record expires; an earlier time does not shorten it.
 * @return True if the count of `source` increased.
 */
auto merge_remote_crashes(quarantine& table, std::uint64_t digest, std::uint64_t source, std::uint32_t crashes,
                          time_point expires) -> bool;

/**
 * @brief Records that a request was running when a backend server crashed. Several processes, or several attempts of
 * the request, may tell of the same crash; it counts once.
 * @param digest Digest of the request.
 * @param server Digest of the server's incarnation; takes the place of a process as the source of a count.
 * @param expires When the record expires; an earlier time does not shorten it.
 * @return Whether this crash was not recorded before.
 */
auto record_server_crash(quarantine& table, std::uint64_t digest, std::uint64_t server, time_point expires) -> bool;

/*! @brief Removes what rests on the crash of a backend server that has turned out to live.
 * @param server Digest of the server's incarnation. */
auto withdraw_server_crash(quarantine& table, std::uint64_t server) -> void;

/*! @brief Removes the record of a request, also if it is quarantined: it was answered completely, so that it crashes no
 * server. @return Whether there was one. */
auto remove_crashes(quarantine& table, std::uint64_t digest) -> bool;

/*! @brief Crashes that one process has observed, or that an incarnation of a backend server had. */
struct crash_count {
    std::uint64_t m_source{};
    std::uint32_t m_crashes{};
};

/*! @brief Crashes during which one request was running, as they are told to another process. */
struct crash_report {
    std::uint64_t m_digest{};
    /*! @brief Time until the record expires; zero if it has. An expired record counts again after the next crash. */
    duration m_remaining{};
    std::vector<crash_count> m_counts{};
};

/*! @brief Lists the records for a process that starts, those that expire last first.
 * @param own_source Digest of this process. @param max_reports Number of reports, at most. */
[[nodiscard]] auto list_crashes(const quarantine& table, std::uint64_t own_source, time_point now,
                                std::size_t max_reports) -> std::vector<crash_report>;

/*! @brief Merges a report of another process. Merging it again, or from several processes, changes nothing.
 * @param own_source Digest of this process, whose own count is not merged.
 * @return Whether a count has increased. */
auto merge_report(quarantine& table, const crash_report& report, std::uint64_t own_source, time_point now) -> bool;

/*! @brief Removes the record of a request that succeeded, unless the request is quarantined. @param digest Keyed
 * digest of the request. */
auto clear_crashes(quarantine& table, std::uint64_t digest) -> void;

/*! @brief Counts the crashes that all processes have observed. @param digest Keyed digest of the request.
 * @return The count; 0 if the record has expired. */
[[nodiscard]] auto count_crashes(const quarantine& table, std::uint64_t digest, time_point now) noexcept
    -> std::uint32_t;

/*! @brief Tells whether a request is quarantined. @param digest Keyed digest of the request. */
[[nodiscard]] auto is_quarantined(const quarantine& table, std::uint64_t digest, time_point now) noexcept -> bool;

/*! @brief Evicts expired records. */
auto evict_expired(quarantine& table, time_point now) -> void;

} // namespace rhubarbwharf::routing
