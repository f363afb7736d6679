#include <algorithm>
#include <array>
#include <utility>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/distribution/swarm.hpp>

#include "distribution/swarm_internal.hpp"

namespace rhubarbwharf::distribution {

namespace internal {

/*! @brief Regions with at most this percentage of `policy::m_degree` instances are connected as a full mesh. */
constexpr std::uint32_t full_mesh_percent = 150;

/*! @brief Returns the highest-ranked members of a region for one link, by rendezvous hashing. */
[[nodiscard]] auto rank_members(const std::span<const member> members, const std::span<const instance_id> region,
                                const std::uint64_t link_hash, const std::size_t count) -> std::vector<instance_id> {
    std::vector<std::pair<std::uint64_t, std::uint32_t>> ranked{};
    ranked.reserve(region.size());
    for (const auto id : region) {
        ranked.emplace_back(mix(link_hash, members[id.value()].m_hash), id.value());
    }
    const auto best_count = std::min(count, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(best_count), std::ranges::greater{});
    std::vector<instance_id> best{};
    for (std::size_t index = 0; index < best_count; ++index) {
        best.emplace_back(ranked[index].second);
    }
    return best;
}

/*! @brief Live members, grouped by region. */
struct region_members {
    std::span<const std::uint64_t> m_hashes{};
    std::vector<std::vector<instance_id>> m_members{};

