#pragma once

#include <cstdint>
#include <unordered_map>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/routing/fwd.hpp>

namespace rhubarbwharf::routing {

/*! @brief Crashes after which a request is held back. */
inline constexpr std::uint32_t quarantine_crashes = 2;
/*! @brief Rows that the table holds at most. */
inline constexpr std::size_t max_quarantine_entries = 4096;

/*! @brief Crashes at which a request was running. */
struct crash_record {
    /*! @brief Those that this process saw. */
    std::uint32_t m_local_crashes{};
    /*! @brief Those that others saw, by the hash of their name. */
    std::unordered_map<std::uint64_t, std::uint32_t> m_remote_crashes{};
    time_point m_expires{};
};

/*! @brief Requests that were running when a backend server crashed, by keyed digest. */
struct quarantine {
    std::unordered_map<std::uint64_t, crash_record> m_rows{};
};

/**
 * @brief Notes that a request was running at a crash.
 * @param table The table.
 * @param content Keyed digest of the request.
 * @param until When it may be forgotten.
 * @return Crashes that this process has seen.
 */
auto blame(quarantine& table, std::uint64_t digest, time_point expires) -> std::uint32_t;

/**
 * @brief Takes over what another process has seen; its count never falls, and the counts of all add up.
 * @param table The table.
 * @param content Keyed digest of the request.
 * @param source Hash of the other process's name.
 * @param crashes Crashes that it has seen.
 * @param until When it may be forgotten.
 * @return Whether the table changed.
 */
auto merge(quarantine& table, std::uint64_t digest, std::uint64_t source, std::uint32_t crashes, time_point expires)
    -> bool;

/*! @brief Notes that a request ended well, which clears it below the limit. @param table The table.
 * @param content Keyed digest of the request. */
auto clear(quarantine& table, std::uint64_t digest) -> void;

/*! @brief Returns the crashes that all have seen of a request. @param table The table. @param content Keyed digest.
 * @param now The time. @return The count. */
[[nodiscard]] auto crashes(const quarantine& table, std::uint64_t digest, time_point now) noexcept -> std::uint32_t;

/*! @brief Tells whether a request is held back. @param table The table. @param content Keyed digest.
 * @param now The time. @return Whether it is. */
[[nodiscard]] auto is_held(const quarantine& table, std::uint64_t digest, time_point now) noexcept -> bool;

/*! @brief Forgets what has run out. @param table The table. @param now The time. */
auto sweep(quarantine& table, time_point now) -> void;

} // namespace rhubarbwharf::routing
