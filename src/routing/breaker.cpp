#include <algorithm>

#include <rhubarbwharf/routing/breaker.hpp>

namespace rhubarbwharf::routing {

auto passes(const breaker& state, const time_point now) noexcept -> bool {
    return state.m_failures < breaker_failures || (!state.m_trial && now >= state.m_open_until);
}

auto pass(breaker& state) noexcept -> void {
    state.m_trial = state.m_failures >= breaker_failures;
}

auto succeed(breaker& state) noexcept -> void {
    state = {};
}

auto release(breaker& state) noexcept -> void {
    state.m_trial = false;
}

auto fail(breaker& state, const time_point now) noexcept -> void {
    constexpr std::uint32_t doublings_most = 5;
    ++state.m_failures;
    state.m_trial = false;
    if (state.m_failures >= breaker_failures) {
        const auto doublings = std::min(state.m_failures - breaker_failures, doublings_most);
        state.m_open_until = now + std::min(breaker_open_least * (1U << doublings), breaker_open_most);
    }
}

auto trip(breaker& state, const time_point now) noexcept -> void {
    state.m_failures = std::max(state.m_failures, breaker_failures - 1U);
    fail(state, now);
}

} // namespace rhubarbwharf::routing
