#include <algorithm>

#include <entry/daemon.hpp>
#include <entry/wire.hpp>
#include <rhubarbwharf/net/log.hpp>
#include <rhubarbwharf/wire/state.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr std::size_t digests_each_period = 2;
constexpr duration push_again = std::chrono::seconds{1};
constexpr std::size_t far_peers_each_period = 8;

[[nodiscard]] auto is_near(const daemon& self, const peer& other) -> bool {
    return other.m_settings.m_data_centre == self.m_settings.m_data_centre;
}

[[nodiscard]] auto hello(const daemon& self) -> wire::Envelope {
    auto message = envelope(self);
    auto& out = *message.mutable_hello();
    out.set_role(wire::ROLE_ENTRY);
    out.set_region(self.m_settings.m_region);
    out.set_data_centre(self.m_settings.m_data_centre);
    out.set_bus_address(self.m_settings.m_listen.m_bus);
    return message;
}

[[nodiscard]] auto full_state(const daemon& self) -> wire::Envelope {
    auto message = envelope(self);
    auto& push = *message.mutable_state_push();
    wire::append_entries(push, self.m_desired.m_entries);
    push.set_digest(std::string{as_bytes(self.m_fingerprint)});
    push.set_whole(true);
    return message;
}

[[nodiscard]] auto state_digest(const daemon& self) -> wire::Envelope {
    auto message = envelope(self);
    message.mutable_state_digest()->set_digest(std::string{as_bytes(self.m_fingerprint)});
    message.mutable_state_digest()->set_highest_ticket(ticket::highest_ticket(self.m_desired).value());
    return message;
}

[[nodiscard]] auto live_agents(const daemon& self) -> std::vector<std::string> {
    std::vector<std::string> out{};
    for (const auto& row : self.m_members.m_members) {
        if (row.m_status != membership::member_status::suspected) {
            out.push_back(row.m_report.m_instance);
        }
    }
    return out;
}

auto on_hello(daemon& self, const std::string_view from, const wire::Hello& said) -> void {
    if (said.role() != wire::ROLE_AGENT) {
        return;
    }
    send(self, from, full_state(self));
    self.m_agents[std::string{from}].m_pushed = steady_now();
    forget_told(self, from);
}

auto take_report(daemon& self, const std::string_view from, const membership::report& news) -> void {
    const auto* const before = membership::find(self.m_members, from);
    const auto replaced = before != nullptr && before->m_report.m_incarnation != news.m_incarnation;
    const auto done = membership::apply(self.m_members, news, steady_now());
    if (done == membership::apply_result::stale) {
        self.m_counters.add("entry_stale_reports_total");
        return;
    }
    const auto id = *self.m_members.m_names.find(from);
    auto& load = backend_of(self, id);
    if (replaced) {
        lose(self, id);
        const auto in_flight = load.m_in_flight;
        load = {};
        load.m_in_flight = in_flight;
    }
    routing::apply_load_report(load, news.m_running_requests + news.m_waiting_requests, news.m_capacity);
    for (const auto prefix : news.m_cached_prefixes) {
        routing::remember_prefix(load, prefix);
    }
    if (done == membership::apply_result::changed) {
        load.m_breaker = {};
        net::log(net::level::info, "entry",
                 news.m_instance + " is " + std::string{membership::to_string(news.m_phase)} + " under ticket " +
                     std::to_string(news.m_ticket.value()));
    }
    pump(self);
}

auto on_report(daemon& self, const std::string_view from, const wire::Envelope& message) -> void {
    self.m_agents[std::string{from}].m_report = message.report().sequence();
    take_report(self, from, report_of(from, message));
}

/*! @brief Takes a pulse as the report it refers to with newer figures, or asks for a whole report. */
auto on_pulse(daemon& self, const std::string_view from, const wire::Envelope& message) -> void {
    const auto& pulse = message.pulse();
    const auto* const row = membership::find(self.m_members, from);
    const auto is_known = row != nullptr && row->m_report.m_incarnation == message.incarnation();
    if (!is_known || self.m_agents[std::string{from}].m_report != pulse.report()) {
        self.m_counters.add("entry_reports_pulled_total");
        send(self, from, hello(self));
        return;
    }
    auto news = row->m_report;
    news.m_sequence = pulse.sequence();
    news.m_running_requests = pulse.running();
    news.m_waiting_requests = pulse.waiting();
    news.m_cached_prefixes.assign(pulse.cached_prefixes().begin(), pulse.cached_prefixes().end());
    news.m_chunks_held = pulse.chunks_held();
    take_report(self, from, news);
}

