#include <agent/daemon.hpp>

#include <algorithm>

#include <rhubarbwharf/net/log.hpp>
#include <rhubarbwharf/wire/state.hpp>

namespace rhubarbwharf::agent {

namespace internal {

constexpr std::uint32_t list_periods_kept = 10;
constexpr std::uint64_t pulses_each_report = 30;
constexpr std::uint64_t reports_each_in_force = 10;

auto pull_state(daemon& self, const std::string_view peer) -> void {
    auto pull = envelope(self);
    pull.mutable_state_pull();
    send(self, peer, pull);
}

auto take_state(daemon& self, const std::string_view peer, const wire::StatePush& push) -> void {
    const auto taken = ticket::merge(self.m_desired, wire::decode_entries(push));
    if (taken > 0) {
        self.m_fingerprint = ticket::fingerprint(self.m_desired);
        self.m_counters.add("agent_scopes_taken_total", static_cast<double>(taken));
        apply_desired(self);
    }
    const auto theirs = digest_from_bytes(push.digest());
    if (!push.whole() && theirs && *theirs != self.m_fingerprint) {
        pull_state(self, peer);
    }
}

auto compare_state(daemon& self, const std::string_view peer, const wire::StateDigest& theirs) -> void {
    const auto digest = digest_from_bytes(theirs.digest());
    if (digest && *digest != self.m_fingerprint) {
        pull_state(self, peer);
    }
}

auto give_state(daemon& self, const std::string_view peer) -> void {
    auto push = envelope(self);
    auto& out = *push.mutable_state_push();
    wire::append_entries(out, self.m_desired.m_entries);
    out.set_digest(std::string{as_bytes(self.m_fingerprint)});
    out.set_whole(true);
    send(self, peer, push);
}

auto take_members(daemon& self, const std::string_view peer, const wire::Members& members) -> void {
    auto& list = self.m_lists[std::string{peer}];
    list.m_heard = steady_now();
    const auto taken = take(list, members);
    if (taken == list_change::missed) {
        auto pull = envelope(self);
        pull.mutable_members_pull();
        send(self, peer, pull);
    }
    if (taken != list_change::changed) {
        return;
    }
    apply_members(self);
}

[[nodiscard]] auto is_further(const wire::Member& left, const wire::Member& right) -> bool {
    const auto serves = [](const auto& member) {
        return member.phase() == wire::PHASE_SERVING;
    };
    return std::pair{left.ticket(), serves(left)} > std::pair{right.ticket(), serves(right)};
}

[[nodiscard]] auto union_of(const daemon& self) -> std::unordered_map<std::string, wire::Member> {
    std::unordered_map<std::string, wire::Member> all{};
    for (const auto& [entry, list] : self.m_lists) {
        for (const auto& member : list.m_members) {
            const auto [place, is_new] = all.try_emplace(member.instance(), member);
            if (!is_new && is_further(member, place->second)) {
                place->second = member;
            }
        }
    }
    all.erase(self.m_settings.m_instance);
    return all;
}

[[nodiscard]] auto peer_of(const wire::Member& member) -> exchange::peer {
    exchange::peer peer{};
    peer.m_instance = member.instance();
    peer.m_region = member.region();
    peer.m_group = member.group();
    peer.m_bus_endpoint = net::parse_endpoint(member.bus_address()).value_or(net::endpoint{});
    peer.m_bulk_endpoint = net::parse_endpoint(member.bulk_address()).value_or(net::endpoint{});
    peer.m_leaving = member.leaving();
    return peer;
}

auto disconnect_gone(daemon& self) -> void {
    std::erase_if(self.m_connected, [&self](const auto& name) {
        const auto is_gone = !self.m_agents.contains(name);
        if (is_gone) {
            self.m_bus.disconnect(name);
        }
        return is_gone;
    });
}

auto forget_old_lists(daemon& self) -> void {
    const auto kept = std::chrono::milliseconds{self.m_settings.m_routing.m_report_ms} * list_periods_kept;
    const auto now = steady_now();
    std::erase_if(self.m_lists, [&](const auto& item) { return item.second.m_heard + kept < now; });
}

auto fill_place(const daemon& self, wire::Report& out) -> void {
    out.set_region(self.m_settings.m_region);
    out.set_data_centre(self.m_settings.m_data_centre);
    out.set_group(self.m_settings.m_backend.m_group);
    out.set_plain_service(self.m_settings.m_backend.m_plain_service);
    out.set_bus_address(self.m_settings.m_listen.m_bus);
    out.set_bulk_address(self.m_settings.m_listen.m_bulk);
}

auto fill_version(const daemon& self, wire::Report& out) -> void {
    if (self.m_gate.m_phase != phase::serving) {
        return;
    }
    out.set_model(self.m_gate.m_confirmed.m_model);
    if (self.m_gate.m_confirmed.m_manifest != digest{}) {
        out.set_manifest(std::string{as_bytes(self.m_gate.m_confirmed.m_manifest)});
    }
    out.set_adapter(self.m_gate.m_confirmed.m_adapter);
    out.set_ticket(self.m_gate.m_ticket.value());
}

auto fill_load(const daemon& self, wire::Report& out) -> void {
    out.set_running(static_cast<std::uint32_t>(self.m_admission.m_running));
    out.set_waiting(static_cast<std::uint32_t>(self.m_admission.m_waiting.size()));
    out.set_capacity(static_cast<std::uint32_t>(self.m_admission.m_capacity));
    out.set_engine_crashes(self.m_engine.m_crashes);
    for (const auto prefix : self.m_engine.m_cached_prefixes) {
        out.add_cached_prefixes(prefix);
    }
}

auto fill_shards(const daemon& self, wire::Report& out) -> void {
    for (const auto& item : self.m_owner.m_shards) {
        if (item.m_phase == execution::shard_phase::owned) {
            auto& shard = *out.add_shards();
            shard.set_shard(item.m_id.value());
            shard.set_fencing(item.m_token.value());
        }
    }
}

auto fill_fetch(const daemon& self, wire::Report& out) -> void {
    out.set_ready(self.m_is_ready);
    if (!needs_load(self.m_gate)) {
        return;
    }
    const auto held = self.m_exchange.progress_of(self.m_gate.m_target->m_version.m_manifest);
    out.set_chunks_held(held.m_chunks_held);
    out.set_chunks_total(held.m_chunks_total);
}

auto give_dump(daemon& self, const std::string_view peer, const std::uint64_t number) -> void {
    auto message = envelope(self);
    message.mutable_dump()->set_number(number);
    message.mutable_dump()->set_tables(dump(self));
    send(self, peer, message);
}

auto send_in_force(daemon& self) -> void {
    auto message = envelope(self);
    auto& out = *message.mutable_in_force();
    out.set_ticket(ticket::highest_ticket(self.m_desired).value());
    out.set_digest(std::string{as_bytes(self.m_fingerprint)});
    if (self.m_gate.m_target && self.m_gate.m_ticket < self.m_gate.m_target->m_ticket) {
        out.add_scopes_behind("group:" + self.m_settings.m_backend.m_group);
    }
    auto bytes = out.SerializeAsString();
    auto& told = self.m_told;
    if (bytes == told.m_in_force && self.m_sequence - told.m_in_force_sequence < reports_each_in_force) {
        return;
    }
    told.m_in_force = std::move(bytes);
    told.m_in_force_sequence = self.m_sequence;
    send_to_entries(self, message);
}

/*! @brief A report without the figures that a pulse carries. */
[[nodiscard]] auto lasting_part(const wire::Report& whole) -> std::string {
    auto part = whole;
    part.clear_sequence();
    part.clear_running();
    part.clear_waiting();
    part.clear_cached_prefixes();
    part.clear_chunks_held();
    return part.SerializeAsString();
}

[[nodiscard]] auto pulse_of(const daemon& self, const wire::Report& whole) -> wire::Envelope {
    auto message = envelope(self);
    auto& out = *message.mutable_pulse();
    out.set_sequence(whole.sequence());
    out.set_report(self.m_told.m_sequence);
    out.set_running(whole.running());
    out.set_waiting(whole.waiting());
    *out.mutable_cached_prefixes() = whole.cached_prefixes();
    out.set_chunks_held(whole.chunks_held());
    return message;
}

/*! @brief Sends a pulse if all but its figures still holds, else the whole report. */
auto send_report(daemon& self, const wire::Envelope& message) -> void {
    const auto& whole = message.report();
    auto& told = self.m_told;
    auto lasting = lasting_part(whole);
    const auto is_due = told.m_sequence == 0U || whole.sequence() - told.m_sequence >= pulses_each_report;
    if (!is_due && lasting == told.m_lasting) {
        return send_to_entries(self, pulse_of(self, whole));
    }
    told.m_sequence = whole.sequence();
    told.m_lasting = std::move(lasting);
    send_to_entries(self, message);
}

auto send_hello(daemon& self) -> void {
    auto message = envelope(self);
    auto& out = *message.mutable_hello();
    out.set_role(wire::ROLE_AGENT);
    out.set_region(self.m_settings.m_region);
    out.set_data_centre(self.m_settings.m_data_centre);
    out.set_bus_address(self.m_settings.m_listen.m_bus);
    send_to_entries(self, message);
}

} // namespace internal

auto apply_members(daemon& self) -> void {
    internal::forget_old_lists(self);
    std::vector<exchange::peer> peers{};
    std::vector<member> group{};
    self.m_agents.clear();
    for (const auto& [instance, seen] : internal::union_of(self)) {
        peers.push_back(internal::peer_of(seen));
        self.m_agents.emplace(instance, peers.back().m_bus_endpoint);
        if (seen.group() == self.m_settings.m_backend.m_group) {
            group.push_back({instance, static_cast<phase>(seen.phase()), ticket_number{seen.ticket()}, seen.ready(),
                             seen.leaving()});
        }
    }
    self.m_members = std::move(group);
    self.m_has_members = true;
    internal::disconnect_gone(self);
    self.m_exchange.set_peers(peers);
}

auto apply_desired(daemon& self) -> void {
    const auto* const group = ticket::find(self.m_desired, "group:" + self.m_settings.m_backend.m_group);
    const auto* const own = ticket::find(self.m_desired, "instance:" + self.m_settings.m_instance);
    if (group == nullptr && own == nullptr) {
        return;
    }
    target wanted{};
    if (group != nullptr) {
        wanted.m_version = {
            group->m_state.m_model, group->m_state.m_manifest, {}, group->m_state.m_adapter, group->m_state.m_role};
        wanted.m_ticket = group->m_ticket;
        wanted.m_group_ticket = group->m_ticket;
        wanted.m_traffic = group->m_state.m_traffic;
    }
    if (own != nullptr) {
        wanted.m_ticket = std::max(wanted.m_ticket, own->m_ticket);
        wanted.m_traffic = wanted.m_traffic && own->m_state.m_traffic;
    }
    if (want(self.m_gate, wanted)) {
        self.m_is_ready = false;
        activate(self);
    }
}

auto report(daemon& self) -> void {
    if (self.m_sequence == 0) {
        internal::send_hello(self);
    }
    auto message = envelope(self);
    auto& out = *message.mutable_report();
    out.set_sequence(++self.m_sequence);
    const auto shown = self.m_is_stopping ? phase::draining : self.m_gate.m_phase;
    out.set_phase(static_cast<wire::Phase>(shown));
    internal::fill_place(self, out);
    internal::fill_version(self, out);
    internal::fill_load(self, out);
    internal::fill_shards(self, out);
    internal::fill_fetch(self, out);
    self.m_engine.m_cached_prefixes.clear();
    self.m_reported = self.m_gate.m_phase;
    internal::send_report(self, message);
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
        return internal::take_state(self, peer, message.state_push());
    case wire::Envelope::kStateDigest:
        return internal::compare_state(self, peer, message.state_digest());
    case wire::Envelope::kStatePull:
        return internal::give_state(self, peer);
    case wire::Envelope::kMembers:
        return internal::take_members(self, peer, message.members());
    case wire::Envelope::kHaveMap:
        return self.m_exchange.on_message(peer, message);
    case wire::Envelope::kDumpPull:
        return internal::give_dump(self, peer, message.dump_pull().number());
    case wire::Envelope::kHello:
        internal::send_hello(self);
        self.m_told = {};
        return report(self);
    default:
        self.m_counters.add("agent_frames_dropped_total", 1.0, "unexpected");
    }
}

} // namespace rhubarbwharf::agent
