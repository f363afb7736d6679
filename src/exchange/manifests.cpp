#include <algorithm>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/net/log.hpp>

#include "exchange/node.hpp"

namespace rhubarbwharf::exchange::internal {

namespace {

constexpr duration retry_time = std::chrono::milliseconds{250};
/*! @brief Peers asked in vain before the origin is. */
constexpr std::uint32_t peer_tries = 8;
/*! @brief Instances of each region that ask the origin at once. */
constexpr std::size_t first_readers = 2;
constexpr std::uint16_t status_ok = 200;

/*! @brief Tells whether this instance ranks among the first of its region by rendezvous hash. */
[[nodiscard]] auto is_first_reader(const node& state, const digest& name) -> bool {
    const auto version_hash = stable_hash(as_bytes(name));
    const auto& self = state.m_members.front();
    const auto own = mix(version_hash, self.m_hash);
    const auto above = std::ranges::count_if(state.m_members, [&](const distribution::member& row) {
        return row.m_live && row.m_region == self.m_region && mix(version_hash, row.m_hash) > own;
    });
    return static_cast<std::size_t>(above) < first_readers;
}

[[nodiscard]] auto choose_peer(node& state) -> std::optional<net::endpoint> {
    std::optional<net::endpoint> chosen{};
    std::uint64_t seen = 0;
    for (std::size_t index = 1; index < state.m_members.size(); ++index) {
        const auto& row = state.m_members[index];
        if (row.m_live && row.m_region == state.m_members.front().m_region && state.m_random() % ++seen == 0U) {
            chosen = state.m_addresses[index].m_bulk;
        }
    }
    return chosen;
}

auto accept(node& state, const digest& name, version& entry, std::string text) -> void {
    const auto read = distribution::parse(text);
    if (!read) {
        state.m_counts.add("exchange_malformed_manifests");
        net::log(net::level::error, "exchange", "manifest " + to_hex(name) + " is malformed");
        entry.m_manifest_next = steady_now() + retry_time * peer_tries;
        return;
    }
    const auto now = steady_now();
    entry.m_manifest = *read;
    entry.m_text = std::move(text);
    const auto share = state.m_settings.m_bulk_share;
    entry.m_rules =
        distribution::stretch(state.m_rules, entry.m_manifest->m_chunk_bytes,
                              distribution::link_share(state.m_settings.m_region_link_bytes_per_second, share, 1U),
                              static_cast<double>(state.m_settings.m_upload_bytes_per_second) * share);
    const auto& chunks = entry.m_manifest->m_chunks;
    distribution::bit_set held{static_cast<std::uint32_t>(chunks.size())};
    for (std::uint32_t chunk = 0; chunk < chunks.size(); ++chunk) {
        if (state.m_chunks.contains(chunks[chunk])) {
            held.emplace(chunk);
        }
    }
    state.m_counts.add("exchange_kept_chunks", held.count());
    constexpr instance_id self{0};
    entry.m_swarm = distribution::make_swarm(self, stable_hash(as_bytes(name)), std::move(held), now);
    distribution::set_members(entry.m_swarm, state.m_members, state.m_region_hashes, state.m_origin_region,
                              entry.m_rules, now);
}

auto take_answer(node& state, const digest& name, const net::call_end& end, net::http_response answer) -> void {
    const auto found = state.m_versions.find(name);
    if (found == state.m_versions.end() || found->second.m_manifest) {
        return;
    }
    auto& entry = found->second;
    entry.m_manifest_asked = false;
    entry.m_manifest_next = steady_now() + retry_time;
    if (end.m_code != code::ok || answer.m_status != status_ok) {
        return;
    }
    if (sha256(answer.m_body) != name) {
        state.m_counts.add("exchange_corrupt_manifests");
        return;
    }
    accept(state, name, entry, std::move(answer.m_body));
}

auto ask(node& state, const digest& name, version& entry) -> void {
    const auto peer = choose_peer(state);
    const auto alone = entry.m_manifest_tries % (peer_tries + 1U) == peer_tries;
    const auto from_origin = state.m_origin && (!peer || alone || is_first_reader(state, name));
    const auto server = from_origin ? state.m_origin : peer;
    ++entry.m_manifest_tries;
    if (!server) {
        entry.m_manifest_next = steady_now() + retry_time;
        return;
    }
    entry.m_manifest_asked = true;
    net::http_request request{};
    request.m_target = (from_origin ? "/manifests/" : "/v1/manifests/") + to_hex(name);
    net::call_limits limits{};
    limits.m_total_time = state.m_rules.m_fetch_time;
    limits.m_idle_time = state.m_rules.m_fetch_time;
    state.m_http.fetch(*server, std::move(request), limits,
                       [weak = state.weak_from_this(), name](const net::call_end& end, net::http_response answer) {
                           if (const auto self = weak.lock()) {
                               take_answer(*self, name, end, std::move(answer));
                           }
                       });
}

} // namespace

auto plan_manifests(node& state, const time_point now) -> void {
    for (auto& [name, entry] : state.m_versions) {
        if (!entry.m_manifest && !entry.m_manifest_asked && now >= entry.m_manifest_next) {
            ask(state, name, entry);
        }
    }
}

} // namespace rhubarbwharf::exchange::internal
