#pragma once

#include <cstddef>
#include <deque>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>

namespace rhubarbwharf::dispatch {

/*! @brief Budget of repeats to one service that all gateways share without talking: each keeps to its own part. */
struct repeat_budget {
    /*! @brief Repeats over requests in a window. */
    double m_ratio{0.2};
    /*! @brief Repeats in a window beyond the ratio that this gateway may send. */
    double m_slack{};
    duration m_window{std::chrono::seconds{10}};
    std::deque<time_point> m_requests{};
    std::deque<time_point> m_retries{};
};

/*! @brief Part of the budget that is used, so that differing views of the window do not pass the limit. */
inline constexpr double usable_budget_fraction = 0.8;

/*! @brief Notes the first sending of a request. @param budget The budget. @param now The time. */
auto note_request(repeat_budget& budget, time_point now) -> void;

/*! @brief Takes a repeat from the budget. @param budget The budget. @param now The time. @return Whether it may be
 * sent. */
[[nodiscard]] auto take_repeat(repeat_budget& budget, time_point now) -> bool;

} // namespace rhubarbwharf::dispatch
