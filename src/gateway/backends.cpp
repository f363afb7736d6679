#include <algorithm>
#include <functional>
#include <utility>

#include <fleet.pb.h>
#include <gateway/crash_records.hpp>
#include <gateway/limits.hpp>
#include <gateway/loads.hpp>
#include <gateway/parts.hpp>
#include <gateway/retries.hpp>
#include <node/wire.hpp>
#include <platform/decode.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/dispatch/quota.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

auto add_to_service(daemon& self, const std::shared_ptr<dispatch::server_load>& backend) -> void {
    auto& backends = self.m_services[backend->m_service].m_backends;
    if (std::ranges::find(backends, backend) == backends.end()) {
        backends.push_back(backend);
    }
}

auto remove_backend(daemon& self, const std::string& id) -> void {
    const auto found = self.m_backends.find(id);
    if (found == self.m_backends.end()) {
        return;
    }
    found->second->m_removed = true;
    auto& backends = self.m_services[found->second->m_service].m_backends;
    std::erase(backends, found->second);
    self.m_backends.erase(found);
}

} // namespace

} // namespace internal

auto refresh_backend(daemon& self, const std::string& id) -> void {
    const auto registered = self.m_core.m_servers.m_rows.find(id);
    if (registered == self.m_core.m_servers.m_rows.end()) {
        internal::remove_backend(self, id);
        return;
    }
    const auto& entry = registered->second;
    const auto found = self.m_backends.find(id);
    const auto is_new = found == self.m_backends.end() || found->second->m_started_ms != entry.m_started_ms ||
                        found->second->m_service != entry.m_service || found->second->m_address != entry.m_address;
    if (is_new) {
        internal::remove_backend(self, id);
        auto added = std::make_shared<dispatch::server_load>();
        added->m_id = id;
        added->m_started_ms = entry.m_started_ms;
        added->m_service = entry.m_service;
        added->m_address = entry.m_address;
        added->m_data_centre = entry.m_data_centre;
        added->m_region = node::region_of(self.m_core, entry.m_data_centre);
        if (const auto pause = self.m_pauses.find(id);
            pause != self.m_pauses.end() && pause->second.m_started_ms == entry.m_started_ms) {
            added->m_paused_until = pause->second.m_until;
        }
        self.m_backends.emplace(id, added);
        internal::add_to_service(self, added);
    }
    auto& backend = *self.m_backends.at(id);
    backend.m_slots = entry.m_slots;
    backend.m_draining = entry.m_draining;
    backend.m_leaving = fleet::is_leaving(self.m_core.m_leaving_servers, id, entry.m_started_ms);
    backend.m_evacuated = fleet::is_evacuated(self.m_core.m_evacuations, entry.m_data_centre);
    // Servers that are listed while this gateway starts have mostly run before.
    if (is_new && self.m_core.m_ready) {
        begin_warm_up(self, backend);
    }
    const auto terms = warm_up_terms_of(self, backend.m_service);
    dispatch::note_stated_warm_up(backend.m_warm_up, terms, entry.m_warm_up_time, steady_now());
    if (steady_now() - backend.m_last_reported > dispatch::stale_report_age) {
        backend.m_models = fleet::select_proven(entry.m_models, backend.m_proven_models);
    }
    update_turns(self, backend);
    dispatch_queued(self, backend.m_service);
}

