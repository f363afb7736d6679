#include <algorithm>
#include <utility>

#include <execution/shard.hpp>
#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::execution {

namespace internal {

constexpr int renewals_per_lease = 3;
constexpr int listings_per_lease = 5;

auto at(owner& table, const shard_id id) -> shard& {
    ensure(id.value() < table.m_shards.size(), "a shard that is named exists");
    return table.m_shards[id.value()];
}

auto is_held(const shard& item) noexcept -> bool {
    return item.m_phase == shard_phase::owned || item.m_phase == shard_phase::releasing;
}

auto begin_operation(owner& table, shard& item, const time_point now) -> operation_number {
    ensure(!item.m_is_in_flight, "a shard has one operation in flight");
    item.m_operation = operation_number{++table.m_last_operation};
    item.m_is_in_flight = true;
    item.m_sent_at = now;
    return item.m_operation;
}

auto send_grant(owner& table, const time_point now, commands& out) -> void {
    table.m_is_lease_in_flight = true;
    table.m_lease_sent = now;
    out.emplace_back(grant_lease{table.m_options.m_lease});
}

auto send_renewal(owner& table, const time_point now, commands& out) -> void {
    table.m_is_lease_in_flight = true;
    table.m_lease_sent = now;
    out.emplace_back(renew_lease{table.m_lease});
}

auto lose_lease(owner& table, commands& out) -> void {
    table.m_lease = 0;
    for (auto& item : table.m_shards) {
        drop(item, code::not_owner, out);
    }
}

auto step_lease(owner& table, const time_point now, commands& out) -> void {
    if (table.m_lease != 0 && now >= table.m_lease_until) {
        lose_lease(table, out);
    }
    if (table.m_is_lease_in_flight || now < table.m_lease_retry || table.m_is_given_back) {
        return;
    }
    if (table.m_lease == 0) {
        if (!table.m_is_giving_back) {
            send_grant(table, now, out);
        }
        return;
    }
    if (now >= table.m_lease_sent + table.m_options.m_lease / renewals_per_lease) {
        send_renewal(table, now, out);
    }
}

auto step_listing(owner& table, const time_point now, commands& out) -> void {
    if (table.m_is_listing || table.m_is_giving_back || now < table.m_list_at || !holds_lease(table, now)) {
        return;
    }
    table.m_is_listing = true;
    table.m_list_at = now + table.m_options.m_lease / listings_per_lease;
    out.emplace_back(list_owners{});
}

[[nodiscard]] auto is_settled(const shard& item) -> bool {
    return !is_held(item) || (item.m_pending.empty() && !item.m_is_in_flight);
}

auto step_giving_back(owner& table, commands& out) -> void {
    if (!table.m_is_giving_back || table.m_is_given_back || table.m_is_lease_in_flight || !table.m_running.empty()) {
        return;
    }
    if (table.m_lease == 0) {
        table.m_is_given_back = true;
        return;
    }
    if (std::ranges::all_of(table.m_shards, is_settled)) {
        table.m_is_lease_in_flight = true;
        out.emplace_back(revoke_lease{table.m_lease});
    }
}

} // namespace internal

auto make_owner(options settings, const std::string_view instance, const std::uint64_t incarnation) -> owner {
    ensure(settings.m_shards > 0, "a service has at least one shard");
    owner table{};
    table.m_options = std::move(settings);
    table.m_instance = instance;
    table.m_name = std::string{instance} + '/' + std::to_string(incarnation);
    table.m_members = {std::string{instance}};
    table.m_shards.resize(table.m_options.m_shards);
    for (std::uint32_t index = 0; index < table.m_options.m_shards; ++index) {
        table.m_shards[index].m_id = shard_id{index};
    }
    return table;
}

auto holds_lease(const owner& table, const time_point now) -> bool {
    return table.m_lease != 0 && now + table.m_options.m_margin < table.m_lease_until;
}

auto preferred(const std::span<const std::string> members, const shard_id shard) -> std::string_view {
    const auto weigh = [shard](const std::string& member) {
        return std::pair{mix(stable_hash(member), shard.value()), std::string_view{member}};
    };
    const auto best = std::ranges::max_element(members, {}, weigh);
    return best == members.end() ? std::string_view{} : std::string_view{*best};
}

auto set_members(owner& table, std::vector<std::string> members) -> void {
    table.m_members = std::move(members);
    if (std::ranges::find(table.m_members, table.m_instance) == table.m_members.end()) {
        table.m_members.push_back(table.m_instance);
    }
}

auto tick(owner& table, const time_point now, const wall_time wall, commands& out) -> void {
    internal::step_lease(table, now, out);
    internal::step_listing(table, now, out);
    for (auto& item : table.m_shards) {
        internal::step_ownership(table, item, now, out);
        internal::fold(table, item, wall, out);
    }
    internal::flush(table, now, out);
    internal::step_giving_back(table, out);
}

auto on_granted(owner& table, const code value, const std::int64_t lease) -> void {
    table.m_is_lease_in_flight = false;
    if (value != code::ok) {
        table.m_lease_retry = table.m_lease_sent + journal_retry_time;
        return;
    }
    table.m_lease = lease;
    table.m_lease_until = table.m_lease_sent + table.m_options.m_lease;
}

auto on_renewed(owner& table, const code value) -> void {
    table.m_is_lease_in_flight = false;
    if (table.m_lease == 0) {
        return;
    }
    if (value == code::ok) {
        table.m_lease_until = table.m_lease_sent + table.m_options.m_lease;
        return;
    }
    table.m_lease_retry = table.m_lease_sent + journal_retry_time;
    if (value == code::lease_lost) {
        table.m_lease_until = time_point::min();
    }
}

auto on_revoked(owner& table) -> void {
    table.m_is_lease_in_flight = false;
    table.m_is_given_back = true;
    table.m_lease = 0;
}

auto give_back(owner& table) -> void {
    table.m_is_giving_back = true;
    for (auto& item : table.m_shards) {
        if (item.m_phase == shard_phase::owned) {
            item.m_phase = shard_phase::releasing;
        }
    }
}

} // namespace rhubarbwharf::execution
