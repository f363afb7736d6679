#include <algorithm>
#include <utility>

#include <execution/shard.hpp>
#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::execution {

namespace internal {

/*! @brief Consecutive listings without the owner key after which an instance that is not preferred acquires it. */
constexpr std::uint32_t min_free_polls = 2;
/*! @brief Consecutive listings after which a shard is handed to its preferred owner, or dropped if its key is lost. */
constexpr std::uint32_t min_handover_polls = 5;

auto send_acquire(owner& state, shard& item, const time_point now, commands& out) -> void {
    item.m_phase = shard_phase::acquiring;
    const auto operation = begin_operation(state, item, now);
    out.emplace_back(write_key{item.m_id, operation, owner_key(state.m_options.m_service, item.m_id), state.m_name, 0,
                               state.m_lease});
}

auto send_list(owner& state, shard& item, const time_point now, commands& out) -> void {
    item.m_phase = shard_phase::reading;
    const auto operation = begin_operation(state, item, now);
    out.emplace_back(list_segments{item.m_id, operation});
}

auto start_reading(owner& state, shard& item, const std::uint64_t owner_revision, const time_point now, commands& out)
    -> void {
    item.m_owner_revision = owner_revision;
    item.m_ownership_polls = 0;
    send_list(state, item, now, out);
}

auto retry_reading(shard& item, const time_point now) -> void {
    item.m_phase = shard_phase::reading;
    item.m_retry_at = now + journal_retry_interval;
}

auto poll_idle(owner& state, shard& item, const owner_listing* const listed, const time_point now, commands& out)
    -> void {
    if (item.m_is_in_flight || state.m_is_releasing_all || state.m_is_suspended) {
        return;
    }
    if (listed != nullptr) {
        item.m_ownership_polls = 0;
        if (listed->m_owner == state.m_name) {
            start_reading(state, item, listed->m_revision, now, out);
        }
        return;
    }
    ++item.m_ownership_polls;
    const auto is_preferred = preferred_owner(state.m_members, item.m_id) == state.m_instance;
    if (is_preferred || item.m_ownership_polls > min_free_polls) {
        send_acquire(state, item, now, out);
    }
}

auto poll_owned(owner& state, shard& item, const owner_listing* const listed, commands& out) -> void {
    const auto is_lost = listed == nullptr || listed->m_owner != state.m_name;
    const auto is_misplaced = state.m_is_suspended || preferred_owner(state.m_members, item.m_id) != state.m_instance;
    item.m_ownership_polls = is_lost || is_misplaced ? item.m_ownership_polls + 1 : 0;
    if (item.m_ownership_polls < min_handover_polls) {
        return;
    }
    item.m_ownership_polls = 0;
    if (is_lost) {
        return drop_shard(item, code::not_owner, out);
    }
    const auto is_any_releasing =
        std::ranges::any_of(state.m_shards, [](const auto& other) { return other.m_phase == shard_phase::releasing; });
    if (!is_any_releasing) {
        item.m_phase = shard_phase::releasing;
    }
}

auto apply_record(shard& item, const record& value, const std::uint64_t number) -> void {
    switch (value.m_kind) {
    case record_kind::claim: {
        auto& entry = item.m_keys[value.m_key];
        entry = {key_state::claimed, value.m_content, value.m_key_time_ms, number, {}, {}};
        return;
    }
    case record_kind::end:
        if (const auto found = item.m_keys.find(value.m_key); found != item.m_keys.end()) {
            found->second.m_state = key_state::ended;
            found->second.m_answer = value.m_answer;
        }
        return;
    case record_kind::release:
        item.m_keys.erase(value.m_key);
    }
}

[[nodiscard]] auto newest_key_time_ms(const segment& value) -> std::uint64_t {
    std::uint64_t newest{};
    for (const auto& item : value.m_records) {
        newest = std::max(newest, item.m_key_time_ms);
    }
    return newest;
}

auto replay(shard& item, const std::span<const stored_segment> segments) -> void {
    item.m_keys.clear();
    item.m_sealed_segments.clear();
    for (const auto& stored : segments) {
        const auto& value = stored.m_segment;
        for (const auto& entry : value.m_records) {
            apply_record(item, entry, value.m_number);
        }
        if (value.m_sealed) {
            item.m_sealed_segments.push_back({value.m_number, stored.m_revision, newest_key_time_ms(value)});
        }
    }
}

auto select_open_segment(shard& item, const std::span<const stored_segment> segments) -> void {
    item.m_open_header = {};
    item.m_open_bytes.clear();
    item.m_open_revision = 0;
    item.m_open_newest_key_time_ms = 0;
    item.m_token = fencing_token{1};
    if (segments.empty()) {
        return;
    }
    const auto& last = segments.back();
    item.m_token = fencing_token{last.m_segment.m_token.value() + 1};
    if (last.m_segment.m_sealed) {
        item.m_open_header.m_number = last.m_segment.m_number + 1;
        return;
    }
    item.m_open_header.m_number = last.m_segment.m_number;
    item.m_open_bytes = encode_records(last.m_segment.m_records);
    item.m_open_revision = last.m_revision;
    item.m_open_newest_key_time_ms = newest_key_time_ms(last.m_segment);
}

auto send_takeover(owner& state, shard& item, const time_point now, commands& out) -> void {
    item.m_phase = shard_phase::taking;
    item.m_write_number = ++state.m_last_write_number;
    auto header = item.m_open_header;
    header.m_token = item.m_token;
    header.m_owner = state.m_name;
    header.m_write_number = item.m_write_number;
    const auto operation = begin_operation(state, item, now);
    ++state.m_counts.m_journal_writes;
    out.emplace_back(write_key{item.m_id, operation,
                               segment_key(state.m_options.m_service, item.m_id, item.m_open_header.m_number),
                               encode_header(header) + item.m_open_bytes, item.m_open_revision, 0});
}

auto send_release(owner& state, shard& item, const time_point now, commands& out) -> void {
    item.m_is_deleting_owner_key = true;
    const auto operation = begin_operation(state, item, now);
    out.emplace_back(
        remove_key{item.m_id, operation, owner_key(state.m_options.m_service, item.m_id), item.m_owner_revision});
}

[[nodiscard]] auto is_drained(const owner& state, const shard& item) -> bool {
    const auto has_running_call = std::ranges::any_of(
        state.m_running_calls, [&](const auto& running) { return running.second.m_shard == item.m_id; });
    return !has_running_call && item.m_pending_records.empty() && !item.m_is_in_flight && item.m_is_healthy;
}

auto step_ownership(owner& state, shard& item, const time_point now, commands& out) -> void {
    if (item.m_is_in_flight || now < item.m_retry_at) {
        return;
    }
    if (item.m_phase == shard_phase::reading && holds_lease(state, now)) {
        return send_list(state, item, now, out);
    }
    if (item.m_phase == shard_phase::releasing && !state.m_is_releasing_all && is_drained(state, item)) {
        send_release(state, item, now, out);
    }
}

auto end_acquire(owner& state, shard& item, const write_result& value, const time_point now, commands& out) -> void {
    const auto is_own = value.m_code == code::compare_failed && value.m_value == state.m_name;
    if (value.m_code == code::ok || is_own) {
        return start_reading(state, item, value.m_revision, now, out);
    }
    item.m_phase = shard_phase::idle;
}

auto end_takeover(owner& state, shard& item, const write_result& value, const time_point now) -> void {
    const auto stored = value.m_code == code::compare_failed ? decode(value.m_value) : std::nullopt;
    const auto is_own = stored && stored->m_owner == state.m_name && stored->m_write_number == item.m_write_number;
    if (value.m_code != code::ok && !is_own) {
        return retry_reading(item, now);
    }
    item.m_open_revision = value.m_revision;
    item.m_phase = state.m_is_releasing_all ? shard_phase::releasing : shard_phase::owned;
    item.m_is_healthy = true;
    ++state.m_counts.m_takeovers;
}

auto end_release(shard& item, const write_result& value, const time_point now, commands& out) -> void {
    item.m_is_deleting_owner_key = false;
    const auto is_deleted = value.m_code == code::compare_failed;
    if (value.m_code == code::ok || is_deleted) {
        return drop_shard(item, code::not_owner, out);
    }
    item.m_retry_at = now + journal_retry_interval;
}

} // namespace internal

