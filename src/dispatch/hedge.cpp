#include <algorithm>

#include <rhubarbwharf/dispatch/hedge.hpp>

namespace rhubarbwharf::dispatch {

namespace {

[[nodiscard]] auto silence_timeout(const pending_response& state) noexcept -> duration {
    if (state.m_stream_started) {
        return event_gap_timeout;
    }
    return state.m_has_engine ? state.m_first_byte_target + late_response_timeout : plain_response_timeout;
}

} // namespace

auto needs_hedge(const pending_response& state) noexcept -> bool {
    const auto awaits_data = state.m_stream_started ? state.m_resumable : !state.m_head_received;
    return state.m_idempotent && !state.m_hedged && awaits_data && state.m_attempts < state.m_max_attempts &&
           state.m_silence >= silence_timeout(state) && state.m_time_left > min_attempt_time;
}

auto record_latency(tail_latency& tail, const duration latency) noexcept -> void {
    if (tail.m_samples < min_latency_samples) {
        ++tail.m_samples;
        tail.m_estimate = std::max(tail.m_estimate, latency);
        return;
    }
    // The estimate rests where the steps up and down, weighted by how often they are taken, cancel out.
    constexpr double step_fraction = 0.05;
    const auto step =
        std::max<duration>(duration{1}, std::chrono::duration_cast<duration>(tail.m_estimate * step_fraction));
    const auto weight = latency > tail.m_estimate ? tail_quantile : tail_quantile - 1.0;
    tail.m_estimate += std::chrono::duration_cast<duration>(step * weight);
}

auto record_request(hedge_allowance& allowance) noexcept -> void {
    allowance.m_credit = std::min(max_hedge_credit, allowance.m_credit + allowance.m_max_share);
}

auto try_acquire_hedge(hedge_allowance& allowance) noexcept -> bool {
    if (allowance.m_max_share <= 0.0 || allowance.m_credit < 1.0) {
        return false;
    }
    allowance.m_credit -= 1.0;
    return true;
}

auto is_slow(const pending_response& state, const tail_latency& tail) noexcept -> bool {
    const auto awaits_begin = !state.m_stream_started && !state.m_head_received;
    const auto is_known = tail.m_samples >= min_latency_samples;
    return state.m_idempotent && awaits_begin && !state.m_hedged && state.m_attempts < state.m_max_attempts &&
           is_known && state.m_silence >= tail.m_estimate && state.m_time_left > min_attempt_time;
}

auto may_begin_outdated(const std::uint64_t held, const std::uint64_t held_when_sent,
                        const std::uint64_t min_version) noexcept -> bool {
    const auto version = held != 0U ? held : held_when_sent;
    return version != 0U && version < min_version;
}

} // namespace rhubarbwharf::dispatch
