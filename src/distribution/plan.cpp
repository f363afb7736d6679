#include <algorithm>
#include <bit>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>

#include "distribution/tables.hpp"

namespace rhubarbwharf::distribution {

namespace internal {

/*! @brief Gives up fetches that take too long; the time grows while none ends well, so that slow paths still end. */
auto give_up(swarm& state, const policy& rules, const time_point now, std::vector<command>& commands) -> void {
    constexpr std::uint32_t max_doublings = 6;
    constexpr std::uint32_t tries = 4;
    for (std::size_t place = 0; place < state.m_fetches.size();) {
        const auto fetch = state.m_fetches[place];
        const auto failures = fetch.m_link ? state.m_links[*fetch.m_link].m_failures : state.m_failures;
        if (now - fetch.m_started <= rules.m_fetch_time * (1U << std::min(failures / tries, max_doublings))) {
            ++place;
            continue;
        }
        commands.push_back({command_kind::cancel, fetch.m_source, fetch.m_chunk, fetch.m_attempt, std::nullopt, 1U});
        take_end(state, fetch.m_attempt, fetch_end::failed, rules, now);
    }
}

[[nodiscard]] auto region_fetches(const swarm& state) -> std::uint32_t {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(state.m_fetches, [](const fetch_row& fetch) { return !fetch.m_link; }));
}

/*! @brief Chooses the chunk of the fewest copies that a ready neighbour holds; ties are broken at random. */
[[nodiscard]] auto choose_rarest(const swarm& state, const std::span<source_row* const> ready, random_bits& bits)
    -> std::optional<std::uint32_t> {
    const auto held = state.m_held.words();
    const auto fetching = state.m_fetching.words();
    std::optional<std::uint32_t> best{};
    std::uint32_t ties = 0;
    for (std::uint32_t index = 0; index < held.size(); ++index) {
        bit_set::word_type offered = 0;
        for (const auto* const row : ready) {
            offered |= row->m_held.words()[index];
        }
        for (auto word = offered & ~held[index] & ~fetching[index]; word != 0U; word &= word - 1U) {
            const auto chunk = index * bit_set::word_bits + static_cast<std::uint32_t>(std::countr_zero(word));
            const auto copies = state.m_copies[chunk];
            if (!best || copies < state.m_copies[*best]) {
                best = chunk;
                ties = 1;
            } else if (copies == state.m_copies[*best] && next(bits) % ++ties == 0U) {
                best = chunk;
            }
        }
    }
    return best;
}

[[nodiscard]] auto choose_neighbour(const std::span<source_row* const> ready, const std::uint32_t chunk,
                                    random_bits& bits) -> instance_id {
    const source_row* best = nullptr;
    std::uint64_t best_key = 0;
    constexpr std::uint32_t random_shift = 32U;
    for (const auto* const row : ready) {
        if (!row->m_held.contains(chunk)) {
            continue;
        }
        const auto key = (std::uint64_t{row->m_fetches} << random_shift) | next(bits) >> random_shift;
        if (best == nullptr || key < best_key) {
            best = row;
            best_key = key;
        }
    }
    return best->m_instance;
}

auto plan_region(swarm& state, const policy& rules, const time_point now, random_bits& bits,
                 std::vector<command>& commands) -> void {
    auto running = region_fetches(state);
    if (running >= rules.m_parallel) {
        return;
    }
    std::vector<source_row*> ready{};
    for (auto& row : state.m_sources) {
        if (row.m_region == state.m_region && is_ready(row, now)) {
            ready.push_back(&row);
        }
    }
    for (; running < rules.m_parallel && !ready.empty(); ++running) {
        const auto chunk = choose_rarest(state, ready, bits);
        if (!chunk) {
            return;
        }
        start(state, *chunk, choose_neighbour(ready, *chunk, bits), std::nullopt, now, commands);
    }
}

/*! @brief Asks the origin itself where nothing else has brought a chunk for long. */
auto plan_alone(swarm& state, const policy& rules, const time_point now, random_bits& bits,
                std::vector<command>& commands) -> void {
    const auto spread = duration{static_cast<duration::rep>(mix(state.m_version_hash, state.m_self_hash) %
                                                            static_cast<std::uint64_t>(rules.m_patience.count()))};
    if (!state.m_fetches.empty() || now - state.m_progress < rules.m_patience + spread) {
        return;
    }
    const auto size = state.m_held.size();
    auto chunk = static_cast<std::uint32_t>(next(bits) % size);
    while (state.m_held.contains(chunk)) {
        chunk = (chunk + 1U) % size;
    }
    start(state, chunk, origin, std::nullopt, now, commands);
}

/*! @brief Time between two have-maps to one target: longer where there are many, so that the sum keeps its rate. */
[[nodiscard]] auto announce_gap(const swarm& state, const policy& rules) -> duration {
    const auto targets = std::ranges::count_if(state.m_sources, [](const source_row& row) {
        return row.m_live && (row.m_target || row.m_asked) && !row.m_held.full();
    });
    const auto shared = duration{std::chrono::seconds{targets}} / std::max(1U, rules.m_announces_per_second);
    return std::max(rules.m_announce_gap, shared);
}

[[nodiscard]] auto is_due(const swarm& state, const source_row& row, const policy& rules, const duration gap,
                          const time_point now) -> bool {
    if (!row.m_target && !row.m_asked) {
        return false;
    }
    if (!row.m_told) {
        return true;
    }
    const auto since = now - *row.m_told;
    if (since < gap) {
        return false;
    }
    if (state.m_held.full()) {
        return row.m_asked;
    }
    if (row.m_held.full()) {
        return false;
    }
    return state.m_changed > *row.m_told || since >= rules.m_heartbeat;
}

auto announce(swarm& state, const policy& rules, const time_point now, std::vector<command>& commands) -> void {
    const auto gap = announce_gap(state, rules);
    for (auto& row : state.m_sources) {
        if (!row.m_live || !is_due(state, row, rules, gap, now)) {
            continue;
        }
        row.m_told = now;
        row.m_asked = false;
        commands.push_back({command_kind::announce, row.m_instance, 0U, 0U, std::nullopt, 1U});
    }
}

} // namespace internal

auto plan(swarm& state, const policy& rules, const time_point now, const std::uint64_t random,
          std::vector<command>& commands) -> void {
    internal::random_bits bits{random, 0U};
    if (!state.m_held.full()) {
        internal::give_up(state, rules, now, commands);
        internal::plan_links(state, rules, now, bits, commands);
        internal::plan_region(state, rules, now, bits, commands);
        internal::plan_alone(state, rules, now, bits, commands);
    }
    if (state.m_held.full() && !state.m_reported_whole) {
        ensure(state.m_held.count() == state.m_copies.size(), "a version is whole only with every chunk verified");
        state.m_reported_whole = true;
        commands.push_back({command_kind::whole, state.m_self, 0U, 0U, std::nullopt, 1U});
    }
    internal::announce(state, rules, now, commands);
}

} // namespace rhubarbwharf::distribution
