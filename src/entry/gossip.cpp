#include <algorithm>

#include <entry/daemon.hpp>
#include <entry/wire.hpp>
#include <rhubarbwharf/net/log.hpp>
#include <rhubarbwharf/wire/state.hpp>

namespace rhubarbwharf::entry {

namespace internal {

/*! @brief Longest time for which the end of a request that has crashed a backend server waits for the other entries to
 * know of it. */
constexpr duration max_crash_notice_time = std::chrono::milliseconds{250};
constexpr std::size_t digests_per_interval = 2;
constexpr duration min_push_interval = std::chrono::seconds{1};
constexpr std::size_t remote_peers_per_interval = 8;

[[nodiscard]] auto is_local(const daemon& self, const peer& other) -> bool {
    return other.m_settings.m_data_centre == self.m_settings.m_data_centre;
}

[[nodiscard]] auto make_hello(const daemon& self) -> wire::Envelope {
    auto message = make_envelope(self);
    auto& out = *message.mutable_hello();
    out.set_role(wire::ROLE_ENTRY);
    out.set_region(self.m_settings.m_region);
    out.set_data_centre(self.m_settings.m_data_centre);
    out.set_bus_address(self.m_settings.m_listen.m_bus);
    return message;
}

[[nodiscard]] auto make_full_state_push(const daemon& self) -> wire::Envelope {
    auto message = make_envelope(self);
    auto& push = *message.mutable_state_push();
    wire::append_entries(push, self.m_desired_state.m_entries);
    push.set_digest(std::string{as_bytes(self.m_state_digest)});
    push.set_whole(true);
    return message;
}

[[nodiscard]] auto make_state_digest(const daemon& self) -> wire::Envelope {
    auto message = make_envelope(self);
    message.mutable_state_digest()->set_digest(std::string{as_bytes(self.m_state_digest)});
    message.mutable_state_digest()->set_highest_ticket(ticket::highest_ticket(self.m_desired_state).value());
    return message;
}

[[nodiscard]] auto list_live_agents(const daemon& self) -> std::vector<std::string> {
    std::vector<std::string> out{};
    for (const auto& row : self.m_members.m_members) {
        if (row.m_status != membership::member_status::suspected) {
            out.push_back(row.m_report.m_instance);
        }
    }
    return out;
}

auto on_hello(daemon& self, const std::string_view from, const wire::Hello& hello) -> void {
    if (hello.role() != wire::ROLE_AGENT) {
        return;
    }
    send(self, from, make_full_state_push(self));
    self.m_agents[std::string{from}].m_last_pushed = steady_now();
    schedule_full_member_list(self, from);
}

auto apply_report(daemon& self, const std::string_view from, const membership::report& report) -> void {
    const auto* const previous = membership::find(self.m_members, from);
    const auto is_new_process = previous != nullptr && previous->m_report.m_incarnation != report.m_incarnation;
    const auto applied = membership::apply(self.m_members, report, steady_now());
    if (applied == membership::apply_result::stale) {
        self.m_counters.add("entry_stale_reports_total");
        return;
    }
    const auto id = *self.m_members.m_names.find(from);
    auto& backend = backend_of(self, id);
    if (is_new_process) {
        fail_attempts_on(self, id);
        const auto in_flight = backend.m_in_flight;
        backend = {};
        backend.m_in_flight = in_flight;
    }
    routing::apply_load_report(backend, report.m_running_requests + report.m_waiting_requests, report.m_capacity);
    for (const auto prefix : report.m_cached_prefixes) {
        routing::remember_prefix(backend, prefix);
    }
    if (applied == membership::apply_result::changed) {
        backend.m_breaker = {};
        net::log(net::level::info, "entry",
                 report.m_instance + " is in phase " + std::string{membership::to_string(report.m_phase)} +
                     ", ticket " + std::to_string(report.m_ticket.value()));
    }
    send_queued_requests(self);
}

auto on_report(daemon& self, const std::string_view from, const wire::Envelope& message) -> void {
    self.m_agents[std::string{from}].m_report_sequence = message.report().sequence();
    apply_report(self, from, report_of(from, message));
}

/*! @brief Applies a pulse, which updates the figures of the last full report. If that report was not received, a hello
 * requests a full one. */
auto on_pulse(daemon& self, const std::string_view from, const wire::Envelope& message) -> void {
    const auto& pulse = message.pulse();
    const auto* const row = membership::find(self.m_members, from);
    const auto is_known = row != nullptr && row->m_report.m_incarnation == message.incarnation();
    if (!is_known || self.m_agents[std::string{from}].m_report_sequence != pulse.report()) {
        self.m_counters.add("entry_reports_pulled_total");
        send(self, from, make_hello(self));
        return;
    }
    auto report = row->m_report;
    report.m_sequence = pulse.sequence();
    report.m_running_requests = pulse.running();
    report.m_waiting_requests = pulse.waiting();
    report.m_cached_prefixes.assign(pulse.cached_prefixes().begin(), pulse.cached_prefixes().end());
    report.m_chunks_held = pulse.chunks_held();
    apply_report(self, from, report);
}

auto on_leave(daemon& self, const std::string_view from, const std::uint64_t incarnation) -> void {
    if (const auto found = self.m_peers.find(from); found != self.m_peers.end()) {
        found->second.m_leaving = true;
        found->second.m_incarnation = incarnation;
        return;
    }
    if (membership::mark_leaving(self.m_members, from, incarnation)) {
        net::log(net::level::info, "entry", std::string{from} + " has announced that it leaves");
    }
}

auto request_state(daemon& self, const std::string_view from) -> void {
    auto pull = make_envelope(self);
    pull.mutable_state_pull();
    send(self, from, pull);
}

auto compare_state(daemon& self, const std::string_view from, const std::string& digest_bytes,
                   const std::uint64_t highest) -> void {
    const auto remote_digest = digest_from_bytes(digest_bytes);
    if (!remote_digest) {
        return;
    }
    if (const auto found = self.m_peers.find(from); found != self.m_peers.end()) {
        found->second.m_state_digest = *remote_digest;
        found->second.m_highest_ticket = ticket_number{highest};
    }
    if (*remote_digest != self.m_state_digest) {
        request_state(self, from);
    }
}

auto on_in_force(daemon& self, const std::string_view from, const wire::InForce& in_force) -> void {
    auto& agent = self.m_agents[std::string{from}];
    agent.m_ticket = ticket_number{in_force.ticket()};
    agent.m_state_digest = digest_from_bytes(in_force.digest()).value_or(digest{});
    const auto now = steady_now();
    if (agent.m_state_digest != self.m_state_digest && now - agent.m_last_pushed >= min_push_interval) {
        agent.m_last_pushed = now;
        send(self, from, make_full_state_push(self));
        compare_state(self, from, in_force.digest(), in_force.ticket());
    }
}

auto on_push(daemon& self, const std::string_view from, const wire::StatePush& push) -> void {
    apply_state(self, wire::decode_entries(push), from);
    const auto remote_digest = digest_from_bytes(push.digest());
    if (!push.whole() && remote_digest && *remote_digest != self.m_state_digest) {
        request_state(self, from);
    }
}

auto record_peer_message(daemon& self, const std::string_view from, const std::uint64_t incarnation) -> void {
    const auto found = self.m_peers.find(from);
    if (found == self.m_peers.end()) {
        return;
    }
    auto& other = found->second;
    if (other.m_incarnation != incarnation) {
        other.m_incarnation = incarnation;
        other.m_leaving = false;
    }
    other.m_last_received = steady_now();
}

auto on_quarantine(daemon& self, const std::string_view from, const wire::Quarantine& quarantine) -> void {
    const auto expiry = steady_now() + std::chrono::seconds{quarantine.ttl_s()};
    routing::merge_remote_crashes(self.m_quarantine, quarantine.digest(), stable_hash(from), quarantine.crashes(),
                                  expiry);
    if (quarantine.number() != 0U) {
        auto message = make_envelope(self);
        message.mutable_quarantine_ack()->set_number(quarantine.number());
        send(self, from, message);
    }
}

/*! @brief Removes a notice and continues what waits for it. */
auto finish_notice(daemon& self, const std::uint64_t number) -> void {
    if (auto notice = self.m_crash_notices.extract(number)) {
        notice.mapped().m_told();
    }
}

auto on_quarantine_ack(daemon& self, const std::string_view from, const std::uint64_t number) -> void {
    const auto found = self.m_crash_notices.find(number);
    if (found == self.m_crash_notices.end()) {
        return;
    }
    auto& awaited = found->second.m_awaited;
    std::erase_if(awaited, [from](const std::string& name) { return name == from; });
    if (awaited.empty()) {
        finish_notice(self, number);
    }
}

auto handle_message(daemon& self, const std::string_view from, const wire::Envelope& message) -> void {
    switch (message.body_case()) {
    case wire::Envelope::kHello:
        return on_hello(self, from, message.hello());
    case wire::Envelope::kReport:
        return on_report(self, from, message);
    case wire::Envelope::kPulse:
        return on_pulse(self, from, message);
    case wire::Envelope::kLeave:
        return on_leave(self, from, message.incarnation());
    case wire::Envelope::kStateDigest:
        return compare_state(self, from, message.state_digest().digest(), message.state_digest().highest_ticket());
    case wire::Envelope::kStatePush:
        return on_push(self, from, message.state_push());
    case wire::Envelope::kStatePull:
        send(self, from, make_full_state_push(self));
        return;
    case wire::Envelope::kInForce:
        return on_in_force(self, from, message.in_force());
    case wire::Envelope::kAnswerHead:
    case wire::Envelope::kAnswerPart:
    case wire::Envelope::kAnswerEnd:
        return on_answer(self, from, message);
    case wire::Envelope::kQuarantine:
        return on_quarantine(self, from, message.quarantine());
    case wire::Envelope::kQuarantineAck:
        return on_quarantine_ack(self, from, message.quarantine_ack().number());
    case wire::Envelope::kMembersPull:
        return schedule_full_member_list(self, from);
    case wire::Envelope::kDumpPull:
        return send_dump(self, from, message.dump_pull().number());
    case wire::Envelope::kDump:
        return on_dump(self, message.dump());
    case wire::Envelope::kSummary:
        return;
    default:
        self.m_counters.add("entry_frames_dropped_total", 1.0, "unexpected");
    }
}

auto send_to_peers(daemon& self, const wire::Envelope& message) -> void {
    for (const auto& [name, other] : self.m_peers) {
        send(self, name, message);
    }
}

/*! @brief Sends a message to all entries of the same data centre, and to those of other data centres in rotation. */
auto send_in_rotation(daemon& self, const wire::Envelope& message) -> void {
    std::vector<std::string_view> remote{};
    for (const auto& [name, other] : self.m_peers) {
        if (is_local(self, other)) {
            send(self, name, message);
        } else {
            remote.push_back(name);
        }
    }
    const auto count = std::min(remote.size(), remote_peers_per_interval);
    for (std::size_t index = 0; index < count; ++index) {
        send(self, remote[(self.m_next_remote_peer + index) % remote.size()], message);
    }
    self.m_next_remote_peer += count;
}

auto send_digests_to_sample(daemon& self) -> void {
    auto others = list_live_agents(self);
    for (const auto& [name, other] : self.m_peers) {
        others.push_back(name);
    }
    const auto message = make_state_digest(self);
    for (std::size_t count = 0; count < digests_per_interval && !others.empty(); ++count) {
        send(self, others[self.m_random() % others.size()], message);
    }
}

[[nodiscard]] auto make_summary(daemon& self) -> wire::Envelope {
    auto message = make_envelope(self);
    auto& out = *message.mutable_summary();
    out.set_sequence(++self.m_summary_sequence);
    out.set_region(self.m_settings.m_region);
    out.set_data_centre(self.m_settings.m_data_centre);
    out.set_leaving(self.m_leaving);
    out.set_caller_address(self.m_settings.m_listen.m_callers);
    return message;
}

} // namespace internal

auto make_envelope(const daemon& self) -> wire::Envelope {
    wire::Envelope message{};
    message.set_protocol(wire::protocol_version);
    message.set_incarnation(self.m_incarnation);
    return message;
}

auto send(daemon& self, const std::string_view to, const wire::Envelope& message) -> code {
    const auto sent = self.m_bus.send(to, message.SerializeAsString());
    if (sent != code::ok) {
        self.m_counters.add("entry_frames_unsent_total", 1.0, describe(sent).m_name);
    }
    return sent;
}

auto on_frame(daemon& self, const std::string_view from, const std::string_view bytes) -> void {
    wire::Envelope message{};
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        self.m_counters.add("entry_frames_dropped_total", 1.0, describe(code::malformed_frame).m_name);
        return;
    }
    if (message.protocol() != wire::protocol_version) {
        self.m_counters.add("entry_frames_dropped_total", 1.0, describe(code::wrong_protocol).m_name);
        return;
    }
    internal::record_peer_message(self, from, message.incarnation());
    membership::record_message(self.m_members, from, message.incarnation(), steady_now());
    internal::handle_message(self, from, message);
}

