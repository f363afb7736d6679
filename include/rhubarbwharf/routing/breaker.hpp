#pragma once

#include <cstdint>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/routing/fwd.hpp>

namespace rhubarbwharf::routing {

/*! @brief Consecutive failures that open a breaker. */
inline constexpr std::uint32_t breaker_failure_threshold = 5;
/*! @brief Time that a breaker first stays open; it doubles with each further failure. */
inline constexpr duration min_breaker_open_time = std::chrono::seconds{1};
/*! @brief Longest time that a breaker stays open. */
inline constexpr duration max_breaker_open_time = std::chrono::seconds{30};

/*! @brief Circuit breaker that keeps requests from a failing backend server. */
struct breaker {
    /*! @brief Failures since the last success. */
    std::uint32_t m_consecutive_failures{};
    /*! @brief End of the open time; meaningful once `breaker_failure_threshold` is reached. */
    time_point m_open_until{};
    /*! @brief Whether the single probe after the open time is in progress. */
    bool m_probe_in_progress{false};
};

/*! @brief Tells whether a request may be sent: the breaker is closed, or its open time is over and no probe is in
 * progress. */
[[nodiscard]] auto allows_request(const breaker& state, time_point now) noexcept -> bool;

/*! @brief Records that a request is sent; on a breaker that has opened, this request is the probe. */
auto record_attempt(breaker& state) noexcept -> void;

/*! @brief Records a success, which closes the breaker. */
auto record_success(breaker& state) noexcept -> void;

/*! @brief Ends a probe whose result says nothing about the health of the backend server. */
auto release_probe(breaker& state) noexcept -> void;

/*! @brief Records a failure, which opens the breaker once the threshold is reached. */
auto record_failure(breaker& state, time_point now) noexcept -> void;

/*! @brief Opens the breaker immediately, as when the backend server is unreachable. */
auto trip(breaker& state, time_point now) noexcept -> void;

} // namespace rhubarbwharf::routing
