#pragma once

#include <chrono>

namespace rhubarbwharf {

/*! @brief Steady time within one process, in microseconds. Decisions take it as an argument. */
using duration = std::chrono::microseconds;

/*! @brief Clock type that only names the steady time points of decisions; it has no `now`. */
struct logical_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<logical_clock>;
    static constexpr bool is_steady = true;
};

/*! @brief Steady point in time, as decisions see it. */
using time_point = logical_clock::time_point;

/*! @brief Wall-clock time in milliseconds since the Unix epoch. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/**
 * @brief Reads the steady clock. Only shells call it.
 * @return The steady time.
 */
[[nodiscard]] inline auto steady_now() noexcept -> time_point {
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since)};
}

/**
 * @brief Reads the wall clock. Only shells call it.
 * @return The wall-clock time.
 */
[[nodiscard]] inline auto wall_now() noexcept -> wall_time {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace rhubarbwharf
