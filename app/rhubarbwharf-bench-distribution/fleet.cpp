#include <algorithm>
#include <chrono>
#include <utility>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>

#include "fleet.hpp"

namespace rhubarbwharf::bench {

namespace {

constexpr double step_seconds = 0.05;
constexpr double max_run_seconds = 20'000.0;
/*! @brief Maximum number of steps between two plans of an instance. */
constexpr std::uint32_t planning_interval_steps = 4;
/*! @brief A refused fetch costs one round trip; this many fit into one step. */
constexpr std::uint32_t max_refusals_per_step = 8;
/*! @brief Delay until the member list reflects removed instances. */
constexpr double membership_delay_seconds = 5.0;
constexpr double partition_seconds = 45.0;
constexpr double slow_factor = 0.01;
constexpr std::uint32_t late_instances = 30;
constexpr std::uint64_t chunks_per_corruption = 1'000;
constexpr double message_header_bytes = 64.0;

struct fetch_end {
    std::uint32_t m_instance{};
    std::uint64_t m_attempt{};
    distribution::fetch_result m_result{};
};

struct instance {
    distribution::swarm m_swarm{};
    bool m_live{true};
    bool m_suspended{};
    /*! @brief Excluded from the completion criterion and the completion times. */
    bool m_excluded{};
    bool m_needs_planning{true};
    std::uint64_t m_messages{};
    double m_completion_seconds{-1.0};
};

struct fleet {
    explicit fleet(const scenario& setup) : m_scenario{setup}, m_random{setup.m_seed} {}

