#include <algorithm>
#include <iterator>
#include <utility>

#include <execution/shard.hpp>
#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::execution {

namespace internal {

/*! @brief Bytes left free in a segment for its header. */
constexpr std::size_t header_bytes_max = 256;

auto refuse(const std::span<const call_number> callers, const code value, commands& out) -> void {
    for (const auto caller : callers) {
        out.emplace_back(answer_call{caller, value, outcome::not_run, refusal_retry_time, std::nullopt, false});
    }
}

[[nodiscard]] auto is_claim(const record& value) -> bool {
    return value.m_kind == record_kind::claim;
}

auto refuse_pending(shard& item, commands& out) -> void {
    for (const auto& value : item.m_pending) {
        if (is_claim(value)) {
            refuse(item.m_keys.at(value.m_key).m_callers, code::journal_unavailable, out);
            item.m_keys.erase(value.m_key);
        }
    }
    std::erase_if(item.m_pending, is_claim);
    item.m_pending_claims = 0;
}

auto drop(shard& item, const code value, commands& out) -> void {
    for (const auto& [key, entry] : item.m_keys) {
        if (entry.m_state == key_state::pending || entry.m_state == key_state::writing) {
            refuse(entry.m_callers, value, out);
        }
    }
    const auto id = item.m_id;
    item = shard{};
    item.m_id = id;
}

/*! @brief Moves the records that fit from the pending ones to those being written. */
auto take_batch(const owner& table, shard& item) -> std::string {
    std::string bytes{};
    std::size_t taken{};
    for (; taken < item.m_pending.size(); ++taken) {
        const auto encoded = encode_records(std::span{&item.m_pending[taken], 1});
        const auto size = item.m_open_bytes.size() + bytes.size() + encoded.size() + header_bytes_max;
        const auto is_first_at_all = item.m_open_bytes.empty() && bytes.empty();
        if (size > table.m_options.m_segment_bytes && !is_first_at_all) {
            break;
        }
        bytes += encoded;
    }
    const auto end = item.m_pending.begin() + static_cast<std::ptrdiff_t>(taken);
    item.m_writing.assign(std::make_move_iterator(item.m_pending.begin()), std::make_move_iterator(end));
    item.m_pending.erase(item.m_pending.begin(), end);
    return bytes;
}

auto mark_writing(shard& item) -> void {
    for (const auto& value : item.m_writing) {
        if (!is_claim(value)) {
            continue;
        }
        auto& entry = item.m_keys.at(value.m_key);
        ensure(entry.m_state == key_state::pending, "a claim is written once");
        entry.m_state = key_state::writing;
        --item.m_pending_claims;
    }
}

[[nodiscard]] auto is_due(const owner& table, const shard& item, const time_point now) -> bool {
    const auto has_claims = item.m_pending_claims > 0 && now >= item.m_claims_since + table.m_options.m_group_commit;
    const auto has_others = item.m_pending.size() > item.m_pending_claims;
    const auto has_ends = has_others && (now >= item.m_ends_since + end_delay || table.m_is_giving_back);
    return !item.m_is_healthy || has_claims || has_ends;
}

[[nodiscard]] auto may_write(const owner& table, const shard& item, const time_point now) -> bool {
    return is_held(item) && !item.m_is_in_flight && now >= item.m_retry_at && is_due(table, item, now);
}

auto save_writes(owner& table, const time_point now) -> void {
    const auto rate = table.m_options.m_writes_per_second;
    const auto passed = std::chrono::duration<double>{now - table.m_saved_at}.count();
    table.m_writes_saved = std::min(table.m_writes_saved + passed * rate, std::max(rate, 1.0));
    table.m_saved_at = now;
}

auto write_batch(owner& table, shard& item, const time_point now, commands& out) -> void {
    if (!holds_lease(table, now)) {
        refuse_pending(item, out);
    }
    if (item.m_pending.empty() && item.m_is_healthy) {
        return;
    }
    --table.m_writes_saved;
    const auto bytes = take_batch(table, item);
    mark_writing(item);
    item.m_is_sealing = item.m_writing.empty() && !item.m_pending.empty();
    item.m_write = ++table.m_last_write;
    auto header = item.m_open;
    header.m_token = item.m_token;
    header.m_owner = table.m_name;
    header.m_write = item.m_write;
    header.m_sealed = item.m_is_sealing;
    const auto operation = begin_operation(table, item, now);
    ++table.m_counts.m_journal_writes;
    out.emplace_back(write_key{item.m_id, operation,
                               segment_key(table.m_options.m_service, item.m_id, item.m_open.m_number),
                               encode_header(header) + item.m_open_bytes + bytes, item.m_open_revision, 0});
}

auto flush(owner& table, const time_point now, commands& out) -> void {
    save_writes(table, now);
    std::vector<shard*> due{};
    for (auto& item : table.m_shards) {
        if (may_write(table, item, now)) {
            due.push_back(&item);
        }
    }
    std::ranges::sort(due, {}, [](const shard* const item) { return std::pair{item->m_sent_at, item->m_id}; });
    for (auto* const item : due) {
        if (table.m_writes_saved < 1.0) {
            return;
        }
        write_batch(table, *item, now, out);
    }
}

auto start_call(owner& table, shard& item, const record& claim, commands& out) -> void {
    auto& entry = item.m_keys.at(claim.m_key);
    ensure(entry.m_state == key_state::writing, "a call starts only once its claim is written under the own token");
    ensure(!entry.m_callers.empty(), "a call that starts has a caller");
    entry.m_state = key_state::claimed;
    entry.m_segment = item.m_open.m_number;
    const auto is_new =
        table.m_running.emplace(claim.m_key, running_call{item.m_id, entry.m_content, entry.m_callers}).second;
    ensure(is_new, "a call is never started twice for one claim");
    out.emplace_back(run_call{item.m_id, claim.m_key, entry.m_callers.front()});
    entry.m_callers.clear();
    item.m_open_newest_ms = std::max(item.m_open_newest_ms, claim.m_key_time_ms);
    ++table.m_counts.m_claims;
    ++table.m_counts.m_runs;
}

auto open_next(shard& item) -> void {
    item.m_sealed.push_back({item.m_open.m_number, item.m_open_revision, item.m_open_newest_ms});
    ++item.m_open.m_number;
    item.m_open_revision = 0;
    item.m_open_bytes.clear();
    item.m_open_newest_ms = 0;
}

/*! @brief A write of an earlier revision can't take effect any more, so what was in doubt is surely not written. */
auto forget_doubtful(shard& item) -> void {
    for (const auto& key : item.m_doubtful) {
        item.m_keys.erase(key);
    }
    item.m_doubtful.clear();
}

auto confirm(owner& table, shard& item, const std::uint64_t revision, commands& out) -> void {
    item.m_open_bytes += encode_records(item.m_writing);
    item.m_open_revision = revision;
    item.m_is_healthy = true;
    forget_doubtful(item);
    for (const auto& value : item.m_writing) {
        if (is_claim(value)) {
            start_call(table, item, value, out);
        }
    }
    item.m_writing.clear();
    if (std::exchange(item.m_is_sealing, false)) {
        open_next(item);
    }
}

auto put_back(shard& item) -> void {
    for (const auto& value : item.m_writing) {
        if (is_claim(value)) {
            item.m_keys.at(value.m_key).m_state = key_state::pending;
            ++item.m_pending_claims;
        }
    }
    item.m_pending.insert(item.m_pending.begin(), std::make_move_iterator(item.m_writing.begin()),
                          std::make_move_iterator(item.m_writing.end()));
    item.m_writing.clear();
}

[[nodiscard]] auto is_left_claimed(const segment& standing, const call_key& key) -> bool {
    const auto last = std::find_if(standing.m_records.rbegin(), standing.m_records.rend(),
                                   [&](const auto& value) { return value.m_key == key; });
    return last != standing.m_records.rend() && is_claim(*last);
}

auto release_doubtful(shard& item, const segment& standing) -> void {
    for (const auto& key : item.m_doubtful) {
        if (is_left_claimed(standing, key)) {
            item.m_pending.insert(item.m_pending.begin(), record{record_kind::release, key, {}, 0, {}});
        }
    }
    forget_doubtful(item);
}

/*! @brief An own write that was given up has taken effect: go on from what stands. */
auto adopt(shard& item, const segment& standing, const std::uint64_t revision) -> void {
    item.m_open_bytes = encode_records(standing.m_records);
    item.m_open_revision = revision;
    item.m_is_healthy = true;
    item.m_is_sealing = false;
    for (const auto& value : standing.m_records) {
        item.m_open_newest_ms = std::max(item.m_open_newest_ms, value.m_key_time_ms);
    }
    put_back(item);
    release_doubtful(item, standing);
    if (standing.m_sealed) {
        open_next(item);
    }
}

auto give_up_write(owner& table, shard& item, const write_result& value, const time_point now, commands& out) -> void {
    item.m_is_sealing = false;
    item.m_retry_at = now + journal_retry_time;
    if (value.m_code == code::rate_limited && value.m_written == outcome::not_run) {
        return put_back(item);
    }
    item.m_is_healthy = false;
    const auto is_unknown = value.m_written == outcome::unknown;
    table.m_counts.m_unknown_writes += is_unknown ? 1U : 0U;
    for (const auto& written : item.m_writing) {
        if (is_claim(written) && is_unknown) {
            item.m_doubtful.push_back(written.m_key);
        }
    }
    put_back(item);
    refuse_pending(item, out);
    for (const auto& key : item.m_doubtful) {
        item.m_keys[key].m_state = key_state::doubtful;
    }
}

auto end_append(owner& table, shard& item, const write_result& value, const time_point now, commands& out) -> void {
    if (value.m_code == code::ok) {
        return confirm(table, item, value.m_revision, out);
    }
    if (value.m_code != code::compare_failed) {
        return give_up_write(table, item, value, now, out);
    }
    const auto standing = decode(value.m_value);
    const auto is_own = value.m_revision != 0 && standing && standing->m_owner == table.m_name &&
                        standing->m_token == item.m_token && standing->m_number == item.m_open.m_number;
    if (is_own && standing->m_write == item.m_write) {
        return confirm(table, item, value.m_revision, out);
    }
    if (is_own) {
        return adopt(item, *standing, value.m_revision);
    }
    ++table.m_counts.m_fenced;
    drop(item, code::not_owner, out);
}

auto fold(owner& table, shard& item, const wall_time wall, commands& out) -> void {
    if (item.m_phase != shard_phase::owned || item.m_is_folding || item.m_sealed.empty() || !item.m_is_healthy) {
        return;
    }
    const auto& oldest = item.m_sealed.front();
    const auto kept_until = std::chrono::milliseconds{oldest.m_newest_ms} + table.m_options.m_retention + fold_margin;
    if (wall.time_since_epoch() <= kept_until || wall < item.m_fold_at) {
        return;
    }
    item.m_is_folding = true;
    item.m_fold_at = wall + fold_retry_time;
    item.m_fold_operation = operation_number{++table.m_last_operation};
    out.emplace_back(remove_key{item.m_id, item.m_fold_operation,
                                segment_key(table.m_options.m_service, item.m_id, oldest.m_number), oldest.m_revision});
}

auto end_fold(owner& table, shard& item, const write_result& value) -> void {
    item.m_is_folding = false;
    const auto is_gone = value.m_code == code::ok || (value.m_code == code::compare_failed && value.m_revision == 0);
    if (!is_gone || item.m_sealed.empty()) {
        return;
    }
    const auto number = item.m_sealed.front().m_number;
    item.m_sealed.pop_front();
    item.m_fold_at = wall_time{};
    ++table.m_counts.m_folded;
    std::erase_if(item.m_keys, [&](const auto& pair) {
        const auto& entry = pair.second;
        const auto is_written = entry.m_state == key_state::claimed || entry.m_state == key_state::ended;
        return is_written && entry.m_segment <= number && !table.m_running.contains(pair.first);
    });
}

} // namespace internal

auto on_written(owner& table, const shard_id shard, const operation_number operation, const write_result& value,
                const time_point now, commands& out) -> void {
    auto& item = internal::at(table, shard);
    if (item.m_is_folding && operation == item.m_fold_operation) {
        return internal::end_fold(table, item, value);
    }
    if (!item.m_is_in_flight || operation != item.m_operation) {
        return;
    }
    item.m_is_in_flight = false;
    switch (item.m_phase) {
    case shard_phase::acquiring:
        return internal::end_acquire(table, item, value, now, out);
    case shard_phase::taking:
        return internal::end_take(table, item, value, now);
    case shard_phase::releasing:
        if (item.m_is_removing) {
            return internal::end_release(item, value, now, out);
        }
        [[fallthrough]];
    case shard_phase::owned:
        internal::end_append(table, item, value, now, out);
        return internal::flush(table, now, out);
    case shard_phase::idle:
    case shard_phase::reading:
        return;
    }
}

} // namespace rhubarbwharf::execution
