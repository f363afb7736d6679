#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/routing/breaker.hpp>
#include <rhubarbwharf/routing/fwd.hpp>

namespace rhubarbwharf::routing {

/*! @brief Prefix hashes remembered for each backend server; a power of two. */
inline constexpr std::size_t max_remembered_prefixes = 256;

/*! @brief What one process knows of the load of a backend server. */
struct backend {
    /*! @brief Own requests in progress there. */
    std::uint32_t m_in_flight{};
    /*! @brief Own requests that were in progress there when the last report came. */
    std::uint32_t m_in_flight_at_report{};
    /*! @brief Requests that ran or waited there by the last report, whoever sent them. */
    std::uint32_t m_reported_requests{};
    std::uint32_t m_capacity{};
    /*! @brief Smoothed time to the first byte, in seconds; zero until there is a sample. */
    double m_first_byte_s{};
    breaker m_breaker{};
    /*! @brief Own requests there that were running at a crash before. */
    std::uint32_t m_suspects{};
    /*! @brief Prefixes that are likely cached there, each in the slot that its hash names. */
    std::array<std::uint64_t, max_remembered_prefixes> m_prefixes{};
};

/*! @brief A backend server that could take a request, as `choose` weighs it. */
struct candidate {
    instance_id m_instance{};
    /*! @brief Requests thought to run or wait there. */
    std::uint32_t m_load{};
    std::uint32_t m_capacity{};
    /*! @brief Smoothed time to the first byte, in seconds; zero for unknown. */
    double m_first_byte_s{};
    bool m_holds_prefix{false};
};

/*! @brief Limits of the choice. */
struct choice_limits {
    /*! @brief Load of a prefix holder over the mean beyond which it is passed over. */
    double m_bounded_load{1.25};
    /*! @brief Requests that may be sent to a backend server beyond its capacity, as a share of it. */
    double m_queue_fraction{0.0};
    /*! @brief Time to the first byte over the median from which a backend server counts as slow. */
    double m_slow_ratio{3.0};
};

/**
 * @brief Estimates the load of a backend server: what it reported, corrected by what was sent and ended since.
 * @param row The backend server.
 * @return Requests thought to run or wait there; never below the own ones.
 */
[[nodiscard]] auto load(const backend& row) noexcept -> std::uint32_t;

/**
 * @brief Takes the load figures of a report over.
 * @param row The backend server.
 * @param reported Requests running and waiting there.
 * @param capacity Requests that it runs at once.
 */
auto refresh(backend& row, std::uint32_t reported, std::uint32_t capacity) noexcept -> void;

/*! @brief Remembers that a prefix is likely cached. @param row The backend server. @param prefix Hash; 0 for none. */
auto remember(backend& row, std::uint64_t prefix) noexcept -> void;

/*! @brief Tells whether a prefix is likely cached. @param row The backend server. @param prefix Hash; 0 for none.
 * @return Whether it is. */
[[nodiscard]] auto holds(const backend& row, std::uint64_t prefix) noexcept -> bool;

/*! @brief Adds a sample of the time to the first byte. @param row The backend server. @param sample The time. */
auto sample(backend& row, duration sample) noexcept -> void;

/*! @brief Tells whether a candidate may be sent more. @param row The candidate. @param limits The limits.
 * @return Whether its load is below its capacity and share of queue. */
[[nodiscard]] auto has_capacity(const candidate& row, const choice_limits& options) noexcept -> bool;

/**
 * @brief Chooses a backend server: a prefix holder within the bounded load, else the next in the prefix's own order
 * of backend servers that is within it, else the better of two.
 * @param rows Those that hold a fit version, are live, and whose breaker passes.
 * @param prefix Hash of the prompt's prefix; 0 for none.
 * @param random Random bits.
 * @param limits The limits.
 * @return Index into `rows`, or nothing if none has room.
 */
[[nodiscard]] auto choose(std::span<const candidate> rows, std::uint64_t prefix, std::uint64_t random,
                          const choice_limits& options) -> std::optional<std::size_t>;

} // namespace rhubarbwharf::routing
