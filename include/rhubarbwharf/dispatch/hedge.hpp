#pragma once

#include <cstddef>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>

namespace rhubarbwharf::dispatch {

/*! @brief Longest pause between events before a second backend server is asked to resume a stream. */
inline constexpr duration event_gap_timeout = std::chrono::milliseconds{1'100};
/*! @brief Time beyond the route's latency target after which a second backend server is asked for a response that has
 * not begun. */
inline constexpr duration late_response_timeout = std::chrono::milliseconds{500};
/*! @brief Time after which a second backend server is asked for a response that has not begun, if the service has no
 * engine. */
inline constexpr duration plain_response_timeout = std::chrono::milliseconds{180};

/*! @brief Time left below which no further attempt is made. */
inline constexpr duration min_attempt_time = std::chrono::milliseconds{20};

/*! @brief State of a request whose attempt is in progress. */
struct pending_response {
    /*! @brief Whether the request may run more than once. */
    bool m_idempotent{false};
    /*! @brief Whether part of a stream has been forwarded to the caller. */
    bool m_stream_started{false};
    /*! @brief Whether a started stream can be resumed, as its last event had an id. */
    bool m_resumable{false};
    /*! @brief Whether the head of the response has been received. */
    bool m_head_received{false};
    /*! @brief Whether a hedge is in progress already. */
    bool m_hedged{false};
    /*! @brief Whether the service has an engine; a plain service is expected to respond much sooner. */
    bool m_has_engine{false};
    /*! @brief Latency target of the route. */
    duration m_first_byte_target{};
    /*! @brief Time since the backend server last sent something. */
    duration m_silence{};
    /*! @brief Time until the deadline of the request. */
    duration m_time_left{};
    /*! @brief Backend servers that may have run the request. */
    std::size_t m_attempts{};
    /*! @brief Backend servers that may run it, by the route. */
    std::size_t m_max_attempts{};
};

/**
 * @brief Tells whether a request is to be hedged, which is sent to a second backend server beside the silent one.
 *
 * Silence alone does not show that a backend server has failed: it may continue. Its attempt is therefore kept until
 * one of both has delivered.
 */
[[nodiscard]] auto needs_hedge(const pending_response& state) noexcept -> bool;

} // namespace rhubarbwharf::dispatch
