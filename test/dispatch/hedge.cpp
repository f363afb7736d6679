#include <doctest/doctest.h>

#include <rhubarbwharf/dispatch/hedge.hpp>

namespace rhubarbwharf::dispatch {

namespace {

/*! @brief A started stream whose backend server has been silent for a while. */
[[nodiscard]] auto silent_stream(const duration silence) -> pending_response {
    pending_response out{};
    out.m_idempotent = true;
    out.m_stream_started = true;
    out.m_head_received = true;
    out.m_resumable = true;
    out.m_time_left = std::chrono::seconds{1};
    out.m_has_engine = true;
    out.m_first_byte_target = std::chrono::milliseconds{400};
    out.m_silence = silence;
    out.m_attempts = 1U;
    out.m_max_attempts = 2U;
    return out;
}

} // namespace

TEST_CASE("a request is hedged only after the silence that its kind of response allows") {
    const auto one_ms = std::chrono::milliseconds{1};
    CHECK(needs_hedge(silent_stream(event_gap_timeout)));
    CHECK_FALSE(needs_hedge(silent_stream(event_gap_timeout - one_ms)));

    auto not_started = silent_stream(std::chrono::milliseconds{400} + late_response_timeout);
    not_started.m_stream_started = false;
    not_started.m_head_received = false;
    CHECK(needs_hedge(not_started));
    not_started.m_silence -= one_ms;
    CHECK_FALSE(needs_hedge(not_started));
    not_started.m_has_engine = false;
    not_started.m_silence = plain_response_timeout;
    CHECK(needs_hedge(not_started));
    not_started.m_silence -= one_ms;
    CHECK_FALSE(needs_hedge(not_started));
}

TEST_CASE("a request is not hedged if it may run only once, has a hedge, or has used its attempts") {
    auto state = silent_stream(event_gap_timeout);
    state.m_idempotent = false;
    CHECK_FALSE(needs_hedge(state));
    state = silent_stream(event_gap_timeout);
    state.m_hedged = true;
    CHECK_FALSE(needs_hedge(state));
    state = silent_stream(event_gap_timeout);
    state.m_attempts = 2U;
    CHECK_FALSE(needs_hedge(state));
}

TEST_CASE("a stream that cannot be resumed, or a request without time left, is not hedged") {
    auto state = silent_stream(event_gap_timeout);
    state.m_resumable = false;
    CHECK_FALSE(needs_hedge(state));
    state = silent_stream(event_gap_timeout);
    state.m_time_left = min_attempt_time;
    CHECK_FALSE(needs_hedge(state));
}

TEST_CASE("a response whose head has been received is awaited") {
    auto state = silent_stream(event_gap_timeout);
    state.m_stream_started = false;
    CHECK_FALSE(needs_hedge(state));
}

} // namespace rhubarbwharf::dispatch
