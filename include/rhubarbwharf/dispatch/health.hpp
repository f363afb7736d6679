#pragma once

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>

namespace rhubarbwharf::dispatch {

/*! @brief Failures in a row, with nothing answered between them, after which a backend server is ejected. */
inline constexpr unsigned max_consecutive_failures = 3;
/*! @brief Time of the first ejection; it doubles with each further one. */
inline constexpr duration min_ejection_time = std::chrono::milliseconds{700};
/*! @brief Longest ejection; a restarted backend server is tried again within it. */
inline constexpr duration max_ejection_time = std::chrono::milliseconds{4'000};
/*! @brief Weight of the newest request in the smoothed failure rate. */
inline constexpr double failure_rate_smoothing = 0.12;
/*! @brief Failure rate above the mean of the service from which a backend server is ejected. */
inline constexpr double max_failure_rate_excess = 0.22;
/*! @brief Requests that a failure rate must rest on. */
inline constexpr unsigned min_failure_samples = 6;

/*! @brief What one gateway has seen of a backend server's health. */
struct health {
    /*! @brief Failures since the last answer. */
    unsigned m_consecutive_failures{};
    /*! @brief Smoothed share of requests that failed. */
    double m_rate{};
    unsigned m_samples{};
    /*! @brief Ejections since the last time it answered well. */
    unsigned m_ejections{};
    time_point m_ejected_until{};
    /*! @brief Whether the one request that tries it after an ejection is under way. */
    bool m_probe_in_progress{false};
};

/*! @brief Notes an answer that shows it works. @param state Its health. */
auto succeed(health& state) noexcept -> void;

/**
 * @brief Notes a request that it failed.
 * @param state Its health.
 * @param service_rate Mean failure rate of the service's other backend servers.
 * @param now The time.
 * @return Whether it is ejected by this.
 */
auto fail(health& state, double service_rate, time_point now) noexcept -> bool;

/*! @brief Ejects at once, as when no connection can be made. @param state Its health. @param now The time. */
auto eject(health& state, time_point now) noexcept -> void;

/*! @brief Notes that a request is sent, which is the trial if an ejection has just run out. @param state Its health.
 * @param now The time. */
auto begin(health& state, time_point now) noexcept -> void;

/*! @brief Ends a trial that showed nothing, as when the client left. @param state Its health. */
auto release(health& state) noexcept -> void;

/*! @brief Tells whether requests may be sent. @param state Its health. @param now The time. @return Whether so. */
[[nodiscard]] auto is_usable(const health& state, time_point now) noexcept -> bool;

} // namespace rhubarbwharf::dispatch
