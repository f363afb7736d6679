#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gateway/limits.hpp>
#include <gateway/loads.hpp>
#include <node/wire.hpp>
#include <rhubarbwharf/dispatch/placement.hpp>
#include <rhubarbwharf/fleet/region.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

/*! @brief Load of a backend server as a loader or another region reports it. */
struct reported_load {
    unsigned m_running{};
    unsigned m_waiting{};
    /*! @brief Whether it takes no new requests. */
    bool m_blocked{};
    double m_slowdown{1.0};
    time_point m_reported_at{};
};

auto apply_load(daemon& self, dispatch::server_load& backend, const reported_load& report,
                const google::protobuf::RepeatedPtrField<wire::fleet::HeldModel>& models) -> void {
    const auto load = static_cast<double>(report.m_running) + static_cast<double>(report.m_waiting);
    backend.m_other_requests = std::max(0.0, load - static_cast<double>(backend.m_own_requests));
    backend.m_other_waiting_requests =
        std::max(0.0, std::min(backend.m_other_requests, static_cast<double>(report.m_waiting)));
    backend.m_models = node::from_wire(models);
    fleet::add_proven(backend.m_proven_models, backend.m_models);
    backend.m_loading = report.m_blocked;
    backend.m_slowdown = report.m_slowdown;
    backend.m_reported_running = report.m_running;
    backend.m_reported_waiting = report.m_waiting;
    backend.m_last_reported = report.m_reported_at;
    backend.m_counts_as_full = false;
    dispatch::note_free_slots(backend, load, self.m_core.m_random());
}

/*! @brief Tells whether this gateway exchanges loads with other regions on behalf of its own. */
[[nodiscard]] auto is_first_representative(const daemon& self, const time_point now) -> bool {
    const auto& core = self.m_core;
    const auto all = fleet::representatives(core.m_members, core.m_self.m_region, now);
    return all.empty() || all.front()->m_instance == core.m_self.m_instance;
}

[[nodiscard]] auto remote_regions(const daemon& self) -> std::set<std::string_view> {
    std::set<std::string_view> out{};
    for (const auto& [name, row] : self.m_core.m_members) {
        if (row.m_member.is_gateway() && row.m_member.m_region != self.m_core.m_self.m_region) {
            out.insert(row.m_member.m_region);
        }
    }
    return out;
}

/*! @brief Records whether a backend server's runner responds to its loader. */
auto note_sight(const daemon& self, dispatch::server_load& backend, const bool is_out_of_sight) -> void {
    dispatch::note_sight(backend.m_warm_up, warm_up_terms_of(self, backend.m_service), is_out_of_sight, steady_now());
}

} // namespace

auto on_load(daemon& self, const std::string_view peer, const wire::fleet::Load& update) -> void {
    const auto now = steady_now();
    if (update.has_self()) {
        node::update_member(self.m_core, node::from_wire(update.self()), false);
    }
    if (const auto sender = self.m_core.m_members.find(peer); sender != self.m_core.m_members.end()) {
        sender->second.m_last_received = now;
    }
    const auto address = net::parse_endpoint(update.address());
    std::shared_ptr<dispatch::server_load> reported{};
    for (const auto& [id, each] : self.m_backends) {
        if (!address || each->m_address != *address) {
            continue;
        }
        if (each->m_started_ms == update.started()) {
            reported = each;
        } else {
            const auto was_replaced = now < each->m_replaced_until;
            each->m_replaced_until = now + dispatch::replacement_memory;
            if (!was_replaced) {
                self.m_core.m_events.write("server.replaced", {{"server", id}, {"source", peer}});
            }
        }
    }
    if (!reported) {
        return;
    }
    auto& backend = *reported;
    const auto was_silent = backend.m_last_heard != time_point{} && !dispatch::is_reported_directly(backend, now);
    note_sight(self, backend, was_silent || !update.alive());
    note_sight(self, backend, !update.alive());
    apply_load(self, backend,
               {update.running(), update.waiting(), update.busy() || !update.alive(), update.pace(), now},
               update.models());
    std::ranges::move(fleet::select_proven(node::from_wire(update.unproven_models()), backend.m_proven_models),
                      std::back_inserter(backend.m_models));
    backend.m_last_heard = now;
    backend.m_last_sign = update.alive() ? now : backend.m_last_sign;
    backend.m_loader = peer;
    backend.m_replaced_until = {};
    if (update.leaving()) {
        node::mark_server_leaving(self.m_core, backend.m_id, {backend.m_started_ms, backend.m_address}, peer);
    }
    dispatch_queued(self, backend.m_service);
}

auto on_region_loads(daemon& self, const std::string_view peer, const wire::fleet::RegionLoads& update) -> void {
    const auto now = steady_now();
    const auto sender = self.m_core.m_members.find(peer);
    const auto& own_region = self.m_core.m_self.m_region;
    const auto comes_from_outside =
        sender != self.m_core.m_members.end() && sender->second.m_member.m_region != own_region;
    std::set<std::string_view> services{};
    for (const auto& each : update.servers()) {
        const auto found = self.m_backends.find(each.id());
        const auto reported_at = now - std::chrono::milliseconds{each.age_ms()};
        if (found == self.m_backends.end() || found->second->m_started_ms != each.started() ||
            found->second->m_last_reported >= reported_at) {
            continue;
        }
        apply_load(self, *found->second, {each.running(), each.waiting(), each.blocked(), each.pace(), reported_at},
                   each.models());
        services.insert(found->second->m_service);
    }
    if (comes_from_outside && update.region() != own_region && is_first_representative(self, now)) {
        wire::fleet::Frame frame{};
        *frame.mutable_region_loads() = update;
        node::send_to_region(self.m_core, frame);
    }
    for (const auto service : services) {
        dispatch_queued(self, service);
    }
}

} // namespace internal

auto send_region_loads(daemon& self) -> void {
    const auto now = steady_now();
    if (fleet::count_gateways(self.m_core.m_members) < fleet::min_gateways_exchanging_loads ||
        !internal::is_first_representative(self, now)) {
        return;
    }
    wire::fleet::Frame frame{};
    auto& update = *frame.mutable_region_loads();
    update.set_region(self.m_core.m_self.m_region);
    for (const auto& [id, backend] : self.m_backends) {
        if (now - backend->m_last_heard > dispatch::stale_report_age) {
            continue;
        }
        auto& row = *update.add_servers();
        row.set_id(id);
        row.set_started(backend->m_started_ms);
        row.set_running(backend->m_reported_running);
        row.set_waiting(backend->m_reported_waiting);
        row.set_blocked(backend->m_loading);
        row.set_pace(backend->m_slowdown);
        row.set_age_ms(static_cast<std::uint32_t>(
            std::chrono::ceil<std::chrono::milliseconds>(now - backend->m_last_heard).count()));
        node::to_wire(backend->m_models, *row.mutable_models());
    }
    if (update.servers_size() == 0) {
        return;
    }
    // Two gateways of each region receive the loads, so that one which has just ended does not keep them from it.
    constexpr std::size_t receivers_per_region = 2U;
    std::vector<std::string> receivers{};
    for (const auto region : internal::remote_regions(self)) {
        const auto all = fleet::representatives(self.m_core.m_members, region, now);
        for (std::size_t index = 0U; index < std::min(all.size(), receivers_per_region); ++index) {
            receivers.push_back(all[index]->m_instance);
        }
    }
    node::send_to(self.m_core, receivers, frame);
}

} // namespace rhubarbwharf::gateway
