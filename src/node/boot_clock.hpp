#pragma once

#include <ctime>

#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::node {

/*! @brief Reads the boot-time clock, which also counts the time in which the machine is suspended. Differences of it
 * are elapsed time where those of the steady clock may be too short. */
[[nodiscard]] inline auto boot_now() noexcept -> time_point {
    timespec out{};
    clock_gettime(CLOCK_BOOTTIME, &out);
    const std::chrono::nanoseconds since_boot =
        std::chrono::seconds{out.tv_sec} + std::chrono::nanoseconds{out.tv_nsec};
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

} // namespace rhubarbwharf::node
