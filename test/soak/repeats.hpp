#pragma once

#include <span>
#include <string>
#include <vector>

#include <standin-site/site.hpp>

namespace rhubarbwharf::soak {

/*! @brief Bounds of the retry budgets, as settings name them. */
struct repeat_bounds {
    double m_ratio{0.2};
    double m_slack{};
    duration m_window{};
};

/*! @brief Returns when requests reached servers again that had reached one before, in order. @param at_runners Whether
 * those at runners are listed, or those at the other servers. */
[[nodiscard]] auto list_repeats(const standin_site::site_observations& observations, bool at_runners)
    -> std::vector<time_point>;

/*! @brief Repeats in the window in which they exceed the bound most. */
struct repeat_peak {
    std::size_t m_repeats{};
    /*! @brief Bound of that window; it counts the requests of that window, of the one before it, or of the one half a
     * window before it, whichever has most. */
    double m_allowed{};

    [[nodiscard]] auto is_exceeded() const noexcept -> bool { return static_cast<double>(m_repeats) > m_allowed; }
};

/**
 * @brief Finds the window in which the repeats at a service, from all gateways together, come closest to the bound, or
 * exceed it most.
 * @param requests When callers sent requests for the service, whether these reached a server or not; in order.
 * @param repeats As `list_repeats` returns them.
 */
[[nodiscard]] auto find_repeat_peak(std::span<const time_point> requests, std::span<const time_point> repeats,
                                    const repeat_bounds& bounds) -> repeat_peak;

} // namespace rhubarbwharf::soak