auto on_leave(daemon& self, const std::string_view from, const std::uint64_t incarnation) -> void {
    if (const auto found = self.m_peers.find(from); found != self.m_peers.end()) {
        found->second.m_leaving = true;
        found->second.m_incarnation = incarnation;
        return;
    }
    if (membership::mark_leaving(self.m_members, from, incarnation)) {
        net::log(net::level::info, "entry", std::string{from} + " leaves");
    }
}

auto pull_state(daemon& self, const std::string_view from) -> void {
    auto pull = envelope(self);
    pull.mutable_state_pull();
    send(self, from, pull);
}

auto compare_state(daemon& self, const std::string_view from, const std::string& theirs, const std::uint64_t highest)
    -> void {
    const auto seen = digest_from_bytes(theirs);
    if (!seen) {
        return;
    }
    if (const auto found = self.m_peers.find(from); found != self.m_peers.end()) {
        found->second.m_state = *seen;
        found->second.m_ticket = ticket_number{highest};
    }
    if (*seen != self.m_fingerprint) {
        pull_state(self, from);
    }
}

auto on_in_force(daemon& self, const std::string_view from, const wire::InForce& said) -> void {
    auto& agent = self.m_agents[std::string{from}];
    agent.m_ticket = ticket_number{said.ticket()};
    agent.m_state = digest_from_bytes(said.digest()).value_or(digest{});
    const auto now = steady_now();
    if (agent.m_state != self.m_fingerprint && now - agent.m_pushed >= push_again) {
        agent.m_pushed = now;
        send(self, from, full_state(self));
        compare_state(self, from, said.digest(), said.ticket());
    }
}

auto on_push(daemon& self, const std::string_view from, const wire::StatePush& push) -> void {
    take_state(self, wire::decode_entries(push), from);
    const auto theirs = digest_from_bytes(push.digest());
    if (!push.whole() && theirs && *theirs != self.m_fingerprint) {
        pull_state(self, from);
    }
}

auto on_peer(daemon& self, const std::string_view from, const std::uint64_t incarnation) -> void {
    const auto found = self.m_peers.find(from);
    if (found == self.m_peers.end()) {
        return;
    }
    auto& other = found->second;
    if (other.m_incarnation != incarnation) {
        other.m_incarnation = incarnation;
        other.m_leaving = false;
    }
    other.m_heard = steady_now();
}

auto on_quarantine(daemon& self, const std::string_view from, const wire::Quarantine& said) -> void {
    const auto until = steady_now() + std::chrono::seconds{said.ttl_s()};
    routing::merge_remote_crashes(self.m_quarantine, said.digest(), stable_hash(from), said.crashes(), until);
}

auto dispatch(daemon& self, const std::string_view from, const wire::Envelope& message) -> void {
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
        send(self, from, full_state(self));
        return;
    case wire::Envelope::kInForce:
        return on_in_force(self, from, message.in_force());
    case wire::Envelope::kAnswerHead:
    case wire::Envelope::kAnswerPart:
    case wire::Envelope::kAnswerEnd:
        return on_answer(self, from, message);
    case wire::Envelope::kQuarantine:
        return on_quarantine(self, from, message.quarantine());
    case wire::Envelope::kMembersPull:
        return forget_told(self, from);
    case wire::Envelope::kDumpPull:
        return give_dump(self, from, message.dump_pull().number());
    case wire::Envelope::kDump:
        return on_dump(self, message.dump());
    case wire::Envelope::kSummary:
        return;
    default:
        self.m_counters.add("entry_frames_dropped_total", 1.0, "unexpected");
    }
}

auto tell_peers(daemon& self, const wire::Envelope& message) -> void {
    for (const auto& [name, other] : self.m_peers) {
        send(self, name, message);
    }
}

