#include <algorithm>
#include <bit>

#include <rhubarbwharf/core/digest.hpp>

#include "distribution/tables.hpp"

namespace rhubarbwharf::distribution::internal {

namespace {

/*! @brief What one link may choose from. */
struct choice {
    /*! @brief Chunks that are in the own region, on their way there, held here or being fetched here. */
    std::vector<bit_set::word_type> m_taken{};
    /*! @brief Chunks that a ready source at the far end holds. */
    std::vector<bit_set::word_type> m_offered{};
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

[[nodiscard]] auto is_stalled(const source_row& row, const policy& rules, const time_point now) -> bool {
    const auto stuck = !row.m_claims.empty() && now - row.m_grown > rules.m_fetch_time;
    return !row.m_live || stuck || now - row.m_heard > rules.m_silence;
}

/*! @brief Returns how many instances of higher rank use the link. */
[[nodiscard]] auto position(swarm& state, const link_row& link, const policy& rules, const time_point now)
    -> std::uint32_t {
    std::uint32_t before = 0;
    for (const auto candidate : link.m_candidates) {
        if (candidate == state.m_self) {
            break;
        }
        const auto* const row = find_row(state, candidate);
        before += row != nullptr && !is_stalled(*row, rules, now) ? 1U : 0U;
    }
    return before;
}

auto merge_claims(std::vector<bit_set::word_type>& into, const source_row& row, const policy& rules,
                  const time_point now) -> void {
    for (const auto& claim : row.m_claims) {
        if (now - claim.m_since <= rules.m_claim_time) {
            merge(into, claim.m_chunk);
        }
    }
}

[[nodiscard]] auto taken(const swarm& state, const link_row& link, const policy& rules, const time_point now)
    -> std::vector<bit_set::word_type> {
    std::vector<bit_set::word_type> words(state.m_held.words().size());
    merge(words, state.m_held);
    merge(words, state.m_fetching);
    for (const auto& row : state.m_sources) {
        if (row.m_region != state.m_region || !row.m_live) {
            continue;
        }
        if (link.m_lane == 0U) {
            merge(words, row.m_held);
        }
        if (!is_stalled(row, rules, now)) {
            merge_claims(words, row, rules, now);
        }
    }
    return words;
}

[[nodiscard]] auto offered(const swarm& state, const link_row& link, const time_point now)
    -> std::vector<bit_set::word_type> {
    std::vector<bit_set::word_type> words(state.m_held.words().size(), link.m_direct ? ~bit_set::word_type{0} : 0U);
    for (const auto& row : state.m_sources) {
        if (!link.m_direct && row.m_region == link.m_from && is_ready(row, now)) {
            merge(words, row.m_held);
        }
    }
    return words;
}

/*! @brief Tells whether this instance's part of this link brings the chunk into the region. */
[[nodiscard]] auto is_assigned(const swarm& state, const link_row& link, const std::uint32_t chunk,
                               const std::uint32_t position) -> bool {
    const auto regions = static_cast<std::uint32_t>(state.m_remote_regions.size());
    if (state.m_region == state.m_origin_region || regions == 0U) {
        return (chunk + link.m_lane) % link.m_width == position;
    }
    const auto owner = state.m_remote_regions[chunk % regions];
    const auto from = owner == state.m_region ? state.m_origin_region : owner;
    return from == link.m_from && chunk / regions % link.m_width == position;
}

/**
 * @brief Tells whether the link has been idle long enough to fetch a chunk of another link's part.
 *
 * Each gateway instance has its turn for a chunk at another time, so that they seldom take the same one.
 */
[[nodiscard]] auto may_steal(const swarm& state, const link_row& link, const std::uint32_t chunk, const policy& rules,
                             const time_point now) -> bool {
    constexpr std::uint64_t turns = 8;
    if (link.m_lane != 0U) {
        return false;
    }
    const auto place = mix(mix(state.m_self_hash, link.m_from.value()), chunk);
    const auto turn = static_cast<duration::rep>(place % turns) + 1;
    return now - link.m_idle_since >= rules.m_steal_time * turn;
}

/*! @brief Chooses a chunk of the fewest copies; the first of them for assigned ones, else one at random. */
[[nodiscard]] auto choose(const swarm& state, const link_row& link, const choice& from, const bool assigned,
                          const policy& rules, const time_point now, random_bits& bits)
    -> std::optional<std::uint32_t> {
    std::optional<std::uint32_t> best{};
    std::uint32_t ties = 0;
    for (std::uint32_t index = 0; index < from.m_taken.size(); ++index) {
        for (auto word = from.m_offered[index] & ~from.m_taken[index]; word != 0U; word &= word - 1U) {
            const auto chunk = index * bit_set::word_bits + static_cast<std::uint32_t>(std::countr_zero(word));
            const auto is_open =
                assigned ? is_assigned(state, link, chunk, from.m_position) : may_steal(state, link, chunk, rules, now);
            if (chunk >= state.m_held.size() || !is_open) {
                continue;
            }
            if (!best || state.m_copies[chunk] < state.m_copies[*best]) {
                best = chunk;
                ties = 1;
            } else if (!assigned && state.m_copies[chunk] == state.m_copies[*best] && next(bits) % ++ties == 0U) {
                best = chunk;
            }
        }
    }
    return best;
}

[[nodiscard]] auto choose_source(const swarm& state, const link_row& link, const std::uint32_t chunk,
                                 const time_point now, random_bits& bits) -> instance_id {
    if (link.m_direct) {
        return origin;
    }
    const source_row* best = nullptr;
    std::uint64_t best_key = 0;
    constexpr std::uint32_t random_shift = 32U;
    for (const auto& row : state.m_sources) {
        if (row.m_region != link.m_from || !is_ready(row, now) || !row.m_held.contains(chunk)) {
            continue;
        }
        const auto key = (std::uint64_t{row.m_fetches} << random_shift) | next(bits) >> random_shift;
        if (best == nullptr || key < best_key) {
            best = &row;
            best_key = key;
        }
    }
    return best->m_instance;
}

/*! @brief Tells whether every chunk is in the own region or on its way there: further copies wait until then. */
[[nodiscard]] auto has_entered(const swarm& state, const policy& rules, const time_point now) -> bool {
    const auto words = taken(state, link_row{}, rules, now);
    std::uint32_t count = 0;
    std::ranges::for_each(
        words, [&count](const bit_set::word_type word) { count += static_cast<std::uint32_t>(std::popcount(word)); });
    return count >= state.m_held.size();
}

auto plan_link(swarm& state, const std::uint32_t place, const policy& rules, const time_point now, random_bits& bits,
               std::vector<command>& commands) -> void {
    auto& link = state.m_links[place];
    if (link.m_fetches >= rules.m_link_parallel || now < link.m_wait_until) {
        return;
    }
    choice from{};
    from.m_position = position(state, link, rules, now);
    if (from.m_position >= link.m_width) {
        link.m_idle_since = now;
        return;
    }
    from.m_taken = taken(state, link, rules, now);
    if (link.m_lane > 0U && !has_entered(state, rules, now)) {
        return;
    }
    from.m_offered = offered(state, link, now);
    while (link.m_fetches < rules.m_link_parallel) {
        auto chunk = choose(state, link, from, true, rules, now, bits);
        if (chunk) {
            link.m_idle_since = now;
        } else {
            chunk = choose(state, link, from, false, rules, now, bits);
        }
        if (!chunk) {
            return;
        }
        merge(from.m_taken, *chunk);
        start(state, *chunk, choose_source(state, link, *chunk, now, bits), place, now, commands);
    }
}

} // namespace

auto plan_links(swarm& state, const policy& rules, const time_point now, random_bits& bits,
                std::vector<command>& commands) -> void {
    for (std::uint32_t place = 0; place < state.m_links.size(); ++place) {
        plan_link(state, place, rules, now, bits, commands);
    }
}

} // namespace rhubarbwharf::distribution::internal
