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
struct queued_request {
    request_id m_request{};
    organisation_id m_organisation{};
    /*! @brief Orders the requests of one organisation; higher ones are sent first. */
    std::uint8_t m_priority{};
    /*! @brief Latest time at which it may be sent. */
    time_point m_send_deadline{};
};

/*! @brief Waiting requests of one organisation, and the service it has received. */
struct organisation_queue {
    double m_weight{1.0};
    /*! @brief Requests served, divided by the weight. */
    double m_virtual_time{};
    /*! @brief By priority, then in order of insertion. */
    std::deque<queued_request> m_waiting{};
};

/*! @brief Weighted fair queue over organisations; shares that an organisation does not use are available to others. */
struct fair_queue {
    /*! @brief Indexed by `organisation_id`. */
    std::vector<organisation_queue> m_organisations{};
    /*! @brief Waiting requests of all organisations. */
    std::size_t m_size{};
    /*! @brief Highest virtual time at which an organisation was served. */
    double m_virtual_time{};
    /*! @brief Requests sent per second, exponentially smoothed, at the time `m_send_rate_updated`. */
    double m_send_rate{};
    time_point m_send_rate_updated{};
};

/*! @brief Result of adding a request to the queue. */
struct push_result {
    /*! @brief `ok` if it was queued, else `over_share` or `overloaded`. */
    code m_code{code::ok};
    /*! @brief Request that was removed to make space, from the organisation with the longest queue for its weight. */
    std::optional<queued_request> m_displaced{};
};

/*! @brief Sets the weight of an organisation. @param weight Above zero. */
auto set_weight(fair_queue& queue, organisation_id organisation, double weight) -> void;

/*! @brief Records that a request was sent, which raises the send rate. */
auto record_sent(fair_queue& queue, time_point now) noexcept -> void;

/**
 * @brief Returns how many requests may wait: a fixed part of those that can be sent within the longest wait at the
 * current rate, so that most requests that cannot be sent in time are refused immediately.
 * @param max_wait Longest time that a request waits.
 */
[[nodiscard]] auto queue_limit(const fair_queue& queue, time_point now, duration max_wait) noexcept -> std::size_t;

/**
 * @brief Adds a request, unless its organisation already has its share of the queue. If the queue is full, a request of
 * the organisation with the longest queue for its weight is displaced, provided that the queue of the added request's
 * organisation remains shorter for its weight.
 * @param max_size Maximum number of waiting requests of all organisations.
 */
[[nodiscard]] auto push(fair_queue& queue, const queued_request& entry, std::size_t max_size) -> push_result;

/**
 * @brief Removes the first request of the organisation with the lowest virtual time.
 * @return The request; empty if none waits.
 */
[[nodiscard]] auto pop(fair_queue& queue) -> std::optional<queued_request>;

/*! @brief Reverts `pop` for a request that could not be sent. */
auto undo_pop(fair_queue& queue, const queued_request& entry) -> void;

/*! @brief Charges an organisation for a request that was sent without waiting. */
auto charge_request(fair_queue& queue, organisation_id organisation) -> void;

/*! @brief Removes the requests whose latest time of sending has passed. @return The removed requests. */
[[nodiscard]] auto expire(fair_queue& queue, time_point now) -> std::vector<queued_request>;

/*! @brief Removes a request, as when its caller disconnected. @return False if it was not waiting. */
auto erase(fair_queue& queue, request_id request) -> bool;

} // namespace rhubarbwharf::routing
