#include <algorithm>
#include <utility>

#include <execution/shard.hpp>
#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::execution {

namespace internal {

/*! @brief Time for which a caller waits before it asks again for a call that runs. */
constexpr duration running_retry_time = std::chrono::seconds{1};

auto answer(const call_number call, const code value, const outcome ran, const duration wait, commands& out) -> void {
    out.emplace_back(answer_call{call, value, ran, wait, std::nullopt, false});
}

auto answer_all(const std::span<const call_number> callers, const kept_answer& kept, commands& out) -> void {
    auto is_repeat = false;
    for (const auto caller : callers) {
        out.emplace_back(answer_call{caller, code::ok, outcome::unknown, duration::zero(), kept, is_repeat});
        is_repeat = true;
    }
}

auto answer_all(const std::span<const call_number> callers, const code value, const outcome ran, commands& out)
    -> void {
    for (const auto caller : callers) {
        answer(caller, value, ran, ran == outcome::not_run ? refusal_retry_time : duration::zero(), out);
    }
}

auto join(std::vector<call_number>& callers, const call_key& content, const call_request& request, commands& out)
    -> void {
    if (content != request.m_content) {
        return answer(request.m_call, code::key_reused, outcome::not_run, duration::zero(), out);
    }
    if (callers.size() >= waiters_max) {
        return answer(request.m_call, code::in_progress, outcome::unknown, running_retry_time, out);
    }
    callers.push_back(request.m_call);
}

auto answer_ended(const key_entry& entry, const call_request& request, commands& out) -> void {
    if (entry.m_answer.m_is_cut) {
        return answer(request.m_call, code::outcome_unknown, outcome::unknown, duration::zero(), out);
    }
    out.emplace_back(answer_call{request.m_call, code::ok, outcome::unknown, duration::zero(), entry.m_answer, true});
}

auto answer_known(key_entry& entry, const call_request& request, commands& out) -> void {
    if (entry.m_state == key_state::doubtful) {
        return answer(request.m_call, code::journal_unavailable, outcome::not_run, refusal_retry_time, out);
    }
    if (entry.m_state == key_state::pending || entry.m_state == key_state::writing) {
        return join(entry.m_callers, entry.m_content, request, out);
    }
    if (entry.m_content != request.m_content) {
        return answer(request.m_call, code::key_reused, outcome::not_run, duration::zero(), out);
    }
    if (entry.m_state == key_state::ended) {
        return answer_ended(entry, request, out);
    }
    answer(request.m_call, code::outcome_unknown, outcome::unknown, duration::zero(), out);
}

/*! @brief An expired key may have run once, so its refusal is not `not_run`. */
[[nodiscard]] auto refuse_by_time(const owner& table, const call_request& request, const wall_time wall, commands& out)
    -> bool {
    const auto made = std::chrono::milliseconds{request.m_key_time_ms};
    if (wall.time_since_epoch() > made + table.m_options.m_retention) {
        answer(request.m_call, code::key_expired, outcome::unknown, duration::zero(), out);
        return true;
    }
    if (made > wall.time_since_epoch() + clock_skew_max) {
        answer(request.m_call, code::bad_request, outcome::not_run, duration::zero(), out);
        return true;
    }
    return false;
}

[[nodiscard]] auto takes_claims(const owner& table, const shard& item, const time_point now) -> bool {
    const auto is_slow = item.m_is_in_flight && now > item.m_sent_at + slow_write_time;
    return holds_lease(table, now) && item.m_is_healthy && !is_slow && item.m_pending_claims < pending_claims_max;
}

auto add_claim(shard& item, const call_request& request, const time_point now) -> void {
    item.m_keys.emplace(
        request.m_key,
        key_entry{key_state::pending, request.m_content, request.m_key_time_ms, 0, {}, {request.m_call}});
    item.m_pending.push_back({record_kind::claim, request.m_key, request.m_content, request.m_key_time_ms, {}});
    if (item.m_pending_claims == 0) {
        item.m_claims_since = now;
    }
    ++item.m_pending_claims;
}

auto add_other(shard& item, record value, const time_point now) -> void {
    if (item.m_pending.size() == item.m_pending_claims) {
        item.m_ends_since = now;
    }
    item.m_pending.push_back(std::move(value));
}

[[nodiscard]] auto kept_form(const owner& table, kept_answer whole) -> kept_answer {
    if (whole.m_body.size() > table.m_options.m_answer_bytes) {
        whole.m_body.clear();
        whole.m_is_cut = true;
    }
    return whole;
}

auto record_end(const owner& table, shard& item, const call_key& key, const kept_answer& whole, const time_point now)
    -> void {
    const auto found = item.m_keys.find(key);
    if (!is_held(item) || found == item.m_keys.end() || found->second.m_state != key_state::claimed) {
        return;
    }
    found->second.m_state = key_state::ended;
    found->second.m_answer = kept_form(table, whole);
    add_other(item, {record_kind::end, key, {}, 0, found->second.m_answer}, now);
}

auto record_release(shard& item, const call_key& key, const time_point now) -> void {
    const auto found = item.m_keys.find(key);
    if (!is_held(item) || found == item.m_keys.end() || found->second.m_state != key_state::claimed) {
        return;
    }
    item.m_keys.erase(found);
    add_other(item, {record_kind::release, key, {}, 0, {}}, now);
}

} // namespace internal

auto on_call(owner& table, const call_request& request, const time_point now, const wall_time wall, commands& out)
    -> void {
    if (const auto running = table.m_running.find(request.m_key); running != table.m_running.end()) {
        return internal::join(running->second.m_callers, running->second.m_content, request, out);
    }
    auto& item = internal::at(table, shard_of(request.m_key, table.m_options.m_shards));
    if (!internal::is_held(item)) {
        return internal::answer(request.m_call, code::not_owner, outcome::not_run, internal::refusal_retry_time, out);
    }
    if (const auto known = item.m_keys.find(request.m_key); known != item.m_keys.end()) {
        return internal::answer_known(known->second, request, out);
    }
    if (item.m_phase == shard_phase::releasing) {
        return internal::answer(request.m_call, code::not_owner, outcome::not_run, internal::refusal_retry_time, out);
    }
    if (internal::refuse_by_time(table, request, wall, out)) {
        return;
    }
    if (!internal::takes_claims(table, item, now)) {
        return internal::answer(request.m_call, code::journal_unavailable, outcome::not_run,
                                internal::refusal_retry_time, out);
    }
    internal::add_claim(item, request, now);
}

auto on_result(owner& table, const call_key& key, const call_result& value, const time_point now, commands& out)
    -> void {
    const auto found = table.m_running.find(key);
    ensure(found != table.m_running.end(), "a call that ends was running");
    const auto running = std::move(found->second);
    table.m_running.erase(found);
    auto& item = internal::at(table, running.m_shard);
    switch (value.m_kind) {
    case call_result::kind::answered:
        internal::record_end(table, item, key, value.m_answer, now);
        return internal::answer_all(running.m_callers, value.m_answer, out);
    case call_result::kind::not_run:
        internal::record_release(item, key, now);
        return internal::answer_all(running.m_callers, code::no_backend_server, outcome::not_run, out);
    case call_result::kind::unknown:
        return internal::answer_all(running.m_callers, code::outcome_unknown, outcome::unknown, out);
    }
}

} // namespace rhubarbwharf::execution
