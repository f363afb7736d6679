#include <algorithm>
#include <array>
#include <utility>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/distribution/swarm.hpp>

#include "distribution/tables.hpp"

namespace rhubarbwharf::distribution {

namespace internal {

/*! @brief Groups up to this multiple of the degree are joined without gaps. */
constexpr std::uint32_t full_mesh_percent = 150;

/*! @brief Ranks the members of a region by rendezvous hash for one link. */
[[nodiscard]] auto rank(const std::span<const member> members, const std::span<const instance_id> region,
                        const std::uint64_t link_hash, const std::size_t count) -> std::vector<instance_id> {
    std::vector<std::pair<std::uint64_t, std::uint32_t>> ranked{};
    ranked.reserve(region.size());
    for (const auto id : region) {
        ranked.emplace_back(mix(link_hash, members[id.value()].m_hash), id.value());
    }
    const auto wanted = std::min(count, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(wanted), std::ranges::greater{});
    std::vector<instance_id> best{};
    for (std::size_t index = 0; index < wanted; ++index) {
        best.emplace_back(ranked[index].second);
    }
    return best;
}

/*! @brief Live members, region by region. */
struct regions {
    std::span<const std::uint64_t> m_hashes{};
    std::vector<std::vector<instance_id>> m_members{};

    [[nodiscard]] auto of(const region_id region) const -> std::span<const instance_id> {
        return region.value() < m_members.size() ? std::span<const instance_id>{m_members[region.value()]}
                                                 : std::span<const instance_id>{};
    }
};

[[nodiscard]] auto split(const std::span<const member> members, const std::span<const std::uint64_t> hashes)
    -> regions {
    regions found{};
    found.m_hashes = hashes;
    found.m_members.resize(hashes.size());
    for (std::uint32_t index = 0; index < members.size(); ++index) {
        const auto region = members[index].m_region.value();
        if (!members[index].m_live) {
            continue;
        }
        ensure(region < hashes.size(), "each region of a member has its hash");
        found.m_members[region].emplace_back(index);
    }
    return found;
}

[[nodiscard]] auto make_link(const std::span<const member> members, const regions& all, const region_id to,
                             const region_id from, const std::uint32_t lane, const std::uint64_t version_hash,
                             const policy& rules) -> link_row {
    link_row link{};
    link.m_from = from;
    link.m_lane = lane;
    link.m_direct = to == from;
    link.m_width = link.m_direct ? rules.m_origin_readers : rules.m_gateways;
    const auto place = mix(mix(all.m_hashes[to.value()], all.m_hashes[from.value()]), lane);
    const auto region = all.of(to);
    if (region.size() <= rules.m_small_region) {
        link.m_width = static_cast<std::uint32_t>(region.size());
    }
    link.m_width = std::clamp(link.m_width, 1U, std::max(1U, static_cast<std::uint32_t>(region.size())));
    link.m_candidates = rank(members, region, mix(version_hash, place), link.m_width + rules.m_spares);
    return link;
}

/*! @brief Works out all links into a region; a link from the origin's own region is a lane from the origin. */
[[nodiscard]] auto links_into(const swarm& state, const std::span<const member> members, const regions& all,
                              const region_id to, const policy& rules) -> std::vector<link_row> {
    std::vector<link_row> links{};
    if (to == state.m_origin_region) {
        for (std::uint32_t lane = 0; lane < rules.m_origin_copies; ++lane) {
            links.push_back(make_link(members, all, to, to, lane, state.m_version_hash, rules));
        }
        return links;
    }
    links.push_back(make_link(members, all, to, state.m_origin_region, 0, state.m_version_hash, rules));
    links.back().m_direct = all.of(state.m_origin_region).empty();
    for (const auto from : state.m_remote_regions) {
        if (from != to) {
            links.push_back(make_link(members, all, to, from, 0, state.m_version_hash, rules));
        }
    }
    return links;
}

auto join(swarm& state, const std::span<const instance_id> peers, const std::span<const member> members,
          const time_point now) -> void {
    for (const auto peer : peers) {
        if (peer != state.m_self) {
            row_of(state, peer, members[peer.value()].m_region, now).m_target = true;
        }
    }
}

/*! @brief Instances at the near end of links, that hear of chunks first: users and the first spare. */
[[nodiscard]] auto contacts(const link_row& link) -> std::span<const instance_id> {
    const auto count = std::min<std::size_t>(link.m_candidates.size(), link.m_width + 1U);
    return std::span{link.m_candidates}.first(count);
}

[[nodiscard]] auto among(const std::span<const instance_id> instances, const instance_id wanted) -> bool {
    return std::ranges::find(instances, wanted) != instances.end();
}

/*! @brief Joins the instances just before and behind this one on a ring in the order of a hash. */
auto join_ring(swarm& state, const std::span<const member> members, const std::span<const instance_id> region,
               const std::uint64_t ring_hash, const time_point now) -> void {
    const auto own = mix(ring_hash, state.m_self_hash);
    auto behind = state.m_self;
    auto before = state.m_self;
    std::uint64_t least = UINT64_MAX;
    std::uint64_t most = 0;
    for (const auto id : region) {
        const auto distance = mix(ring_hash, members[id.value()].m_hash) - own;
        if (distance == 0U) {
            continue;
        }
        if (distance < least) {
            least = distance;
            behind = id;
        }
        if (distance > most) {
            most = distance;
            before = id;
        }
    }
    join(state, std::array{behind, before}, members, now);
}

/*! @brief Joins the neighbours on several rings, so that every instance has about the same count. */
auto join_neighbours(swarm& state, const std::span<const member> members, const regions& all, const policy& rules,
                     const time_point now) -> void {
    const auto region = all.of(state.m_region);
    if (region.size() * 100U <= std::size_t{rules.m_degree} * full_mesh_percent) {
        join(state, region, members, now);
        return;
    }
    for (std::uint32_t ring = 0; ring < rules.m_degree / 2U; ++ring) {
        join_ring(state, members, region, mix(state.m_version_hash, ring), now);
    }
}

/*! @brief Joins gateway instances with each other, and with those at the far ends of their links. */
auto join_gateways(swarm& state, const std::span<const member> members, const regions& all, const policy& rules,
                   const time_point now) -> void {
    const auto own = links_into(state, members, all, state.m_region, rules);
    auto is_contact = false;
    state.m_links.clear();
    for (const auto& link : own) {
        if (among(link.m_candidates, state.m_self)) {
            state.m_links.push_back(link);
            state.m_links.back().m_idle_since = now;
        }
        is_contact = is_contact || among(contacts(link), state.m_self);
    }
    if (state.m_links.empty()) {
        return;
    }
    for (const auto& link : own) {
        join(state, link.m_candidates, members, now);
    }
    for (std::uint32_t index = 0; index < all.m_members.size(); ++index) {
        const region_id other{index};
        if (other == state.m_region || all.of(other).empty()) {
            continue;
        }
        for (const auto& link : links_into(state, members, all, other, rules)) {
            if (is_contact && !link.m_direct && link.m_from == state.m_region) {
                join(state, link.m_candidates, members, now);
            }
            const auto uses = std::ranges::any_of(
                state.m_links, [other](const link_row& row) { return !row.m_direct && row.m_from == other; });
            if (uses) {
                join(state, contacts(link), members, now);
            }
        }
    }
}

auto forget_gone(swarm& state, const std::span<const member> members) -> void {
    for (auto& row : state.m_sources) {
        row.m_target = false;
        const auto was_live = row.m_live;
        row.m_live = members[row.m_instance.value()].m_live;
        if (was_live && !row.m_live) {
            if (row.m_region == state.m_region) {
                row.m_held.each([&state](const std::uint32_t chunk) { --state.m_copies[chunk]; });
            }
            row.m_held = bit_set{state.m_held.size()};
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
    const auto all = internal::split(members, regions);
    state.m_remote_regions.clear();
    for (std::uint32_t index = 0; index < all.m_members.size(); ++index) {
        if (region_id{index} != origin_region && !all.m_members[index].empty()) {
            state.m_remote_regions.emplace_back(index);
        }
    }
    std::ranges::sort(state.m_remote_regions, {}, [regions](const region_id id) { return regions[id.value()]; });
    internal::forget_gone(state, members);
    internal::join_neighbours(state, members, all, rules, now);
    const auto links = std::exchange(state.m_links, {});
    internal::join_gateways(state, members, all, rules, now);
    for (auto& fetch : state.m_fetches) {
        if (!fetch.m_link) {
            continue;
        }
        const auto& old_link = links[*fetch.m_link];
        const auto found = std::ranges::find_if(state.m_links, [&old_link](const link_row& row) {
            return row.m_from == old_link.m_from && row.m_lane == old_link.m_lane && row.m_direct == old_link.m_direct;
        });
        fetch.m_link.reset();
        if (found != state.m_links.end()) {
            ++found->m_fetches;
            fetch.m_link = static_cast<std::uint32_t>(found - state.m_links.begin());
        }
    }
}

} // namespace rhubarbwharf::distribution