auto connect_peers(daemon& self) -> void {
    for (const auto& entry : self.m_settings.m_entries) {
        const auto endpoint = net::parse_endpoint(entry.m_bus);
        if (entry.m_instance == self.m_settings.m_instance || !endpoint) {
            continue;
        }
        self.m_peers[entry.m_instance].m_settings = entry;
        self.m_bus.connect(entry.m_instance, *endpoint);
        send(self, entry.m_instance, internal::make_hello(self));
    }
}

auto is_silent(const daemon& self, const peer& other, const time_point now) -> bool {
    const auto intervals_per_rotation =
        static_cast<duration::rep>(1U + self.m_peers.size() / internal::remote_peers_per_interval);
    const auto limit = internal::is_local(self, other)
                           ? self.m_member_limits.m_suspect_timeout
                           : self.m_member_limits.m_suspect_timeout * intervals_per_rotation;
    return now - std::max(other.m_last_received, self.m_started) > limit;
}

auto gossip(daemon& self, const time_point now) -> void {
    for (const auto id : membership::suspect_silent_members(self.m_members, now, self.m_member_limits)) {
        net::log(net::level::warn, "entry",
                 std::string{self.m_members.m_names.name(id)} + " is suspected: no message within the suspect timeout");
        fail_attempts_on(self, id);
    }
    routing::evict_expired(self.m_quarantine, now);
    internal::send_in_rotation(self, internal::make_summary(self));
    internal::send_digests_to_sample(self);
}

