#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>

namespace rhubarbwharf::dispatch {

/*! @brief A request that waits for a backend server with capacity. */
struct waiting_request {
    request_id m_request{};
    /*! @brief Priority rank; 0 is sent first. */
    unsigned m_priority{};
    /*! @brief When the request arrived. */
    time_point m_arrived{};
    /*! @brief Latest time of sending at which the answer meets its latency target. */
    time_point m_on_time_deadline{};
    /*! @brief Latest time of sending at which the request can still be answered. */
    time_point m_send_deadline{};
    /*! @brief Digest of the backend servers that it may use; 0 for all of the service. */
    std::uint64_t m_group{};
    /*! @brief Number of kinds of route of the service that are more urgent. */
    unsigned m_urgency{};
};

/*! @brief Waiting requests of one service, and the rate at which requests are sent. */
struct wait_queue {
    /*! @brief In order of insertion. */
    std::vector<waiting_request> m_waiting{};
    /*! @brief Requests sent per second, exponentially smoothed over about a second, at the time `m_send_rate_updated`.
     */
    double m_send_rate{};
    time_point m_send_rate_updated{};
};

/*! @brief What came of the try to send one waiting request. */
enum class send_result : std::uint8_t {
    /*! @brief It was sent or refused, and waits no longer. */
    ended,
    /*! @brief No backend server that could run it has capacity now. */
    no_capacity,
    /*! @brief No backend server is left that could run it. */
    no_server,
};

/*! @brief Requests of a group that may lack capacity before the others of the group are not tried; the servers that
 * they lack are mostly the same. */
inline constexpr unsigned max_send_misses = 4U;

/**
 * @brief Tries to send the waiting requests one after the other.
 *
 * Load pattern: requests that may use the servers of one region only wait before others, and that region is full. They
 * do not keep those behind them from free servers elsewhere.
 */
struct send_scan {
    /*! @brief Requests that lacked capacity, by group. */
    std::map<std::uint64_t, unsigned> m_misses{};
};

/*! @brief Tells whether a request of a group is tried. */
[[nodiscard]] auto is_tried(const send_scan& scan, std::uint64_t group) noexcept -> bool;

/*! @brief Records a try. @return Whether any request behind it is tried: not if those that may use all servers lack
 * capacity. */
[[nodiscard]] auto continues_after(send_scan& scan, send_result result, std::uint64_t group = 0U) -> bool;

/*! @brief Records that a request was sent, which raises the send rate. */
auto record_sent(wait_queue& queue, time_point now) noexcept -> void;

/*! @brief Returns the smoothed requests sent per second. */
[[nodiscard]] auto send_rate(const wait_queue& queue, time_point now) noexcept -> double;

/**
 * @brief Estimates how long a request would wait behind the waiting requests that are sent before it.
 * @return The time; at most `max_wait_estimate`.
 */
[[nodiscard]] auto expected_wait(const wait_queue& queue, const waiting_request& request, time_point now) noexcept
    -> duration;

/*! @brief Upper bound of the time left that is assumed on arrival for a request that can no longer meet its latency
 * target, such as one retried by its caller after a refusal. It yields to all requests that still can, so under
 * overload it would wait until it expires. */
inline constexpr duration max_late_wait = std::chrono::milliseconds{600};

/*! @brief Fraction of the time left to send a request usefully that its expected wait may take on arrival. If the queue
 * used all of it, any error of the estimate would make every answer late. */
inline constexpr double max_expected_wait_fraction = 0.6;

/*! @brief Upper bound of estimated waits; longer ones are not distinguished. */
inline constexpr duration max_wait_estimate = std::chrono::seconds{10};

/**
 * @brief Decides whether a request may wait. Under overload, a request that would be sent too late to be useful is
 * refused immediately, so that its slot goes to one that can still be on time.
 * @return Empty if the request may wait; otherwise the time after which a slot is expected.
 */
[[nodiscard]] auto refusal_retry_after(const wait_queue& queue, const waiting_request& request, time_point now)
    -> std::optional<duration>;

/*! @brief Adds a request to the queue. */
auto push(wait_queue& queue, const waiting_request& entry) -> void;

/**
 * @brief Lists the waiting requests in the order in which they are sent: by rank, then those that can still be on time,
 * then by the urgency of their route, then by time of arrival, oldest first.
 *
 * Load pattern: a third of the servers is away, and routes of unlike urgency compete for the rest. A late answer helps
 * its caller little whatever the route, so that those that can still be on time go first.
 */
[[nodiscard]] auto send_order(const wait_queue& queue, time_point now) -> std::vector<waiting_request>;

/*! @brief Removes a request from the queue. @return False if it was not waiting. */
auto erase(wait_queue& queue, request_id request) -> bool;

/*! @brief Removes the requests whose latest time of sending has passed. @return The removed requests. */
[[nodiscard]] auto expire(wait_queue& queue, time_point now) -> std::vector<waiting_request>;

} // namespace rhubarbwharf::dispatch
