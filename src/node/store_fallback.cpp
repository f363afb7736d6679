#include <algorithm>

#include <node/store_fallback.hpp>

namespace rhubarbwharf::node {

namespace {

[[nodiscard]] auto next_due(const duration delay, const time_point now, const std::uint64_t random) noexcept
    -> time_point {
    const auto jitter = static_cast<duration::rep>(random % static_cast<std::uint64_t>((delay / 2).count()));
    return now + delay / 2 + duration{jitter};
}

} // namespace

auto is_due(store_fallback& state, const bool gateway_alive, const time_point now, const std::uint64_t random) noexcept
    -> bool {
    if (gateway_alive) {
        state = {};
        return false;
    }
    if (state.m_delay == duration::zero()) {
        state.m_delay = min_fallback_delay;
        state.m_due = next_due(state.m_delay, now, random);
        return false;
    }
    if (now < state.m_due) {
        return false;
    }
    state.m_delay = std::min(state.m_delay * 2, max_fallback_delay);
    state.m_due = next_due(state.m_delay, now, random);
    return true;
}

} // namespace rhubarbwharf::node
