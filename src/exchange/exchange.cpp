#include <algorithm>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/net/log.hpp>

#include "exchange/node.hpp"

namespace rhubarbwharf::exchange {

namespace {

constexpr duration tick_period = std::chrono::milliseconds{5};
constexpr double upload_burst_seconds = 0.02;
constexpr double download_burst_seconds = 0.1;
constexpr double least_burst_bytes = 64.0 * 1024.0;

[[nodiscard]] auto paced(const double bytes_per_second, const double burst_seconds) -> distribution::token_bucket {
    const auto burst = std::max(least_burst_bytes, bytes_per_second * burst_seconds);
    return distribution::make_bucket(bytes_per_second, burst, steady_now());
}

auto tick(internal::node& state) -> void {
    const auto now = steady_now();
    internal::plan_manifests(state, now);
    internal::plan_versions(state, now);
    internal::resume_downloads(state, now);
    internal::pump_uploads(state, now);
}

/*! @brief Forgets chunk bytes that no version names any more. */
auto collect(internal::node& state) -> void {
    std::unordered_map<digest, bool> named{};
    for (const auto& [name, entry] : state.m_versions) {
        if (entry.m_manifest) {
            std::ranges::for_each(entry.m_manifest->m_chunks, [&named](const digest& chunk) { named[chunk] = true; });
        }
    }
    for (auto place = state.m_chunks.begin(); place != state.m_chunks.end();) {
        if (named.contains(place->first)) {
            ++place;
            continue;
        }
        state.m_held_bytes -= place->second->size();
        place = state.m_chunks.erase(place);
    }
    state.m_counts.set("exchange_held_bytes", static_cast<double>(state.m_held_bytes));
}

} // namespace

internal::node::node(net::loop& owner, net::http_client& http, net::counters& counts, const config::settings& settings,
                     exchange::sender send, exchange::whole_handler on_whole)
    : m_loop{owner}, m_http{http}, m_counts{counts},
      m_settings{settings.m_distribution}, m_group{settings.m_backend.m_group}, m_region_name{settings.m_region},
      m_send_queue_bytes{settings.m_limits.m_send_queue_bytes}, m_send{std::move(send)},
      m_on_whole{std::move(on_whole)}, m_origin{net::parse_endpoint(settings.m_distribution.m_origin)} {
    const auto& rules = settings.m_distribution;
    m_rules.m_origin_copies = std::max(1U, rules.m_origin_copies);
    m_rules.m_parallel = std::max(1U, rules.m_parallel_fetches);
    m_rules.m_fetch_time = std::chrono::milliseconds{rules.m_fetch_ms};
    m_upload_bucket =
        paced(static_cast<double>(rules.m_upload_bytes_per_second) * rules.m_bulk_share, upload_burst_seconds);
    m_download_bucket =
        paced(static_cast<double>(rules.m_download_bytes_per_second) * rules.m_bulk_share, download_burst_seconds);
    const auto self = m_names.emplace(settings.m_instance);
    const auto region = region_of(*this, settings.m_region);
    const auto& origin_region = rules.m_origin_region.empty() ? settings.m_region : rules.m_origin_region;
    m_origin_region = region_of(*this, origin_region);
    m_members.resize(self.value() + 1U);
    m_members[self.value()] = {stable_hash(settings.m_instance), region, true};
    m_addresses.resize(m_members.size());
}

exchange::exchange(net::loop& owner, net::http_client& http, net::counters& counts, const config::settings& settings,
                   sender send, whole_handler on_whole)
    : m_node{std::make_shared<internal::node>(owner, http, counts, settings, std::move(send), std::move(on_whole))} {
    owner.every(tick_period, [weak = std::weak_ptr<internal::node>{m_node}] {
        if (const auto state = weak.lock()) {
            tick(*state);
        }
    });
}

exchange::~exchange() {
    for (const auto& entry : m_node->m_versions) {
        internal::cancel_downloads(*m_node, entry.first);
    }
}

auto exchange::want(const digest& manifest) -> void {
    const auto added = m_node->m_versions.try_emplace(manifest).second;
    if (added) {
        net::log(net::level::info, "exchange", "fetching version " + to_hex(manifest));
    }
}

auto exchange::drop(const digest& manifest) -> void {
    internal::cancel_downloads(*m_node, manifest);
    if (m_node->m_versions.erase(manifest) > 0U) {
        collect(*m_node);
        net::log(net::level::info, "exchange", "dropped version " + to_hex(manifest));
    }
}

auto exchange::set_peers(const std::span<const peer> peers) -> void {
    internal::take_peers(*m_node, peers);
}

auto exchange::on_message(const std::string_view from, const wire::Envelope& message) -> void {
    internal::take_message(*m_node, from, message);
}

auto exchange::serve(const net::http_request& request, const std::shared_ptr<net::responder>& answer) -> void {
    internal::answer(*m_node, request, answer);
}

auto exchange::state(const digest& manifest) const -> progress {
    const auto found = m_node->m_versions.find(manifest);
    if (found == m_node->m_versions.end() || !found->second.m_manifest) {
        return {};
    }
    const auto& entry = found->second;
    const auto& held = entry.m_swarm.m_held;
    return {held.count(), held.size(), held.full(), entry.m_manifest->m_content, entry.m_manifest->m_size_bytes};
}

auto exchange::dump() const -> std::string {
    return internal::write_dump(*m_node);
}

} // namespace rhubarbwharf::exchange
