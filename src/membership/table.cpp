#include <algorithm>
#include <array>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/membership/table.hpp>

namespace rhubarbwharf::membership {

namespace internal {

[[nodiscard]] auto is_replaced(const member& row, const std::uint64_t incarnation) noexcept -> bool {
    return std::ranges::find(row.m_replaced, incarnation) != row.m_replaced.end();
}

auto replace(member& row, const std::uint64_t incarnation) -> void {
    if (row.m_replaced.size() == replaced_kept) {
        row.m_replaced.erase(row.m_replaced.begin());
    }
    row.m_replaced.push_back(incarnation);
}

[[nodiscard]] auto tells_peers(const report& held, const report& news) noexcept -> bool {
    return held.m_incarnation != news.m_incarnation || held.m_phase != news.m_phase || held.m_group != news.m_group ||
           held.m_model != news.m_model || held.m_manifest != news.m_manifest || held.m_ticket != news.m_ticket ||
           held.m_bus_address != news.m_bus_address || held.m_bulk_address != news.m_bulk_address ||
           held.m_shards != news.m_shards || held.m_ready != news.m_ready;
}

[[nodiscard]] auto standing_after(const member& row, const report& news) noexcept -> standing {
    if (news.m_phase == phase::draining) {
        return standing::leaving;
    }
    const auto same = row.m_report.m_incarnation == news.m_incarnation;
    return same && row.m_standing == standing::leaving ? standing::leaving : standing::live;
}

} // namespace internal

auto apply(table& members, const report& news, const time_point now) -> applied {
    const auto known = members.m_names.find(news.m_instance).has_value();
    const auto id = members.m_names.emplace(news.m_instance);
    if (!known) {
        members.m_members.push_back({news, now, standing::live, {}});
        members.m_members.back().m_standing = internal::standing_after(members.m_members.back(), news);
        ensure(members.m_members.size() == members.m_names.size(), "every name has one row");
        return applied::changed;
    }
    auto& row = members.m_members[id.value()];
    const auto same = row.m_report.m_incarnation == news.m_incarnation;
    if (internal::is_replaced(row, news.m_incarnation) || (same && news.m_sequence <= row.m_report.m_sequence)) {
        return applied::stale;
    }
    const auto after = internal::standing_after(row, news);
    const auto told = after != row.m_standing || internal::tells_peers(row.m_report, news);
    if (!same) {
        internal::replace(row, row.m_report.m_incarnation);
    }
    row.m_report = news;
    row.m_heard = now;
    row.m_standing = after;
    return told ? applied::changed : applied::refreshed;
}

auto touch(table& members, const std::string_view instance, const std::uint64_t incarnation, const time_point now)
    -> bool {
    const auto id = members.m_names.find(instance);
    if (!id || members.m_members[id->value()].m_report.m_incarnation != incarnation) {
        return false;
    }
    members.m_members[id->value()].m_heard = now;
    return true;
}

auto leave(table& members, const std::string_view instance, const std::uint64_t incarnation) -> bool {
    const auto id = members.m_names.find(instance);
    if (!id) {
        return false;
    }
    auto& row = members.m_members[id->value()];
    if (row.m_report.m_incarnation != incarnation || row.m_standing == standing::leaving) {
        return false;
    }
    row.m_standing = standing::leaving;
    return true;
}

auto suspect(table& members, const instance_id instance) -> bool {
    auto& row = members.m_members[instance.value()];
    if (row.m_standing != standing::live) {
        return false;
    }
    row.m_standing = standing::suspected;
    return true;
}

auto sweep(table& members, const time_point now, const limits& bounds) -> std::vector<instance_id> {
    std::vector<instance_id> silent{};
    for (std::size_t index = 0; index < members.m_members.size(); ++index) {
        const auto id = instance_id{static_cast<std::uint32_t>(index)};
        if (now - members.m_members[index].m_heard > bounds.m_suspect && suspect(members, id)) {
            silent.push_back(id);
        }
    }
    return silent;
}

auto find(const table& members, const std::string_view instance) noexcept -> const member* {
    const auto id = members.m_names.find(instance);
    return id ? &members.m_members[id->value()] : nullptr;
}

auto takes_work(const member& row, const time_point now, const limits& bounds) noexcept -> bool {
    return row.m_standing == standing::live && row.m_report.m_phase == phase::serving &&
           now - row.m_heard <= bounds.m_suspect;
}

auto listed(const member& row, const time_point now, const limits& bounds) noexcept -> bool {
    return now - row.m_heard <= bounds.m_forget;
}

auto owner(const table& members, const std::string_view group, const shard_id shard, const time_point now,
           const limits& bounds) noexcept -> const member* {
    const member* best = nullptr;
    fencing_token highest{};
    for (const auto& row : members.m_members) {
        if (!takes_work(row, now, bounds) || row.m_report.m_group != group) {
            continue;
        }
        const auto held = std::ranges::find(row.m_report.m_shards, shard, &owned_shard::m_shard);
        if (held != row.m_report.m_shards.end() && (best == nullptr || held->m_fencing > highest)) {
            best = &row;
            highest = held->m_fencing;
        }
    }
    return best;
}

auto to_string(const phase value) noexcept -> std::string_view {
    constexpr auto texts = std::to_array<std::string_view>(
        {"unknown", "empty", "fetching", "closing", "loading", "serving", "draining", "failed"});
    return texts[static_cast<std::size_t>(value)];
}

auto to_string(const standing value) noexcept -> std::string_view {
    constexpr auto texts = std::to_array<std::string_view>({"live", "suspected", "leaving"});
    return texts[static_cast<std::size_t>(value)];
}

} // namespace rhubarbwharf::membership
