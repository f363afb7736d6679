#include <algorithm>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/net/log.hpp>

#include "exchange/state.hpp"

namespace rhubarbwharf::exchange {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{5};
constexpr double upload_burst_seconds = 0.02;
constexpr double download_burst_seconds = 0.1;
constexpr double min_burst_bytes = 64.0 * 1024.0;

[[nodiscard]] auto make_pacing_bucket(const double bytes_per_second, const double burst_seconds)
    -> distribution::token_bucket {
    const auto burst = std::max(min_burst_bytes, bytes_per_second * burst_seconds);
    return distribution::make_bucket(bytes_per_second, burst, steady_now());
}

auto tick(internal::exchange_state& state) -> void {
    const auto now = steady_now();
    internal::request_manifests(state, now);
    internal::schedule_fetches(state, now);
    internal::resume_downloads(state, now);
    internal::pump_uploads(state, now);
}

/*! @brief Frees the memory of chunks that belong to no remaining version. */
auto evict_unreferenced_chunks(internal::exchange_state& state) -> void {
    std::unordered_map<digest, bool> referenced{};
    for (const auto& [manifest, entry] : state.m_versions) {
        if (entry.m_manifest) {
            std::ranges::for_each(entry.m_manifest->m_chunks,
                                  [&referenced](const digest& chunk) { referenced[chunk] = true; });
        }
    }
    for (auto it = state.m_chunks.begin(); it != state.m_chunks.end();) {
        if (referenced.contains(it->first)) {
            ++it;
            continue;
        }
        state.m_held_bytes -= it->second->size();
        it = state.m_chunks.erase(it);
    }
    state.m_counters.set("exchange_held_bytes", static_cast<double>(state.m_held_bytes));
}

} // namespace

internal::exchange_state::exchange_state(net::loop& loop, net::http_client& http, net::counters& counters,
                                         const config::settings& settings, exchange::sender send,
                                         exchange::completion_handler on_complete)
    : m_loop{loop}, m_http{http}, m_counters{counters},
      m_settings{settings.m_distribution}, m_group{settings.m_backend.m_group}, m_local_region_name{settings.m_region},
      m_send_queue_bytes{settings.m_limits.m_send_queue_bytes}, m_send{std::move(send)},
      m_on_complete{std::move(on_complete)}, m_origin{net::parse_endpoint(settings.m_distribution.m_origin)} {
    const auto& distribution_settings = settings.m_distribution;
    m_policy.m_origin_copies = std::max(1U, distribution_settings.m_origin_copies);
    m_policy.m_max_fetches = std::max(1U, distribution_settings.m_parallel_fetches);
    m_policy.m_fetch_timeout = std::chrono::milliseconds{distribution_settings.m_fetch_ms};
    m_upload_bucket = make_pacing_bucket(static_cast<double>(distribution_settings.m_upload_bytes_per_second) *
                                             distribution_settings.m_bulk_share,
                                         upload_burst_seconds);
    m_download_bucket = make_pacing_bucket(static_cast<double>(distribution_settings.m_download_bytes_per_second) *
                                               distribution_settings.m_bulk_share,
                                           download_burst_seconds);
    const auto self = m_instances.emplace(settings.m_instance);
    const auto own_region = intern_region(*this, settings.m_region);
    const auto& origin_region =
        distribution_settings.m_origin_region.empty() ? settings.m_region : distribution_settings.m_origin_region;
    m_origin_region = intern_region(*this, origin_region);
    m_members.resize(self.value() + 1U);
    m_members[self.value()] = {stable_hash(settings.m_instance), own_region, true};
    m_peer_info.resize(m_members.size());
}

exchange::exchange(net::loop& loop, net::http_client& http, net::counters& counters, const config::settings& settings,
                   sender send, completion_handler on_complete)
    : m_state{std::make_shared<internal::exchange_state>(loop, http, counters, settings, std::move(send),
                                                         std::move(on_complete))} {
    loop.every(tick_interval, [weak = std::weak_ptr<internal::exchange_state>{m_state}] {
        if (const auto state = weak.lock()) {
            tick(*state);
        }
    });
}

exchange::~exchange() {
    for (const auto& entry : m_state->m_versions) {
        internal::cancel_downloads(*m_state, entry.first);
    }
}

auto exchange::add_version(const digest& manifest) -> void {
    const auto added = m_state->m_versions.try_emplace(manifest).second;
    if (added) {
        net::log(net::level::info, "exchange", "fetching version " + to_hex(manifest));
    }
}

auto exchange::remove_version(const digest& manifest) -> void {
    internal::cancel_downloads(*m_state, manifest);
    if (m_state->m_versions.erase(manifest) > 0U) {
        evict_unreferenced_chunks(*m_state);
        net::log(net::level::info, "exchange", "dropped version " + to_hex(manifest));
    }
}

auto exchange::set_peers(const std::span<const peer> peers) -> void {
    internal::update_peers(*m_state, peers);
}

auto exchange::on_message(const std::string_view from, const wire::Envelope& message) -> void {
    internal::handle_message(*m_state, from, message);
}

auto exchange::serve(const net::http_request& request, const std::shared_ptr<net::responder>& responder) -> void {
    internal::handle_request(*m_state, request, responder);
}

auto exchange::progress_of(const digest& manifest) const -> progress {
    const auto found = m_state->m_versions.find(manifest);
    if (found == m_state->m_versions.end() || !found->second.m_manifest) {
        return {};
    }
    const auto& entry = found->second;
    const auto& held = entry.m_swarm.m_held_chunks;
    return {held.count(), held.size(), held.full(), entry.m_manifest->m_content, entry.m_manifest->m_size_bytes};
}

auto exchange::dump() const -> std::string {
    return internal::dump_json(*m_state);
}

} // namespace rhubarbwharf::exchange
