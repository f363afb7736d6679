#include <random>

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

// Load pattern: servers turn slow for a moment, so that one response in seven takes two and a half times as long.
TEST_CASE("the tail latency of a route settles where most of its responses have begun, and follows when they change") {
    std::mt19937 random{20'261'205U};
    const auto draw = [&random](const double typical_ms) {
        const auto is_slow = random() % 7U == 0U;
        const auto spread = std::uniform_real_distribution<double>{0.8, 1.2}(random);
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>{typical_ms * spread * (is_slow ? 2.5 : 1.0)});
    };
    tail_latency tail{};
    const auto fraction_within = [&](const double typical_ms) {
        unsigned within{};
        constexpr unsigned responses = 4'000U;
        for (auto each = 0U; each < responses; ++each) {
            const auto latency = draw(typical_ms);
            within += latency <= tail.m_estimate ? 1U : 0U;
            record_latency(tail, latency);
        }
        return static_cast<double>(within) / responses;
    };
    static_cast<void>(fraction_within(100.0));
    CHECK(fraction_within(100.0) == doctest::Approx(tail_quantile).epsilon(0.03));
    static_cast<void>(fraction_within(300.0));
    CHECK(fraction_within(300.0) == doctest::Approx(tail_quantile).epsilon(0.03));
}

TEST_CASE("second attempts for slow responses stay within the share that operators allow, also after a calm time") {
    hedge_allowance allowance{0.05, 0.0};
    unsigned sent{};
    constexpr unsigned requests = 10'000U;
    for (auto each = 0U; each < requests; ++each) {
        record_request(allowance);
        // Half of the time is calm; then every response is slow.
        sent += each >= requests / 2U && try_acquire_hedge(allowance) ? 1U : 0U;
    }
    CHECK(static_cast<double>(sent) <= 0.05 * requests / 2.0 + max_hedge_credit);
    CHECK(static_cast<double>(sent) > 0.05 * requests / 2.0 - 1.0);
}

TEST_CASE("no second attempt is sent for a slow response where operators allow none") {
    hedge_allowance none{};
    for (auto each = 0U; each < 1'000U; ++each) {
        record_request(none);
        CHECK_FALSE(try_acquire_hedge(none));
    }
}

TEST_CASE("only a response that may run twice, has not begun and is past the known tail counts as slow") {
    constexpr duration ms = std::chrono::milliseconds{1};
    tail_latency tail{300 * ms, min_latency_samples};
    auto state = silent_stream(300 * ms);
    state.m_stream_started = false;
    state.m_head_received = false;
    CHECK(is_slow(state, tail));
    const auto changed = [&](const auto& change) {
        auto copy = state;
        change(copy);
        return is_slow(copy, tail);
    };
    CHECK_FALSE(changed([ms](auto& each) { each.m_silence -= ms; }));
    CHECK_FALSE(changed([](auto& each) { each.m_idempotent = false; }));
    CHECK_FALSE(changed([](auto& each) { each.m_hedged = true; }));
    CHECK_FALSE(changed([](auto& each) { each.m_head_received = true; }));
    CHECK_FALSE(changed([](auto& each) { each.m_stream_started = true; }));
    CHECK_FALSE(changed([](auto& each) { each.m_attempts = each.m_max_attempts; }));
    CHECK_FALSE(changed([](auto& each) { each.m_time_left = min_attempt_time; }));
    tail.m_samples = min_latency_samples - 1U;
    CHECK_FALSE(is_slow(state, tail));
}

// A server that loads a version reports none, and requests that waited there were left to begin on the one before.
TEST_CASE("a request may begin on an outdated version at a server that is not known to hold another one") {
    CHECK(may_begin_outdated(3U, 3U, 4U));
    CHECK(may_begin_outdated(0U, 3U, 4U));
    CHECK_FALSE(may_begin_outdated(4U, 3U, 4U));
    CHECK_FALSE(may_begin_outdated(3U, 3U, 0U));
    CHECK_FALSE(may_begin_outdated(0U, 4U, 4U));
    CHECK_FALSE(may_begin_outdated(0U, 0U, 4U));
}

} // namespace rhubarbwharf::dispatch
