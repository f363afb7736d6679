#include <algorithm>
#include <utility>

#include <execution/shard.hpp>
#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::execution {

namespace internal {

/*! @brief Listings in which an owner's key must be free before an instance that is not preferred takes it. */
constexpr std::uint32_t free_polls_min = 2;
/*! @brief Listings after which a shard goes to its preferred owner, or one whose key is gone is given up. */
constexpr std::uint32_t hand_over_polls_min = 5;

auto send_acquire(owner& table, shard& item, const time_point now, commands& out) -> void {
    item.m_phase = shard_phase::acquiring;
    const auto operation = begin_operation(table, item, now);
    out.emplace_back(write_key{item.m_id, operation, owner_key(table.m_options.m_service, item.m_id), table.m_name, 0,
                               table.m_lease});
}

auto send_list(owner& table, shard& item, const time_point now, commands& out) -> void {
    item.m_phase = shard_phase::reading;
    const auto operation = begin_operation(table, item, now);
    out.emplace_back(list_segments{item.m_id, operation});
}

auto start_reading(owner& table, shard& item, const std::uint64_t owner_revision, const time_point now, commands& out)
    -> void {
    item.m_owner_revision = owner_revision;
    item.m_polls = 0;
    send_list(table, item, now, out);
}

auto put_off(shard& item, const time_point now) -> void {
    item.m_phase = shard_phase::reading;
    item.m_retry_at = now + journal_retry_time;
}

auto poll_idle(owner& table, shard& item, const owner_listing* const listed, const time_point now, commands& out)
    -> void {
    if (item.m_is_in_flight || table.m_is_giving_back || table.m_is_suspended) {
        return;
    }
    if (listed != nullptr) {
        item.m_polls = 0;
        if (listed->m_owner == table.m_name) {
            start_reading(table, item, listed->m_revision, now, out);
        }
        return;
    }
    ++item.m_polls;
    const auto is_preferred = preferred(table.m_members, item.m_id) == table.m_instance;
    if (is_preferred || item.m_polls > free_polls_min) {
        send_acquire(table, item, now, out);
    }
}

auto poll_owned(owner& table, shard& item, const owner_listing* const listed, commands& out) -> void {
    const auto is_lost = listed == nullptr || listed->m_owner != table.m_name;
    const auto is_misplaced = table.m_is_suspended || preferred(table.m_members, item.m_id) != table.m_instance;
    item.m_polls = is_lost || is_misplaced ? item.m_polls + 1 : 0;
    if (item.m_polls < hand_over_polls_min) {
        return;
    }
    item.m_polls = 0;
    if (is_lost) {
        return drop(item, code::not_owner, out);
    }
    const auto is_busy =
        std::ranges::any_of(table.m_shards, [](const auto& other) { return other.m_phase == shard_phase::releasing; });
    if (!is_busy) {
        item.m_phase = shard_phase::releasing;
    }
}

auto learn(shard& item, const record& value, const std::uint64_t number) -> void {
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

[[nodiscard]] auto newest_of(const segment& value) -> std::uint64_t {
    std::uint64_t newest{};
    for (const auto& item : value.m_records) {
        newest = std::max(newest, item.m_key_time_ms);
    }
    return newest;
}

auto replay(shard& item, const std::span<const stored_segment> segments) -> void {
    item.m_keys.clear();
    item.m_sealed.clear();
    for (const auto& stored : segments) {
        const auto& value = stored.m_segment;
        for (const auto& entry : value.m_records) {
            learn(item, entry, value.m_number);
        }
        if (value.m_sealed) {
            item.m_sealed.push_back({value.m_number, stored.m_revision, newest_of(value)});
        }
    }
}

auto choose_open(shard& item, const std::span<const stored_segment> segments) -> void {
    item.m_open = {};
    item.m_open_bytes.clear();
    item.m_open_revision = 0;
    item.m_open_newest_ms = 0;
    item.m_token = fencing_token{1};
    if (segments.empty()) {
        return;
    }
    const auto& last = segments.back();
    item.m_token = fencing_token{last.m_segment.m_token.value() + 1};
    if (last.m_segment.m_sealed) {
        item.m_open.m_number = last.m_segment.m_number + 1;
        return;
    }
    item.m_open.m_number = last.m_segment.m_number;
    item.m_open_bytes = encode_records(last.m_segment.m_records);
    item.m_open_revision = last.m_revision;
    item.m_open_newest_ms = newest_of(last.m_segment);
}

auto send_take(owner& table, shard& item, const time_point now, commands& out) -> void {
    item.m_phase = shard_phase::taking;
    item.m_write = ++table.m_last_write;
    auto header = item.m_open;
    header.m_token = item.m_token;
    header.m_owner = table.m_name;
    header.m_write = item.m_write;
    const auto operation = begin_operation(table, item, now);
    ++table.m_counts.m_journal_writes;
    out.emplace_back(write_key{item.m_id, operation,
                               segment_key(table.m_options.m_service, item.m_id, item.m_open.m_number),
                               encode_header(header) + item.m_open_bytes, item.m_open_revision, 0});
}

auto send_release(owner& table, shard& item, const time_point now, commands& out) -> void {
    item.m_is_removing = true;
    const auto operation = begin_operation(table, item, now);
    out.emplace_back(
        remove_key{item.m_id, operation, owner_key(table.m_options.m_service, item.m_id), item.m_owner_revision});
}

[[nodiscard]] auto is_done(const owner& table, const shard& item) -> bool {
    const auto runs =
        std::ranges::any_of(table.m_running, [&](const auto& running) { return running.second.m_shard == item.m_id; });
    return !runs && item.m_pending.empty() && !item.m_is_in_flight && item.m_is_healthy;
}

auto step_ownership(owner& table, shard& item, const time_point now, commands& out) -> void {
    if (item.m_is_in_flight || now < item.m_retry_at) {
        return;
    }
    if (item.m_phase == shard_phase::reading && holds_lease(table, now)) {
        return send_list(table, item, now, out);
    }
    if (item.m_phase == shard_phase::releasing && !table.m_is_giving_back && is_done(table, item)) {
        send_release(table, item, now, out);
    }
}

auto end_acquire(owner& table, shard& item, const write_result& value, const time_point now, commands& out) -> void {
    const auto is_own = value.m_code == code::compare_failed && value.m_value == table.m_name;
    if (value.m_code == code::ok || is_own) {
        return start_reading(table, item, value.m_revision, now, out);
    }
    item.m_phase = shard_phase::idle;
}

auto end_take(owner& table, shard& item, const write_result& value, const time_point now) -> void {
    const auto standing = value.m_code == code::compare_failed ? decode(value.m_value) : std::nullopt;
    const auto is_own = standing && standing->m_owner == table.m_name && standing->m_write == item.m_write;
    if (value.m_code != code::ok && !is_own) {
        return put_off(item, now);
    }
    item.m_open_revision = value.m_revision;
    item.m_phase = table.m_is_giving_back ? shard_phase::releasing : shard_phase::owned;
    item.m_is_healthy = true;
    ++table.m_counts.m_takeovers;
}

auto end_release(shard& item, const write_result& value, const time_point now, commands& out) -> void {
    item.m_is_removing = false;
    const auto is_gone = value.m_code == code::compare_failed;
    if (value.m_code == code::ok || is_gone) {
        return drop(item, code::not_owner, out);
    }
    item.m_retry_at = now + journal_retry_time;
}

} // namespace internal

auto on_owners(owner& table, const code value, const std::span<const owner_listing> owners, const time_point now,
               commands& out) -> void {
    table.m_is_listing = false;
    if (value != code::ok || !holds_lease(table, now)) {
        return;
    }
    for (auto& item : table.m_shards) {
        const auto found = std::ranges::find(owners, item.m_id, &owner_listing::m_shard);
        const auto* const listed = found == owners.end() ? nullptr : &*found;
        if (item.m_phase == shard_phase::idle) {
            internal::poll_idle(table, item, listed, now, out);
        } else if (item.m_phase == shard_phase::owned) {
            internal::poll_owned(table, item, listed, out);
        }
    }
}

auto on_segments(owner& table, const shard_id shard, const operation_number operation, const code value,
                 const std::span<const stored_segment> segments, const time_point now, commands& out) -> void {
    auto& item = internal::at(table, shard);
    if (operation != item.m_operation || !item.m_is_in_flight) {
        return;
    }
    item.m_is_in_flight = false;
    if (item.m_phase != shard_phase::reading) {
        return;
    }
    if (value != code::ok || !holds_lease(table, now)) {
        return internal::put_off(item, now);
    }
    ensure(std::ranges::is_sorted(segments, {}, [](const auto& stored) { return stored.m_segment.m_number; }),
           "segments are replayed in their order");
    internal::replay(item, segments);
    internal::choose_open(item, segments);
    internal::send_take(table, item, now, out);
}

} // namespace rhubarbwharf::execution