auto on_owners(owner& state, const code value, const std::span<const owner_listing> owners, const time_point now,
               commands& out) -> void {
    state.m_is_list_in_flight = false;
    if (value != code::ok || !holds_lease(state, now)) {
        return;
    }
    for (auto& item : state.m_shards) {
        const auto found = std::ranges::find(owners, item.m_id, &owner_listing::m_shard);
        const auto* const listed = found == owners.end() ? nullptr : &*found;
        if (item.m_phase == shard_phase::idle) {
            internal::poll_idle(state, item, listed, now, out);
        } else if (item.m_phase == shard_phase::owned) {
            internal::poll_owned(state, item, listed, out);
        }
    }
}

auto on_segments(owner& state, const shard_id shard, const operation_number operation, const code value,
                 const std::span<const stored_segment> segments, const time_point now, commands& out) -> void {
    auto& item = internal::shard_at(state, shard);
    if (operation != item.m_operation || !item.m_is_in_flight) {
        return;
    }
    item.m_is_in_flight = false;
    if (item.m_phase != shard_phase::reading) {
        return;
    }
    if (value != code::ok || !holds_lease(state, now)) {
        return internal::retry_reading(item, now);
    }
    ensure(std::ranges::is_sorted(segments, {}, [](const auto& stored) { return stored.m_segment.m_number; }),
           "segments are replayed by ascending number");
    internal::replay(item, segments);
    internal::select_open_segment(item, segments);
    internal::send_takeover(state, item, now, out);
}

} // namespace rhubarbwharf::execution