auto on_server_headers(daemon& self, dispatch::server_load& backend, const net::http_response& head) -> void {
    if (adapter::says_leaving(head.m_headers)) {
        node::mark_server_leaving(self.m_core, backend.m_id, {backend.m_started_ms, backend.m_address}, "server");
    }
    constexpr std::uint16_t status_unavailable = 503U;
    const auto text = net::find(head.m_headers, adapter::field::retry_after);
    if (head.m_status != status_unavailable || text.empty()) {
        return;
    }
    const auto pause = adapter::decode_retry_after(text);
    if (!pause) {
        self.m_core.m_events.write("server.pause_malformed",
                                   {{"server", backend.m_id}, {"value", text.substr(0U, 40U)}});
        return;
    }
    const auto now = steady_now();
    backend.m_paused_until = std::max(backend.m_paused_until, now + *pause);
    std::erase_if(self.m_pauses, [now](const auto& each) { return each.second.m_until <= now; });
    self.m_pauses.insert_or_assign(backend.m_id, server_pause{backend.m_started_ms, backend.m_paused_until});
    self.m_core.m_events.write("server.paused",
                               {{"server", backend.m_id},
                                {"pause_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*pause).count()}});
    self.m_core.m_counters.add("server_pauses_total");
}

auto assign_quotas(daemon& self) -> void {
    const auto now = steady_now();
    const auto& own = self.m_core.m_self;
    const auto demand = fleet::list_demand(self.m_core.m_members, self.m_core.m_regions, own.m_region, now);
    const auto takes_requests = self.m_core.m_ready && !self.m_core.m_leaving;
    std::vector<dispatch::quota_gateway> gateways{};
    double gateway_count{};
    for (const auto& row : demand) {
        gateways.push_back({{}, row.m_data_centre, row.m_demand_per_s, static_cast<double>(row.m_gateways)});
        gateway_count += static_cast<double>(row.m_gateways);
    }
    const auto shared =
        std::ranges::find(gateways, std::string_view{own.m_data_centre}, &dispatch::quota_gateway::m_data_centre);
    if (takes_requests && shared != gateways.end()) {
        shared->m_demand_per_s = std::max(0.0, shared->m_demand_per_s - self.m_core.m_demand);
        shared->m_gateways -= 1.0;
        gateways.push_back({own.m_instance, own.m_data_centre, self.m_core.m_demand, 1.0});
    }
    self.m_gateway_count = std::max(1.0, gateway_count);
    for (auto& [service, state] : self.m_services) {
        std::vector<dispatch::server_load*> backends{};
        std::vector<dispatch::quota_server> servers{};
        for (const auto& backend : state.m_backends) {
            if (backend->m_region.empty()) {
                backend->m_region = node::region_of(self.m_core, backend->m_data_centre);
            }
            if (!backend->m_draining && !backend->m_leaving && !backend->m_evacuated && !backend->m_loading) {
                backends.push_back(backend.get());
                servers.push_back({backend->m_id, backend->m_data_centre, static_cast<double>(backend->m_slots)});
            }
        }
        const auto shares = dispatch::compute_quotas(self.m_core.m_self.m_instance, gateways, servers);
        for (std::size_t index = 0U; index < backends.size(); ++index) {
            backends[index]->m_quota = shares[index];
        }
    }
}

auto on_evacuation(daemon& self, const std::string_view data_centre) -> void {
    const auto is_evacuated = fleet::is_evacuated(self.m_core.m_evacuations, data_centre);
    for (const auto& [id, backend] : self.m_backends) {
        if (backend->m_data_centre != data_centre) {
            continue;
        }
        // Servers that are taken back may have turned cold meanwhile, and may not have said so yet.
        if (std::exchange(backend->m_evacuated, is_evacuated) && !is_evacuated) {
            begin_warm_up(self, *backend);
        }
    }
    assign_quotas(self);
    for (const auto& [name, state] : self.m_services) {
        dispatch_queued(self, name);
    }
}

auto service_failure_rate(const daemon& self, const dispatch::server_load& backend) -> double {
    const auto found = self.m_services.find(backend.m_service);
    if (found == self.m_services.end()) {
        return 0.0;
    }
    double sum{};
    double count{};
    for (const auto& each : found->second.m_backends) {
        if (each->m_id != backend.m_id) {
            sum += each->m_health.m_failure_rate;
            count += 1.0;
        }
    }
    return count > 0.0 ? sum / count : 1.0;
}

auto on_frame(daemon& self, const std::string_view peer, const wire::fleet::Frame& frame) -> void {
    if (frame.has_load()) {
        internal::on_load(self, peer, frame.load());
    } else if (frame.has_region_loads()) {
        internal::on_region_loads(self, peer, frame.region_loads());
    } else if (frame.has_parts()) {
        on_part_news(self, peer, frame.parts());
    } else if (frame.has_blame()) {
        on_crash_report(self, frame.blame());
    } else if (frame.has_retry_use()) {
        on_retry_use(self, peer, frame.incarnation(), frame.retry_use());
    }
}

} // namespace rhubarbwharf::gateway
