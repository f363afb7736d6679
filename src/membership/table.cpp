#include <algorithm>
#include <array>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/membership/table.hpp>

namespace rhubarbwharf::membership {

namespace internal {

[[nodiscard]] auto is_replaced(const member& row, const std::uint64_t incarnation) noexcept -> bool {
    return std::ranges::find(row.m_replaced_incarnations, incarnation) != row.m_replaced_incarnations.end();
}

auto record_replaced(member& row, const std::uint64_t incarnation) -> void {
    if (row.m_replaced_incarnations.size() == max_replaced_incarnations) {
        row.m_replaced_incarnations.erase(row.m_replaced_incarnations.begin());
    }
    row.m_replaced_incarnations.push_back(incarnation);
}

[[nodiscard]] auto changes_shared_state(const report& previous, const report& update) noexcept -> bool {
    return previous.m_incarnation != update.m_incarnation || previous.m_phase != update.m_phase ||
           previous.m_group != update.m_group || previous.m_model != update.m_model ||
           previous.m_manifest != update.m_manifest || previous.m_ticket != update.m_ticket ||
           previous.m_bus_address != update.m_bus_address || previous.m_bulk_address != update.m_bulk_address ||
           previous.m_shards != update.m_shards || previous.m_ready_to_load != update.m_ready_to_load;
}

[[nodiscard]] auto next_status(const member& row, const report& update) noexcept -> member_status {
    if (update.m_phase == phase::draining) {
        return member_status::leaving;
    }
    const auto same = row.m_report.m_incarnation == update.m_incarnation;
    return same && row.m_status == member_status::leaving ? member_status::leaving : member_status::live;
}

} // namespace internal

auto apply(table& members, const report& update, const time_point now) -> apply_result {
    const auto known = members.m_names.find(update.m_instance).has_value();
    const auto id = members.m_names.emplace(update.m_instance);
    if (!known) {
        members.m_members.push_back({update, now, member_status::live, {}});
        members.m_members.back().m_status = internal::next_status(members.m_members.back(), update);
        ensure(members.m_members.size() == members.m_names.size(), "every name has one row");
        return apply_result::changed;
    }
    auto& row = members.m_members[id.value()];
    const auto same = row.m_report.m_incarnation == update.m_incarnation;
    if (internal::is_replaced(row, update.m_incarnation) || (same && update.m_sequence <= row.m_report.m_sequence)) {
        return apply_result::stale;
    }
    const auto next = internal::next_status(row, update);
    const auto shared_change = next != row.m_status || internal::changes_shared_state(row.m_report, update);
    if (!same) {
        internal::record_replaced(row, row.m_report.m_incarnation);
    }
    row.m_report = update;
    row.m_last_received = now;
    row.m_status = next;
    return shared_change ? apply_result::changed : apply_result::refreshed;
}

auto record_message(table& members, const std::string_view instance, const std::uint64_t incarnation,
                    const time_point now) -> bool {
    const auto id = members.m_names.find(instance);
    if (!id || members.m_members[id->value()].m_report.m_incarnation != incarnation) {
        return false;
    }
    members.m_members[id->value()].m_last_received = now;
    return true;
}

auto mark_leaving(table& members, const std::string_view instance, const std::uint64_t incarnation) -> bool {
    const auto id = members.m_names.find(instance);
    if (!id) {
        return false;
    }
    auto& row = members.m_members[id->value()];
    if (row.m_report.m_incarnation != incarnation || row.m_status == member_status::leaving) {
        return false;
    }
    row.m_status = member_status::leaving;
    return true;
}

auto mark_suspected(table& members, const instance_id instance) -> bool {
    auto& row = members.m_members[instance.value()];
    if (row.m_status != member_status::live) {
        return false;
    }
    row.m_status = member_status::suspected;
    return true;
}

auto suspect_silent_members(table& members, const time_point now, const liveness_timeouts& timeouts)
    -> std::vector<instance_id> {
    std::vector<instance_id> suspected{};
    for (std::size_t index = 0; index < members.m_members.size(); ++index) {
        const auto id = instance_id{static_cast<std::uint32_t>(index)};
        if (now - members.m_members[index].m_last_received > timeouts.m_suspect_timeout &&
            mark_suspected(members, id)) {
            suspected.push_back(id);
        }
    }
    return suspected;
}

auto find(const table& members, const std::string_view instance) noexcept -> const member* {
    const auto id = members.m_names.find(instance);
    return id ? &members.m_members[id->value()] : nullptr;
}

auto accepts_requests(const member& row, const time_point now, const liveness_timeouts& timeouts) noexcept -> bool {
    return row.m_status == member_status::live && row.m_report.m_phase == phase::serving &&
           now - row.m_last_received <= timeouts.m_suspect_timeout;
}

auto is_retained(const member& row, const time_point now, const liveness_timeouts& timeouts) noexcept -> bool {
    return now - row.m_last_received <= timeouts.m_retention;
}

auto find_shard_owner(const table& members, const std::string_view group, const shard_id shard, const time_point now,
                      const liveness_timeouts& timeouts) noexcept -> const member* {
    const member* owning_member = nullptr;
    fencing_token highest{};
    for (const auto& row : members.m_members) {
        if (!accepts_requests(row, now, timeouts) || row.m_report.m_group != group) {
            continue;
        }
        const auto held = std::ranges::find(row.m_report.m_shards, shard, &owned_shard::m_shard);
        if (held != row.m_report.m_shards.end() && (owning_member == nullptr || held->m_fencing > highest)) {
            owning_member = &row;
            highest = held->m_fencing;
        }
    }
    return owning_member;
}

auto to_string(const phase value) noexcept -> std::string_view {
    constexpr auto texts = std::to_array<std::string_view>(
        {"unknown", "empty", "fetching", "closing", "loading", "serving", "draining", "failed"});
    return texts[static_cast<std::size_t>(value)];
}

auto to_string(const member_status value) noexcept -> std::string_view {
    constexpr auto texts = std::to_array<std::string_view>({"live", "suspected", "leaving"});
    return texts[static_cast<std::size_t>(value)];
}

} // namespace rhubarbwharf::membership
