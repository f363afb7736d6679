#include <agent/admission.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::agent {

namespace internal {

constexpr duration overload_retry_delay = std::chrono::milliseconds{500};
constexpr duration closed_retry_delay = std::chrono::seconds{1};

[[nodiscard]] auto record_decision(admission& table, const attempt_id& id, const attempt_decision fate,
                                   const time_point now) -> bool {
    if (const auto found = table.m_decisions.find(id); found != table.m_decisions.end()) {
        found->second = fate;
        return true;
    }
    if (table.m_decisions.size() >= table.m_decision_limit) {
        return false;
    }
    table.m_decisions.emplace(id, fate);
    table.m_decision_expiries.emplace_back(now + max_deadline, id);
    return true;
}

[[nodiscard]] auto refuse_attempt(admission& table, const attempt_id& id, const code reason, const time_point now)
    -> admission_result {
    const auto is_known = record_decision(table, id, attempt_decision::refused, now);
    const auto wait = reason == code::overloaded ? overload_retry_delay : closed_retry_delay;
    return {admission_result::kind::refuse, reason, is_known, wait};
}

[[nodiscard]] auto duplicate_result(const attempt_decision fate) -> admission_result {
    if (fate == attempt_decision::accepted) {
        return {admission_result::kind::drop, code::in_progress, false, duration::zero()};
    }
    return {admission_result::kind::refuse, code::refused_late, true, duration::zero()};
}

[[nodiscard]] auto is_more_urgent(const waiting_attempt& left, const waiting_attempt& right) -> bool {
    return std::tuple{right.m_priority, left.m_deadline} < std::tuple{left.m_priority, right.m_deadline};
}

/*! @brief Whether the backend server has room for an attempt. */
[[nodiscard]] auto has_capacity_for(const admission& table, const waiting_attempt& attempt) -> bool {
    const auto is_apart = !attempt.m_suspect || table.m_suspects_running == 0U;
    return table.m_running < table.m_capacity && is_apart;
}

auto acquire_slot(admission& table, const bool suspect) -> void {
    ++table.m_running;
    table.m_suspects_running += suspect ? 1U : 0U;
    ensure(table.m_running <= table.m_capacity, "no more attempts run than the backend server has room for");
    ensure(table.m_suspects_running <= 1U, "a suspect runs beside no other one");
}

} // namespace internal

auto try_admit(admission& table, const waiting_attempt& attempt, const code gate_code, const time_point now)
    -> admission_result {
    if (const auto found = table.m_decisions.find(attempt.m_id); found != table.m_decisions.end()) {
        return internal::duplicate_result(found->second);
    }
    if (gate_code != code::ok) {
        return internal::refuse_attempt(table, attempt.m_id, gate_code, now);
    }
    if (attempt.m_deadline <= now) {
        return internal::refuse_attempt(table, attempt.m_id, code::deadline_passed, now);
    }
    const auto comes_first = [&table](const waiting_attempt& other) {
        return internal::has_capacity_for(table, other);
    };
    const auto has_room =
        internal::has_capacity_for(table, attempt) && std::ranges::none_of(table.m_waiting, comes_first);
    if (!has_room && table.m_waiting.size() >= table.m_queue_limit) {
        return internal::refuse_attempt(table, attempt.m_id, code::overloaded, now);
    }
    if (!internal::record_decision(table, attempt.m_id, attempt_decision::accepted, now)) {
        return {admission_result::kind::refuse, code::overloaded, false, internal::overload_retry_delay};
    }
    if (has_room) {
        internal::acquire_slot(table, attempt.m_suspect);
        return {admission_result::kind::run, code::ok, false, duration::zero()};
    }
    table.m_waiting.push_back(attempt);
    return {admission_result::kind::wait, code::ok, false, duration::zero()};
}

auto record_refusal(admission& table, const attempt_id& id, const time_point now) -> bool {
    return internal::record_decision(table, id, attempt_decision::refused, now);
}

auto release_slot(admission& table, const bool suspect) -> void {
    ensure(table.m_running > 0, "an attempt that leaves was running");
    ensure(!suspect || table.m_suspects_running > 0, "a suspect that leaves was running");
    --table.m_running;
    table.m_suspects_running -= suspect ? 1U : 0U;
}

auto start_next(admission& table, const time_point now) -> std::optional<attempt_id> {
    auto chosen = table.m_waiting.end();
    for (auto each = table.m_waiting.begin(); each != table.m_waiting.end(); ++each) {
        const auto is_first = chosen == table.m_waiting.end() || internal::is_more_urgent(*each, *chosen);
        chosen = internal::has_capacity_for(table, *each) && is_first ? each : chosen;
    }
    if (chosen == table.m_waiting.end() || chosen->m_deadline <= now) {
        return std::nullopt;
    }
    const auto taken = *chosen;
    table.m_waiting.erase(chosen);
    internal::acquire_slot(table, taken.m_suspect);
    return taken.m_id;
}

auto remove_waiting(admission& table, const attempt_id& id) -> bool {
    return std::erase_if(table.m_waiting, [&](const auto& waiting) { return waiting.m_id == id; }) > 0;
}

auto expire(admission& table, const time_point now) -> std::vector<attempt_id> {
    while (!table.m_decision_expiries.empty() && table.m_decision_expiries.front().first <= now) {
        table.m_decisions.erase(table.m_decision_expiries.front().second);
        table.m_decision_expiries.pop_front();
    }
    std::vector<attempt_id> late{};
    std::erase_if(table.m_waiting, [&](const auto& waiting) {
        const auto is_late = waiting.m_deadline <= now;
        if (is_late) {
            late.push_back(waiting.m_id);
        }
        return is_late;
    });
    return late;
}

auto remove_all_waiting(admission& table) -> std::vector<attempt_id> {
    std::vector<attempt_id> all{};
    std::ranges::transform(table.m_waiting, std::back_inserter(all), &waiting_attempt::m_id);
    table.m_waiting.clear();
    return all;
}

} // namespace rhubarbwharf::agent
