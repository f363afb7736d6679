#include <algorithm>

#include <rhubarbwharf/distribution/pacing.hpp>

namespace rhubarbwharf::distribution {

auto make_bucket(const double bytes_per_second, const double burst_bytes, const time_point now) noexcept
    -> token_bucket {
    return {bytes_per_second, burst_bytes, burst_bytes, now};
}

auto available(token_bucket& bucket, const time_point now) noexcept -> std::uint64_t {
    if (bucket.m_bytes_per_second <= 0.0) {
        return UINT64_MAX;
    }
    if (now > bucket.m_updated_at) {
        const auto seconds = std::chrono::duration<double>{now - bucket.m_updated_at}.count();
        bucket.m_tokens = std::min(bucket.m_burst_bytes, bucket.m_tokens + seconds * bucket.m_bytes_per_second);
        bucket.m_updated_at = now;
    }
    return bucket.m_tokens > 0.0 ? static_cast<std::uint64_t>(bucket.m_tokens) : 0U;
}

auto consume(token_bucket& bucket, const std::uint64_t bytes) noexcept -> void {
    bucket.m_tokens -= static_cast<double>(bytes);
}

auto gateway_link_rate(const std::uint64_t link_bytes_per_second, const double bulk_share,
                       const std::uint32_t gateways) noexcept -> double {
    return static_cast<double>(link_bytes_per_second) * bulk_share / std::max(1U, gateways);
}

} // namespace rhubarbwharf::distribution
