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

/*! @brief Retries that a former process of this gateway may have sent. */
struct inherited_retries {
    std::size_t m_count{};
    /*! @brief Time until which they count. */
    time_point m_until{};
};

/*! @brief Fraction of its part that a gateway may spend. The rest is for gateways that start and do not know what their
 * predecessors have spent. */
inline constexpr double usable_budget_fraction = 0.8;
/*! @brief Longest time from the sending of a retry to its arrival: a connection may have to be opened first. Retries
 * count for the window and this time, as two that are sent farther apart may arrive within one window. */
inline constexpr duration max_arrival_delay = std::chrono::milliseconds{500};

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
    /*! @brief Fraction of its part that this gateway may spend; see `part_of_budget`. */
    double m_usable_fraction{usable_budget_fraction};
    duration m_window{std::chrono::seconds{10}};
    /*! @brief Times of the first attempts in the window, oldest first. */
    std::deque<time_point> m_requests{};
    /*! @brief Times at which retries were sent, oldest first. */
    std::deque<time_point> m_retries{};
    /*! @brief Retries that were granted and not sent yet. */
    std::size_t m_granted{};
    inherited_retries m_inherited{};
};

/*! @brief Retries of one service that a process of a gateway has told to count. */
struct told_retries {
    /*! @brief Incarnation of the process. */
    std::uint64_t m_incarnation{};
    std::size_t m_count{};
    time_point m_told_at{};
};

/*! @brief Accepts what a gateway tells. A process that has started and does not know what its predecessor spent tells
 * less; the larger number stays until it has expired.
 * @param lifetime Time for which a retry counts. */
auto merge_told(told_retries& known, const told_retries& update, duration lifetime) noexcept -> void;

/*! @brief What decides which part of the budgets a gateway may spend. */
struct budget_claim {
    /*! @brief Retries that all gateways together may send in a window in addition to the ratio. */
    double m_slack{};
    /*! @brief Most gateways that this one has known at one time within the last window, itself included. */
    std::size_t m_gateways{1};
    /*! @brief Time since this process started. */
    duration m_age{};
    /*! @brief Whether a peer has told what the predecessor of this process may have spent. */
    bool m_knows_predecessor{false};
    /*! @brief Time since the platform's store last answered this gateway. */
    duration m_store_silence{};
    /*! @brief Silence of the store after which other gateways may no longer count this one. */
    duration m_max_store_silence{};
};

/*! @brief Part of each budget that a gateway may spend. */
struct budget_part {
    double m_usable_fraction{};
    double m_extra_retries{};

    [[nodiscard]] auto operator==(const budget_part&) const noexcept -> bool = default;
};

/**
 * @brief Decides which part of the budgets a gateway may spend, so that the sum over all gateways stays within them
 * through restarts and while gateways do not know of each other.
 *
 * - A gateway that knows what its predecessor spent, or is older than a window, spends the usable fraction of its part.
 * - Until then it spends the remaining fraction of what its own requests earn, and none of the slack. However often a
 *   gateway restarts, these requests are counted once.
 * - A gateway that the store does not answer may have been removed from the others' lists, who then divide the slack
 *   without it. It takes none of the slack.
 */
[[nodiscard]] auto part_of_budget(const budget_claim& claim, duration window) noexcept -> budget_part;

/*! @brief Largest number of gateways known within a window. */
struct gateway_peak {
    struct sample {
        time_point m_at{};
        std::size_t m_gateways{};
    };

    /*! @brief Numbers that are not exceeded by a later one, oldest first. */
    std::deque<sample> m_samples{};
};

/*! @brief Adds a number of gateways. @return The largest one of the last window. A gateway that is no longer listed has
 * spent its part until then. */
[[nodiscard]] auto note_gateways(gateway_peak& peak, std::size_t gateways, duration window, time_point now)
    -> std::size_t;

/*! @brief Counts the first attempt of a request, which adds to the budget. */
auto record_request(service_retry_budget& budget, time_point now) -> void;

/*! @brief Returns the retries that count at a time: sent, granted, and inherited ones. */
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

/*! @brief Counts retries that a former process of this gateway may have sent; the largest number told counts.
 * @param until Time until which they count. */
auto inherit_retries(service_retry_budget& budget, std::size_t count, time_point until) -> void;

} // namespace rhubarbwharf::dispatch
