#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/routing/fwd.hpp>

namespace rhubarbwharf::routing {

/*! @brief A request that waits for a backend server. */
struct queued {
    request_id m_request{};
    organisation_id m_organisation{};
    /*! @brief Orders the requests of one organisation; higher goes first. */
    std::uint8_t m_priority{};
    /*! @brief Latest time at which it may still be sent. */
    time_point m_until{};
};

/*! @brief What one organisation waits for and has used. */
struct organisation_queue {
    double m_weight{1.0};
    /*! @brief Work served so far over the weight. */
    double m_virtual_time{};
    std::deque<queued> m_waiting{};
};

/*! @brief Requests that wait, shared out between organisations by weight; unused shares are free to borrow. */
struct fair_queue {
    /*! @brief By `organisation_id`. */
    std::vector<organisation_queue> m_organisations{};
    std::size_t m_size{};
    /*! @brief Work served over the weight, of the organisation served last. */
    double m_virtual_time{};
    /*! @brief Smoothed requests sent a second, at `m_rate_at`. */
    double m_send_rate{};
    time_point m_send_rate_updated{};
};

/*! @brief What became of a request that wanted to wait. */
struct push_result {
    /*! @brief `ok` if it waits now, else `over_share` or `overloaded`. */
    code m_code{code::ok};
    /*! @brief A request that had to give up its place; its organisation had the longest queue for its weight. */
    std::optional<queued> m_displaced{};
};

/*! @brief Sets the weight of an organisation. @param queue The queue. @param organisation The organisation.
 * @param weight Its weight, above zero. */
auto set_weight(fair_queue& queue, organisation_id organisation, double weight) -> void;

/*! @brief Notes that a request was sent. @param queue The queue. @param now The time. */
auto note_sent(fair_queue& queue, time_point now) noexcept -> void;

/**
 * @brief Returns how many requests may wait: as many as were sent lately in the time that one may wait, so that most
 * of those that can't be sent in time are refused at once.
 * @param queue The queue.
 * @param now The time.
 * @param queue_time Longest time that a request waits.
 * @return The limit.
 */
[[nodiscard]] auto queue_limit(const fair_queue& queue, time_point now, duration max_wait) noexcept -> std::size_t;

/**
 * @brief Lets a request wait. In a full queue the organisation with the longest queue for its weight gives way.
 * @param queue The queue.
 * @param entry The request.
 * @param size_most Requests that may wait in all.
 * @return What became of it.
 */
[[nodiscard]] auto push(fair_queue& queue, const queued& entry, std::size_t max_size) -> push_result;

/**
 * @brief Takes the next request out: of the organisation that was served least for its weight.
 * @param queue The queue.
 * @return The request, or nothing.
 */
[[nodiscard]] auto pop(fair_queue& queue) -> std::optional<queued>;

/*! @brief Puts a request back that `pop` gave and that could not be sent. @param queue The queue.
 * @param entry The request. */
auto unpop(fair_queue& queue, const queued& entry) -> void;

/**
 * @brief Counts work for an organisation that was served without waiting.
 * @param queue The queue.
 * @param organisation The organisation.
 */
auto charge(fair_queue& queue, organisation_id organisation) -> void;

/**
 * @brief Takes out all that have waited too long.
 * @param queue The queue.
 * @param now The time.
 * @return The requests.
 */
[[nodiscard]] auto expire(fair_queue& queue, time_point now) -> std::vector<queued>;

/*! @brief Takes one request out, as when its caller left. @param queue The queue. @param request The request.
 * @return Whether it was there. */
auto erase(fair_queue& queue, request_id request) -> bool;

} // namespace rhubarbwharf::routing
