#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>

namespace rhubarbwharf::dispatch {

/*! @brief A request that waits for a backend server with room. */
struct waiting {
    request_id m_request{};
    /*! @brief Rank, 0 first. */
    unsigned m_priority{};
    time_point m_since{};
    /*! @brief Latest time to be sent at which the answer is still on time. */
    time_point m_useful_until{};
    /*! @brief Latest time to be sent at which there is still an answer. */
    time_point m_until{};
};

/*! @brief Requests of one service that wait, and how fast places come free. */
struct wait_queue {
    std::vector<waiting> m_rows{};
    /*! @brief Requests sent a second, smoothed over about a second, at `m_rate_at`. */
    double m_send_rate{};
    time_point m_send_rate_updated{};
};

/*! @brief Notes that a request was sent. @param queue The queue. @param now The time. */
auto note_sent(wait_queue& queue, time_point now) noexcept -> void;

/*! @brief Returns the requests sent a second lately. @param queue The queue. @param now The time. @return The rate. */
[[nodiscard]] auto rate(const wait_queue& queue, time_point now) noexcept -> double;

/**
 * @brief Estimates how long a request would wait behind those that `order` puts before it.
 * @param queue The queue.
 * @param wanted The request.
 * @param now The time.
 * @return The time; no more than `longest_estimate`.
 */
[[nodiscard]] auto expected_wait(const wait_queue& queue, const waiting& request, time_point now) noexcept -> duration;

/*! @brief Longest wait of a request that can no longer be on time, as one that came back after a refusal: it yields to
 * all that still can, so that in overload it would wait without end. */
inline constexpr duration late_wait = std::chrono::milliseconds{600};

/*! @brief Share of the time in which a request can be sent usefully that the wait expected at its arrival may take: a
 * line that fills this time whole makes every answer late as soon as the estimate errs. */
inline constexpr double max_expected_wait_fraction = 0.6;

/*! @brief Longest wait that is told apart from "never". */
inline constexpr duration max_wait_estimate = std::chrono::seconds{10};

/**
 * @brief Decides whether a request may wait. Answers overload: one that would be sent too late to be of use is refused
 * at once, so that a place goes to one that can still be on time.
 * @param queue The queue.
 * @param wanted The request.
 * @param now The time.
 * @return Nothing if it may wait; else the time after which a place is expected.
 */
[[nodiscard]] auto refuse_after(const wait_queue& queue, const waiting& request, time_point now)
    -> std::optional<duration>;

/*! @brief Lets a request wait. @param queue The queue. @param entry The request. */
auto push(wait_queue& queue, const waiting& entry) -> void;

/**
 * @brief Lists those that wait in the order in which places go to them: by rank, those that can be on time first, then
 * the ones that wait longest.
 * @param queue The queue.
 * @param now The time.
 * @return The requests.
 */
[[nodiscard]] auto order(const wait_queue& queue, time_point now) -> std::vector<waiting>;

/*! @brief Takes a request out. @param queue The queue. @param request The request. @return Whether it was there. */
auto erase(wait_queue& queue, request_id request) -> bool;

/*! @brief Takes out those whose time to be sent has passed. @param queue The queue. @param now The time.
 * @return The requests. */
[[nodiscard]] auto expire(wait_queue& queue, time_point now) -> std::vector<waiting>;

} // namespace rhubarbwharf::dispatch
