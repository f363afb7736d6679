#include <algorithm>
#include <utility>

#include <rhubarbwharf/dispatch/warm_up.hpp>
#include <rhubarbwharf/fleet/limit.hpp>

namespace rhubarbwharf::dispatch {

auto note_stated_warm_up(warm_up& state, const fleet::warm_up_terms& terms, const duration remaining,
                         const time_point now) noexcept -> void {
    if (remaining > duration::zero()) {
        state.m_cold_until = std::max(state.m_cold_until, now + std::min(remaining, terms.m_time));
    }
}

auto note_possible_start(warm_up& state, const fleet::warm_up_terms& terms, const time_point now) noexcept -> void {
    state.m_cold_until = now + terms.m_time;
}

auto note_sight(warm_up& state, const fleet::warm_up_terms& terms, const bool is_out_of_sight,
                const time_point now) noexcept -> void {
    if (std::exchange(state.m_is_out_of_sight, is_out_of_sight) && !is_out_of_sight) {
        note_possible_start(state, terms, now);
    }
}

auto cold_rate(const warm_up& state, const fleet::warm_up_terms& terms, const time_point now) noexcept -> double {
    const auto is_cold = terms.m_per_s > 0.0 && now < state.m_cold_until;
    if (!is_cold) {
        return fleet::no_limit;
    }
    return terms.m_per_s;
}

} // namespace rhubarbwharf::dispatch