auto push_state(daemon& self, const std::vector<ticket::scope_entry>& entries, const std::string_view except) -> void {
    auto message = make_envelope(self);
    auto& push = *message.mutable_state_push();
    wire::append_entries(push, entries);
    push.set_digest(std::string{as_bytes(self.m_state_digest)});
    for (const auto& agent : internal::list_live_agents(self)) {
        send(self, agent, message);
    }
    for (const auto& [name, other] : self.m_peers) {
        if (name != except) {
            send(self, name, message);
        }
    }
}

auto broadcast_crashes(daemon& self, const std::uint64_t content, const std::uint32_t crashes,
                       std::function<void()> told) -> void {
    const auto number = ++self.m_last_crash_notice;
    auto& notice = self.m_crash_notices[number];
    notice.m_told = std::move(told);
    for (const auto& [name, other] : self.m_peers) {
        if (!is_silent(self, other, steady_now())) {
            notice.m_awaited.insert(name);
        }
    }
    auto message = make_envelope(self);
    auto& out = *message.mutable_quarantine();
    out.set_digest(content);
    out.set_crashes(crashes);
    out.set_ttl_s(self.m_settings.m_routing.m_quarantine_s);
    out.set_number(number);
    internal::send_to_peers(self, message);
    if (notice.m_awaited.empty()) {
        internal::finish_notice(self, number);
        return;
    }
    self.m_loop.after(internal::max_crash_notice_time, [&self, number] {
        if (self.m_crash_notices.contains(number)) {
            self.m_counters.add("entry_crash_notices_unacknowledged_total");
            internal::finish_notice(self, number);
        }
    });
}

auto broadcast_leaving(daemon& self) -> void {
    auto message = make_envelope(self);
    message.mutable_leave()->set_grace_ms(self.m_settings.m_drain.m_entries_ttl_ms);
    internal::send_to_peers(self, message);
}

} // namespace rhubarbwharf::entry
