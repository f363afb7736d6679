#include <algorithm>
#include <functional>

#include <fleet.pb.h>
#include <gateway/daemon.hpp>
#include <node/wire.hpp>
#include <rhubarbwharf/dispatch/quota.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

auto place_in_service(daemon& self, const std::shared_ptr<dispatch::server_load>& row) -> void {
    auto& rows = self.m_services[row->m_service].m_backends;
    if (std::ranges::find(rows, row) == rows.end()) {
        rows.push_back(row);
    }
}

auto take_out(daemon& self, const std::string& id) -> void {
    const auto found = self.m_backends.find(id);
    if (found == self.m_backends.end()) {
        return;
    }
    found->second->m_gone = true;
    auto& rows = self.m_services[found->second->m_service].m_backends;
    std::erase(rows, found->second);
    self.m_backends.erase(found);
}

auto on_load(daemon& self, const std::string_view from, const wire::fleet::Load& news) -> void {
    if (news.has_self()) {
        node::note_member(self.m_core, node::from_wire(news.self()), false);
    }
    if (const auto sender = self.m_core.m_members.find(from); sender != self.m_core.m_members.end()) {
        sender->second.m_heard = steady_now();
    }
    const auto address = net::parse_endpoint(news.address());
    const auto is_same = [&](const auto& each) {
        return address && each.second->m_address == *address && each.second->m_started == news.started();
    };
    const auto found = std::ranges::find_if(self.m_backends, is_same);
    if (found == self.m_backends.end()) {
        return;
    }
    auto& row = *found->second;
    const auto held = static_cast<double>(news.running()) + static_cast<double>(news.waiting());
    row.m_others = std::max(0.0, held - static_cast<double>(row.m_own));
    row.m_others_waiting = std::max(0.0, std::min(row.m_others, static_cast<double>(news.waiting())));
    row.m_models = node::from_wire(news.models());
    row.m_busy = news.busy() || !news.alive();
    row.m_pace = news.pace();
    row.m_reported = steady_now();
    pump(self, row.m_service);
}

auto on_blame(daemon& self, const std::string_view from, const wire::fleet::Blame& news) -> void {
    routing::merge(self.m_quarantine, news.content(), std::hash<std::string_view>{}(from), news.crashes(),
                   steady_now() + blame_time);
}

} // namespace

} // namespace internal

auto refresh_backend(daemon& self, const std::string& id) -> void {
    const auto known = self.m_core.m_servers.m_rows.find(id);
    if (known == self.m_core.m_servers.m_rows.end()) {
        internal::take_out(self, id);
        return;
    }
    const auto& entry = known->second;
    const auto found = self.m_backends.find(id);
    const auto is_new = found == self.m_backends.end() || found->second->m_started != entry.m_started ||
                        found->second->m_service != entry.m_service || found->second->m_address != entry.m_address;
    if (is_new) {
        internal::take_out(self, id);
        auto row = std::make_shared<dispatch::server_load>();
        row->m_id = id;
        row->m_started = entry.m_started;
        row->m_service = entry.m_service;
        row->m_address = entry.m_address;
        row->m_data_centre = entry.m_data_centre;
        self.m_backends.emplace(id, row);
        internal::place_in_service(self, row);
    }
    auto& row = *self.m_backends.at(id);
    row.m_slots = entry.m_slots;
    row.m_draining = entry.m_draining;
    constexpr duration fresh = std::chrono::seconds{1};
    if (steady_now() - row.m_reported > fresh) {
        row.m_models = entry.m_models;
    }
    pump(self, row.m_service);
}

auto assign_quotas(daemon& self) -> void {
    const auto now = steady_now();
    std::vector<dispatch::quota_gateway> gateways{};
    for (const auto& [name, row] : self.m_core.m_members) {
        const auto takes_traffic = row.m_member.is_gateway() && row.m_ready && !row.m_leaving;
        if (takes_traffic && now - row.m_heard <= fleet::silent_time) {
            gateways.push_back({name, row.m_member.m_data_centre, row.m_demand});
        }
    }
    self.m_gateways = std::max(1.0, static_cast<double>(gateways.size()));
    for (auto& [service, state] : self.m_services) {
        std::vector<dispatch::server_load*> rows{};
        std::vector<dispatch::quota_server> servers{};
        for (const auto& each : state.m_backends) {
            if (!each->m_draining && !each->m_busy) {
                rows.push_back(each.get());
                servers.push_back({each->m_id, each->m_data_centre, static_cast<double>(each->m_slots)});
            }
        }
        const auto shares = dispatch::quotas(self.m_core.m_self.m_instance, gateways, servers);
        for (std::size_t index = 0U; index < rows.size(); ++index) {
            rows[index]->m_quota = shares[index];
        }
    }
}

auto service_failure_rate(const daemon& self, const dispatch::server_load& row) -> double {
    const auto found = self.m_services.find(row.m_service);
    if (found == self.m_services.end()) {
        return 0.0;
    }
    double sum{};
    double count{};
    for (const auto& each : found->second.m_backends) {
        if (each->m_id != row.m_id) {
            sum += each->m_health.m_rate;
            count += 1.0;
        }
    }
    return count > 0.0 ? sum / count : 1.0;
}

auto on_frame(daemon& self, const std::string_view from, const wire::fleet::Frame& frame) -> void {
    if (frame.has_load()) {
        internal::on_load(self, from, frame.load());
    } else if (frame.has_blame()) {
        internal::on_blame(self, from, frame.blame());
    }
}

} // namespace rhubarbwharf::gateway
