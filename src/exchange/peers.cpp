#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <rhubarbwharf.pb.h>

#include "exchange/node.hpp"

namespace rhubarbwharf::exchange::internal {

auto region_of(node& state, const std::string_view name) -> region_id {
    const auto region = state.m_regions.emplace(name);
    if (region.value() >= state.m_region_hashes.size()) {
        state.m_region_hashes.push_back(stable_hash(name));
    }
    return region;
}

auto take_peers(node& state, const std::span<const peer> peers) -> void {
    constexpr std::uint32_t self = 0;
    for (std::uint32_t index = 0; index < state.m_members.size(); ++index) {
        state.m_members[index].m_live = index == self;
    }
    for (const auto& item : peers) {
        const auto id = state.m_names.emplace(item.m_instance);
        if (id.value() == self) {
            continue;
        }
        if (id.value() >= state.m_members.size()) {
            state.m_members.resize(id.value() + 1U);
            state.m_addresses.resize(id.value() + 1U);
        }
        const auto region = region_of(state, item.m_region);
        const auto same_group = item.m_group == state.m_group;
        state.m_members[id.value()] = {stable_hash(item.m_instance), region, same_group && !item.m_leaving};
        state.m_addresses[id.value()] = {item.m_bulk, region, same_group};
    }
    for (auto& [name, entry] : state.m_versions) {
        if (entry.m_manifest) {
            distribution::set_members(entry.m_swarm, state.m_members, state.m_region_hashes, state.m_origin_region,
                                      entry.m_rules, steady_now());
        }
    }
}

auto take_message(node& state, const std::string_view from, const wire::Envelope& message) -> void {
    if (!message.has_have_map()) {
        return;
    }
    const auto& have = message.have_map();
    const auto sender = state.m_names.find(from);
    const auto name = digest_from_bytes(have.manifest());
    const auto found = name ? state.m_versions.find(*name) : state.m_versions.end();
    if (!sender || sender->value() >= state.m_members.size() || found == state.m_versions.end() ||
        !found->second.m_manifest || have.chunks() != found->second.m_swarm.m_held.size()) {
        state.m_counts.add("exchange_have_maps_unused");
        return;
    }
    const auto held = distribution::from_bytes(have.held(), have.chunks());
    const std::vector<std::uint32_t> claims{have.fetching().begin(), have.fetching().end()};
    distribution::take_have(found->second.m_swarm, *sender, state.m_members[sender->value()].m_region, held, claims,
                            steady_now());
    state.m_counts.add("exchange_have_maps_received");
}

auto send_have(node& state, const digest& name, const version& entry, const instance_id to) -> void {
    wire::Envelope message{};
    auto& have = *message.mutable_have_map();
    have.set_manifest(std::string{as_bytes(name)});
    have.set_chunks(entry.m_swarm.m_held.size());
    have.set_held(distribution::to_bytes(entry.m_swarm.m_held));
    for (const auto chunk : distribution::claims(entry.m_swarm)) {
        have.add_fetching(chunk);
    }
    state.m_counts.add("exchange_have_maps_sent");
    state.m_send(state.m_names.name(to), message);
}

auto write_dump(const node& state) -> std::string {
    boost::json::array versions{};
    for (const auto& [name, entry] : state.m_versions) {
        boost::json::object row{};
        row["manifest"] = to_hex(name);
        row["manifest_tries"] = entry.m_manifest_tries;
        if (entry.m_manifest) {
            row["model"] = entry.m_manifest->m_model;
            row["version"] = entry.m_manifest->m_version;
            row["size_bytes"] = entry.m_manifest->m_size_bytes;
            row["chunks_held"] = entry.m_swarm.m_held.count();
            row["chunks_total"] = entry.m_swarm.m_held.size();
            row["whole"] = entry.m_swarm.m_held.full();
            row["fetches"] = entry.m_swarm.m_fetches.size();
            row["uploads"] = entry.m_swarm.m_uploads + entry.m_swarm.m_link_uploads;
        }
        boost::json::array links{};
        for (const auto& link : entry.m_swarm.m_links) {
            links.emplace_back(boost::json::object{{"from", state.m_regions.name(link.m_from)},
                                                   {"origin", link.m_direct},
                                                   {"lane", link.m_lane},
                                                   {"fetches", link.m_fetches}});
        }
        row["links"] = std::move(links);
        boost::json::array sources{};
        for (const auto& source : entry.m_swarm.m_sources) {
            sources.emplace_back(boost::json::object{{"instance", state.m_names.name(source.m_instance)},
                                                     {"live", source.m_live},
                                                     {"held", source.m_held.count()},
                                                     {"failures", source.m_failures},
                                                     {"fetches", source.m_fetches}});
        }
        row["sources"] = std::move(sources);
        versions.push_back(std::move(row));
    }
    boost::json::object dump{};
    dump["region"] = state.m_region_name;
    dump["group"] = state.m_group;
    dump["members"] =
        std::ranges::count_if(state.m_members, [](const distribution::member& row) { return row.m_live; });
    dump["held_bytes"] = state.m_held_bytes;
    dump["held_bytes_limit"] = state.m_settings.m_held_bytes;
    dump["memory_full"] = state.m_full;
    dump["downloads"] = state.m_downloads.size();
    dump["uploads"] = state.m_uploads.size();
    dump["versions"] = std::move(versions);
    return boost::json::serialize(dump);
}

} // namespace rhubarbwharf::exchange::internal
