#include <algorithm>
#include <utility>

#include <execution/shard.hpp>
#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::execution {

namespace internal {

/*! @brief Time after which a caller may retry while the call with the same key is running. */
constexpr duration running_retry_delay = std::chrono::seconds{1};

auto answer(const call_number call, const code value, const outcome result, const duration retry_after, commands& out)
    -> void {
    out.emplace_back(answer_call{call, value, result, retry_after, std::nullopt, false});
}

auto answer_all(const std::span<const call_number> callers, const stored_answer& stored, commands& out) -> void {
    auto is_replayed = false;
    for (const auto caller : callers) {
        out.emplace_back(answer_call{caller, code::ok, outcome::unknown, duration::zero(), stored, is_replayed});
        is_replayed = true;
    }
}

auto answer_all(const std::span<const call_number> callers, const code value, const outcome result, commands& out)
    -> void {
    for (const auto caller : callers) {
        answer(caller, value, result, result == outcome::not_run ? refusal_retry_delay : duration::zero(), out);
    }
}

auto join_callers(std::vector<call_number>& callers, const call_key& content, const call_request& request,
                  commands& out) -> void {
    if (content != request.m_content) {
        return answer(request.m_call, code::key_reused, outcome::not_run, duration::zero(), out);
    }
    if (callers.size() >= max_waiters_per_key) {
        return answer(request.m_call, code::in_progress, outcome::unknown, running_retry_delay, out);
    }
    callers.push_back(request.m_call);
}

auto answer_ended(const key_entry& entry, const call_request& request, commands& out) -> void {
    if (entry.m_answer.m_is_body_omitted) {
        return answer(request.m_call, code::outcome_unknown, outcome::unknown, duration::zero(), out);
    }
    out.emplace_back(answer_call{request.m_call, code::ok, outcome::unknown, duration::zero(), entry.m_answer, true});
}

auto answer_known(key_entry& entry, const call_request& request, commands& out) -> void {
    if (entry.m_state == key_state::uncertain) {
        return answer(request.m_call, code::journal_unavailable, outcome::not_run, refusal_retry_delay, out);
    }
    if (entry.m_state == key_state::pending || entry.m_state == key_state::writing) {
        return join_callers(entry.m_callers, entry.m_content, request, out);
    }
    if (entry.m_content != request.m_content) {
        return answer(request.m_call, code::key_reused, outcome::not_run, duration::zero(), out);
    }
    if (entry.m_state == key_state::ended) {
        return answer_ended(entry, request, out);
    }
    answer(request.m_call, code::outcome_unknown, outcome::unknown, duration::zero(), out);
}

/*! @brief Refuses keys that are too old or from the future; an expired key may have run, so its outcome is unknown. */
[[nodiscard]] auto refuse_by_key_time(const owner& state, const call_request& request, const wall_time wall,
                                      commands& out) -> bool {
    const auto key_time = std::chrono::milliseconds{request.m_key_time_ms};
    if (wall.time_since_epoch() > key_time + state.m_options.m_retention) {
        answer(request.m_call, code::key_expired, outcome::unknown, duration::zero(), out);
        return true;
    }
    if (key_time > wall.time_since_epoch() + max_clock_skew) {
        answer(request.m_call, code::bad_request, outcome::not_run, duration::zero(), out);
        return true;
    }
    return false;
}

[[nodiscard]] auto accepts_claims(const owner& state, const shard& item, const time_point now) -> bool {
    const auto is_slow = item.m_is_in_flight && now > item.m_sent_at + slow_write_threshold;
    return holds_lease(state, now) && item.m_is_healthy && !is_slow && item.m_pending_claims < max_pending_claims;
}

auto add_claim(shard& item, const call_request& request, const time_point now) -> void {
    item.m_keys.emplace(
        request.m_key,
        key_entry{key_state::pending, request.m_content, request.m_key_time_ms, 0, {}, {request.m_call}});
    item.m_pending_records.push_back({record_kind::claim, request.m_key, request.m_content, request.m_key_time_ms, {}});
    if (item.m_pending_claims == 0) {
        item.m_claims_pending_since = now;
    }
    ++item.m_pending_claims;
}

auto add_result_record(shard& item, record value, const time_point now) -> void {
    if (item.m_pending_records.size() == item.m_pending_claims) {
        item.m_ends_pending_since = now;
    }
    item.m_pending_records.push_back(std::move(value));
}

[[nodiscard]] auto to_stored_answer(const owner& state, stored_answer stored) -> stored_answer {
    if (stored.m_body.size() > state.m_options.m_max_answer_bytes) {
        stored.m_body.clear();
        stored.m_is_body_omitted = true;
    }
    return stored;
}

auto record_end(const owner& state, shard& item, const call_key& key, const stored_answer& stored, const time_point now)
    -> void {
    const auto found = item.m_keys.find(key);
    if (!is_held(item) || found == item.m_keys.end() || found->second.m_state != key_state::claimed) {
        return;
    }
    found->second.m_state = key_state::ended;
    found->second.m_answer = to_stored_answer(state, stored);
    add_result_record(item, {record_kind::end, key, {}, 0, found->second.m_answer}, now);
}

auto record_release(shard& item, const call_key& key, const time_point now) -> void {
    const auto found = item.m_keys.find(key);
    if (!is_held(item) || found == item.m_keys.end() || found->second.m_state != key_state::claimed) {
        return;
    }
    item.m_keys.erase(found);
    add_result_record(item, {record_kind::release, key, {}, 0, {}}, now);
}

} // namespace internal

auto on_call(owner& state, const call_request& request, const time_point now, const wall_time wall, commands& out)
    -> void {
    if (const auto running = state.m_running_calls.find(request.m_key); running != state.m_running_calls.end()) {
        return internal::join_callers(running->second.m_callers, running->second.m_content, request, out);
    }
    auto& item = internal::shard_at(state, shard_of(request.m_key, state.m_options.m_shard_count));
    if (!internal::is_held(item)) {
        return internal::answer(request.m_call, code::not_owner, outcome::not_run, internal::refusal_retry_delay, out);
    }
    if (const auto known = item.m_keys.find(request.m_key); known != item.m_keys.end()) {
        return internal::answer_known(known->second, request, out);
    }
    if (item.m_phase == shard_phase::releasing) {
        return internal::answer(request.m_call, code::not_owner, outcome::not_run, internal::refusal_retry_delay, out);
    }
    if (internal::refuse_by_key_time(state, request, wall, out)) {
        return;
    }
    if (!internal::accepts_claims(state, item, now)) {
        return internal::answer(request.m_call, code::journal_unavailable, outcome::not_run,
                                internal::refusal_retry_delay, out);
    }
    internal::add_claim(item, request, now);
}

auto on_result(owner& state, const call_key& key, const call_result& value, const time_point now, commands& out)
    -> void {
    const auto found = state.m_running_calls.find(key);
    ensure(found != state.m_running_calls.end(), "a result belongs to a running call");
    const auto running = std::move(found->second);
    state.m_running_calls.erase(found);
    auto& item = internal::shard_at(state, running.m_shard);
    switch (value.m_kind) {
    case call_result::kind::answered:
        internal::record_end(state, item, key, value.m_answer, now);
        return internal::answer_all(running.m_callers, value.m_answer, out);
    case call_result::kind::not_run:
        internal::record_release(item, key, now);
        return internal::answer_all(running.m_callers, code::no_backend_server, outcome::not_run, out);
    case call_result::kind::unknown:
        return internal::answer_all(running.m_callers, code::outcome_unknown, outcome::unknown, out);
    }
}

} // namespace rhubarbwharf::execution
