#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/routing/attempt.hpp>

namespace rhubarbwharf::routing {

namespace {

[[nodiscard]] auto arbitrary_end() -> attempt_result {
    const auto value = *rc::gen::element(code::ok, code::overloaded, code::draining, code::connection_failed,
                                         code::backend_server_failed, code::bad_request, code::cut_stream,
                                         code::outcome_unknown, code::wrong_version, code::key_reused);
    return {value, *rc::gen::arbitrary<bool>(), {}};
}

} // namespace

TEST_CASE("a call that may have run is not reported as not run, and not retried if it is non-idempotent") {
    CHECK(rc::check([] {
        request_progress state{};
        state.m_non_idempotent = *rc::gen::arbitrary<bool>();
        state.m_stream = *rc::gen::arbitrary<bool>();
        state.m_deadline = time_point{std::chrono::seconds{1}};
        retry_budget budget{};
        const attempt_limits limits{*rc::gen::inRange<std::uint32_t>(1, 6)};
        bool may_have_run = false;
        for (auto continues = true; continues;) {
            ++state.m_attempts;
            state.m_head_sent = state.m_head_sent || *rc::gen::arbitrary<bool>();
            const auto end = arbitrary_end();
            may_have_run = may_have_run || (end.m_code != code::ok && !end.m_not_run);
            const auto decision = decide_next_step(state, end, budget, time_point{}, limits);
            continues = decision.m_step == next_step::retry || decision.m_step == next_step::resume;
            RC_ASSERT((decision.m_step == next_step::finish) == (end.m_code == code::ok));
            RC_ASSERT((!continues || state.m_attempts < limits.m_max_attempts));
            RC_ASSERT((!continues || !state.m_non_idempotent || !may_have_run));
            RC_ASSERT((decision.m_step != next_step::retry || !state.m_head_sent));
            RC_ASSERT((decision.m_step != next_step::resume || state.m_stream));
            RC_ASSERT(
                (decision.m_step != next_step::refuse || (decision.m_outcome == outcome::not_run) == !may_have_run));
        }
    }));
}

TEST_CASE("a non-idempotent call that is abandoned during an attempt has an unknown outcome") {
    request_progress state{};
    state.m_non_idempotent = true;
    const auto abandoned = make_refusal(state, code::deadline_passed, true, {});
    CHECK(abandoned.m_code == code::outcome_unknown);
    CHECK(abandoned.m_outcome == outcome::unknown);
    const auto waiting = make_refusal(state, code::deadline_passed, false, {});
    CHECK(waiting.m_code == code::deadline_passed);
    CHECK(waiting.m_outcome == outcome::not_run);
}

TEST_CASE("with an empty budget a stream that has begun is resumed, and one that has not is refused") {
    request_progress state{};
    state.m_stream = true;
    state.m_attempts = 1;
    state.m_deadline = time_point{std::chrono::seconds{1}};
    retry_budget empty{0.0, 0.1, 10.0};
    CHECK(decide_next_step(state, {code::cut_stream, false, {}}, empty, {}, {}).m_step == next_step::refuse);
    state.m_head_sent = true;
    CHECK(decide_next_step(state, {code::cut_stream, false, {}}, empty, {}, {}).m_step == next_step::resume);
}

TEST_CASE("retries stay within the budget that successes fill") {
    CHECK(rc::check([] {
        retry_budget budget{};
        const auto start = budget.m_tokens;
        std::size_t successes = 0;
        std::size_t retries = 0;
        for (const auto success : *rc::gen::arbitrary<std::vector<bool>>()) {
            if (success) {
                deposit(budget);
                ++successes;
            } else if (try_withdraw(budget)) {
                ++retries;
            }
            RC_ASSERT(static_cast<double>(retries) <=
                      start + budget.m_tokens_per_success * static_cast<double>(successes) + 1e-9);
        }
    }));
}

} // namespace rhubarbwharf::routing
