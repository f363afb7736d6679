#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <rhubarbwharf.pb.h>

#include "exchange/state.hpp"

namespace rhubarbwharf::exchange::internal {

auto intern_region(exchange_state& state, const std::string_view name) -> region_id {
    const auto region = state.m_regions.emplace(name);
    if (region.value() >= state.m_region_hashes.size()) {
        state.m_region_hashes.push_back(stable_hash(name));
    }
    return region;
}

auto update_peers(exchange_state& state, const std::span<const peer> peers) -> void {
    constexpr std::uint32_t self = 0;
    for (std::uint32_t index = 0; index < state.m_members.size(); ++index) {
        state.m_members[index].m_live = index == self;
    }
    for (const auto& item : peers) {
        const auto id = state.m_instances.emplace(item.m_instance);
        if (id.value() == self) {
            continue;
        }
        if (id.value() >= state.m_members.size()) {
            state.m_members.resize(id.value() + 1U);
            state.m_peer_info.resize(id.value() + 1U);
        }
        const auto region = intern_region(state, item.m_region);
        const auto same_group = item.m_group == state.m_group;
        state.m_members[id.value()] = {stable_hash(item.m_instance), region, same_group && !item.m_leaving};
        state.m_peer_info[id.value()] = {item.m_bulk_endpoint, region, same_group};
    }
    for (auto& [manifest, entry] : state.m_versions) {
        if (entry.m_manifest) {
            distribution::set_members(entry.m_swarm, state.m_members, state.m_region_hashes, state.m_origin_region,
                                      entry.m_policy, steady_now());
        }
    }
}

auto handle_message(exchange_state& state, const std::string_view from, const wire::Envelope& message) -> void {
    if (!message.has_have_map()) {
        return;
    }
    const auto& have_map = message.have_map();
    const auto sender = state.m_instances.find(from);
    const auto manifest = digest_from_bytes(have_map.manifest());
    const auto found = manifest ? state.m_versions.find(*manifest) : state.m_versions.end();
    if (!sender || sender->value() >= state.m_members.size() || found == state.m_versions.end() ||
        !found->second.m_manifest || have_map.chunks() != found->second.m_swarm.m_held_chunks.size()) {
        state.m_counters.add("exchange_have_maps_unused");
        return;
    }
    const auto held = distribution::from_bytes(have_map.held(), have_map.chunks());
    const std::vector<std::uint32_t> claims{have_map.fetching().begin(), have_map.fetching().end()};
    distribution::apply_have_map(found->second.m_swarm, *sender, state.m_members[sender->value()].m_region, held,
                                 claims, steady_now());
    state.m_counters.add("exchange_have_maps_received");
}

auto send_have_map(exchange_state& state, const digest& manifest, const version& entry, const instance_id recipient)
    -> void {
    wire::Envelope message{};
    auto& have_map = *message.mutable_have_map();
    have_map.set_manifest(std::string{as_bytes(manifest)});
    have_map.set_chunks(entry.m_swarm.m_held_chunks.size());
    have_map.set_held(distribution::to_bytes(entry.m_swarm.m_held_chunks));
    for (const auto chunk : distribution::claimed_chunks(entry.m_swarm)) {
        have_map.add_fetching(chunk);
    }
    state.m_counters.add("exchange_have_maps_sent");
    state.m_send(state.m_instances.name(recipient), message);
}

auto dump_json(const exchange_state& state) -> std::string {
    boost::json::array versions{};
    for (const auto& [manifest, entry] : state.m_versions) {
        boost::json::object version_json{};
        version_json["manifest"] = to_hex(manifest);
        version_json["manifest_tries"] = entry.m_manifest_attempts;
        if (entry.m_manifest) {
            version_json["model"] = entry.m_manifest->m_model;
            version_json["version"] = entry.m_manifest->m_version;
            version_json["size_bytes"] = entry.m_manifest->m_size_bytes;
            version_json["chunks_held"] = entry.m_swarm.m_held_chunks.count();
            version_json["chunks_total"] = entry.m_swarm.m_held_chunks.size();
            version_json["whole"] = entry.m_swarm.m_held_chunks.full();
            version_json["fetches"] = entry.m_swarm.m_fetches.size();
            version_json["uploads"] = entry.m_swarm.m_active_uploads + entry.m_swarm.m_active_link_uploads;
        }
        boost::json::array links{};
        for (const auto& link : entry.m_swarm.m_links) {
            links.emplace_back(boost::json::object{{"from", state.m_regions.name(link.m_from)},
                                                   {"origin", link.m_reads_origin},
                                                   {"lane", link.m_copy_index},
                                                   {"fetches", link.m_active_fetches}});
        }
        version_json["links"] = std::move(links);
        boost::json::array sources{};
        for (const auto& source : entry.m_swarm.m_sources) {
            sources.emplace_back(boost::json::object{{"instance", state.m_instances.name(source.m_instance)},
                                                     {"live", source.m_live},
                                                     {"held", source.m_held_chunks.count()},
                                                     {"failures", source.m_consecutive_failures},
                                                     {"fetches", source.m_active_fetches}});
        }
        version_json["sources"] = std::move(sources);
        versions.push_back(std::move(version_json));
    }
    boost::json::object dump{};
    dump["region"] = state.m_local_region_name;
    dump["group"] = state.m_group;
    dump["members"] =
        std::ranges::count_if(state.m_members, [](const distribution::member& member) { return member.m_live; });
    dump["held_bytes"] = state.m_held_bytes;
    dump["held_bytes_limit"] = state.m_settings.m_held_bytes;
    dump["memory_full"] = state.m_memory_full;
    dump["downloads"] = state.m_downloads.size();
    dump["uploads"] = state.m_uploads.size();
    dump["versions"] = std::move(versions);
    return boost::json::serialize(dump);
}

} // namespace rhubarbwharf::exchange::internal
