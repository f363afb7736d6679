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

/*! @brief Arrivals at the servers of one service. */
struct service_arrivals {
    /*! @brief When requests arrived first, in order. Requests that reached no server are missing, so that a bound that
     * rests on these is too strict rather than too lax. */
    std::vector<time_point> m_first{};
    /*! @brief When they arrived again, in order. */
    std::vector<time_point> m_repeats{};
};

/*! @brief Returns the arrivals at servers, of runners or of the others. */
[[nodiscard]] auto list_arrivals(const standin_site::site_observations& observations, bool at_runners)
    -> service_arrivals;

/*! @brief Repeats in the window in which they exceed the bound most. */
struct repeat_peak {
    std::size_t m_repeats{};
    /*! @brief Bound of that window; it counts the requests of that window, of the one before it, or of the one half a
     * window before it, whichever has most. */
    double m_allowed{};

    [[nodiscard]] auto is_exceeded() const noexcept -> bool { return static_cast<double>(m_repeats) > m_allowed; }
};

/*! @brief Finds the window in which the repeats at a service, from all gateways together, come closest to the bound, or
 * exceed it most. */
[[nodiscard]] auto find_repeat_peak(const service_arrivals& arrivals, const repeat_bounds& bounds) -> repeat_peak;

} // namespace rhubarbwharf::soak
