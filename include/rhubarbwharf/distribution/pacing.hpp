#pragma once

#include <cstdint>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/distribution/fwd.hpp>

namespace rhubarbwharf::distribution {

/*! @brief Token bucket in bytes; the number of tokens may be negative. */
struct token_bucket {
    double m_bytes_per_second{};
    double m_burst_bytes{};
    double m_tokens{};
    time_point m_updated_at{};
};

/**
 * @brief Creates a full bucket.
 * @param bytes_per_second Refill rate; zero or less for no limit.
 * @param burst_bytes Capacity of the bucket.
 */
[[nodiscard]] auto make_bucket(double bytes_per_second, double burst_bytes, time_point now) noexcept -> token_bucket;

/**
 * @brief Refills the bucket and returns the number of bytes that may be sent now.
 * @return Zero while the number of tokens is negative; `UINT64_MAX` without a limit.
 */
[[nodiscard]] auto available(token_bucket& bucket, time_point now) noexcept -> std::uint64_t;

/*! @brief Removes tokens for bytes that were sent; the number of tokens may become negative. */
auto consume(token_bucket& bucket, std::uint64_t bytes) noexcept -> void;

/**
 * @brief Returns the rate that one gateway instance may use on a link.
 * @param bulk_share Fraction of the link's rate that bulk transfers may use.
 * @param gateways Gateway instances that use the link concurrently; 0 counts as 1.
 * @return Bytes per second.
 */
[[nodiscard]] auto gateway_link_rate(std::uint64_t link_bytes_per_second, double bulk_share,
                                     std::uint32_t gateways) noexcept -> double;

} // namespace rhubarbwharf::distribution