    scenario m_scenario;
    std::mt19937_64 m_random;
    network m_network{};
    std::vector<instance> m_instances{};
    std::vector<distribution::member> m_members{};
    std::vector<std::uint64_t> m_regions{};
    std::vector<fetch_end> m_fetch_ends{};
    std::vector<std::pair<std::uint32_t, std::uint32_t>> m_messages{};
    std::vector<distribution::command> m_commands{};
    /*! @brief Number of entries of each chunk into each region, indexed by region, then chunk. */
    std::vector<std::uint32_t> m_region_entries{};
    double m_origin_bytes{};
    double m_transferred_bytes{};
    double m_now_seconds{};
    std::uint64_t m_corrupt_chunks{};
    std::uint32_t m_kept_chunks{};
    double m_membership_update_seconds{-1.0};
    double m_partition_end_seconds{-1.0};
    bool m_fault_injected{};
    bool m_partitioned{};
    double m_plan_seconds{};
    std::uint64_t m_plan_count{};
};

[[nodiscard]] auto simulated_time(const fleet& state) -> time_point {
    constexpr double microseconds = 1e6;
    return time_point{duration{static_cast<duration::rep>(state.m_now_seconds * microseconds)}};
}

[[nodiscard]] auto visible_region(const fleet& state, const std::uint32_t index) -> region_id {
    return region_id{state.m_scenario.m_ignore_regions ? 0U : state.m_network.m_machines[index].m_region};
}

auto update_members(fleet& state) -> void {
    for (std::uint32_t index = 0; index < state.m_instances.size(); ++index) {
        if (state.m_instances[index].m_live) {
            distribution::set_members(state.m_instances[index].m_swarm, state.m_members, state.m_regions, region_id{0},
                                      state.m_scenario.m_policy, simulated_time(state));
        }
    }
}

auto add_instance(fleet& state, const std::uint32_t index, const std::uint64_t version) -> void {
    state.m_members.push_back({mix(state.m_scenario.m_seed, index + 1U), visible_region(state, index), true});
    auto& added = state.m_instances.emplace_back();
    added.m_swarm = distribution::make_swarm(instance_id{index}, version,
                                             distribution::bit_set{state.m_scenario.m_chunks}, simulated_time(state));
}

auto end_upload(fleet& state, const flow& item) -> void {
    if (item.m_from < state.m_instances.size() && state.m_instances[item.m_from].m_live) {
        const auto remote = visible_region(state, item.m_from) != visible_region(state, item.m_to);
        auto& swarm = state.m_instances[item.m_from].m_swarm;
        if ((remote ? swarm.m_active_link_uploads : swarm.m_active_uploads) > 0U) {
            distribution::end_upload(swarm, remote);
        }
    }
}

auto close_flow(fleet& state, flow& item) -> void {
    item.m_active = false;
    end_upload(state, item);
}

auto begin_fetch(fleet& state, const std::uint32_t to, const distribution::command& command) -> void {
    const auto from = command.m_source == distribution::origin
                          ? static_cast<std::uint32_t>(state.m_network.m_machines.size() - 1U)
                          : command.m_source.value();
    if (from < state.m_instances.size()) {
        auto& source = state.m_instances[from];
        if (!source.m_live) {
            state.m_fetch_ends.push_back({to, command.m_attempt, distribution::fetch_result::failed});
            return;
        }
        const auto remote = visible_region(state, from) != visible_region(state, to);
        if (!source.m_suspended) {
            const auto result = distribution::begin_upload(source.m_swarm, command.m_chunk, instance_id{to}, remote,
                                                           state.m_scenario.m_policy, simulated_time(state));
            if (result != distribution::fetch_result::verified) {
                state.m_fetch_ends.push_back({to, command.m_attempt, result});
                return;
            }
        }
    }
    const auto entry = command.m_link_region.has_value() || command.m_source == distribution::origin;
    state.m_network.m_flows.push_back({from, to, command.m_chunk, command.m_attempt, entry,
                                       state.m_scenario.m_chunk_bytes, 0.0, true,
                                       command.m_link_region ? command.m_concurrent_gateways : 0U, 0.0});
}

auto cancel_fetch(fleet& state, const std::uint32_t to, const std::uint64_t attempt) -> void {
    for (auto& item : state.m_network.m_flows) {
        if (item.m_active && item.m_to == to && item.m_attempt == attempt) {
            close_flow(state, item);
        }
    }
}

auto execute_commands(fleet& state, const std::uint32_t index) -> void {
    for (const auto& command : state.m_commands) {
        switch (command.m_kind) {
        case distribution::command_kind::fetch:
            begin_fetch(state, index, command);
            break;
        case distribution::command_kind::cancel:
            cancel_fetch(state, index, command.m_attempt);
            break;
        case distribution::command_kind::announce:
            ++state.m_instances[index].m_messages;
            state.m_messages.emplace_back(index, command.m_source.value());
            break;
        case distribution::command_kind::complete:
            state.m_instances[index].m_completion_seconds = state.m_now_seconds;
            break;
        }
    }
}

/*! @brief Plans an instance; repeats this while fetches are refused, up to `max_refusals_per_step` rounds. */
auto plan_instance(fleet& state, const std::uint32_t index) -> void {
    auto& current = state.m_instances[index];
    current.m_needs_planning = false;
    for (std::uint32_t round = 0; round < max_refusals_per_step; ++round) {
        state.m_commands.clear();
        const auto start = std::chrono::steady_clock::now();
        distribution::plan(current.m_swarm, state.m_scenario.m_policy, simulated_time(state), state.m_random(),
                           state.m_commands);
        state.m_plan_seconds += std::chrono::duration<double>{std::chrono::steady_clock::now() - start}.count();
        ++state.m_plan_count;
        const auto previous_count = state.m_fetch_ends.size();
        execute_commands(state, index);
        if (state.m_fetch_ends.size() == previous_count) {
            return;
        }
        for (auto position = previous_count; position < state.m_fetch_ends.size(); ++position) {
            const auto& item = state.m_fetch_ends[position];
            distribution::finish_fetch(current.m_swarm, item.m_attempt, item.m_result, state.m_scenario.m_policy,
                                       simulated_time(state));
        }
        state.m_fetch_ends.resize(previous_count);
    }
}

auto deliver_messages(fleet& state) -> void {
    for (const auto& [from, to] : std::exchange(state.m_messages, {})) {
        auto& receiver = state.m_instances[to];
        const auto* const used_link = link_between(state.m_network, from, to);
        if (!receiver.m_live || receiver.m_suspended || (used_link != nullptr && used_link->m_rate <= 0.0)) {
            continue;
        }
        const auto& swarm = state.m_instances[from].m_swarm;
        if (swarm.m_version_hash != receiver.m_swarm.m_version_hash) {
            continue;
        }
        distribution::apply_have_map(receiver.m_swarm, instance_id{from}, visible_region(state, from),
                                     swarm.m_held_chunks, distribution::claimed_chunks(swarm), simulated_time(state));
        receiver.m_needs_planning = receiver.m_needs_planning || !receiver.m_swarm.m_held_chunks.full();
    }
    for (const auto& item : std::exchange(state.m_fetch_ends, {})) {
        auto& receiver = state.m_instances[item.m_instance];
        if (receiver.m_live && !receiver.m_suspended) {
            distribution::finish_fetch(receiver.m_swarm, item.m_attempt, item.m_result, state.m_scenario.m_policy,
                                       simulated_time(state));
            receiver.m_needs_planning = true;
        }
    }
}

auto complete_flow(fleet& state, const flow& item) -> void {
    end_upload(state, item);
    const auto is_origin = item.m_from + 1U == state.m_network.m_machines.size();
    state.m_origin_bytes += is_origin ? state.m_scenario.m_chunk_bytes : 0.0;
    state.m_transferred_bytes += state.m_scenario.m_chunk_bytes;
    const auto region = state.m_network.m_machines[item.m_to].m_region;
    const auto crossed = state.m_network.m_machines[item.m_from].m_region != region;
    if (crossed || is_origin) {
        ++state.m_region_entries[std::size_t{region} * state.m_scenario.m_chunks + item.m_chunk];
    }
    const auto corrupt =
        state.m_scenario.m_fault == fault::corrupt_chunks && state.m_random() % chunks_per_corruption == 0U;
    state.m_corrupt_chunks += corrupt ? 1U : 0U;
    state.m_fetch_ends.push_back(
        {item.m_to, item.m_attempt,
         corrupt ? distribution::fetch_result::corrupt : distribution::fetch_result::verified});
}

/*! @brief Finds the first gateway of a link from the origin's region into region 1; 0 if there is none. */
[[nodiscard]] auto find_gateway(const fleet& state) -> std::uint32_t {
    for (std::uint32_t index = 0; index < state.m_instances.size(); ++index) {
        for (const auto& row : state.m_instances[index].m_swarm.m_links) {
            if (row.m_candidates.front() == instance_id{index} && row.m_from == region_id{0}) {
                if (state.m_scenario.m_regions == 1U || state.m_network.m_machines[index].m_region == 1U) {
                    return index;
                }
            }
        }
    }
    return 0;
}

auto kill_instance(fleet& state, const std::uint32_t index) -> void {
    state.m_instances[index].m_live = false;
    state.m_members[index].m_live = false;
    for (auto& item : state.m_network.m_flows) {
        if (!item.m_active) {
            continue;
        }
        if (item.m_from == index) {
            item.m_active = false;
            state.m_fetch_ends.push_back({item.m_to, item.m_attempt, distribution::fetch_result::failed});
        } else if (item.m_to == index) {
            close_flow(state, item);
        }
    }
}

/*! @brief Restarts every instance on another version; with `keep_even`, both share the even chunks. */
auto restart_all(fleet& state, const std::uint64_t version, const bool keep_even) -> void {
    state.m_network.m_flows.clear();
    state.m_fetch_ends.clear();
    state.m_messages.clear();
    for (std::uint32_t index = 0; index < state.m_instances.size(); ++index) {
        auto& item = state.m_instances[index];
        distribution::bit_set held{state.m_scenario.m_chunks};
        if (keep_even) {
            item.m_swarm.m_held_chunks.each([&held](const std::uint32_t chunk) {
                if (chunk % 2U == 0U) {
                    held.emplace(chunk);
                }
            });
        }
        state.m_kept_chunks += held.count();
        item.m_swarm = distribution::make_swarm(instance_id{index}, version, std::move(held), simulated_time(state));
        item.m_completion_seconds = -1.0;
    }
    std::ranges::fill(state.m_region_entries, 0U);
    state.m_origin_bytes = 0.0;
    update_members(state);
}

auto set_partition(fleet& state, const bool partitioned) -> void {
    for (std::uint32_t other = 0; other < state.m_scenario.m_regions; ++other) {
        if (other != 1U) {
            const auto rate = partitioned ? 0.0 : state.m_scenario.m_rates.m_link;
            state.m_network.m_links[std::size_t{other} * state.m_scenario.m_regions + 1U].m_rate = rate;
            state.m_network.m_links[std::size_t{state.m_scenario.m_regions} + other].m_rate = rate;
        }
    }
}

auto add_late_instances(fleet& state) -> void {
    for (std::uint32_t added = 0; added < late_instances; ++added) {
        const auto index = static_cast<std::uint32_t>(state.m_instances.size());
        auto source = state.m_network.m_machines.back();
        state.m_network.m_machines.back() = {index % state.m_scenario.m_regions, state.m_scenario.m_rates.m_upload,
                                             state.m_scenario.m_rates.m_download};
        state.m_network.m_machines.push_back(source);
        for (auto& item : state.m_network.m_flows) {
            item.m_from += item.m_from == index ? 1U : 0U;
        }
        add_instance(state, index, state.m_instances.front().m_swarm.m_version_hash);
    }
    update_members(state);
}

auto inject_fault(fleet& state) -> void {
    constexpr std::uint32_t tenth = 10;
    state.m_fault_injected = true;
    switch (state.m_scenario.m_fault) {
    case fault::none:
    case fault::corrupt_chunks:
        break;
    case fault::kill_tenth:
        for (std::uint32_t index = 3; index < state.m_instances.size(); index += tenth) {
            kill_instance(state, index);
        }
        state.m_membership_update_seconds = state.m_now_seconds + membership_delay_seconds;
        break;
    case fault::suspend_gateway: {
        const auto gateway = find_gateway(state);
        state.m_instances[gateway].m_suspended = true;
        state.m_instances[gateway].m_excluded = true;
        state.m_network.m_machines[gateway].m_transferring = false;
        break;
    }
    case fault::slow_instance: {
        const auto gateway = find_gateway(state);
        state.m_instances[gateway].m_excluded = true;
        state.m_network.m_machines[gateway].m_upload *= slow_factor;
        state.m_network.m_machines[gateway].m_download *= slow_factor;
        break;
    }
    case fault::slow_link:
        if (state.m_scenario.m_regions > 1U) {
            state.m_network.m_links[1].m_rate *= slow_factor;
        }
        break;
    case fault::partition_region:
        if (state.m_scenario.m_regions > 1U) {
            set_partition(state, true);
            state.m_partition_end_seconds = state.m_now_seconds + partition_seconds;
        }
        break;
    case fault::change_version:
        restart_all(state, mix(state.m_scenario.m_seed, 2U), true);
        break;
    case fault::join_late:
        add_late_instances(state);
        break;
    case fault::replace_all:
        restart_all(state, mix(state.m_scenario.m_seed, 1U), false);
        break;
    }
}

[[nodiscard]] auto all_complete(const fleet& state) -> bool {
    return std::ranges::all_of(state.m_instances, [](const instance& item) {
        return !item.m_live || item.m_excluded || item.m_swarm.m_held_chunks.full();
    });
}

auto simulate_step(fleet& state, const std::uint32_t step) -> void {
    advance(state.m_network, step_seconds, state.m_scenario.m_chunk_bytes);
    state.m_now_seconds += step_seconds;
    for (const auto& item : state.m_network.m_completed) {
        complete_flow(state, item);
    }
    if (!state.m_fault_injected && state.m_now_seconds >= state.m_scenario.m_fault_start_seconds) {
        inject_fault(state);
    }
    if (state.m_membership_update_seconds >= 0.0 && state.m_now_seconds >= state.m_membership_update_seconds) {
        state.m_membership_update_seconds = -1.0;
        update_members(state);
    }
    if (state.m_partition_end_seconds >= 0.0 && state.m_now_seconds >= state.m_partition_end_seconds) {
        state.m_partition_end_seconds = -1.0;
        set_partition(state, false);
    }
    deliver_messages(state);
    for (std::uint32_t index = 0; index < state.m_instances.size(); ++index) {
        const auto& item = state.m_instances[index];
        if (item.m_live && !item.m_suspended &&
            (item.m_needs_planning || (step + index) % planning_interval_steps == 0U)) {
            plan_instance(state, index);
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

[[nodiscard]] auto collect_measurements(const fleet& state) -> measurements {
    constexpr double to_microseconds = 1e6;
    measurements out{};
    out.m_complete = all_complete(state);
    std::vector<double> times{};
    double messages = 0.0;
    double tables = 0.0;
    out.m_region_completion_seconds.resize(state.m_scenario.m_regions);
    for (std::size_t index = 0; index < state.m_instances.size(); ++index) {
        const auto& item = state.m_instances[index];
        if (item.m_live && !item.m_excluded) {
            times.push_back(item.m_completion_seconds);
            auto& last = out.m_region_completion_seconds[state.m_network.m_machines[index].m_region];
            last = std::max(last, item.m_completion_seconds);
        }
        const auto message_rate = static_cast<double>(item.m_messages) / state.m_now_seconds;
        messages += message_rate;
        out.m_max_messages_per_second = std::max(out.m_max_messages_per_second, message_rate);
        tables += table_bytes(item.m_swarm);
        out.m_max_table_bytes = std::max(out.m_max_table_bytes, table_bytes(item.m_swarm));
    }
    const auto count = static_cast<double>(state.m_instances.size());
    std::ranges::sort(times);
    out.m_completion_seconds = times.empty() ? 0.0 : times.back();
    out.m_median_completion_seconds = times.empty() ? 0.0 : times[times.size() / 2U];
    const auto size = state.m_scenario.m_chunk_bytes * state.m_scenario.m_chunks;
    out.m_origin_copies = state.m_origin_bytes / size;
    std::uint64_t duplicates = 0;
    std::ranges::for_each(state.m_region_entries, [&duplicates](const std::uint32_t entry_count) {
        duplicates += entry_count > 1U ? entry_count - 1U : 0U;
    });
    out.m_duplicate_entry_ratio = static_cast<double>(duplicates) / static_cast<double>(state.m_region_entries.size());
    out.m_corrupt_chunks = static_cast<double>(state.m_corrupt_chunks);
    out.m_kept_chunks = state.m_kept_chunks;
    out.m_upload_utilization =
        state.m_transferred_bytes / (count * state.m_scenario.m_rates.m_upload * state.m_now_seconds);
    out.m_mean_messages_per_second = messages / count;
    out.m_message_bytes = message_header_bytes + state.m_scenario.m_chunks / 8.0;
    out.m_mean_table_bytes = tables / count;
    out.m_plan_microseconds = state.m_plan_seconds / static_cast<double>(state.m_plan_count) * to_microseconds;
    std::ranges::for_each(state.m_network.m_links,
                          [&out](const link& item) { out.m_link_bytes.push_back(item.m_transferred_bytes); });
    return out;
}

} // namespace

auto to_string(const fault value) -> std::string_view {
    switch (value) {
    case fault::none:
        return "none";
    case fault::kill_tenth:
        return "kill_tenth";
    case fault::suspend_gateway:
        return "freeze_gateway";
    case fault::slow_instance:
        return "slow_instance";
    case fault::slow_link:
        return "slow_link";
    case fault::corrupt_chunks:
        return "corrupt_chunks";
    case fault::partition_region:
        return "cut_region";
    case fault::change_version:
        return "change_version";
    case fault::join_late:
        return "join_late";
    case fault::replace_all:
        return "replace_all";
    }
    return "none";
}

auto run(const scenario& setup) -> measurements {
    fleet state{setup};
    state.m_network = make_network(setup.m_instances, setup.m_regions, setup.m_rates);
    state.m_region_entries.resize(std::size_t{setup.m_regions} * setup.m_chunks);
    for (std::uint32_t region = 0; region < setup.m_regions; ++region) {
        state.m_regions.push_back(mix(setup.m_seed, stable_hash("region") + region));
    }
    for (std::uint32_t index = 0; index < setup.m_instances; ++index) {
        add_instance(state, index, mix(setup.m_seed, 1U));
    }
    update_members(state);
    for (std::uint32_t step = 0; state.m_now_seconds < max_run_seconds; ++step) {
        simulate_step(state, step);
        const auto fault_pending = !state.m_fault_injected && setup.m_fault != fault::none;
        if (!fault_pending && all_complete(state)) {
            break;
        }
    }
    return collect_measurements(state);
}

} // namespace rhubarbwharf::bench
