#pragma once

#include <cstdint>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/distribution/fwd.hpp>

namespace rhubarbwharf::distribution {

/*! @brief Allowance of bytes that grows at a set rate up to a burst; it may go below zero. */
struct token_bucket {
    double m_bytes_per_second{};
    double m_burst_bytes{};
    double m_tokens{};
    time_point m_filled{};
};

/**
 * @brief Makes a full bucket.
 * @param bytes_per_second The rate; zero or less stands for no limit.
 * @param burst_bytes Most bytes that can be saved up.
 * @param now The time.
 * @return The bucket.
 */
[[nodiscard]] auto make_bucket(double bytes_per_second, double burst_bytes, time_point now) noexcept -> token_bucket;

/**
 * @brief Returns the bytes that may go now.
 * @param bucket The bucket.
 * @param now The time.
 * @return The bytes; zero while the bucket is in debt.
 */
[[nodiscard]] auto available(token_bucket& bucket, time_point now) noexcept -> std::uint64_t;

/*! @brief Takes bytes that have gone. @param bucket The bucket. @param bytes The bytes; may bring it into debt. */
auto take(token_bucket& bucket, std::uint64_t bytes) noexcept -> void;

/**
 * @brief Returns the rate that one gateway instance may use of a link.
 * @param link_bytes_per_second Rate of the link.
 * @param bulk_share Share of the link that bulk may take.
 * @param gateways Gateway instances that use the link at once, at least 1.
 * @return Bytes a second.
 */
[[nodiscard]] auto link_share(std::uint64_t link_bytes_per_second, double bulk_share, std::uint32_t gateways) noexcept
    -> double;

} // namespace rhubarbwharf::distribution
