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

/*! @brief Prefix hashes remembered per backend server; a power of two. */
inline constexpr std::size_t max_remembered_prefixes = 256;

/*! @brief State of a backend server as one process knows it. */
struct backend_state {
    /*! @brief Requests of this process in progress there. */
    std::uint32_t m_in_flight{};
    /*! @brief Requests of this process that were in progress there when the last report was received. */
    std::uint32_t m_in_flight_at_report{};
    /*! @brief Requests of all processes that ran or waited there according to the last report. */
    std::uint32_t m_reported_requests{};
    /*! @brief Requests that it runs at once. */
    std::uint32_t m_capacity{};
    /*! @brief Exponentially smoothed time to the first byte, in seconds; zero before the first sample. */
    double m_first_byte_s{};
    breaker m_breaker{};
    /*! @brief Requests of this process in progress there that were running during an earlier crash. */
    std::uint32_t m_suspect_requests{};
    /*! @brief Direct-mapped table of the hashes of prefixes that are likely cached there. */
    std::array<std::uint64_t, max_remembered_prefixes> m_prefixes{};
};

/*! @brief Backend server that could receive a request. */
struct candidate {
    instance_id m_instance{};
    /*! @brief Estimated requests that run or wait there. */
    std::uint32_t m_load{};
    /*! @brief Requests that it runs at once. */
    std::uint32_t m_capacity{};
    /*! @brief Smoothed time to the first byte, in seconds; zero if unknown. */
    double m_first_byte_s{};
    /*! @brief Whether the prefix of the request is likely cached there. */
    bool m_holds_prefix{false};
};

/*! @brief Options of the choice. */
struct choice_options {
    /*! @brief Load relative to the mean beyond which a candidate is not preferred for its prefix. */
    double m_bounded_load{1.25};
    /*! @brief Requests that may be sent beyond the capacity of a backend server, as a fraction of the capacity. */
    double m_queue_fraction{0.0};
    /*! @brief Time to the first byte relative to the median beyond which a backend server is slow. */
    double m_slow_ratio{3.0};
};

/**
 * @brief Estimates the load of a backend server: the reported load, corrected by the requests of this process that
 * started and ended since.
 * @return Running and waiting requests; at least those of this process.
 */
[[nodiscard]] auto estimate_load(const backend_state& row) noexcept -> std::uint32_t;

/**
 * @brief Applies a load report.
 * @param reported Running and waiting requests.
 * @param capacity Requests that it runs at once.
 */
auto apply_load_report(backend_state& row, std::uint32_t reported, std::uint32_t capacity) noexcept -> void;

/*! @brief Records that a prefix is likely cached; a hash of 0 stands for no prefix. */
auto remember_prefix(backend_state& row, std::uint64_t prefix) noexcept -> void;

/*! @brief Tells whether a prefix is likely cached; false for a hash of 0, which stands for no prefix. */
[[nodiscard]] auto holds_prefix(const backend_state& row, std::uint64_t prefix) noexcept -> bool;

/*! @brief Adds a sample to the smoothed time to the first byte. */
auto record_first_byte(backend_state& row, duration sample) noexcept -> void;

/*! @brief Tells whether a candidate may be sent more: its load is below its capacity plus queue fraction. */
[[nodiscard]] auto has_capacity(const candidate& row, const choice_options& options) noexcept -> bool;

/**
 * @brief Chooses a backend server by consistent hashing with bounded loads: the least loaded candidate within the bound
 * that holds the prefix, else the first one within the bound in rendezvous order of the prefix, else the less loaded of
 * two random ones. Slow candidates are used only if no other has capacity.
 * @param rows Live backend servers that hold a suitable version and whose breaker allows requests.
 * @param prefix Hash of the prompt's prefix; 0 for none.
 * @param random Random bits.
 * @return Index into `rows`; empty if no candidate has capacity.
 */
[[nodiscard]] auto choose_backend(std::span<const candidate> rows, std::uint64_t prefix, std::uint64_t random,
                                  const choice_options& options) -> std::optional<std::size_t>;

} // namespace rhubarbwharf::routing
