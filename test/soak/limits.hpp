#pragma once

#include <functional>
#include <span>
#include <string>
#include <vector>

#include <soak/fleet.hpp>

namespace rhubarbwharf::soak {

/*! @brief Time after a limit was first named from which it counts. */
inline constexpr duration limit_notice_time = std::chrono::seconds{3};
/*! @brief Time in which a server may get one and a half times its limit, and `excess_arrivals`. */
inline constexpr duration limit_window = std::chrono::seconds{4};
inline constexpr double excess_arrivals = 5.0;

/*! @brief Returns the number of requests that a server may get in a window. */
[[nodiscard]] auto allowed_arrivals(double per_s) -> double;

/*! @brief Returns the largest number of arrivals in a window, from a time on.
 * @param is_excused Tells whether the window between two times is left out. */
[[nodiscard]] auto max_in_window(std::span<const time_point> arrivals, time_point from,
                                 const std::function<bool(time_point, time_point)>& is_excused) -> std::size_t;

/*! @brief Limits that servers named, and those that were exceeded. */
struct limit_report {
    std::vector<std::string> m_lines{};
    /*! @brief Periods that lasted long enough to be checked. */
    std::size_t m_checked{};
};

/*! @brief Finds the limits that gateways exceeded, apart from windows with a killed, frozen or starting gateway, and
 * the notice time after one. */
[[nodiscard]] auto find_exceeded_limits(const std::vector<daemon>& daemons,
                                        const standin_site::site_observations& observations) -> limit_report;

} // namespace rhubarbwharf::soak
