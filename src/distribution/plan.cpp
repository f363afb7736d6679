#include <algorithm>
#include <bit>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>

#include "distribution/swarm_internal.hpp"

namespace rhubarbwharf::distribution {

namespace internal {

/*! @brief Cancels timed-out fetches; the timeout grows with the failures, so that fetches over slow paths end. */
auto cancel_timed_out_fetches(swarm& state, const policy& rules, const time_point now, std::vector<command>& commands)
    -> void {
    constexpr std::uint32_t max_doublings = 6;
    constexpr std::uint32_t failures_per_doubling = 4;
    for (std::size_t index = 0; index < state.m_fetches.size();) {
        const auto fetch = state.m_fetches[index];
        const auto failures = fetch.m_link_index ? state.m_links[*fetch.m_link_index].m_consecutive_failures
                                                 : state.m_consecutive_region_failures;
        if (now - fetch.m_started_at <=
            rules.m_fetch_timeout * (1U << std::min(failures / failures_per_doubling, max_doublings))) {
            ++index;
            continue;
        }
        commands.push_back({command_kind::cancel, fetch.m_source, fetch.m_chunk, fetch.m_attempt, std::nullopt, 1U});
        finish_fetch(state, fetch.m_attempt, fetch_result::failed, rules, now);
    }
}

[[nodiscard]] auto count_region_fetches(const swarm& state) -> std::uint32_t {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(state.m_fetches, [](const active_fetch& fetch) { return !fetch.m_link_index; }));
}

/*! @brief Selects the chunk with the fewest copies that a ready neighbour holds; ties are broken at random. */
[[nodiscard]] auto choose_rarest(const swarm& state, const std::span<source_state* const> ready, random_sequence& bits)
    -> std::optional<std::uint32_t> {
    const auto held = state.m_held_chunks.words();
    const auto fetching = state.m_fetching_chunks.words();
    std::optional<std::uint32_t> best{};
    std::uint32_t ties = 0;
    for (std::uint32_t index = 0; index < held.size(); ++index) {
        bit_set::word_type offered = 0;
        for (const auto* const source : ready) {
            offered |= source->m_held_chunks.words()[index];
        }
        for (auto word = offered & ~held[index] & ~fetching[index]; word != 0U; word &= word - 1U) {
            const auto chunk = index * bit_set::word_bits + static_cast<std::uint32_t>(std::countr_zero(word));
            const auto copies = state.m_copy_counts[chunk];
            if (!best || copies < state.m_copy_counts[*best]) {
                best = chunk;
                ties = 1;
            } else if (copies == state.m_copy_counts[*best] && next_random(bits) % ++ties == 0U) {
                best = chunk;
            }
        }
    }
    return best;
}

[[nodiscard]] auto choose_neighbour(const std::span<source_state* const> ready, const std::uint32_t chunk,
                                    random_sequence& bits) -> instance_id {
    const source_state* best = nullptr;
    std::uint64_t best_key = 0;
    constexpr std::uint32_t random_shift = 32U;
    for (const auto* const source : ready) {
        if (!source->m_held_chunks.contains(chunk)) {
            continue;
        }
        const auto key = (std::uint64_t{source->m_active_fetches} << random_shift) | next_random(bits) >> random_shift;
        if (best == nullptr || key < best_key) {
            best = source;
            best_key = key;
        }
    }
    return best->m_instance;
}

auto plan_region(swarm& state, const policy& rules, const time_point now, random_sequence& bits,
                 std::vector<command>& commands) -> void {
    auto active = count_region_fetches(state);
    if (active >= rules.m_max_fetches) {
        return;
    }
    std::vector<source_state*> ready{};
    for (auto& source : state.m_sources) {
        if (source.m_region == state.m_region && is_ready(source, now)) {
            ready.push_back(&source);
        }
    }
    for (; active < rules.m_max_fetches && !ready.empty(); ++active) {
        const auto chunk = choose_rarest(state, ready, bits);
        if (!chunk) {
            return;
        }
        start_fetch(state, *chunk, choose_neighbour(ready, *chunk, bits), std::nullopt, now, commands);
    }
}

/*! @brief Fetches from the origin if no chunk has arrived for long; the delay differs between instances. */
auto plan_origin_fallback(swarm& state, const policy& rules, const time_point now, random_sequence& bits,
                          std::vector<command>& commands) -> void {
    const auto offset =
        duration{static_cast<duration::rep>(mix(state.m_version_hash, state.m_self_hash) %
                                            static_cast<std::uint64_t>(rules.m_origin_fallback_timeout.count()))};
    if (!state.m_fetches.empty() || now - state.m_last_progress_at < rules.m_origin_fallback_timeout + offset) {
        return;
    }
    const auto size = state.m_held_chunks.size();
    auto chunk = static_cast<std::uint32_t>(next_random(bits) % size);
    while (state.m_held_chunks.contains(chunk)) {
        chunk = (chunk + 1U) % size;
    }
    start_fetch(state, chunk, origin, std::nullopt, now, commands);
}

/*! @brief Interval between two have-maps to one target; grows with the number of targets to limit the total rate. */
[[nodiscard]] auto announce_interval(const swarm& state, const policy& rules) -> duration {
    const auto targets = std::ranges::count_if(state.m_sources, [](const source_state& source) {
        return source.m_live && (source.m_is_announce_target || source.m_needs_reply) && !source.m_held_chunks.full();
    });
    const auto interval = duration{std::chrono::seconds{targets}} / std::max(1U, rules.m_max_announces_per_second);
    return std::max(rules.m_min_announce_interval, interval);
}

[[nodiscard]] auto is_announce_due(const swarm& state, const source_state& source, const policy& rules,
                                   const duration interval, const time_point now) -> bool {
    if (!source.m_is_announce_target && !source.m_needs_reply) {
        return false;
    }
    if (!source.m_last_announced_at) {
        return true;
    }
    const auto since = now - *source.m_last_announced_at;
    if (since < interval) {
        return false;
    }
    if (state.m_held_chunks.full()) {
        return source.m_needs_reply;
    }
    if (source.m_held_chunks.full()) {
        return false;
    }
    return state.m_have_map_changed_at > *source.m_last_announced_at || since >= rules.m_heartbeat_interval;
}

auto plan_announces(swarm& state, const policy& rules, const time_point now, std::vector<command>& commands) -> void {
    const auto interval = announce_interval(state, rules);
    for (auto& source : state.m_sources) {
        if (!source.m_live || !is_announce_due(state, source, rules, interval, now)) {
            continue;
        }
        source.m_last_announced_at = now;
        source.m_needs_reply = false;
        commands.push_back({command_kind::announce, source.m_instance, 0U, 0U, std::nullopt, 1U});
    }
}

} // namespace internal

auto plan(swarm& state, const policy& rules, const time_point now, const std::uint64_t random,
          std::vector<command>& commands) -> void {
    internal::random_sequence bits{random, 0U};
    if (!state.m_held_chunks.full()) {
        internal::cancel_timed_out_fetches(state, rules, now, commands);
        internal::plan_links(state, rules, now, bits, commands);
        internal::plan_region(state, rules, now, bits, commands);
        internal::plan_origin_fallback(state, rules, now, bits, commands);
    }
    if (state.m_held_chunks.full() && !state.m_is_completion_reported) {
        ensure(state.m_held_chunks.count() == state.m_copy_counts.size(),
               "a version is whole only if every chunk is verified");
        state.m_is_completion_reported = true;
        commands.push_back({command_kind::complete, state.m_self, 0U, 0U, std::nullopt, 1U});
    }
    internal::plan_announces(state, rules, now, commands);
}

} // namespace rhubarbwharf::distribution
