#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>

namespace rhubarbwharf::dispatch {

/**
 * @brief Share of one gateway in the limit that a backend server has named, as a token bucket of turns.
 *
 * Load pattern: a runner in need takes a few requests a second from all gateways together, while each gateway has more
 * than that for it. A gateway that sends only one each is one of many.
 */
struct turn_share {
    /*! @brief Turns per second; 0 if other gateways hold the limit. */
    double m_per_s{};
    double m_turns{};
    time_point m_updated{};
};

/*! @brief Lowest rate that is divided, per second, so that a server that names less, or nothing, still gets a request
 * now and then, whose response may lift the limit. */
inline constexpr double min_divided_limit_per_s = 0.05;

/**
 * @brief Returns how many turns all gateways together may have saved for a named limit. In 4 s, of the 6 requests for
 * each one of the limit, and 5, that the platform allows, the shares take 4 and the saved turns 1.5, and 3; the rest is
 * for the time in which gateways differ in who holds the shares.
 * @param per_s Limit in requests per second.
 */
[[nodiscard]] auto saved_turns_of_limit(double per_s) noexcept -> double;

/**
 * @brief Returns how many turns all gateways together may have saved for a cold server. In one second the shares take
 * its rate; of what is tolerated beyond it seven tenths are saved turns, the rest is for gateways that differ.
 * @param per_s Rate of the cold server, in requests per second.
 * @param tolerated Requests in one second that it bears.
 */
[[nodiscard]] auto saved_turns_of_cold_server(double per_s, double tolerated) noexcept -> double;

/*! @brief Returns how many gateways share a rate: each may use one saved turn at any time. */
[[nodiscard]] auto count_holders(double saved_turns, std::size_t gateways) noexcept -> std::size_t;

/*! @brief Rate of a backend server that gateways share. */
struct named_limit {
    std::string_view m_server{};
    /*! @brief Requests per second. */
    double m_per_s{};
    /*! @brief Time since any gateway last received it from the server. */
    duration m_age{};
    /*! @brief Turns that all gateways together may have saved; those of a named limit if empty. */
    std::optional<double> m_saved_turns{};
};

/**
 * @brief Divides a limit equally among its holders, which all gateways choose alike by rendezvous hashing. A gateway
 * that joins or leaves moves one share at most. While the server sends no response, others hold it from time to time:
 * the present holders may have no request for it, and only a response can lift the limit.
 * @param gateways Names of the gateways that may hold a share.
 * @param self Name of this one.
 * @return Requests per second of this gateway; 0 if it holds no share.
 */
[[nodiscard]] auto divide_limit(std::span<const std::string_view> gateways, std::string_view self,
                                const named_limit& limit) -> double;

/*! @brief Sets the rate of a share. One that was nothing begins without a turn. */
auto set_rate(turn_share& share, double per_s, time_point now) noexcept -> void;

/*! @brief Gives a share of a server that nobody has used yet its first turn. */
auto grant_first_turn(turn_share& share) noexcept -> void;

/*! @brief Tells whether a request may be sent now. */
[[nodiscard]] auto has_turn(const turn_share& share, time_point now) noexcept -> bool;

/*! @brief Uses a turn. */
auto take_turn(turn_share& share, time_point now) noexcept -> void;

/*! @brief Returns the time until the next turn. @return `duration::max()` if the share is nothing. */
[[nodiscard]] auto time_until_turn(const turn_share& share, time_point now) noexcept -> duration;

} // namespace rhubarbwharf::dispatch
