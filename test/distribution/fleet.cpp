#include <algorithm>
#include <utility>

#include <rhubarbwharf/core/digest.hpp>

#include "distribution/fleet.hpp"

namespace rhubarbwharf::distribution::test {

namespace {

constexpr std::uint64_t version_hash = 77;
constexpr std::uint32_t step_ms = 100;

[[nodiscard]] auto now(const fleet& state) -> time_point {
    return time_point{std::chrono::milliseconds{std::uint64_t{state.m_current_step} * step_ms}};
}

[[nodiscard]] auto next_random(fleet& state) -> std::uint64_t {
    return mix(state.m_seed, state.m_random_count++);
}

[[nodiscard]] auto occurs(fleet& state, const faults& injected, const std::uint32_t percent) -> bool {
    constexpr std::uint64_t full_percent = 100;
    return state.m_current_step < injected.m_end_step && next_random(state) % full_percent < percent;
}

auto start_node(fleet& state, const std::uint32_t node, bit_set held) -> void {
    state.m_nodes[node] = make_swarm(instance_id{node}, version_hash, std::move(held), now(state));
    set_members(state.m_nodes[node], state.m_members, state.m_regions, region_id{0}, state.m_rules, now(state));
}

auto begin_fetch(fleet& state, const faults& injected, const std::uint32_t node, const command& issued) -> void {
    constexpr std::uint32_t max_delay_steps = 40;
    const auto remote = issued.m_source != origin &&
                        state.m_members[issued.m_source.value()].m_region != state.m_members[node].m_region;
    fleet::transfer item{node,
                         issued.m_source,
                         issued.m_chunk,
                         issued.m_attempt,
                         state.m_incarnations[node],
                         state.m_current_step + 1U + static_cast<std::uint32_t>(next_random(state) % 4U),
                         remote,
                         good_content};
    if (occurs(state, injected, injected.m_delayed_percent)) {
        item.m_due_step += static_cast<std::uint32_t>(next_random(state) % max_delay_steps);
    }
    if (issued.m_source != origin) {
        const auto source = issued.m_source.value();
        const auto decision =
            begin_upload(state.m_nodes[source], issued.m_chunk, instance_id{node}, remote, state.m_rules, now(state));
        if (decision != fetch_result::verified) {
            finish_fetch(state.m_nodes[node], issued.m_attempt, decision, state.m_rules, now(state));
            return;
        }
        item.m_content = state.m_contents[source][issued.m_chunk];
    }
    state.m_transfers.push_back(item);
}

auto announce(fleet& state, const faults& injected, const std::uint32_t node, const instance_id to) -> void {
    constexpr std::uint32_t max_delay_steps = 20;
    fleet::message item{node, to.value(), state.m_current_step + 1U, state.m_nodes[node].m_held_chunks,
                        claimed_chunks(state.m_nodes[node])};
    if (occurs(state, injected, injected.m_lost_percent)) {
        return;
    }
    if (occurs(state, injected, injected.m_delayed_percent)) {
        item.m_due_step += static_cast<std::uint32_t>(next_random(state) % max_delay_steps);
    }
    if (occurs(state, injected, injected.m_duplicated_percent)) {
        state.m_messages.push_back(item);
    }
    state.m_messages.push_back(std::move(item));
}

/*! @brief Ends a transfer at both ends and verifies the received content, as the exchange does. */
auto finish_transfer(fleet& state, const faults& injected, const fleet::transfer& item) -> void {
    if (item.m_source != origin) {
        auto& source = state.m_nodes[item.m_source.value()];
        if ((item.m_remote ? source.m_active_link_uploads : source.m_active_uploads) > 0U) {
            end_upload(source, item.m_remote);
        }
    }
    if (item.m_incarnation != state.m_incarnations[item.m_to]) {
        return;
    }
    const auto received = occurs(state, injected, injected.m_corrupted_percent) ? bad_content : item.m_content;
    auto result = received == good_content ? fetch_result::verified : fetch_result::corrupt;
    result = occurs(state, injected, injected.m_failed_percent) ? fetch_result::failed : result;
    const auto is_active = std::ranges::any_of(state.m_nodes[item.m_to].m_fetches, [&item](const active_fetch& row) {
        return row.m_attempt == item.m_attempt;
    });
    if (result == fetch_result::verified && is_active) {
        state.m_contents[item.m_to][item.m_chunk] = received;
        const auto region = state.m_members[item.m_to].m_region.value();
        state.m_region_arrivals[std::size_t{region} * state.m_chunk_count + item.m_chunk] +=
            item.m_remote || item.m_source == origin ? 1U : 0U;
    }
    finish_fetch(state.m_nodes[item.m_to], item.m_attempt, result, state.m_rules, now(state));
}

auto deliver(fleet& state, const faults& injected) -> void {
    for (auto& item : std::exchange(state.m_messages, {})) {
        if (item.m_due_step > state.m_current_step) {
            state.m_messages.push_back(std::move(item));
            continue;
        }
        apply_have_map(state.m_nodes[item.m_to], instance_id{item.m_from}, state.m_members[item.m_from].m_region,
                       item.m_held, item.m_claims, now(state));
    }
    for (const auto& item : std::exchange(state.m_transfers, {})) {
        if (item.m_due_step > state.m_current_step) {
            state.m_transfers.push_back(item);
        } else {
            finish_transfer(state, injected, item);
        }
    }
}

auto execute_plan(fleet& state, const faults& injected, const std::uint32_t node) -> void {
    std::vector<command> commands{};
    plan(state.m_nodes[node], state.m_rules, now(state), next_random(state), commands);
    for (const auto& issued : commands) {
        if (issued.m_kind == command_kind::fetch) {
            begin_fetch(state, injected, node, issued);
        } else if (issued.m_kind == command_kind::announce) {
            announce(state, injected, node, issued.m_source);
        } else if (issued.m_kind == command_kind::complete) {
            ++state.m_completion_reports;
        }
    }
}

} // namespace

fleet::fleet(const std::uint32_t nodes, const std::uint32_t regions, const std::uint32_t chunks,
             const std::uint64_t seed, policy rules)
    : m_nodes(nodes), m_incarnations(nodes), m_contents(nodes, std::vector<content>(chunks)),
      m_region_arrivals(std::size_t{regions} * chunks), m_chunk_count{chunks}, m_seed{seed}, m_rules{rules} {
    for (std::uint32_t region = 0; region < regions; ++region) {
        m_regions.push_back(mix(seed, region));
    }
    for (std::uint32_t node = 0; node < nodes; ++node) {
        m_members.push_back({mix(seed + 1U, node), region_id{node % std::max(1U, regions)}, true});
    }
    for (std::uint32_t node = 0; node < nodes; ++node) {
        start_node(*this, node, bit_set{chunks});
    }
}

auto fleet::step(const faults& injected) -> void {
    ++m_current_step;
    deliver(*this, injected);
    for (std::uint32_t node = 0; node < m_nodes.size(); ++node) {
        if (occurs(*this, injected, injected.m_restarted_percent)) {
            ++m_incarnations[node];
            std::ranges::fill(m_contents[node], content{});
            start_node(*this, node, bit_set{m_chunk_count});
        }
        execute_plan(*this, injected, node);
    }
}

auto fleet::is_complete() const -> bool {
    return std::ranges::all_of(m_nodes, [](const swarm& node) { return node.m_held_chunks.full(); });
}

auto fleet::is_correct() const -> bool {
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        auto correct = true;
        m_nodes[node].m_held_chunks.each(
            [&](const std::uint32_t chunk) { correct = correct && m_contents[node][chunk] == good_content; });
        if (!correct) {
            return false;
        }
    }
    return true;
}

} // namespace rhubarbwharf::distribution::test
