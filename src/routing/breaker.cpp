#include <algorithm>

#include <rhubarbwharf/routing/breaker.hpp>

namespace rhubarbwharf::routing {

auto allows_request(const breaker& state, const time_point now) noexcept -> bool {
    return state.m_consecutive_failures < breaker_failure_threshold ||
           (!state.m_probe_in_progress && now >= state.m_open_until);
}

auto record_attempt(breaker& state) noexcept -> void {
    state.m_probe_in_progress = state.m_consecutive_failures >= breaker_failure_threshold;
}

auto record_success(breaker& state) noexcept -> void {
    state = {};
}

auto release_probe(breaker& state) noexcept -> void {
    state.m_probe_in_progress = false;
}

auto record_failure(breaker& state, const time_point now) noexcept -> void {
    constexpr std::uint32_t max_doublings = 5;
    ++state.m_consecutive_failures;
    state.m_probe_in_progress = false;
    if (state.m_consecutive_failures >= breaker_failure_threshold) {
        const auto doublings = std::min(state.m_consecutive_failures - breaker_failure_threshold, max_doublings);
        state.m_open_until = now + std::min(min_breaker_open_time * (1U << doublings), max_breaker_open_time);
    }
}

auto trip(breaker& state, const time_point now) noexcept -> void {
    state.m_consecutive_failures = std::max(state.m_consecutive_failures, breaker_failure_threshold - 1U);
    record_failure(state, now);
}

} // namespace rhubarbwharf::routing
