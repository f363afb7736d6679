#pragma once

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>

namespace rhubarbwharf::dispatch {

/*! @brief Consecutive failures after which a backend server is ejected. */
inline constexpr unsigned max_consecutive_failures = 3;
/*! @brief Duration of the first ejection; it doubles with each further one. */
inline constexpr duration min_ejection_time = std::chrono::milliseconds{700};
/*! @brief Longest ejection, and so the longest time until a restarted backend server is probed. */
inline constexpr duration max_ejection_time = std::chrono::milliseconds{4'000};
/*! @brief Weight of the newest request in the exponentially smoothed failure rate. */
inline constexpr double failure_rate_smoothing = 0.12;
/*! @brief Excess of the failure rate over the mean of the service beyond which a backend server is ejected. */
inline constexpr double max_failure_rate_excess = 0.22;
/*! @brief Requests needed before the failure rate can cause an ejection. */
inline constexpr unsigned min_failure_samples = 6;

/*! @brief Health of a backend server as one gateway observes it. */
struct health {
    /*! @brief Failures since the last success. */
    unsigned m_consecutive_failures{};
    /*! @brief Exponentially smoothed fraction of requests that failed. */
    double m_failure_rate{};
    /*! @brief Requests that count in the failure rate, since the last ejection. */
    unsigned m_samples{};
    /*! @brief Ejections since the last success. */
    unsigned m_ejections{};
    time_point m_ejected_until{};
    /*! @brief Whether the single request that probes it after an ejection is in progress. */
    bool m_probe_in_progress{false};
};

/*! @brief Records a successful request, which ends a probe and resets the ejection time. */
auto record_success(health& state) noexcept -> void;

/**
 * @brief Records a failed request. Ejects the backend server after a failed probe, too many consecutive failures or a
 * failure rate far above that of its service.
 * @param service_rate Mean failure rate of the other backend servers of the service.
 * @return True if this failure ejects it.
 */
auto record_failure(health& state, double service_rate, time_point now) noexcept -> bool;

/*! @brief Ejects a backend server immediately, as when no connection can be made. */
auto eject(health& state, time_point now) noexcept -> void;

/*! @brief Records that a request is sent; after an ejection has ended, this request is the probe. */
auto record_attempt(health& state, time_point now) noexcept -> void;

/*! @brief Ends a probe without a result, as when the client disconnected. */
auto release_probe(health& state) noexcept -> void;

/*! @brief Tells whether a backend server may be sent requests. False while it is ejected or probed. */
[[nodiscard]] auto is_usable(const health& state, time_point now) noexcept -> bool;

} // namespace rhubarbwharf::dispatch
