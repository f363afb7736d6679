#include <algorithm>

#include <rhubarbwharf/dispatch/health.hpp>

namespace rhubarbwharf::dispatch {

auto succeed(health& state) noexcept -> void {
    state.m_in_row = 0U;
    state.m_rate *= 1.0 - failure_weight;
    ++state.m_samples;
    state.m_trial = false;
    state.m_ejections = 0U;
}

auto eject(health& state, const time_point now) noexcept -> void {
    constexpr unsigned most_doublings = 3U;
    const auto time = ejection_least * (1U << std::min(state.m_ejections, most_doublings));
    state.m_ejected_until = now + std::min(time, ejection_most);
    ++state.m_ejections;
    state.m_in_row = 0U;
    state.m_rate = 0.0;
    state.m_samples = 0U;
    state.m_trial = false;
}

auto fail(health& state, const double service_rate, const time_point now) noexcept -> bool {
    ++state.m_in_row;
    ++state.m_samples;
    state.m_rate += failure_weight * (1.0 - state.m_rate);
    const auto excess = state.m_samples >= failure_samples && state.m_rate > service_rate + failure_excess;
    if (!state.m_trial && !excess && state.m_in_row < failures_in_row) {
        return false;
    }
    eject(state, now);
    return true;
}

auto begin(health& state, const time_point now) noexcept -> void {
    state.m_trial = state.m_trial || (state.m_ejections > 0U && now >= state.m_ejected_until);
}

auto release(health& state) noexcept -> void {
    state.m_trial = false;
}

auto is_usable(const health& state, const time_point now) noexcept -> bool {
    return now >= state.m_ejected_until && !state.m_trial;
}

} // namespace rhubarbwharf::dispatch
