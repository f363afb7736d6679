#include <algorithm>

#include <rhubarbwharf/routing/breaker.hpp>

namespace rhubarbwharf::routing {

auto passes(const breaker& state, const time_point now) noexcept -> bool {
    return state.m_failures < breaker_failure_threshold || (!state.m_probe_in_progress && now >= state.m_open_until);
}

auto pass(breaker& state) noexcept -> void {
    state.m_probe_in_progress = state.m_failures >= breaker_failure_threshold;
}

auto succeed(breaker& state) noexcept -> void {
    state = {};
}

auto release(breaker& state) noexcept -> void {
    state.m_probe_in_progress = false;
}

auto fail(breaker& state, const time_point now) noexcept -> void {
    constexpr std::uint32_t max_doublings = 5;
    ++state.m_failures;
    state.m_probe_in_progress = false;
    if (state.m_failures >= breaker_failure_threshold) {
        const auto doublings = std::min(state.m_failures - breaker_failure_threshold, max_doublings);
        state.m_open_until = now + std::min(min_breaker_open_time * (1U << doublings), max_breaker_open_time);
    }
}

auto trip(breaker& state, const time_point now) noexcept -> void {
    state.m_failures = std::max(state.m_failures, breaker_failure_threshold - 1U);
    fail(state, now);
}

} // namespace rhubarbwharf::routing
