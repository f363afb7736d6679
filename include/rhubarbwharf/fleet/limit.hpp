#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>

#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::fleet {

/*! @brief Value of a limit that has been lifted. */
inline constexpr double no_limit = std::numeric_limits<double>::infinity();

/*! @brief Rate of requests that an incarnation of a backend server takes from all gateways together. */
struct server_limit {
    /*! @brief Start of the incarnation, Unix ms. */
    std::uint64_t m_started_ms{};
    /*! @brief Requests per second; `no_limit` once it names none any more. */
    double m_per_s{no_limit};
    /*! @brief When a gateway last received this from the server. */
    time_point m_as_of{};
};

/*! @brief Limits by id of the backend server; of each the newest such incarnation. */
using limit_table = std::map<std::string, server_limit, std::less<>>;

/**
 * @brief Merges what a response of a backend server says. A lower limit counts at once. A higher one, or none, counts
 * only if the request was sent after the known limit was received, as responses can overtake each other.
 * @param sent_at When the request of the response was sent.
 * @return Whether the limit of the server changed.
 */
auto merge_named_limit(limit_table& table, std::string_view id, const server_limit& named, time_point sent_at) -> bool;

/*! @brief Merges what a peer knows; the newer one of both counts. @return Whether the limit of the server changed. */
auto merge_told_limit(limit_table& table, std::string_view id, const server_limit& told) -> bool;

/*! @brief Returns the limit of an incarnation. @return `no_limit` if it has named none. */
[[nodiscard]] auto limit_of(const limit_table& table, std::string_view id, std::uint64_t started_ms) noexcept -> double;

/*! @brief Time for which a lifted limit is told to peers. */
inline constexpr duration lifted_limit_memory = std::chrono::seconds{10};

/*! @brief Tells whether peers are told of a limit: those in force, and lifted ones for a while. */
[[nodiscard]] auto is_told(const server_limit& limit, time_point now) noexcept -> bool;

} // namespace rhubarbwharf::fleet
