#include <algorithm>

#include <rhubarbwharf/dispatch/health.hpp>

namespace rhubarbwharf::dispatch {

auto record_success(health& state) noexcept -> void {
    state.m_consecutive_failures = 0U;
    state.m_failure_rate *= 1.0 - failure_rate_smoothing;
    ++state.m_samples;
    state.m_probe_in_progress = false;
    state.m_ejections = 0U;
}

auto eject(health& state, const time_point now) noexcept -> void {
    constexpr unsigned max_doublings = 3U;
    const auto ejection_time = min_ejection_time * (1U << std::min(state.m_ejections, max_doublings));
    state.m_ejected_until = now + std::min(ejection_time, max_ejection_time);
    ++state.m_ejections;
    state.m_consecutive_failures = 0U;
    state.m_failure_rate = 0.0;
    state.m_samples = 0U;
    state.m_probe_in_progress = false;
}

auto record_failure(health& state, const double service_rate, const time_point now) noexcept -> bool {
    ++state.m_consecutive_failures;
    ++state.m_samples;
    state.m_failure_rate += failure_rate_smoothing * (1.0 - state.m_failure_rate);
    const auto exceeds_service_rate =
        state.m_samples >= min_failure_samples && state.m_failure_rate > service_rate + max_failure_rate_excess;
    if (!state.m_probe_in_progress && !exceeds_service_rate &&
        state.m_consecutive_failures < max_consecutive_failures) {
        return false;
    }
    eject(state, now);
    return true;
}

auto record_attempt(health& state, const time_point now) noexcept -> void {
    state.m_probe_in_progress = state.m_probe_in_progress || (state.m_ejections > 0U && now >= state.m_ejected_until);
}

auto release_probe(health& state) noexcept -> void {
    state.m_probe_in_progress = false;
}

auto is_usable(const health& state, const time_point now) noexcept -> bool {
    return now >= state.m_ejected_until && !state.m_probe_in_progress;
}

} // namespace rhubarbwharf::dispatch