/*! @brief Tells every entry of the own data centre, and those of the others in turns. */
auto tell_in_turn(daemon& self, const wire::Envelope& message) -> void {
    std::vector<std::string_view> far{};
    for (const auto& [name, other] : self.m_peers) {
        if (is_near(self, other)) {
            send(self, name, message);
        } else {
            far.push_back(name);
        }
    }
    const auto count = std::min(far.size(), far_peers_each_period);
    for (std::size_t index = 0; index < count; ++index) {
        send(self, far[(self.m_far_turn + index) % far.size()], message);
    }
    self.m_far_turn += count;
}

auto compare_with_some(daemon& self) -> void {
    auto others = live_agents(self);
    for (const auto& [name, other] : self.m_peers) {
        others.push_back(name);
    }
    const auto message = state_digest(self);
    for (std::size_t count = 0; count < digests_each_period && !others.empty(); ++count) {
        send(self, others[self.m_random() % others.size()], message);
    }
}

[[nodiscard]] auto summary(daemon& self) -> wire::Envelope {
    auto message = envelope(self);
    auto& out = *message.mutable_summary();
    out.set_sequence(++self.m_summary_sequence);
    out.set_region(self.m_settings.m_region);
    out.set_data_centre(self.m_settings.m_data_centre);
    out.set_leaving(self.m_leaving);
    out.set_caller_address(self.m_settings.m_listen.m_callers);
    return message;
}

} // namespace internal

auto envelope(const daemon& self) -> wire::Envelope {
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
    internal::on_peer(self, from, message.incarnation());
    membership::record_message(self.m_members, from, message.incarnation(), steady_now());
    internal::dispatch(self, from, message);
}

auto connect_peers(daemon& self) -> void {
    for (const auto& entry : self.m_settings.m_entries) {
        const auto where = net::parse_endpoint(entry.m_bus);
        if (entry.m_instance == self.m_settings.m_instance || !where) {
            continue;
        }
        self.m_peers[entry.m_instance].m_settings = entry;
        self.m_bus.connect(entry.m_instance, *where);
        send(self, entry.m_instance, internal::hello(self));
    }
}

auto is_silent(const daemon& self, const peer& other, const time_point now) -> bool {
    const auto rounds = static_cast<duration::rep>(1U + self.m_peers.size() / internal::far_peers_each_period);
    const auto limit =
        internal::is_near(self, other) ? self.m_bounds.m_suspect_timeout : self.m_bounds.m_suspect_timeout * rounds;
    return now - std::max(other.m_heard, self.m_started) > limit;
}

auto gossip(daemon& self, const time_point now) -> void {
    for (const auto id : membership::suspect_silent_members(self.m_members, now, self.m_bounds)) {
        net::log(net::level::warn, "entry", std::string{self.m_members.m_names.name(id)} + " is suspected");
        lose(self, id);
    }
    routing::evict_expired(self.m_quarantine, now);
    internal::tell_in_turn(self, internal::summary(self));
    internal::compare_with_some(self);
}

auto push_state(daemon& self, const std::vector<ticket::scope_entry>& entries, const std::string_view but) -> void {
    auto message = envelope(self);
    auto& push = *message.mutable_state_push();
    wire::append_entries(push, entries);
    push.set_digest(std::string{as_bytes(self.m_fingerprint)});
    for (const auto& agent : internal::live_agents(self)) {
        send(self, agent, message);
    }
    for (const auto& [name, other] : self.m_peers) {
        if (name != but) {
            send(self, name, message);
        }
    }
}

auto tell_quarantine(daemon& self, const std::uint64_t content, const std::uint32_t crashes) -> void {
    auto message = envelope(self);
    auto& out = *message.mutable_quarantine();
    out.set_digest(content);
    out.set_crashes(crashes);
    out.set_ttl_s(self.m_settings.m_routing.m_quarantine_s);
    internal::tell_peers(self, message);
}

auto tell_leaving(daemon& self) -> void {
    auto message = envelope(self);
    message.mutable_leave()->set_grace_ms(self.m_settings.m_drain.m_entries_ttl_ms);
    internal::tell_peers(self, message);
}

} // namespace rhubarbwharf::entry
