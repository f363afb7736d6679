#include <algorithm>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/net/log.hpp>

#include "exchange/state.hpp"

namespace rhubarbwharf::exchange::internal {

namespace {

constexpr duration retry_interval = std::chrono::milliseconds{250};
/*! @brief Failed attempts at peers before one attempt at the origin. */
constexpr std::uint32_t peer_attempts_before_origin = 8;
/*! @brief Instances of each region that request manifests from the origin without trying peers first. */
constexpr std::size_t origin_readers_per_region = 2;
constexpr std::uint16_t status_ok = 200;

/*! @brief Checks whether the local instance is an origin reader, by rendezvous hashing within its region. */
[[nodiscard]] auto is_origin_reader(const exchange_state& state, const digest& manifest) -> bool {
    const auto version_hash = stable_hash(as_bytes(manifest));
    const auto& self = state.m_members.front();
    const auto own_weight = mix(version_hash, self.m_hash);
    const auto higher_ranked = std::ranges::count_if(state.m_members, [&](const distribution::member& row) {
        return row.m_live && row.m_region == self.m_region && mix(version_hash, row.m_hash) > own_weight;
    });
    return static_cast<std::size_t>(higher_ranked) < origin_readers_per_region;
}

[[nodiscard]] auto choose_peer(exchange_state& state) -> std::optional<net::endpoint> {
    std::optional<net::endpoint> chosen{};
    std::uint64_t candidates = 0;
    for (std::size_t index = 1; index < state.m_members.size(); ++index) {
        const auto& row = state.m_members[index];
        if (row.m_live && row.m_region == state.m_members.front().m_region && state.m_random() % ++candidates == 0U) {
            chosen = state.m_peer_info[index].m_bulk_endpoint;
        }
    }
    return chosen;
}

auto accept_manifest(exchange_state& state, const digest& manifest, version& entry, std::string text) -> void {
    const auto read = distribution::parse(text);
    if (!read) {
        state.m_counters.add("exchange_malformed_manifests");
        net::log(net::level::error, "exchange", "manifest " + to_hex(manifest) + " is malformed");
        entry.m_next_manifest_request = steady_now() + retry_interval * peer_attempts_before_origin;
        return;
    }
    const auto now = steady_now();
    entry.m_manifest = *read;
    entry.m_manifest_text = std::move(text);
    const auto share = state.m_settings.m_bulk_share;
    entry.m_policy = distribution::scale_timeouts(
        state.m_policy, entry.m_manifest->m_chunk_bytes,
        distribution::gateway_link_rate(state.m_settings.m_region_link_bytes_per_second, share, 1U),
        static_cast<double>(state.m_settings.m_upload_bytes_per_second) * share);
    const auto& chunks = entry.m_manifest->m_chunks;
    distribution::bit_set held{static_cast<std::uint32_t>(chunks.size())};
    for (std::uint32_t chunk = 0; chunk < chunks.size(); ++chunk) {
        if (state.m_chunks.contains(chunks[chunk])) {
            held.emplace(chunk);
        }
    }
    state.m_counters.add("exchange_kept_chunks", held.count());
    constexpr instance_id self{0};
    entry.m_swarm = distribution::make_swarm(self, stable_hash(as_bytes(manifest)), std::move(held), now);
    distribution::set_members(entry.m_swarm, state.m_members, state.m_region_hashes, state.m_origin_region,
                              entry.m_policy, now);
}

auto handle_manifest_response(exchange_state& state, const digest& manifest, const net::call_end& end,
                              net::http_response response) -> void {
    const auto found = state.m_versions.find(manifest);
    if (found == state.m_versions.end() || found->second.m_manifest) {
        return;
    }
    auto& entry = found->second;
    entry.m_manifest_requested = false;
    entry.m_next_manifest_request = steady_now() + retry_interval;
    if (end.m_code != code::ok || response.m_status != status_ok) {
        return;
    }
    if (sha256(response.m_body) != manifest) {
        state.m_counters.add("exchange_corrupt_manifests");
        return;
    }
    accept_manifest(state, manifest, entry, std::move(response.m_body));
}

auto request_manifest(exchange_state& state, const digest& manifest, version& entry) -> void {
    const auto peer = choose_peer(state);
    const auto peers_exhausted =
        entry.m_manifest_attempts % (peer_attempts_before_origin + 1U) == peer_attempts_before_origin;
    const auto from_origin = state.m_origin && (!peer || peers_exhausted || is_origin_reader(state, manifest));
    const auto server = from_origin ? state.m_origin : peer;
    ++entry.m_manifest_attempts;
    if (!server) {
        entry.m_next_manifest_request = steady_now() + retry_interval;
        return;
    }
    entry.m_manifest_requested = true;
    net::http_request request{};
    request.m_target = (from_origin ? "/manifests/" : "/v1/manifests/") + to_hex(manifest);
    net::call_limits limits{};
    limits.m_total_time = state.m_policy.m_fetch_timeout;
    limits.m_idle_time = state.m_policy.m_fetch_timeout;
    state.m_http.fetch(
        *server, std::move(request), limits,
        [weak = state.weak_from_this(), manifest](const net::call_end& end, net::http_response response) {
            if (const auto self = weak.lock()) {
                handle_manifest_response(*self, manifest, end, std::move(response));
            }
        });
}

} // namespace

auto request_manifests(exchange_state& state, const time_point now) -> void {
    for (auto& [manifest, entry] : state.m_versions) {
        if (!entry.m_manifest && !entry.m_manifest_requested && now >= entry.m_next_manifest_request) {
            request_manifest(state, manifest, entry);
        }
    }
}

} // namespace rhubarbwharf::exchange::internal
