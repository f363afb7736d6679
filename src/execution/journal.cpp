#include <algorithm>
#include <iterator>
#include <utility>

#include <execution/shard.hpp>
#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::execution {

namespace internal {

/*! @brief Space reserved in a segment for its header, in bytes. */
constexpr std::size_t max_header_bytes = 256;

auto refuse(const std::span<const call_number> callers, const code value, commands& out) -> void {
    for (const auto caller : callers) {
        out.emplace_back(answer_call{caller, value, outcome::not_run, refusal_retry_delay, std::nullopt, false});
    }
}

[[nodiscard]] auto is_claim(const record& value) -> bool {
    return value.m_kind == record_kind::claim;
}

auto refuse_pending(shard& item, commands& out) -> void {
    for (const auto& value : item.m_pending_records) {
        if (is_claim(value)) {
            refuse(item.m_keys.at(value.m_key).m_callers, code::journal_unavailable, out);
            item.m_keys.erase(value.m_key);
        }
    }
    std::erase_if(item.m_pending_records, is_claim);
    item.m_pending_claims = 0;
}

auto drop_shard(shard& item, const code value, commands& out) -> void {
    for (const auto& [key, entry] : item.m_keys) {
        if (entry.m_state == key_state::pending || entry.m_state == key_state::writing) {
            refuse(entry.m_callers, value, out);
        }
    }
    const auto id = item.m_id;
    item = shard{};
    item.m_id = id;
}

/*! @brief Moves the pending records that fit into the segment to those being written; returns their encoding. */
auto dequeue_batch(const owner& state, shard& item) -> std::string {
    std::string bytes{};
    std::size_t count{};
    for (; count < item.m_pending_records.size(); ++count) {
        const auto encoded = encode_records(std::span{&item.m_pending_records[count], 1});
        const auto size = item.m_open_bytes.size() + bytes.size() + encoded.size() + max_header_bytes;
        const auto is_first_record = item.m_open_bytes.empty() && bytes.empty();
        if (size > state.m_options.m_max_segment_bytes && !is_first_record) {
            break;
        }
        bytes += encoded;
    }
    const auto end = item.m_pending_records.begin() + static_cast<std::ptrdiff_t>(count);
    item.m_writing_records.assign(std::make_move_iterator(item.m_pending_records.begin()),
                                  std::make_move_iterator(end));
    item.m_pending_records.erase(item.m_pending_records.begin(), end);
    return bytes;
}

auto mark_writing(shard& item) -> void {
    for (const auto& value : item.m_writing_records) {
        if (!is_claim(value)) {
            continue;
        }
        auto& entry = item.m_keys.at(value.m_key);
        ensure(entry.m_state == key_state::pending, "a claim is written at most once");
        entry.m_state = key_state::writing;
        --item.m_pending_claims;
    }
}

[[nodiscard]] auto is_due(const owner& state, const shard& item, const time_point now) -> bool {
    const auto has_claims =
        item.m_pending_claims > 0 && now >= item.m_claims_pending_since + state.m_options.m_group_commit_delay;
    const auto has_result_records = item.m_pending_records.size() > item.m_pending_claims;
    const auto has_ends =
        has_result_records && (now >= item.m_ends_pending_since + max_end_record_delay || state.m_is_releasing_all);
    return !item.m_is_healthy || has_claims || has_ends;
}

[[nodiscard]] auto may_write(const owner& state, const shard& item, const time_point now) -> bool {
    return is_held(item) && !item.m_is_in_flight && now >= item.m_retry_at && is_due(state, item, now);
}

auto refill_write_tokens(owner& state, const time_point now) -> void {
    const auto rate = state.m_options.m_max_writes_per_second;
    const auto elapsed_seconds = std::chrono::duration<double>{now - state.m_write_tokens_updated_at}.count();
    state.m_write_tokens = std::min(state.m_write_tokens + elapsed_seconds * rate, std::max(rate, 1.0));
    state.m_write_tokens_updated_at = now;
}

auto write_batch(owner& state, shard& item, const time_point now, commands& out) -> void {
    if (!holds_lease(state, now)) {
        refuse_pending(item, out);
    }
    if (item.m_pending_records.empty() && item.m_is_healthy) {
        return;
    }
    --state.m_write_tokens;
    const auto bytes = dequeue_batch(state, item);
    mark_writing(item);
    item.m_is_sealing = item.m_writing_records.empty() && !item.m_pending_records.empty();
    item.m_write_number = ++state.m_last_write_number;
    auto header = item.m_open_header;
    header.m_token = item.m_token;
    header.m_owner = state.m_name;
    header.m_write_number = item.m_write_number;
    header.m_sealed = item.m_is_sealing;
    const auto operation = begin_operation(state, item, now);
    ++state.m_counts.m_journal_writes;
    out.emplace_back(write_key{item.m_id, operation,
                               segment_key(state.m_options.m_service, item.m_id, item.m_open_header.m_number),
                               encode_header(header) + item.m_open_bytes + bytes, item.m_open_revision, 0});
}

auto flush(owner& state, const time_point now, commands& out) -> void {
    refill_write_tokens(state, now);
    std::vector<shard*> due{};
    for (auto& item : state.m_shards) {
        if (may_write(state, item, now)) {
            due.push_back(&item);
        }
    }
    std::ranges::sort(due, {}, [](const shard* const item) { return std::pair{item->m_sent_at, item->m_id}; });
    for (auto* const item : due) {
        if (state.m_write_tokens < 1.0) {
            return;
        }
        write_batch(state, *item, now, out);
    }
}

auto start_call(owner& state, shard& item, const record& claim, commands& out) -> void {
    auto& entry = item.m_keys.at(claim.m_key);
    ensure(entry.m_state == key_state::writing,
           "a call starts only after its claim is stored under the owner's own token");
    ensure(!entry.m_callers.empty(), "a started call has at least one caller");
    entry.m_state = key_state::claimed;
    entry.m_segment = item.m_open_header.m_number;
    const auto is_new =
        state.m_running_calls.emplace(claim.m_key, running_call{item.m_id, entry.m_content, entry.m_callers}).second;
    ensure(is_new, "a call is started at most once per claim");
    out.emplace_back(run_call{item.m_id, claim.m_key, entry.m_callers.front()});
    entry.m_callers.clear();
    item.m_open_newest_key_time_ms = std::max(item.m_open_newest_key_time_ms, claim.m_key_time_ms);
    ++state.m_counts.m_claims;
    ++state.m_counts.m_runs;
}

auto open_next_segment(shard& item) -> void {
    item.m_sealed_segments.push_back(
        {item.m_open_header.m_number, item.m_open_revision, item.m_open_newest_key_time_ms});
    ++item.m_open_header.m_number;
    item.m_open_revision = 0;
    item.m_open_bytes.clear();
    item.m_open_newest_key_time_ms = 0;
}

/*! @brief Removes uncertain keys; writes with an older expected revision can no longer take effect. */
auto discard_uncertain(shard& item) -> void {
    for (const auto& key : item.m_uncertain_keys) {
        item.m_keys.erase(key);
    }
    item.m_uncertain_keys.clear();
}

auto confirm_write(owner& state, shard& item, const std::uint64_t revision, commands& out) -> void {
    item.m_open_bytes += encode_records(item.m_writing_records);
    item.m_open_revision = revision;
    item.m_is_healthy = true;
    discard_uncertain(item);
    for (const auto& value : item.m_writing_records) {
        if (is_claim(value)) {
            start_call(state, item, value, out);
        }
    }
    item.m_writing_records.clear();
    if (std::exchange(item.m_is_sealing, false)) {
        open_next_segment(item);
    }
}

auto requeue_records(shard& item) -> void {
    for (const auto& value : item.m_writing_records) {
        if (is_claim(value)) {
            item.m_keys.at(value.m_key).m_state = key_state::pending;
            ++item.m_pending_claims;
        }
    }
    item.m_pending_records.insert(item.m_pending_records.begin(),
                                  std::make_move_iterator(item.m_writing_records.begin()),
                                  std::make_move_iterator(item.m_writing_records.end()));
    item.m_writing_records.clear();
}

[[nodiscard]] auto is_still_claimed(const segment& stored, const call_key& key) -> bool {
    const auto last = std::find_if(stored.m_records.rbegin(), stored.m_records.rend(),
                                   [&](const auto& value) { return value.m_key == key; });
    return last != stored.m_records.rend() && is_claim(*last);
}

auto release_uncertain(shard& item, const segment& stored) -> void {
    for (const auto& key : item.m_uncertain_keys) {
        if (is_still_claimed(stored, key)) {
            item.m_pending_records.insert(item.m_pending_records.begin(), record{record_kind::release, key, {}, 0, {}});
        }
    }
    discard_uncertain(item);
}

/*! @brief Continues from the stored segment after a write of this owner that seemed to have failed took effect. */
auto adopt_stored_segment(shard& item, const segment& stored, const std::uint64_t revision) -> void {
    item.m_open_bytes = encode_records(stored.m_records);
    item.m_open_revision = revision;
    item.m_is_healthy = true;
    item.m_is_sealing = false;
    for (const auto& value : stored.m_records) {
        item.m_open_newest_key_time_ms = std::max(item.m_open_newest_key_time_ms, value.m_key_time_ms);
    }
    requeue_records(item);
    release_uncertain(item, stored);
    if (stored.m_sealed) {
        open_next_segment(item);
    }
}

auto fail_write(owner& state, shard& item, const write_result& value, const time_point now, commands& out) -> void {
    item.m_is_sealing = false;
    item.m_retry_at = now + journal_retry_interval;
    if (value.m_code == code::rate_limited && value.m_written == outcome::not_run) {
        return requeue_records(item);
    }
    item.m_is_healthy = false;
    const auto is_unknown = value.m_written == outcome::unknown;
    state.m_counts.m_unknown_writes += is_unknown ? 1U : 0U;
    for (const auto& written : item.m_writing_records) {
        if (is_claim(written) && is_unknown) {
            item.m_uncertain_keys.push_back(written.m_key);
        }
    }
    requeue_records(item);
    refuse_pending(item, out);
    for (const auto& key : item.m_uncertain_keys) {
        item.m_keys[key].m_state = key_state::uncertain;
    }
}

auto end_append(owner& state, shard& item, const write_result& value, const time_point now, commands& out) -> void {
    if (value.m_code == code::ok) {
        return confirm_write(state, item, value.m_revision, out);
    }
    if (value.m_code != code::compare_failed) {
        return fail_write(state, item, value, now, out);
    }
    const auto stored = decode(value.m_value);
    const auto is_own = value.m_revision != 0 && stored && stored->m_owner == state.m_name &&
                        stored->m_token == item.m_token && stored->m_number == item.m_open_header.m_number;
    if (is_own && stored->m_write_number == item.m_write_number) {
        return confirm_write(state, item, value.m_revision, out);
    }
    if (is_own) {
        return adopt_stored_segment(item, *stored, value.m_revision);
    }
    ++state.m_counts.m_fenced_writes;
    drop_shard(item, code::not_owner, out);
}

auto expire_oldest_segment(owner& state, shard& item, const wall_time wall, commands& out) -> void {
    if (item.m_phase != shard_phase::owned || item.m_is_expiring || item.m_sealed_segments.empty() ||
        !item.m_is_healthy) {
        return;
    }
    const auto& oldest = item.m_sealed_segments.front();
    const auto kept_until =
        std::chrono::milliseconds{oldest.m_newest_key_time_ms} + state.m_options.m_retention + segment_expiry_margin;
    if (wall.time_since_epoch() <= kept_until || wall < item.m_next_expiry_at) {
        return;
    }
    item.m_is_expiring = true;
    item.m_next_expiry_at = wall + segment_expiry_retry_interval;
    item.m_expiry_operation = operation_number{++state.m_last_operation};
    out.emplace_back(remove_key{item.m_id, item.m_expiry_operation,
                                segment_key(state.m_options.m_service, item.m_id, oldest.m_number), oldest.m_revision});
}

auto end_expiry(owner& state, shard& item, const write_result& value) -> void {
    item.m_is_expiring = false;
    const auto is_deleted = value.m_code == code::ok || (value.m_code == code::compare_failed && value.m_revision == 0);
    if (!is_deleted || item.m_sealed_segments.empty()) {
        return;
    }
    const auto number = item.m_sealed_segments.front().m_number;
    item.m_sealed_segments.pop_front();
    item.m_next_expiry_at = wall_time{};
    ++state.m_counts.m_expired_segments;
    std::erase_if(item.m_keys, [&](const auto& pair) {
        const auto& entry = pair.second;
        const auto is_written = entry.m_state == key_state::claimed || entry.m_state == key_state::ended;
        return is_written && entry.m_segment <= number && !state.m_running_calls.contains(pair.first);
    });
}

} // namespace internal

auto on_written(owner& state, const shard_id shard, const operation_number operation, const write_result& value,
                const time_point now, commands& out) -> void {
    auto& item = internal::shard_at(state, shard);
    if (item.m_is_expiring && operation == item.m_expiry_operation) {
        return internal::end_expiry(state, item, value);
    }
    if (!item.m_is_in_flight || operation != item.m_operation) {
        return;
    }
    item.m_is_in_flight = false;
    switch (item.m_phase) {
    case shard_phase::acquiring:
        return internal::end_acquire(state, item, value, now, out);
    case shard_phase::taking:
        return internal::end_takeover(state, item, value, now);
    case shard_phase::releasing:
        if (item.m_is_deleting_owner_key) {
            return internal::end_release(item, value, now, out);
        }
        [[fallthrough]];
    case shard_phase::owned:
        internal::end_append(state, item, value, now, out);
        return internal::flush(state, now, out);
    case shard_phase::idle:
    case shard_phase::reading:
        return;
    }
}

} // namespace rhubarbwharf::execution
