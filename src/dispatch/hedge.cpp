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

} // namespace rhubarbwharf::dispatch
