#include <algorithm>
#include <chrono>
#include <utility>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>

#include "fleet.hpp"

namespace rhubarbwharf::bench {

namespace {

constexpr double step_seconds = 0.05;
constexpr double most_seconds = 20'000.0;
/*! @brief Each instance decides at least each of so many steps. */
constexpr std::uint32_t idle_steps = 4;
/*! @brief Round trips of refused fetches that fit into a step. */
constexpr std::uint32_t refusals_per_step = 8;
/*! @brief Time until the list of instances shows who is gone or new. */
constexpr double list_lag_seconds = 5.0;
constexpr double cut_seconds = 45.0;
constexpr double slow_factor = 0.01;
constexpr std::uint32_t late_instances = 30;
constexpr std::uint64_t corrupt_one_in = 1'000;
constexpr double message_fixed_bytes = 64.0;

struct end_event {
    std::uint32_t m_instance{};
    std::uint64_t m_attempt{};
    distribution::fetch_result m_end{};
};

struct instance {
    distribution::swarm m_swarm{};
    bool m_live{true};
    bool m_frozen{};
    /*! @brief Not counted for completion. */
    bool m_excused{};
    bool m_dirty{true};
    std::uint64_t m_messages{};
    double m_whole_at{-1.0};
};

struct fleet {
    explicit fleet(const scenario& wanted) : m_wanted{wanted}, m_random{wanted.m_seed} {}

