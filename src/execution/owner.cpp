#include <algorithm>
#include <utility>

#include <execution/shard.hpp>
#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::execution {

namespace internal {

constexpr int renewals_per_lease = 3;
constexpr int listings_per_lease = 5;

auto shard_at(owner& state, const shard_id id) -> shard& {
    ensure(id.value() < state.m_shards.size(), "the id of a shard is below the number of shards");
    return state.m_shards[id.value()];
}

auto is_held(const shard& item) noexcept -> bool {
    return item.m_phase == shard_phase::owned || item.m_phase == shard_phase::releasing;
}

auto begin_operation(owner& state, shard& item, const time_point now) -> operation_number {
    ensure(!item.m_is_in_flight, "a shard has at most one operation in flight");
    item.m_operation = operation_number{++state.m_last_operation};
    item.m_is_in_flight = true;
    item.m_sent_at = now;
    return item.m_operation;
}

auto send_grant(owner& state, const time_point now, commands& out) -> void {
    state.m_is_lease_in_flight = true;
    state.m_lease_sent_at = now;
    out.emplace_back(grant_lease{state.m_options.m_lease_ttl});
}

auto send_renewal(owner& state, const time_point now, commands& out) -> void {
    state.m_is_lease_in_flight = true;
    state.m_lease_sent_at = now;
    out.emplace_back(renew_lease{state.m_lease});
}

auto lose_lease(owner& state, commands& out) -> void {
    state.m_lease = 0;
    for (auto& item : state.m_shards) {
        drop_shard(item, code::not_owner, out);
    }
}

auto step_lease(owner& state, const time_point now, commands& out) -> void {
    if (state.m_lease != 0 && now >= state.m_lease_expires_at) {
        lose_lease(state, out);
    }
    if (state.m_is_lease_in_flight || now < state.m_lease_retry_at || state.m_is_all_released) {
        return;
    }
    if (state.m_lease == 0) {
        if (!state.m_is_releasing_all) {
            send_grant(state, now, out);
        }
        return;
    }
    if (now >= state.m_lease_sent_at + state.m_options.m_lease_ttl / renewals_per_lease) {
        send_renewal(state, now, out);
    }
}

auto step_listing(owner& state, const time_point now, commands& out) -> void {
    if (state.m_is_list_in_flight || state.m_is_releasing_all || now < state.m_next_list_at ||
        !holds_lease(state, now)) {
        return;
    }
    state.m_is_list_in_flight = true;
    state.m_next_list_at = now + state.m_options.m_lease_ttl / listings_per_lease;
    out.emplace_back(list_owners{});
}

[[nodiscard]] auto is_settled(const shard& item) -> bool {
    return !is_held(item) || (item.m_pending_records.empty() && !item.m_is_in_flight);
}

auto step_release_all(owner& state, commands& out) -> void {
    if (!state.m_is_releasing_all || state.m_is_all_released || state.m_is_lease_in_flight ||
        !state.m_running_calls.empty()) {
        return;
    }
    if (state.m_lease == 0) {
        state.m_is_all_released = true;
        return;
    }
    if (std::ranges::all_of(state.m_shards, is_settled)) {
        state.m_is_lease_in_flight = true;
        out.emplace_back(revoke_lease{state.m_lease});
    }
}

} // namespace internal

auto make_owner(options settings, const std::string_view instance, const std::uint64_t incarnation) -> owner {
    ensure(settings.m_shard_count > 0, "a service has at least one shard");
    owner state{};
    state.m_options = std::move(settings);
    state.m_instance = instance;
    state.m_name = std::string{instance} + '/' + std::to_string(incarnation);
    state.m_members = {std::string{instance}};
    state.m_shards.resize(state.m_options.m_shard_count);
    for (std::uint32_t index = 0; index < state.m_options.m_shard_count; ++index) {
        state.m_shards[index].m_id = shard_id{index};
    }
    return state;
}

auto holds_lease(const owner& state, const time_point now) -> bool {
    return state.m_lease != 0 && now + state.m_options.m_lease_margin < state.m_lease_expires_at;
}

auto preferred_owner(const std::span<const std::string> members, const shard_id shard) -> std::string_view {
    const auto weight = [shard](const std::string& member) {
        return std::pair{mix(stable_hash(member), shard.value()), std::string_view{member}};
    };
    const auto best = std::ranges::max_element(members, {}, weight);
    return best == members.end() ? std::string_view{} : std::string_view{*best};
}

auto set_members(owner& state, std::vector<std::string> members) -> void {
    state.m_members = std::move(members);
    if (std::ranges::find(state.m_members, state.m_instance) == state.m_members.end()) {
        state.m_members.push_back(state.m_instance);
    }
}

auto tick(owner& state, const time_point now, const wall_time wall, commands& out) -> void {
    internal::step_lease(state, now, out);
    internal::step_listing(state, now, out);
    for (auto& item : state.m_shards) {
        internal::step_ownership(state, item, now, out);
        internal::expire_oldest_segment(state, item, wall, out);
    }
    internal::flush(state, now, out);
    internal::step_release_all(state, out);
}

auto on_granted(owner& state, const code value, const std::int64_t lease) -> void {
    state.m_is_lease_in_flight = false;
    if (value != code::ok) {
        state.m_lease_retry_at = state.m_lease_sent_at + journal_retry_interval;
        return;
    }
    state.m_lease = lease;
    state.m_lease_expires_at = state.m_lease_sent_at + state.m_options.m_lease_ttl;
}

auto on_renewed(owner& state, const code value) -> void {
    state.m_is_lease_in_flight = false;
    if (state.m_lease == 0) {
        return;
    }
    if (value == code::ok) {
        state.m_lease_expires_at = state.m_lease_sent_at + state.m_options.m_lease_ttl;
        return;
    }
    state.m_lease_retry_at = state.m_lease_sent_at + journal_retry_interval;
    if (value == code::lease_lost) {
        state.m_lease_expires_at = time_point::min();
    }
}

auto on_revoked(owner& state) -> void {
    state.m_is_lease_in_flight = false;
    state.m_is_all_released = true;
    state.m_lease = 0;
}

auto release_all(owner& state) -> void {
    state.m_is_releasing_all = true;
    for (auto& item : state.m_shards) {
        if (item.m_phase == shard_phase::owned) {
            item.m_phase = shard_phase::releasing;
        }
    }
}

} // namespace rhubarbwharf::execution
