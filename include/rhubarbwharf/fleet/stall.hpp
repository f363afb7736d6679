#pragma once

#include <vector>

#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::fleet {

/*! @brief Shortest time without a check that counts as a stall; several intervals of a process that is merely busy. */
inline constexpr duration min_stall = std::chrono::milliseconds{200};
/*! @brief Time after a stall, beyond its own length, in which data that was sent during the stall may still arrive: a
 * peer repeats what was not acknowledged at intervals of at most the time that has passed. */
inline constexpr duration stall_aftermath = std::chrono::milliseconds{500};

/*! @brief Time in which this process stood still. */
struct stall_period {
    /*! @brief Last check before the stall. A suspension, which the steady clock does not count, moves it back. */
    time_point m_began{};
    /*! @brief First check after it. */
    time_point m_ended{};
    /*! @brief Time up to which data that is handled may have arrived during the stall. */
    time_point m_handled_until{};
};

/*! @brief Times in which this process stood still recently. All times are of the steady clock. */
struct stall_record {
    /*! @brief Last check; the epoch before the first one. */
    time_point m_checked_at{};
    /*! @brief Lead of the boot-time clock, which counts suspensions of the machine, over the steady clock. */
    duration m_boot_clock_lead{};
    /*! @brief In order. Time in which the process stands still again does not count towards the end of a former one. */
    std::vector<stall_period> m_periods{};
};

/*! @brief Length of a stall that a check has found. */
struct stall {
    /*! @brief Whole length; zero if the process has not stood still. */
    duration m_length{};
    /*! @brief Part of it that the steady clock did not count. */
    duration m_suspended{};
};

/*! @brief Records that the process runs.
 * @param boot_clock_lead Lead of the boot-time clock over the steady clock at `now`. */
[[nodiscard]] auto check_running(stall_record& record, time_point now, duration boot_clock_lead) -> stall;

/*! @brief When something that is handled now reached this machine. */
struct arrival_time {
    /*! @brief The time, or a lower bound of it. */
    time_point m_earliest{};
    bool m_is_exact{false};
};

/*! @brief Returns when data that is handled now reached this machine: now, or at any time since the beginning of a
 * stall that has just ended. */
[[nodiscard]] auto arrival_of(const stall_record& record, time_point now) noexcept -> arrival_time;

/*! @brief Checks whether a stall has just ended, so that what others have sent since may not have been handled yet.
 * @param length Shortest length of a stall that counts. @param within Time since its end. */
[[nodiscard]] auto has_just_stalled(const stall_record& record, time_point now, duration length,
                                    duration within) noexcept -> bool;

} // namespace rhubarbwharf::fleet