    scenario m_wanted;
    std::mt19937_64 m_random;
    network m_net{};
    std::vector<instance> m_instances{};
    std::vector<distribution::member> m_members{};
    std::vector<std::uint64_t> m_regions{};
    std::vector<end_event> m_ends{};
    std::vector<std::pair<std::uint32_t, std::uint32_t>> m_messages{};
    std::vector<distribution::command> m_commands{};
    /*! @brief How often each chunk entered each region. */
    std::vector<std::uint32_t> m_entries{};
    double m_origin_bytes{};
    double m_moved_bytes{};
    double m_now{};
    std::uint64_t m_corrupt{};
    std::uint32_t m_kept{};
    double m_update_at{-1.0};
    double m_mend_at{-1.0};
    bool m_struck{};
    bool m_cut{};
    double m_plan_seconds{};
    std::uint64_t m_plans{};
};

[[nodiscard]] auto clock(const fleet& state) -> time_point {
    constexpr double microseconds = 1e6;
    return time_point{duration{static_cast<duration::rep>(state.m_now * microseconds)}};
}

[[nodiscard]] auto region_seen(const fleet& state, const std::uint32_t index) -> region_id {
    return region_id{state.m_wanted.m_blind ? 0U : state.m_net.m_machines[index].m_region};
}

auto update_members(fleet& state) -> void {
    for (std::uint32_t index = 0; index < state.m_instances.size(); ++index) {
        if (state.m_instances[index].m_live) {
            distribution::set_members(state.m_instances[index].m_swarm, state.m_members, state.m_regions, region_id{0},
                                      state.m_wanted.m_policy, clock(state));
        }
    }
}

auto emplace(fleet& state, const std::uint32_t index, const std::uint64_t version) -> void {
    state.m_members.push_back({mix(state.m_wanted.m_seed, index + 1U), region_seen(state, index), true});
    auto& added = state.m_instances.emplace_back();
    added.m_swarm = distribution::make_swarm(instance_id{index}, version,
                                             distribution::bit_set{state.m_wanted.m_chunks}, clock(state));
}

auto end_upload(fleet& state, const flow& item) -> void {
    if (item.m_from < state.m_instances.size() && state.m_instances[item.m_from].m_live) {
        const auto remote = region_seen(state, item.m_from) != region_seen(state, item.m_to);
        auto& swarm = state.m_instances[item.m_from].m_swarm;
        if ((remote ? swarm.m_active_link_uploads : swarm.m_active_uploads) > 0U) {
            distribution::end_upload(swarm, remote);
        }
    }
}

auto close(fleet& state, flow& item) -> void {
    item.m_open = false;
    end_upload(state, item);
}

auto begin_fetch(fleet& state, const std::uint32_t to, const distribution::command& order) -> void {
    const auto from = order.m_source == distribution::origin
                          ? static_cast<std::uint32_t>(state.m_net.m_machines.size() - 1U)
                          : order.m_source.value();
    if (from < state.m_instances.size()) {
        auto& source = state.m_instances[from];
        if (!source.m_live) {
            state.m_ends.push_back({to, order.m_attempt, distribution::fetch_result::failed});
            return;
        }
        const auto remote = region_seen(state, from) != region_seen(state, to);
        if (!source.m_frozen) {
            const auto verdict = distribution::begin_upload(source.m_swarm, order.m_chunk, instance_id{to}, remote,
                                                            state.m_wanted.m_policy, clock(state));
            if (verdict != distribution::fetch_result::verified) {
                state.m_ends.push_back({to, order.m_attempt, verdict});
                return;
            }
        }
    }
    const auto entry = order.m_link_region.has_value() || order.m_source == distribution::origin;
    state.m_net.m_flows.push_back({from, to, order.m_chunk, order.m_attempt, entry, state.m_wanted.m_chunk_bytes, 0.0,
                                   true, order.m_link_region ? order.m_concurrent_gateways : 0U, 0.0});
}

auto cancel(fleet& state, const std::uint32_t to, const std::uint64_t attempt) -> void {
    for (auto& item : state.m_net.m_flows) {
        if (item.m_open && item.m_to == to && item.m_attempt == attempt) {
            close(state, item);
        }
    }
}

auto carry_out(fleet& state, const std::uint32_t index) -> void {
    for (const auto& order : state.m_commands) {
        switch (order.m_kind) {
        case distribution::command_kind::fetch:
            begin_fetch(state, index, order);
            break;
        case distribution::command_kind::cancel:
            cancel(state, index, order.m_attempt);
            break;
        case distribution::command_kind::announce:
            ++state.m_instances[index].m_messages;
            state.m_messages.emplace_back(index, order.m_source.value());
            break;
        case distribution::command_kind::complete:
            state.m_instances[index].m_whole_at = state.m_now;
            break;
        }
    }
}

/*! @brief Lets an instance decide; refusals take a round trip, so that several fit into a step. */
auto decide(fleet& state, const std::uint32_t index) -> void {
    auto& self = state.m_instances[index];
    self.m_dirty = false;
    for (std::uint32_t round = 0; round < refusals_per_step; ++round) {
        state.m_commands.clear();
        const auto began = std::chrono::steady_clock::now();
        distribution::plan(self.m_swarm, state.m_wanted.m_policy, clock(state), state.m_random(), state.m_commands);
        state.m_plan_seconds += std::chrono::duration<double>{std::chrono::steady_clock::now() - began}.count();
        ++state.m_plans;
        const auto before = state.m_ends.size();
        carry_out(state, index);
        if (state.m_ends.size() == before) {
            return;
        }
        for (auto place = before; place < state.m_ends.size(); ++place) {
            const auto& item = state.m_ends[place];
            distribution::finish_fetch(self.m_swarm, item.m_attempt, item.m_end, state.m_wanted.m_policy, clock(state));
        }
        state.m_ends.resize(before);
    }
}

auto deliver(fleet& state) -> void {
    for (const auto& [from, to] : std::exchange(state.m_messages, {})) {
        auto& receiver = state.m_instances[to];
        const auto* const used = link_between(state.m_net, from, to);
        if (!receiver.m_live || receiver.m_frozen || (used != nullptr && used->m_rate <= 0.0)) {
            continue;
        }
        const auto& swarm = state.m_instances[from].m_swarm;
        if (swarm.m_version_hash != receiver.m_swarm.m_version_hash) {
            continue;
        }
        distribution::apply_have_map(receiver.m_swarm, instance_id{from}, region_seen(state, from), swarm.m_held_chunks,
                                     distribution::claimed_chunks(swarm), clock(state));
        receiver.m_dirty = receiver.m_dirty || !receiver.m_swarm.m_held_chunks.full();
    }
    for (const auto& item : std::exchange(state.m_ends, {})) {
        auto& receiver = state.m_instances[item.m_instance];
        if (receiver.m_live && !receiver.m_frozen) {
            distribution::finish_fetch(receiver.m_swarm, item.m_attempt, item.m_end, state.m_wanted.m_policy,
                                       clock(state));
            receiver.m_dirty = true;
        }
    }
}

auto arrive(fleet& state, const flow& item) -> void {
    end_upload(state, item);
    const auto is_origin = item.m_from + 1U == state.m_net.m_machines.size();
    state.m_origin_bytes += is_origin ? state.m_wanted.m_chunk_bytes : 0.0;
    state.m_moved_bytes += state.m_wanted.m_chunk_bytes;
    const auto region = state.m_net.m_machines[item.m_to].m_region;
    const auto crossed = state.m_net.m_machines[item.m_from].m_region != region;
    if (crossed || is_origin) {
        ++state.m_entries[std::size_t{region} * state.m_wanted.m_chunks + item.m_chunk];
    }
    const auto corrupt = state.m_wanted.m_trouble == trouble::corrupt_chunks && state.m_random() % corrupt_one_in == 0U;
    state.m_corrupt += corrupt ? 1U : 0U;
    state.m_ends.push_back({item.m_to, item.m_attempt,
                            corrupt ? distribution::fetch_result::corrupt : distribution::fetch_result::verified});
}

/*! @brief Finds the first gateway instance from the origin's region into region 1. */
[[nodiscard]] auto find_gateway(const fleet& state) -> std::uint32_t {
    for (std::uint32_t index = 0; index < state.m_instances.size(); ++index) {
        for (const auto& row : state.m_instances[index].m_swarm.m_links) {
            if (row.m_candidates.front() == instance_id{index} && row.m_from == region_id{0}) {
                if (state.m_wanted.m_regions == 1U || state.m_net.m_machines[index].m_region == 1U) {
                    return index;
                }
            }
        }
    }
    return 0;
}

auto kill(fleet& state, const std::uint32_t index) -> void {
    state.m_instances[index].m_live = false;
    state.m_members[index].m_live = false;
    for (auto& item : state.m_net.m_flows) {
        if (!item.m_open) {
            continue;
        }
        if (item.m_from == index) {
            item.m_open = false;
            state.m_ends.push_back({item.m_to, item.m_attempt, distribution::fetch_result::failed});
        } else if (item.m_to == index) {
            close(state, item);
        }
    }
}

/*! @brief Starts every instance on another version, with the chunks that it shares. */
auto restart(fleet& state, const std::uint64_t version, const bool keep_even) -> void {
    state.m_net.m_flows.clear();
    state.m_ends.clear();
    state.m_messages.clear();
    for (std::uint32_t index = 0; index < state.m_instances.size(); ++index) {
        auto& item = state.m_instances[index];
        distribution::bit_set held{state.m_wanted.m_chunks};
        if (keep_even) {
            item.m_swarm.m_held_chunks.each([&held](const std::uint32_t chunk) {
                if (chunk % 2U == 0U) {
                    held.emplace(chunk);
                }
            });
        }
        state.m_kept += held.count();
        item.m_swarm = distribution::make_swarm(instance_id{index}, version, std::move(held), clock(state));
        item.m_whole_at = -1.0;
    }
    std::ranges::fill(state.m_entries, 0U);
    state.m_origin_bytes = 0.0;
    update_members(state);
}

auto set_cut(fleet& state, const bool cut) -> void {
    for (std::uint32_t other = 0; other < state.m_wanted.m_regions; ++other) {
        if (other != 1U) {
            const auto rate = cut ? 0.0 : state.m_wanted.m_rates.m_link;
            state.m_net.m_links[std::size_t{other} * state.m_wanted.m_regions + 1U].m_rate = rate;
            state.m_net.m_links[std::size_t{state.m_wanted.m_regions} + other].m_rate = rate;
        }
    }
}

auto join_late(fleet& state) -> void {
    for (std::uint32_t added = 0; added < late_instances; ++added) {
        const auto index = static_cast<std::uint32_t>(state.m_instances.size());
        auto source = state.m_net.m_machines.back();
        state.m_net.m_machines.back() = {index % state.m_wanted.m_regions, state.m_wanted.m_rates.m_upload,
                                         state.m_wanted.m_rates.m_download};
        state.m_net.m_machines.push_back(source);
        for (auto& item : state.m_net.m_flows) {
            item.m_from += item.m_from == index ? 1U : 0U;
        }
        emplace(state, index, state.m_instances.front().m_swarm.m_version_hash);
    }
    update_members(state);
}

auto strike(fleet& state) -> void {
    constexpr std::uint32_t tenth = 10;
    state.m_struck = true;
    switch (state.m_wanted.m_trouble) {
    case trouble::none:
    case trouble::corrupt_chunks:
        break;
    case trouble::kill_tenth:
        for (std::uint32_t index = 3; index < state.m_instances.size(); index += tenth) {
            kill(state, index);
        }
        state.m_update_at = state.m_now + list_lag_seconds;
        break;
    case trouble::freeze_gateway: {
        const auto gateway = find_gateway(state);
        state.m_instances[gateway].m_frozen = true;
        state.m_instances[gateway].m_excused = true;
        state.m_net.m_machines[gateway].m_moving = false;
        break;
    }
    case trouble::slow_instance: {
        const auto gateway = find_gateway(state);
        state.m_instances[gateway].m_excused = true;
        state.m_net.m_machines[gateway].m_upload *= slow_factor;
        state.m_net.m_machines[gateway].m_download *= slow_factor;
        break;
    }
    case trouble::slow_link:
        if (state.m_wanted.m_regions > 1U) {
            state.m_net.m_links[1].m_rate *= slow_factor;
        }
        break;
    case trouble::cut_region:
        if (state.m_wanted.m_regions > 1U) {
            set_cut(state, true);
            state.m_mend_at = state.m_now + cut_seconds;
        }
        break;
    case trouble::change_version:
        restart(state, mix(state.m_wanted.m_seed, 2U), true);
        break;
    case trouble::join_late:
        join_late(state);
        break;
    case trouble::replace_all:
        restart(state, mix(state.m_wanted.m_seed, 1U), false);
        break;
    }
}

[[nodiscard]] auto all_whole(const fleet& state) -> bool {
    return std::ranges::all_of(state.m_instances, [](const instance& item) {
        return !item.m_live || item.m_excused || item.m_swarm.m_held_chunks.full();
    });
}

auto move(fleet& state, const std::uint32_t step) -> void {
    advance(state.m_net, step_seconds, state.m_wanted.m_chunk_bytes);
    state.m_now += step_seconds;
    for (const auto& item : state.m_net.m_done) {
        arrive(state, item);
    }
    if (!state.m_struck && state.m_now >= state.m_wanted.m_trouble_at) {
        strike(state);
    }
    if (state.m_update_at >= 0.0 && state.m_now >= state.m_update_at) {
        state.m_update_at = -1.0;
        update_members(state);
    }
    if (state.m_mend_at >= 0.0 && state.m_now >= state.m_mend_at) {
        state.m_mend_at = -1.0;
        set_cut(state, false);
    }
    deliver(state);
    for (std::uint32_t index = 0; index < state.m_instances.size(); ++index) {
        const auto& item = state.m_instances[index];
        if (item.m_live && !item.m_frozen && (item.m_dirty || (step + index) % idle_steps == 0U)) {
            decide(state, index);
        }
    }
}

[[nodiscard]] auto table_bytes(const distribution::swarm& swarm) -> double {
    const auto set_bytes = swarm.m_held_chunks.words().size_bytes();
    auto total = sizeof(swarm) + 2U * set_bytes + swarm.m_copy_counts.size() * sizeof(std::uint16_t);
    total += swarm.m_source_indices.size() * sizeof(std::uint32_t);
    for (const auto& row : swarm.m_sources) {
        total += sizeof(row) + set_bytes + row.m_claims.size() * sizeof(distribution::chunk_claim);
    }
    return static_cast<double>(total);
}

[[nodiscard]] auto collect(const fleet& state) -> figures {
    constexpr double to_microseconds = 1e6;
    figures got{};
    got.m_whole = all_whole(state);
    std::vector<double> times{};
    double messages = 0.0;
    double tables = 0.0;
    got.m_region_seconds.resize(state.m_wanted.m_regions);
    for (std::size_t index = 0; index < state.m_instances.size(); ++index) {
        const auto& item = state.m_instances[index];
        if (item.m_live && !item.m_excused) {
            times.push_back(item.m_whole_at);
            auto& last = got.m_region_seconds[state.m_net.m_machines[index].m_region];
            last = std::max(last, item.m_whole_at);
        }
        const auto own = static_cast<double>(item.m_messages) / state.m_now;
        messages += own;
        got.m_most_messages = std::max(got.m_most_messages, own);
        tables += table_bytes(item.m_swarm);
        got.m_most_table_bytes = std::max(got.m_most_table_bytes, table_bytes(item.m_swarm));
    }
    const auto count = static_cast<double>(state.m_instances.size());
    std::ranges::sort(times);
    got.m_seconds = times.empty() ? 0.0 : times.back();
    got.m_median_seconds = times.empty() ? 0.0 : times[times.size() / 2U];
    const auto size = state.m_wanted.m_chunk_bytes * state.m_wanted.m_chunks;
    got.m_origin_copies = state.m_origin_bytes / size;
    std::uint64_t doubled = 0;
    std::ranges::for_each(state.m_entries,
                          [&doubled](const std::uint32_t times_in) { doubled += times_in > 1U ? times_in - 1U : 0U; });
    got.m_double_entries = static_cast<double>(doubled) / static_cast<double>(state.m_entries.size());
    got.m_corrupt = static_cast<double>(state.m_corrupt);
    got.m_kept = state.m_kept;
    got.m_upload_use = state.m_moved_bytes / (count * state.m_wanted.m_rates.m_upload * state.m_now);
    got.m_messages = messages / count;
    got.m_message_bytes = message_fixed_bytes + state.m_wanted.m_chunks / 8.0;
    got.m_table_bytes = tables / count;
    got.m_plan_microseconds = state.m_plan_seconds / static_cast<double>(state.m_plans) * to_microseconds;
    std::ranges::for_each(state.m_net.m_links, [&got](const link& item) { got.m_link_bytes.push_back(item.m_bytes); });
    return got;
}

} // namespace

auto to_string(const trouble value) -> std::string_view {
    switch (value) {
    case trouble::none:
        return "none";
    case trouble::kill_tenth:
        return "kill_tenth";
    case trouble::freeze_gateway:
        return "freeze_gateway";
    case trouble::slow_instance:
        return "slow_instance";
    case trouble::slow_link:
        return "slow_link";
    case trouble::corrupt_chunks:
        return "corrupt_chunks";
    case trouble::cut_region:
        return "cut_region";
    case trouble::change_version:
        return "change_version";
    case trouble::join_late:
        return "join_late";
    case trouble::replace_all:
        return "replace_all";
    }
    return "none";
}

auto run(const scenario& wanted) -> figures {
    fleet state{wanted};
    state.m_net = make_network(wanted.m_instances, wanted.m_regions, wanted.m_rates);
    state.m_entries.resize(std::size_t{wanted.m_regions} * wanted.m_chunks);
    for (std::uint32_t region = 0; region < wanted.m_regions; ++region) {
        state.m_regions.push_back(mix(wanted.m_seed, stable_hash("region") + region));
    }
    for (std::uint32_t index = 0; index < wanted.m_instances; ++index) {
        emplace(state, index, mix(wanted.m_seed, 1U));
    }
    update_members(state);
    for (std::uint32_t step = 0; state.m_now < most_seconds; ++step) {
        move(state, step);
        const auto waiting = !state.m_struck && wanted.m_trouble != trouble::none;
        if (!waiting && all_whole(state)) {
            break;
        }
    }
    return collect(state);
}

} // namespace rhubarbwharf::bench
