#pragma once

#include <cstdint>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/routing/fwd.hpp>

namespace rhubarbwharf::routing {

/*! @brief Failures in a row that open a breaker. */
inline constexpr std::uint32_t breaker_failure_threshold = 5;
/*! @brief Time that a breaker stays open at first; it doubles with each further failure. */
inline constexpr duration min_breaker_open_time = std::chrono::seconds{1};
/*! @brief Longest time that a breaker stays open. */
inline constexpr duration max_breaker_open_time = std::chrono::seconds{30};

/*! @brief Holds requests back from a backend server that fails. */
struct breaker {
    /*! @brief Failures since the last success. */
    std::uint32_t m_failures{};
    /*! @brief Until when nothing passes; meaningful from `breaker_failures` on. */
    time_point m_open_until{};
    /*! @brief Whether the one trial after the open time is under way. */
    bool m_probe_in_progress{false};
};

/*! @brief Tells whether a request may pass. @param state The breaker. @param now The time. @return Whether it may. */
[[nodiscard]] auto passes(const breaker& state, time_point now) noexcept -> bool;

/*! @brief Notes that a request passed. @param state The breaker. */
auto pass(breaker& state) noexcept -> void;

/*! @brief Notes a success, which closes the breaker. @param state The breaker. */
auto succeed(breaker& state) noexcept -> void;

/*! @brief Notes an end that says nothing of the backend server's health. @param state The breaker. */
auto release(breaker& state) noexcept -> void;

/*! @brief Notes a failure. @param state The breaker. @param now The time. */
auto fail(breaker& state, time_point now) noexcept -> void;

/*! @brief Opens at once, as when the backend server can't be reached. @param state The breaker. @param now The time. */
auto trip(breaker& state, time_point now) noexcept -> void;

} // namespace rhubarbwharf::routing