    [[nodiscard]] auto members_of(const region_id region) const -> std::span<const instance_id> {
        return region.value() < m_members.size() ? std::span<const instance_id>{m_members[region.value()]}
                                                 : std::span<const instance_id>{};
    }
};

[[nodiscard]] auto group_by_region(const std::span<const member> members, const std::span<const std::uint64_t> hashes)
    -> region_members {
    region_members found{};
    found.m_hashes = hashes;
    found.m_members.resize(hashes.size());
    for (std::uint32_t index = 0; index < members.size(); ++index) {
        const auto region = members[index].m_region.value();
        if (!members[index].m_live) {
            continue;
        }
        ensure(region < hashes.size(), "the table of regions covers the region of a member");
        found.m_members[region].emplace_back(index);
    }
    return found;
}

[[nodiscard]] auto make_link(const std::span<const member> members, const region_members& all, const region_id to,
                             const region_id from, const std::uint32_t copy_index, const std::uint64_t version_hash,
                             const policy& rules) -> link_state {
    link_state link{};
    link.m_from = from;
    link.m_copy_index = copy_index;
    link.m_reads_origin = to == from;
    link.m_concurrent_gateways = link.m_reads_origin ? rules.m_origin_readers : rules.m_gateways_per_link;
    const auto link_hash = mix(mix(all.m_hashes[to.value()], all.m_hashes[from.value()]), copy_index);
    const auto region = all.members_of(to);
    if (region.size() <= rules.m_small_region_size) {
        link.m_concurrent_gateways = static_cast<std::uint32_t>(region.size());
    }
    link.m_concurrent_gateways =
        std::clamp(link.m_concurrent_gateways, 1U, std::max(1U, static_cast<std::uint32_t>(region.size())));
    link.m_candidates = rank_members(members, region, mix(version_hash, link_hash),
                                     link.m_concurrent_gateways + rules.m_spare_gateways);
    return link;
}

/*! @brief Returns all links into a region; in the origin's region there is one for each copy that is read. */
[[nodiscard]] auto links_into(const swarm& state, const std::span<const member> members, const region_members& all,
                              const region_id to, const policy& rules) -> std::vector<link_state> {
    std::vector<link_state> links{};
    if (to == state.m_origin_region) {
        for (std::uint32_t copy_index = 0; copy_index < rules.m_origin_copies; ++copy_index) {
            links.push_back(make_link(members, all, to, to, copy_index, state.m_version_hash, rules));
        }
        return links;
    }
    links.push_back(make_link(members, all, to, state.m_origin_region, 0, state.m_version_hash, rules));
    links.back().m_reads_origin = all.members_of(state.m_origin_region).empty();
    for (const auto from : state.m_non_origin_regions) {
        if (from != to) {
            links.push_back(make_link(members, all, to, from, 0, state.m_version_hash, rules));
        }
    }
    return links;
}

auto connect(swarm& state, const std::span<const instance_id> peers, const std::span<const member> members,
             const time_point now) -> void {
    for (const auto peer : peers) {
        if (peer != state.m_self) {
            find_or_add_source(state, peer, members[peer.value()].m_region, now).m_is_announce_target = true;
        }
    }
}

/*! @brief Instances that receive have-maps from the remote end: the active gateways and the first spare. */
[[nodiscard]] auto contacts(const link_state& link) -> std::span<const instance_id> {
    const auto count = std::min<std::size_t>(link.m_candidates.size(), link.m_concurrent_gateways + 1U);
    return std::span{link.m_candidates}.first(count);
}

[[nodiscard]] auto contains(const std::span<const instance_id> instances, const instance_id instance) -> bool {
    return std::ranges::find(instances, instance) != instances.end();
}

/*! @brief Connects to the predecessor and the successor on a ring that is ordered by hash. */
auto connect_ring(swarm& state, const std::span<const member> members, const std::span<const instance_id> region,
                  const std::uint64_t ring_hash, const time_point now) -> void {
    const auto self_position = mix(ring_hash, state.m_self_hash);
    auto successor = state.m_self;
    auto predecessor = state.m_self;
    std::uint64_t min_distance = UINT64_MAX;
    std::uint64_t max_distance = 0;
    for (const auto id : region) {
        const auto distance = mix(ring_hash, members[id.value()].m_hash) - self_position;
        if (distance == 0U) {
            continue;
        }
        if (distance < min_distance) {
            min_distance = distance;
            successor = id;
        }
        if (distance > max_distance) {
            max_distance = distance;
            predecessor = id;
        }
    }
    connect(state, std::array{successor, predecessor}, members, now);
}

/*! @brief Connects to the neighbours on several rings, so that all instances have about the same number of them. */
auto connect_neighbours(swarm& state, const std::span<const member> members, const region_members& all,
                        const policy& rules, const time_point now) -> void {
    const auto region = all.members_of(state.m_region);
    if (region.size() * 100U <= std::size_t{rules.m_degree} * full_mesh_percent) {
        connect(state, region, members, now);
        return;
    }
    for (std::uint32_t ring = 0; ring < rules.m_degree / 2U; ++ring) {
        connect_ring(state, members, region, mix(state.m_version_hash, ring), now);
    }
}

/*! @brief Connects gateway instances to each other and to those at the remote ends of their links. */
auto connect_gateways(swarm& state, const std::span<const member> members, const region_members& all,
                      const policy& rules, const time_point now) -> void {
    const auto links = links_into(state, members, all, state.m_region, rules);
    auto is_contact = false;
    state.m_links.clear();
    for (const auto& link : links) {
        if (contains(link.m_candidates, state.m_self)) {
            state.m_links.push_back(link);
            state.m_links.back().m_idle_since = now;
        }
        is_contact = is_contact || contains(contacts(link), state.m_self);
    }
    if (state.m_links.empty()) {
        return;
    }
    for (const auto& link : links) {
        connect(state, link.m_candidates, members, now);
    }
    for (std::uint32_t index = 0; index < all.m_members.size(); ++index) {
        const region_id other{index};
        if (other == state.m_region || all.members_of(other).empty()) {
            continue;
        }
        for (const auto& link : links_into(state, members, all, other, rules)) {
            if (is_contact && !link.m_reads_origin && link.m_from == state.m_region) {
                connect(state, link.m_candidates, members, now);
            }
            const auto is_used = std::ranges::any_of(
                state.m_links, [other](const link_state& row) { return !row.m_reads_origin && row.m_from == other; });
            if (is_used) {
                connect(state, contacts(link), members, now);
            }
        }
    }
}

auto refresh_sources(swarm& state, const std::span<const member> members) -> void {
    for (auto& row : state.m_sources) {
        row.m_is_announce_target = false;
        const auto was_live = row.m_live;
        row.m_live = members[row.m_instance.value()].m_live;
        if (was_live && !row.m_live) {
            if (row.m_region == state.m_region) {
                row.m_held_chunks.each([&state](const std::uint32_t chunk) { --state.m_copy_counts[chunk]; });
            }
            row.m_held_chunks = bit_set{state.m_held_chunks.size()};
            row.m_claims.clear();
        }
    }
}

} // namespace internal

auto set_members(swarm& state, const std::span<const member> members, const std::span<const std::uint64_t> regions,
                 const region_id origin_region, const policy& rules, const time_point now) -> void {
    ensure(state.m_self.value() < members.size(), "an instance is in its own table of members");
    state.m_region = members[state.m_self.value()].m_region;
    state.m_self_hash = members[state.m_self.value()].m_hash;
    state.m_origin_region = origin_region;
    const auto all = internal::group_by_region(members, regions);
    state.m_non_origin_regions.clear();
    for (std::uint32_t index = 0; index < all.m_members.size(); ++index) {
        if (region_id{index} != origin_region && !all.m_members[index].empty()) {
            state.m_non_origin_regions.emplace_back(index);
        }
    }
    std::ranges::sort(state.m_non_origin_regions, {}, [regions](const region_id id) { return regions[id.value()]; });
    internal::refresh_sources(state, members);
    internal::connect_neighbours(state, members, all, rules, now);
    const auto old_links = std::exchange(state.m_links, {});
    internal::connect_gateways(state, members, all, rules, now);
    for (auto& fetch : state.m_fetches) {
        if (!fetch.m_link_index) {
            continue;
        }
        const auto& old_link = old_links[*fetch.m_link_index];
        const auto found = std::ranges::find_if(state.m_links, [&old_link](const link_state& row) {
            return row.m_from == old_link.m_from && row.m_copy_index == old_link.m_copy_index &&
                   row.m_reads_origin == old_link.m_reads_origin;
        });
        fetch.m_link_index.reset();
        if (found != state.m_links.end()) {
            ++found->m_active_fetches;
            fetch.m_link_index = static_cast<std::uint32_t>(found - state.m_links.begin());
        }
    }
}

} // namespace rhubarbwharf::distribution
