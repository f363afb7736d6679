#pragma once

#include <cstddef>
#include <deque>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>

namespace rhubarbwharf::dispatch {

/*! @brief Retry budget of one service over a sliding window. Each gateway spends its own part without coordination. */
struct service_retry_budget {
    /*! @brief Retries allowed per request in the window. */
    double m_retry_ratio{0.2};
    /*! @brief Retries that this gateway may send in a window in addition to the ratio. */
    double m_extra_retries{};
    duration m_window{std::chrono::seconds{10}};
    /*! @brief Times of the first attempts in the window, oldest first. */
    std::deque<time_point> m_requests{};
    /*! @brief Times of the retries in the window, oldest first. */
    std::deque<time_point> m_retries{};
};

/*! @brief Fraction of the budget that is spent, so that an observer whose window is offset does not see it exceeded. */
inline constexpr double usable_budget_fraction = 0.8;

/*! @brief Counts the first attempt of a request, which adds to the budget. */
auto record_request(service_retry_budget& budget, time_point now) -> void;

/*! @brief Spends one retry if the budget allows it. @return False if the budget is exhausted. */
[[nodiscard]] auto try_acquire_retry(service_retry_budget& budget, time_point now) -> bool;

} // namespace rhubarbwharf::dispatch
