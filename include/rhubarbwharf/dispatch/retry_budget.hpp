#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>

namespace rhubarbwharf::dispatch {

/*! @brief Why a request is sent to another backend server after one has got it. */
enum class retry_cause : std::uint8_t {
    /*! @brief The server refused it, failed, or broke off its response. */
    failure,
    /*! @brief Another server goes on with a stream of which the caller has got a part. */
    resumption,
    /*! @brief The server is silent, or slow; another one is asked as well. */
    hedge,
    /*! @brief It waited at a server whose version of the weights may no longer begin a request. */
    withdrawal,
};

[[nodiscard]] auto to_string(retry_cause value) noexcept -> std::string_view;

/**
 * @brief Retry budget of one service over a sliding window. Each gateway spends its own part of the budget.
 *
 * A retry is granted before it is sent, as it may wait in the queue, and counts from the grant until a window after it
 * was sent: a backend server counts arrivals.
 */
struct service_retry_budget {
    /*! @brief Retries allowed per request in the window. */
    double m_retry_ratio{0.2};
    /*! @brief Retries that this gateway may send in a window in addition to the ratio. */
    double m_extra_retries{};
    duration m_window{std::chrono::seconds{10}};
    /*! @brief Times of the first attempts in the window, oldest first. */
    std::deque<time_point> m_requests{};
    /*! @brief Times at which retries were sent, oldest first. */
    std::deque<time_point> m_retries{};
    /*! @brief Retries that were granted and not sent yet. */
    std::size_t m_granted{};
};

/*! @brief Fraction of the budget that is spent, so that an observer whose window is offset does not see it exceeded. */
inline constexpr double usable_budget_fraction = 0.8;
/*! @brief Longest time from the sending of a retry to its arrival: a connection may have to be opened first. Retries
 * count for the window and this time, as two that are sent farther apart may arrive within one window. */
inline constexpr duration max_arrival_delay = std::chrono::milliseconds{500};

/*! @brief Counts the first attempt of a request, which adds to the budget. */
auto record_request(service_retry_budget& budget, time_point now) -> void;

/*! @brief Returns the retries that count at a time: sent and granted ones. */
[[nodiscard]] auto count_retries(service_retry_budget& budget, time_point now) -> std::size_t;

/*! @brief Returns the retries that may count at a time. */
[[nodiscard]] auto count_allowed_retries(service_retry_budget& budget, time_point now) -> double;

/*! @brief Grants one retry if the budget allows it. @return False if the budget is exhausted. */
[[nodiscard]] auto try_grant_retry(service_retry_budget& budget, time_point now) -> bool;

/*! @brief Counts a retry that is sent now. @param granted Whether it was granted; it counts in any case. */
auto record_retry(service_retry_budget& budget, bool granted, time_point now) -> void;

/*! @brief Takes a grant back whose retry is not sent. */
auto withdraw_grant(service_retry_budget& budget) noexcept -> void;

/*! @brief Turns a retry into a grant again, as no byte of it was sent. @param sent_at When it was recorded.
 * @return False if it does not count any more. */
[[nodiscard]] auto restore_grant(service_retry_budget& budget, time_point sent_at) -> bool;

} // namespace rhubarbwharf::dispatch
