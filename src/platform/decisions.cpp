#include <algorithm>

#include "platform/decisions.hpp"

namespace rhubarbwharf::platform::internal {

constexpr double least_saved = 1.0;
constexpr double least_rate = 0.001;
constexpr duration first_backoff = std::chrono::milliseconds{100};
constexpr unsigned most_doublings = 6U;

auto make_bucket(const double rate, const time_point now) noexcept -> bucket {
    const auto floored = std::max(rate, least_rate);
    return {floored, std::max(floored, least_saved), now};
}

auto reserve(bucket& from, const time_point now, const duration most_wait) noexcept -> std::optional<duration> {
    const auto passed = std::chrono::duration<double>{std::max(now - from.m_filled, duration::zero())}.count();
    const auto tokens = std::min(from.m_tokens + passed * from.m_rate, std::max(from.m_rate, least_saved));
    const auto missing = std::chrono::duration<double>{std::max(1.0 - tokens, 0.0) / from.m_rate};
    if (missing > most_wait) {
        return std::nullopt;
    }
    from.m_tokens = tokens - 1.0;
    from.m_filled = std::max(now, from.m_filled);
    return std::chrono::ceil<duration>(missing);
}

auto backoff(const unsigned failures, const std::uint64_t random) noexcept -> duration {
    const auto doublings = std::min(std::max(failures, 1U) - 1U, most_doublings);
    const auto longest = first_backoff * (1U << doublings);
    const auto half = static_cast<std::uint64_t>(longest.count()) / 2U;
    return duration{static_cast<duration::rep>(half + random % (half + 1U))};
}

auto settle(const key_value& found, const std::string_view value, const revision expected) noexcept -> settled {
    if (found.m_modified == expected) {
        return settled::open;
    }
    const auto stands = found.m_modified > expected && found.m_value == value;
    return stands ? settled::written : settled::overtaken;
}

} // namespace rhubarbwharf::platform::internal
