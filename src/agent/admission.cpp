#include <agent/admission.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::agent {

namespace internal {

constexpr duration overload_retry_delay = std::chrono::milliseconds{500};
constexpr duration closed_retry_delay = std::chrono::seconds{1};

[[nodiscard]] auto record_decision(admission& state, const attempt_id& id, const admission_decision decision,
                                   const time_point now) -> bool {
    if (const auto found = state.m_decisions.find(id); found != state.m_decisions.end()) {
        found->second = decision;
        return true;
    }
    if (state.m_decisions.size() >= state.m_decision_limit) {
        return false;
    }
    state.m_decisions.emplace(id, decision);
    state.m_decision_expiries.emplace_back(now + max_deadline, id);
    return true;
}

[[nodiscard]] auto refuse_attempt(admission& state, const attempt_id& id, const code reason, const time_point now)
    -> admission_result {
    const auto is_recorded = record_decision(state, id, admission_decision::refused, now);
    const auto retry_after = reason == code::overloaded ? overload_retry_delay : closed_retry_delay;
    return {admission_result::kind::refuse, reason, is_recorded, retry_after};
}

[[nodiscard]] auto duplicate_result(const admission_decision decision) -> admission_result {
    if (decision == admission_decision::accepted) {
        return {admission_result::kind::drop, code::in_progress, false, duration::zero()};
    }
    return {admission_result::kind::refuse, code::refused_late, true, duration::zero()};
}

[[nodiscard]] auto is_more_urgent(const waiting_attempt& left, const waiting_attempt& right) -> bool {
    return std::tuple{right.m_priority, left.m_deadline} < std::tuple{left.m_priority, right.m_deadline};
}

/*! @brief Checks for a free slot; two suspects never run at the same time. */
[[nodiscard]] auto has_capacity_for(const admission& state, const waiting_attempt& attempt) -> bool {
    const auto is_suspect_allowed = !attempt.m_suspect || state.m_suspects_running == 0U;
    return state.m_running < state.m_capacity && is_suspect_allowed;
}

auto acquire_slot(admission& state, const bool suspect) -> void {
    ++state.m_running;
    state.m_suspects_running += suspect ? 1U : 0U;
    ensure(state.m_running <= state.m_capacity, "no more attempts run than the backend server has capacity for");
    ensure(state.m_suspects_running <= 1U, "a suspect runs only while no other suspect is running");
}

} // namespace internal

auto try_admit(admission& state, const waiting_attempt& attempt, const code gate_code, const time_point now)
    -> admission_result {
    if (const auto found = state.m_decisions.find(attempt.m_id); found != state.m_decisions.end()) {
        return internal::duplicate_result(found->second);
    }
    if (gate_code != code::ok) {
        return internal::refuse_attempt(state, attempt.m_id, gate_code, now);
    }
    if (attempt.m_deadline <= now) {
        return internal::refuse_attempt(state, attempt.m_id, code::deadline_passed, now);
    }
    const auto can_start_first = [&state](const waiting_attempt& other) {
        return internal::has_capacity_for(state, other);
    };
    const auto can_start =
        internal::has_capacity_for(state, attempt) && std::ranges::none_of(state.m_waiting, can_start_first);
    if (!can_start && state.m_waiting.size() >= state.m_queue_limit) {
        return internal::refuse_attempt(state, attempt.m_id, code::overloaded, now);
    }
    if (!internal::record_decision(state, attempt.m_id, admission_decision::accepted, now)) {
        return {admission_result::kind::refuse, code::overloaded, false, internal::overload_retry_delay};
    }
    if (can_start) {
        internal::acquire_slot(state, attempt.m_suspect);
        return {admission_result::kind::run, code::ok, false, duration::zero()};
    }
    state.m_waiting.push_back(attempt);
    return {admission_result::kind::wait, code::ok, false, duration::zero()};
}

auto record_refusal(admission& state, const attempt_id& id, const time_point now) -> bool {
    return internal::record_decision(state, id, admission_decision::refused, now);
}

auto release_slot(admission& state, const bool suspect) -> void {
    ensure(state.m_running > 0, "an attempt that leaves its slot was running");
    ensure(!suspect || state.m_suspects_running > 0, "a suspect that leaves its slot was running");
    --state.m_running;
    state.m_suspects_running -= suspect ? 1U : 0U;
}

auto start_next(admission& state, const time_point now) -> std::optional<attempt_id> {
    auto selected = state.m_waiting.end();
    for (auto item = state.m_waiting.begin(); item != state.m_waiting.end(); ++item) {
        const auto is_best = selected == state.m_waiting.end() || internal::is_more_urgent(*item, *selected);
        selected = internal::has_capacity_for(state, *item) && is_best ? item : selected;
    }
    if (selected == state.m_waiting.end() || selected->m_deadline <= now) {
        return std::nullopt;
    }
    const auto started = *selected;
    state.m_waiting.erase(selected);
    internal::acquire_slot(state, started.m_suspect);
    return started.m_id;
}

auto remove_waiting(admission& state, const attempt_id& id) -> bool {
    return std::erase_if(state.m_waiting, [&](const auto& waiting) { return waiting.m_id == id; }) > 0;
}

auto expire(admission& state, const time_point now) -> std::vector<attempt_id> {
    while (!state.m_decision_expiries.empty() && state.m_decision_expiries.front().first <= now) {
        state.m_decisions.erase(state.m_decision_expiries.front().second);
        state.m_decision_expiries.pop_front();
    }
    std::vector<attempt_id> expired{};
    std::erase_if(state.m_waiting, [&](const auto& waiting) {
        const auto is_expired = waiting.m_deadline <= now;
        if (is_expired) {
            expired.push_back(waiting.m_id);
        }
        return is_expired;
    });
    return expired;
}

auto remove_all_waiting(admission& state) -> std::vector<attempt_id> {
    std::vector<attempt_id> removed{};
    std::ranges::transform(state.m_waiting, std::back_inserter(removed), &waiting_attempt::m_id);
    state.m_waiting.clear();
    return removed;
}

} // namespace rhubarbwharf::agent
