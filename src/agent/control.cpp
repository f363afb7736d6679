#include <agent/daemon.hpp>

#include <algorithm>

#include <rhubarbwharf/net/log.hpp>
#include <rhubarbwharf/wire/state.hpp>

namespace rhubarbwharf::agent {

namespace internal {

/*! @brief Number of report intervals after which the list of an entry that has stopped sending is discarded. */
constexpr std::uint32_t list_retention_intervals = 10;
/*! @brief Number of reports after which a full report is sent even if a pulse would do. */
constexpr std::uint64_t reports_per_full_report = 30;
/*! @brief Number of reports after which an unchanged `InForce` is sent again. */
constexpr std::uint64_t reports_per_in_force = 10;

auto pull_state(daemon& self, const std::string_view peer) -> void {
    auto pull = make_envelope(self);
    pull.mutable_state_pull();
    send(self, peer, pull);
}

auto apply_state_push(daemon& self, const std::string_view peer, const wire::StatePush& push) -> void {
    const auto updated = ticket::merge(self.m_desired, wire::decode_entries(push));
    if (updated > 0) {
        self.m_desired_digest = ticket::fingerprint(self.m_desired);
        self.m_counters.add("agent_scopes_taken_total", static_cast<double>(updated));
        apply_desired_state(self);
    }
    const auto remote = digest_from_bytes(push.digest());
    if (!push.whole() && remote && *remote != self.m_desired_digest) {
        pull_state(self, peer);
    }
}

auto compare_state_digest(daemon& self, const std::string_view peer, const wire::StateDigest& remote) -> void {
    const auto digest = digest_from_bytes(remote.digest());
    if (digest && *digest != self.m_desired_digest) {
        pull_state(self, peer);
    }
}

auto send_state(daemon& self, const std::string_view peer) -> void {
    auto push = make_envelope(self);
    auto& out = *push.mutable_state_push();
    wire::append_entries(out, self.m_desired.m_entries);
    out.set_digest(std::string{as_bytes(self.m_desired_digest)});
    out.set_whole(true);
    send(self, peer, push);
}

auto on_members(daemon& self, const std::string_view peer, const wire::Members& members) -> void {
    auto& list = self.m_member_lists[std::string{peer}];
    list.m_last_received = steady_now();
    const auto change = apply_update(list, members);
    if (change == list_change::missed) {
        auto pull = make_envelope(self);
        pull.mutable_members_pull();
        send(self, peer, pull);
    }
    if (change != list_change::changed) {
        return;
    }
    apply_members(self);
}

[[nodiscard]] auto is_more_recent(const wire::Member& left, const wire::Member& right) -> bool {
    const auto serves = [](const auto& member) {
        return member.phase() == wire::PHASE_SERVING;
    };
    return std::pair{left.ticket(), serves(left)} > std::pair{right.ticket(), serves(right)};
}

[[nodiscard]] auto merge_member_lists(const daemon& self) -> std::unordered_map<std::string, wire::Member> {
    std::unordered_map<std::string, wire::Member> members{};
    for (const auto& [entry, list] : self.m_member_lists) {
        for (const auto& member : list.m_members) {
            const auto [known, is_new] = members.try_emplace(member.instance(), member);
            if (!is_new && is_more_recent(member, known->second)) {
                known->second = member;
            }
        }
    }
    members.erase(self.m_settings.m_instance);
    return members;
}

[[nodiscard]] auto make_peer(const wire::Member& member) -> exchange::peer {
    exchange::peer peer{};
    peer.m_instance = member.instance();
    peer.m_region = member.region();
    peer.m_group = member.group();
    peer.m_bus_endpoint = net::parse_endpoint(member.bus_address()).value_or(net::endpoint{});
    peer.m_bulk_endpoint = net::parse_endpoint(member.bulk_address()).value_or(net::endpoint{});
    peer.m_leaving = member.leaving();
    return peer;
}

auto disconnect_removed_agents(daemon& self) -> void {
    std::erase_if(self.m_connected_agents, [&self](const auto& name) {
        const auto is_removed = !self.m_agent_addresses.contains(name);
        if (is_removed) {
            self.m_bus.disconnect(name);
        }
        return is_removed;
    });
}

auto expire_member_lists(daemon& self) -> void {
    const auto retention = std::chrono::milliseconds{self.m_settings.m_routing.m_report_ms} * list_retention_intervals;
    const auto now = steady_now();
    std::erase_if(self.m_member_lists, [&](const auto& item) { return item.second.m_last_received + retention < now; });
}

auto set_report_location(const daemon& self, wire::Report& out) -> void {
    out.set_region(self.m_settings.m_region);
    out.set_data_centre(self.m_settings.m_data_centre);
    out.set_group(self.m_settings.m_backend.m_group);
    out.set_plain_service(self.m_settings.m_backend.m_plain_service);
    out.set_bus_address(self.m_settings.m_listen.m_bus);
    out.set_bulk_address(self.m_settings.m_listen.m_bulk);
}

auto set_report_version(const daemon& self, wire::Report& out) -> void {
    if (self.m_gate.m_phase != phase::serving) {
        return;
    }
    out.set_model(self.m_gate.m_confirmed_version.m_model);
    if (self.m_gate.m_confirmed_version.m_manifest != digest{}) {
        out.set_manifest(std::string{as_bytes(self.m_gate.m_confirmed_version.m_manifest)});
    }
    out.set_adapter(self.m_gate.m_confirmed_version.m_adapter);
    out.set_ticket(self.m_gate.m_ticket.value());
}

auto set_report_load(const daemon& self, wire::Report& out) -> void {
    out.set_running(static_cast<std::uint32_t>(self.m_admission.m_running));
    out.set_waiting(static_cast<std::uint32_t>(self.m_admission.m_waiting.size()));
    out.set_capacity(static_cast<std::uint32_t>(self.m_admission.m_capacity));
    out.set_engine_crashes(self.m_engine_state.m_crashes);
    for (const auto prefix : self.m_engine_state.m_cached_prefixes) {
        out.add_cached_prefixes(prefix);
    }
}

auto set_report_shards(const daemon& self, wire::Report& out) -> void {
    for (const auto& item : self.m_owner.m_shards) {
        if (item.m_phase == execution::shard_phase::owned) {
            auto& shard = *out.add_shards();
            shard.set_shard(item.m_id.value());
            shard.set_fencing(item.m_token.value());
        }
    }
}

auto set_report_fetch_progress(const daemon& self, wire::Report& out) -> void {
    out.set_ready(self.m_is_ready);
    if (!needs_load(self.m_gate)) {
        return;
    }
    const auto progress = self.m_exchange.progress_of(self.m_gate.m_target->m_version.m_manifest);
    out.set_chunks_held(progress.m_chunks_held);
    out.set_chunks_total(progress.m_chunks_total);
}

auto send_dump(daemon& self, const std::string_view peer, const std::uint64_t number) -> void {
    auto message = make_envelope(self);
    message.mutable_dump()->set_number(number);
    message.mutable_dump()->set_tables(dump(self));
    send(self, peer, message);
}

auto send_in_force(daemon& self) -> void {
    auto message = make_envelope(self);
    auto& out = *message.mutable_in_force();
    out.set_ticket(ticket::highest_ticket(self.m_desired).value());
    out.set_digest(std::string{as_bytes(self.m_desired_digest)});
    if (self.m_gate.m_target && self.m_gate.m_ticket < self.m_gate.m_target->m_ticket) {
        out.add_scopes_behind("group:" + self.m_settings.m_backend.m_group);
    }
    auto bytes = out.SerializeAsString();
    auto& last = self.m_last_report;
    if (bytes == last.m_in_force && self.m_report_sequence - last.m_in_force_sequence < reports_per_in_force) {
        return;
    }
    last.m_in_force = std::move(bytes);
    last.m_in_force_sequence = self.m_report_sequence;
    send_to_entries(self, message);
}

/*! @brief Serialises a report without the fields that a pulse carries. */
[[nodiscard]] auto serialize_stable_fields(const wire::Report& report) -> std::string {
    auto copy = report;
    copy.clear_sequence();
    copy.clear_running();
    copy.clear_waiting();
    copy.clear_cached_prefixes();
    copy.clear_chunks_held();
    return copy.SerializeAsString();
}

[[nodiscard]] auto make_pulse(const daemon& self, const wire::Report& report) -> wire::Envelope {
    auto message = make_envelope(self);
    auto& out = *message.mutable_pulse();
    out.set_sequence(report.sequence());
    out.set_report(self.m_last_report.m_sequence);
    out.set_running(report.running());
    out.set_waiting(report.waiting());
    *out.mutable_cached_prefixes() = report.cached_prefixes();
    out.set_chunks_held(report.chunks_held());
    return message;
}

/*! @brief Sends a pulse if only its fields have changed since the last full report, else a full report. */
auto send_report_or_pulse(daemon& self, const wire::Envelope& message) -> void {
    const auto& report = message.report();
    auto& last = self.m_last_report;
    auto stable_fields = serialize_stable_fields(report);
    const auto is_full_due = last.m_sequence == 0U || report.sequence() - last.m_sequence >= reports_per_full_report;
    if (!is_full_due && stable_fields == last.m_stable_fields) {
        return send_to_entries(self, make_pulse(self, report));
    }
    last.m_sequence = report.sequence();
    last.m_stable_fields = std::move(stable_fields);
    send_to_entries(self, message);
}

auto send_hello(daemon& self) -> void {
    auto message = make_envelope(self);
    auto& out = *message.mutable_hello();
    out.set_role(wire::ROLE_AGENT);
    out.set_region(self.m_settings.m_region);
    out.set_data_centre(self.m_settings.m_data_centre);
    out.set_bus_address(self.m_settings.m_listen.m_bus);
    send_to_entries(self, message);
}

} // namespace internal

auto apply_members(daemon& self) -> void {
    internal::expire_member_lists(self);
    std::vector<exchange::peer> peers{};
    std::vector<member> group{};
    self.m_agent_addresses.clear();
    for (const auto& [instance, reported] : internal::merge_member_lists(self)) {
        peers.push_back(internal::make_peer(reported));
        self.m_agent_addresses.emplace(instance, peers.back().m_bus_endpoint);
        if (reported.group() == self.m_settings.m_backend.m_group) {
            group.push_back({instance, static_cast<phase>(reported.phase()), ticket_number{reported.ticket()},
                             reported.ready(), reported.leaving()});
        }
    }
    self.m_members = std::move(group);
    self.m_has_members = true;
    internal::disconnect_removed_agents(self);
    self.m_exchange.set_peers(peers);
}

auto apply_desired_state(daemon& self) -> void {
    const auto* const group_entry = ticket::find(self.m_desired, "group:" + self.m_settings.m_backend.m_group);
    const auto* const instance_entry = ticket::find(self.m_desired, "instance:" + self.m_settings.m_instance);
    if (group_entry == nullptr && instance_entry == nullptr) {
        return;
    }
    target wanted{};
    if (group_entry != nullptr) {
        wanted.m_version = {group_entry->m_state.m_model,
                            group_entry->m_state.m_manifest,
                            {},
                            group_entry->m_state.m_adapter,
                            group_entry->m_state.m_role};
        wanted.m_ticket = group_entry->m_ticket;
        wanted.m_group_ticket = group_entry->m_ticket;
        wanted.m_traffic = group_entry->m_state.m_traffic;
    }
    if (instance_entry != nullptr) {
        wanted.m_ticket = std::max(wanted.m_ticket, instance_entry->m_ticket);
        wanted.m_traffic = wanted.m_traffic && instance_entry->m_state.m_traffic;
    }
    if (set_target(self.m_gate, wanted)) {
        self.m_is_ready = false;
        advance_gate(self);
    }
}

auto send_report(daemon& self) -> void {
    if (self.m_report_sequence == 0) {
        internal::send_hello(self);
    }
    auto message = make_envelope(self);
    auto& out = *message.mutable_report();
    out.set_sequence(++self.m_report_sequence);
    const auto reported_phase = self.m_is_stopping ? phase::draining : self.m_gate.m_phase;
    out.set_phase(static_cast<wire::Phase>(reported_phase));
    internal::set_report_location(self, out);
    internal::set_report_version(self, out);
    internal::set_report_load(self, out);
    internal::set_report_shards(self, out);
    internal::set_report_fetch_progress(self, out);
    self.m_engine_state.m_cached_prefixes.clear();
    self.m_reported_phase = self.m_gate.m_phase;
    internal::send_report_or_pulse(self, message);
    internal::send_in_force(self);
}

auto on_frame(daemon& self, const std::string_view peer, const std::string_view bytes) -> void {
    wire::Envelope message{};
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        self.m_counters.add("agent_frames_dropped_total", 1.0, "malformed_frame");
        return;
    }
    if (message.protocol() != wire::protocol_version) {
        self.m_counters.add("agent_frames_dropped_total", 1.0, "wrong_protocol");
        return;
    }
    switch (message.body_case()) {
    case wire::Envelope::kDispatch:
        return on_dispatch(self, peer, message);
    case wire::Envelope::kCancel:
        return on_cancel(self, peer, message);
    case wire::Envelope::kStatePush:
        return internal::apply_state_push(self, peer, message.state_push());
    case wire::Envelope::kStateDigest:
        return internal::compare_state_digest(self, peer, message.state_digest());
    case wire::Envelope::kStatePull:
        return internal::send_state(self, peer);
    case wire::Envelope::kMembers:
        return internal::on_members(self, peer, message.members());
    case wire::Envelope::kHaveMap:
        return self.m_exchange.on_message(peer, message);
    case wire::Envelope::kDumpPull:
        return internal::send_dump(self, peer, message.dump_pull().number());
    case wire::Envelope::kHello:
        internal::send_hello(self);
        self.m_last_report = {};
        return send_report(self);
    default:
        self.m_counters.add("agent_frames_dropped_total", 1.0, "unexpected");
    }
}

} // namespace rhubarbwharf::agent
