#pragma once

#include <cstddef>
#include <cstdint>

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

/**
 * @brief Checks whether a request that waits at a backend server may begin there on a version that is not allowed any
 * more. A server that is not known to hold a version, as it loads one or has turned a request away, may still begin it
 * on the one that it held.
 * @param held Version that the server is known to hold; 0 for none.
 * @param held_when_sent Version that it was known to hold when the request was sent; 0 for none.
 */
[[nodiscard]] auto may_begin_outdated(std::uint64_t held, std::uint64_t held_when_sent,
                                      std::uint64_t min_version) noexcept -> bool;

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

/*! @brief Fraction of a route's responses that begin within its tail latency. */
inline constexpr double tail_quantile = 0.95;
/*! @brief Responses of a route after which its tail latency is used. */
inline constexpr unsigned min_latency_samples = 40U;

/*! @brief Time within which most responses of a route begin, as a running estimate of their quantile. */
struct tail_latency {
    duration m_estimate{};
    /*! @brief Responses seen, up to `min_latency_samples`. */
    unsigned m_samples{};
};

/*! @brief Records the time from sending a request to the first byte of its response. */
auto record_latency(tail_latency& tail, duration latency) noexcept -> void;

/*! @brief Second attempts for slow responses that operators allow. */
struct hedge_allowance {
    /*! @brief Second attempts for each request, at most; 0 if operators allow none. */
    double m_max_share{};
    /*! @brief Second attempts that may be sent now. */
    double m_credit{};
};

/*! @brief Second attempts that may be saved up, so that a calm time does not pay for a burst of them. */
inline constexpr double max_hedge_credit = 4.0;

/*! @brief Counts a request, which adds its share to the allowance. */
auto record_request(hedge_allowance& allowance) noexcept -> void;

/*! @brief Spends one second attempt. @return False if operators do not allow it now. */
[[nodiscard]] auto try_acquire_hedge(hedge_allowance& allowance) noexcept -> bool;

/**
 * @brief Tells whether a response is so late for its route that a second server is asked beside the first one.
 *
 * Load pattern: servers turn slow for less time than a report takes to tell it, so that few responses, at any server,
 * take several times as long as the others. Unlike the hedge of a silent server this is extra work that operators
 * limit.
 */
[[nodiscard]] auto is_slow(const pending_response& state, const tail_latency& tail) noexcept -> bool;

} // namespace rhubarbwharf::dispatch
