#pragma once

#include <cstdint>
#include <unordered_map>

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
    /*! @brief Crashes that other processes observed, by the hash of the process name. */
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
 * @param source Hash of the other process's name.
 * @param crashes Crashes that the other process has observed.
 * @param expires When the record expires; an earlier time does not shorten it.
 * @return True if the count of `source` increased.
 */
auto merge_remote_crashes(quarantine& table, std::uint64_t digest, std::uint64_t source, std::uint32_t crashes,
                          time_point expires) -> bool;

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
