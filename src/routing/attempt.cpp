#include <algorithm>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/routing/attempt.hpp>

namespace rhubarbwharf::routing {

namespace internal {

[[nodiscard]] auto is_retryable(const code value) noexcept -> bool {
    switch (value) {
    case code::no_backend_server:
    case code::overloaded:
    case code::draining:
    case code::wrong_version:
    case code::stale_ticket:
    case code::cut_stream:
    case code::backend_server_failed:
    case code::not_owner:
    case code::incomplete:
    case code::connection_failed:
    case code::timed_out:
    case code::send_queue_full:
        return true;
    default:
        return false;
    }
}

[[nodiscard]] auto is_execution_code(const code value) noexcept -> bool {
    return value >= code::key_missing && value <= code::in_progress;
}

/*! @brief Tells whether another attempt draws on the retry budget. Resuming a started stream does not, because few
 * streams are cut at the same time. */
[[nodiscard]] auto consumes_budget(const request_progress& state, const attempt_result& end) noexcept -> bool {
    return !state.m_head_sent && (!end.m_not_run || end.m_code == code::overloaded);
}

[[nodiscard]] auto may_retry(const request_progress& state, const attempt_result& end) noexcept -> bool {
    return end.m_not_run || !state.m_non_idempotent;
}

} // namespace internal

auto deposit(retry_budget& budget) noexcept -> void {
    budget.m_tokens = std::min(budget.m_tokens + budget.m_tokens_per_success, budget.m_max_tokens);
}

auto try_withdraw(retry_budget& budget) noexcept -> bool {
    if (budget.m_tokens < 1.0) {
        return false;
    }
    budget.m_tokens -= 1.0;
    return true;
}

auto make_refusal(const request_progress& state, const code reason, const bool attempt_in_progress,
                  const duration retry_after) noexcept -> attempt_decision {
    const auto may_have_run = state.m_may_have_run || attempt_in_progress;
    const auto hides_code = may_have_run && state.m_non_idempotent && !internal::is_execution_code(reason);
    return {next_step::refuse, hides_code ? code::outcome_unknown : reason,
            may_have_run ? outcome::unknown : outcome::not_run, hides_code ? duration{} : retry_after};
}

auto decide_next_step(request_progress& state, const attempt_result& end, retry_budget& budget, const time_point now,
                      const attempt_limits& limits) -> attempt_decision {
    if (end.m_code == code::ok) {
        deposit(budget);
        return {next_step::finish, code::ok, outcome::unknown, {}};
    }
    state.m_may_have_run = state.m_may_have_run || !end.m_not_run;
    const auto has_attempts_left = state.m_attempts < limits.m_max_attempts && now < state.m_deadline;
    const auto may_continue = !state.m_head_sent || state.m_stream;
    if (has_attempts_left && may_continue && internal::is_retryable(end.m_code) && internal::may_retry(state, end) &&
        (!internal::consumes_budget(state, end) || try_withdraw(budget))) {
        ensure(!state.m_non_idempotent || !state.m_may_have_run,
               "a non-idempotent call that may have run is not repeated");
        return {state.m_head_sent ? next_step::resume : next_step::retry, end.m_code, outcome::unknown, {}};
    }
    const auto needs_default_delay = internal::is_retryable(end.m_code) && end.m_retry_after == duration{};
    return make_refusal(state, end.m_code, false, needs_default_delay ? default_retry_after : end.m_retry_after);
}

} // namespace rhubarbwharf::routing
