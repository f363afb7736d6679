#include <algorithm>
#include <bit>

#include <rhubarbwharf/core/digest.hpp>

#include "distribution/swarm_internal.hpp"

namespace rhubarbwharf::distribution::internal {

namespace {

/*! @brief Chunks that a gateway instance may fetch over one link. */
struct chunk_choice {
    /*! @brief Chunks held or being fetched here, claimed in the region or, for the first copy, held in the region. */
    std::vector<bit_set::word_type> m_excluded{};
    /*! @brief Chunks that a ready source at the remote end holds. */
    std::vector<bit_set::word_type> m_offered{};
    /*! @brief Rank of this instance among the candidates that are not stalled, from 0. */
    std::uint32_t m_position{};
};

auto merge(std::vector<bit_set::word_type>& into, const bit_set& set) -> void {
    const auto words = set.words();
    for (std::size_t index = 0; index < words.size(); ++index) {
        into[index] |= words[index];
    }
}

auto merge(std::vector<bit_set::word_type>& into, const std::uint32_t chunk) -> void {
    if (chunk / bit_set::word_bits < into.size()) {
        into[chunk / bit_set::word_bits] |= bit_set::word_type{1} << (chunk % bit_set::word_bits);
    }
}

[[nodiscard]] auto is_stalled(const source_state& source, const policy& rules, const time_point now) -> bool {
    const auto stuck = !source.m_claims.empty() && now - source.m_last_growth_at > rules.m_fetch_timeout;
    return !source.m_live || stuck || now - source.m_last_received_at > rules.m_gateway_timeout;
}

/*! @brief Returns the number of candidates of higher rank that are not stalled. */
[[nodiscard]] auto gateway_position(swarm& state, const link_state& link, const policy& rules, const time_point now)
    -> std::uint32_t {
    std::uint32_t higher_ranked = 0;
    for (const auto candidate : link.m_candidates) {
        if (candidate == state.m_self) {
            break;
        }
        const auto* const source = find_source(state, candidate);
        higher_ranked += source != nullptr && !is_stalled(*source, rules, now) ? 1U : 0U;
    }
    return higher_ranked;
}

auto merge_claims(std::vector<bit_set::word_type>& into, const source_state& source, const policy& rules,
                  const time_point now) -> void {
    for (const auto& claim : source.m_claims) {
        if (now - claim.m_claimed_at <= rules.m_claim_timeout) {
            merge(into, claim.m_chunk);
        }
    }
}

[[nodiscard]] auto excluded_chunks(const swarm& state, const link_state& link, const policy& rules,
                                   const time_point now) -> std::vector<bit_set::word_type> {
    std::vector<bit_set::word_type> words(state.m_held_chunks.words().size());
    merge(words, state.m_held_chunks);
    merge(words, state.m_fetching_chunks);
    for (const auto& source : state.m_sources) {
        if (source.m_region != state.m_region || !source.m_live) {
            continue;
        }
        if (link.m_copy_index == 0U) {
            merge(words, source.m_held_chunks);
        }
        if (!is_stalled(source, rules, now)) {
            merge_claims(words, source, rules, now);
        }
    }
    return words;
}

[[nodiscard]] auto offered_chunks(const swarm& state, const link_state& link, const time_point now)
    -> std::vector<bit_set::word_type> {
    std::vector<bit_set::word_type> words(state.m_held_chunks.words().size(),
                                          link.m_reads_origin ? ~bit_set::word_type{0} : 0U);
    for (const auto& source : state.m_sources) {
        if (!link.m_reads_origin && source.m_region == link.m_from && is_ready(source, now)) {
            merge(words, source.m_held_chunks);
        }
    }
    return words;
}

/*! @brief Checks whether a chunk is assigned to this link and to this position among its gateways. */
[[nodiscard]] auto is_assigned(const swarm& state, const link_state& link, const std::uint32_t chunk,
                               const std::uint32_t position) -> bool {
    const auto regions = static_cast<std::uint32_t>(state.m_non_origin_regions.size());
    if (state.m_region == state.m_origin_region || regions == 0U) {
        return (chunk + link.m_copy_index) % link.m_concurrent_gateways == position;
    }
    const auto owner = state.m_non_origin_regions[chunk % regions];
    const auto from = owner == state.m_region ? state.m_origin_region : owner;
    return from == link.m_from && chunk / regions % link.m_concurrent_gateways == position;
}

/**
 * @brief Checks whether the link has been idle long enough to fetch a chunk assigned to another link or gateway.
 *
 * The delay for a chunk varies between gateway instances, so that they rarely select the same one.
 */
[[nodiscard]] auto may_steal(const swarm& state, const link_state& link, const std::uint32_t chunk, const policy& rules,
                             const time_point now) -> bool {
    constexpr std::uint64_t delay_steps = 8;
    if (link.m_copy_index != 0U) {
        return false;
    }
    const auto hash = mix(mix(state.m_self_hash, link.m_from.value()), chunk);
    const auto step = static_cast<duration::rep>(hash % delay_steps) + 1;
    return now - link.m_idle_since >= rules.m_steal_delay * step;
}

/*! @brief Selects a chunk with the fewest copies; ties go to the lowest index if assigned, else to a random one. */
[[nodiscard]] auto choose_chunk(const swarm& state, const link_state& link, const chunk_choice& choice,
                                const bool assigned, const policy& rules, const time_point now, random_sequence& bits)
    -> std::optional<std::uint32_t> {
    std::optional<std::uint32_t> best{};
    std::uint32_t ties = 0;
    for (std::uint32_t index = 0; index < choice.m_excluded.size(); ++index) {
        for (auto word = choice.m_offered[index] & ~choice.m_excluded[index]; word != 0U; word &= word - 1U) {
            const auto chunk = index * bit_set::word_bits + static_cast<std::uint32_t>(std::countr_zero(word));
            const auto is_eligible = assigned ? is_assigned(state, link, chunk, choice.m_position)
                                              : may_steal(state, link, chunk, rules, now);
            if (chunk >= state.m_held_chunks.size() || !is_eligible) {
                continue;
            }
            if (!best || state.m_copy_counts[chunk] < state.m_copy_counts[*best]) {
                best = chunk;
                ties = 1;
            } else if (!assigned && state.m_copy_counts[chunk] == state.m_copy_counts[*best] &&
                       next_random(bits) % ++ties == 0U) {
                best = chunk;
            }
        }
    }
    return best;
}

[[nodiscard]] auto choose_source(const swarm& state, const link_state& link, const std::uint32_t chunk,
                                 const time_point now, random_sequence& bits) -> instance_id {
    if (link.m_reads_origin) {
        return origin;
    }
    const source_state* best = nullptr;
    std::uint64_t best_key = 0;
    constexpr std::uint32_t random_shift = 32U;
    for (const auto& source : state.m_sources) {
        if (source.m_region != link.m_from || !is_ready(source, now) || !source.m_held_chunks.contains(chunk)) {
            continue;
        }
        const auto key = (std::uint64_t{source.m_active_fetches} << random_shift) | next_random(bits) >> random_shift;
        if (best == nullptr || key < best_key) {
            best = &source;
            best_key = key;
        }
    }
    return best->m_instance;
}

/*! @brief Checks whether every chunk is held or claimed in the region; only then further copies are read. */
[[nodiscard]] auto is_region_covered(const swarm& state, const policy& rules, const time_point now) -> bool {
    const auto words = excluded_chunks(state, link_state{}, rules, now);
    std::uint32_t count = 0;
    std::ranges::for_each(
        words, [&count](const bit_set::word_type word) { count += static_cast<std::uint32_t>(std::popcount(word)); });
    return count >= state.m_held_chunks.size();
}

auto plan_link(swarm& state, const std::uint32_t index, const policy& rules, const time_point now,
               random_sequence& bits, std::vector<command>& commands) -> void {
    auto& link = state.m_links[index];
    if (link.m_active_fetches >= rules.m_max_link_fetches || now < link.m_backoff_until) {
        return;
    }
    chunk_choice choice{};
    choice.m_position = gateway_position(state, link, rules, now);
    if (choice.m_position >= link.m_concurrent_gateways) {
        link.m_idle_since = now;
        return;
    }
    choice.m_excluded = excluded_chunks(state, link, rules, now);
    if (link.m_copy_index > 0U && !is_region_covered(state, rules, now)) {
        return;
    }
    choice.m_offered = offered_chunks(state, link, now);
    while (link.m_active_fetches < rules.m_max_link_fetches) {
        auto chunk = choose_chunk(state, link, choice, true, rules, now, bits);
        if (chunk) {
            link.m_idle_since = now;
        } else {
            chunk = choose_chunk(state, link, choice, false, rules, now, bits);
        }
        if (!chunk) {
            return;
        }
        merge(choice.m_excluded, *chunk);
        start_fetch(state, *chunk, choose_source(state, link, *chunk, now, bits), index, now, commands);
    }
}

} // namespace

auto plan_links(swarm& state, const policy& rules, const time_point now, random_sequence& bits,
                std::vector<command>& commands) -> void {
    for (std::uint32_t index = 0; index < state.m_links.size(); ++index) {
        plan_link(state, index, rules, now, bits, commands);
    }
}

} // namespace rhubarbwharf::distribution::internal
