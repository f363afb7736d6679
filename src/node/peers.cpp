#include <algorithm>
#include <utility>

#include <fleet.pb.h>
#include <node/boot_clock.hpp>
#include <node/core.hpp>
#include <node/targets.hpp>
#include <node/wire.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Requests for a state whose times are kept for their answers: those of a few seconds. */
constexpr std::size_t max_remembered_pulls = 16U;
/*! @brief Minimum time between two requests for a full state, so that one change is not requested from every peer. */
constexpr duration min_pull_interval = std::chrono::milliseconds{250};
/*! @brief Time after the start in which every gateway watches the store, as it may not know the other gateways yet. */
constexpr duration startup_watch_time = std::chrono::milliseconds{1'500};
/*! @brief Minimum time between two requests of a loader for a newer configuration. */
constexpr duration min_loader_pull_interval = std::chrono::seconds{10};
/*! @brief Requests to seeds, counted from the start, after which a process that knows the configuration stops. Until
 * then it still requests the state of a seed, which contains the times at which versions were named. */
constexpr unsigned max_seed_requests = 4U;
/*! @brief Delay before the next request to a seed, and time limit of one request. */
constexpr duration seed_retry_interval = std::chrono::milliseconds{600};
/*! @brief Bytes of a state: a configuration of at most 1 MiB, and some 300 bytes for each of 2,500 runners and 2,900
 * members, with room for four times as many. */
constexpr std::size_t max_state_bytes = std::size_t{8} * 1024U * 1024U;

namespace {

[[nodiscard]] auto weights_version_sum(const core& self) -> std::uint64_t {
    std::uint64_t sum{};
    for (const auto& each : self.m_weights_targets) {
        sum += each.m_version;
    }
    return sum;
}

[[nodiscard]] auto configuration_version(const core& self) -> std::uint64_t {
    return self.m_configuration ? self.m_configuration->m_version : 0U;
}

/*! @brief Returns a digest of the known loaders that does not depend on their order. */
[[nodiscard]] auto loaders_digest(const core& self) -> std::uint64_t {
    std::uint64_t out{};
    for (const auto& [name, row] : self.m_members) {
        out += row.m_member.is_gateway() ? 0U : std::hash<std::string>{}(name) ^ row.m_member.m_incarnation;
    }
    return out;
}

/*! @brief Versions that a pulse states, and differences from the own state. */
struct peer_status {
    std::uint64_t m_configuration_version{};
    std::uint64_t m_weights_version_sum{};
    bool m_servers_differ{};
    bool m_loaders_differ{};
};

[[nodiscard]] auto is_behind(const core& self, const peer_status& status, const time_point now) -> bool {
    // Loaders fetch configurations at a low rate, as the parts that they use seldom change.
    const auto is_throttled =
        self.m_configuration && !self.m_follows_servers && now - self.m_last_full_pull < min_loader_pull_interval;
    const auto newer = status.m_configuration_version > configuration_version(self) && !is_throttled;
    return newer || status.m_weights_version_sum > weights_version_sum(self) || status.m_servers_differ ||
           status.m_loaders_differ;
}

/*! @brief Checks whether a gateway of the own region has reported the same differing set of backend servers twice in
 * a row. */
[[nodiscard]] auto servers_differ(core& self, fleet::member_observation& row, const wire::fleet::Pulse& message)
    -> bool {
    const auto states_era = message.store_era() != 0U;
    if (!states_era && self.m_store.era() != 0U) {
        return false;
    }
    const auto fingerprint = states_era ? message.server_versions() : message.servers();
    const auto own = states_era ? fleet::fingerprint(self.m_servers) : fleet::fingerprint_of_revisions(self.m_servers);
    const auto is_stable = row.m_servers_fingerprint == fingerprint;
    row.m_servers_fingerprint = fingerprint;
    const auto is_local = row.m_member.m_region == self.m_self.m_region;
    return self.m_follows_servers && is_local && is_stable && fingerprint != own;
}

auto add_leaving_servers(const core& self, wire::fleet::Pulse& out) -> void {
    for (const auto& [id, server] : self.m_leaving_servers) {
        const auto row = self.m_servers.m_rows.find(id);
        if (row != self.m_servers.m_rows.end() && row->second.m_started_ms == server.m_started_ms) {
            auto* const added = out.add_leaving_servers();
            added->set_id(id);
            added->set_started(server.m_started_ms);
            added->set_address(net::to_string(server.m_address));
        }
    }
}

auto on_pulse(core& self, const std::string_view from, const wire::fleet::Pulse& message) -> void {
    update_member(self, from_wire(message.self()), false);
    const auto now = steady_now();
    auto& row = self.m_members[std::string{from}];
    row.m_last_received = now;
    row.m_ready = message.ready();
    row.m_leaving = message.leaving();
    row.m_reaches_store = message.reaches_store();
    row.m_demand_per_s = message.demand();
    row.m_store_era = message.store_era();
    self.m_store.note_era(message.store_era());
    for (const auto& each : message.leaving_servers()) {
        mark_server_leaving(self, each.id(), from_wire(each), from);
    }
    const auto loaders_differ = !self.m_follows_servers && message.loaders() != loaders_digest(self);
    const peer_status status{message.configuration(), message.weights(), servers_differ(self, row, message),
                             loaders_differ};
    if (now - self.m_last_state_pull < min_pull_interval) {
        return;
    }
    const auto behind = is_behind(self, status, now);
    if (!behind && !request_confirmation(self, row.m_member.m_region, now)) {
        return;
    }
    self.m_last_state_pull = now;
    self.m_last_full_pull = behind ? now : self.m_last_full_pull;
    self.m_state_pull_times.emplace(++self.m_state_pulls, boot_now());
    if (self.m_state_pull_times.size() > max_remembered_pulls) {
        self.m_state_pull_times.erase(self.m_state_pull_times.begin());
    }
    wire::fleet::Frame request{};
    request.mutable_pull()->set_configuration(configuration_version(self));
    request.mutable_pull()->set_servers(behind && self.m_follows_servers);
    request.mutable_pull()->set_number(self.m_state_pulls);
    request.mutable_pull()->set_weights_only(!behind);
    send(self, from, request);
}

auto on_pull(core& self, const std::string_view from, const wire::fleet::Pull& request) -> void {
    wire::fleet::Frame reply{};
    *reply.mutable_state() = answer_to(self, request);
    send(self, from, reply);
}

auto on_state(core& self, const std::string_view from, wire::fleet::State& state) -> void {
    const auto request = self.m_state_pull_times.find(state.answers());
    if (request != self.m_state_pull_times.end()) {
        accept_state(self, state, from, request->second);
        return;
    }
    if (state.answers() != 0U) {
        // The ages of an answer to a forgotten request, or to that of a former process, are of an unknown time.
        state.clear_weights();
    }
    accept_state(self, state, from);
}

} // namespace

} // namespace internal

auto send(core& self, const std::string_view peer, wire::fleet::Frame& frame) -> void {
    frame.set_protocol(frame_protocol_version);
    frame.set_incarnation(self.m_incarnation);
    if (self.m_bus.send(peer, frame.SerializeAsString()) != code::ok) {
        self.m_counters.add("peer_messages_unsent_total");
    }
}

auto send_to_gateways(core& self, wire::fleet::Frame& frame) -> void {
    frame.set_protocol(frame_protocol_version);
    frame.set_incarnation(self.m_incarnation);
    const auto bytes = frame.SerializeAsString();
    for (const auto& [name, row] : self.m_members) {
        const auto wanted = row.m_member.is_gateway() && name != self.m_self.m_instance;
        if (wanted && self.m_bus.send(name, bytes) != code::ok) {
            self.m_counters.add("peer_messages_unsent_total");
        }
    }
}

auto send_pulse(core& self) -> void {
    auto& own = self.m_members[self.m_self.m_instance];
    own.m_last_received = steady_now();
    own.m_ready = self.m_ready;
    own.m_leaving = self.m_leaving;
    own.m_reaches_store = self.m_store_reachable;
    own.m_demand_per_s = self.m_demand;
    own.m_store_era = self.m_store.era();
    wire::fleet::Frame frame{};
    auto& message = *frame.mutable_pulse();
    to_wire(self.m_self, *message.mutable_self());
    message.set_ready(self.m_ready);
    message.set_leaving(self.m_leaving);
    message.set_demand(self.m_demand);
    message.set_configuration(internal::configuration_version(self));
    message.set_weights(internal::weights_version_sum(self));
    message.set_servers(fleet::fingerprint_of_revisions(self.m_servers));
    message.set_server_versions(fleet::fingerprint(self.m_servers));
    message.set_store_era(self.m_store.era());
    message.set_reaches_store(self.m_store_reachable);
    message.set_loaders(internal::loaders_digest(self));
    internal::add_leaving_servers(self, message);
    send_to_gateways(self, frame);
    const auto bytes = frame.SerializeAsString();
    for (const auto& [name, row] : self.m_members) {
        const auto is_local = !row.m_member.is_gateway() && row.m_member.m_data_centre == self.m_self.m_data_centre;
        if (is_local && self.m_bus.send(name, bytes) != code::ok) {
            self.m_counters.add("peer_messages_unsent_total");
        }
    }
    for (const auto& name : fleet::evict_expired_members(self.m_members, steady_now())) {
        self.m_bus.disconnect(name);
    }
}

auto update_member(core& self, const fleet::member& value, const bool is_listed) -> void {
    if (value.m_instance.empty() || value.m_instance == self.m_self.m_instance) {
        return;
    }
    auto& row = self.m_members[value.m_instance];
    const auto is_new = row.m_member.m_incarnation != value.m_incarnation;
    if (is_new) {
        row.m_member = value;
        row.m_leaving = false;
        row.m_ready = true;
        row.m_last_received = is_listed ? steady_now() : row.m_last_received;
        self.m_events.write("member.seen", {{"member", value.m_instance}, {"listed", is_listed}});
    }
    row.m_listed = row.m_listed || is_listed;
    // Gateways connect to each other in both directions; loaders are reached over the connections that they open.
    if (value.is_gateway()) {
        self.m_bus.connect(value.m_instance, value.m_bus_address);
        if (is_new) {
            self.m_handlers.m_on_gateway(value.m_instance);
        }
    }
}

namespace internal {

namespace {

auto add_server(const core& self, const std::string& id, wire::fleet::State& out) -> void {
    if (const auto row = self.m_servers.m_rows.find(id); row != self.m_servers.m_rows.end()) {
        to_wire(row->second, *out.add_servers());
    } else if (const auto removed = self.m_servers.m_removed.find(id); removed != self.m_servers.m_removed.end()) {
        auto* const server = out.add_servers();
        server->set_id(id);
        server->set_revision(removed->second.m_revision);
        server->set_era(removed->second.m_era);
        server->set_removed(true);
    }
}

/*! @brief Sends new weights targets to the loaders of the region at once; they request other changes after a
 * pulse. */
auto push_weights_to_loaders(core& self, const wire::fleet::State& update) -> void {
    const auto sum = weights_version_sum(self);
    if (std::exchange(self.m_last_pushed_weights, sum) == sum) {
        return;
    }
    wire::fleet::Frame frame{};
    *frame.mutable_state()->mutable_weights() = update.weights();
    for (const auto& [name, row] : self.m_members) {
        if (!row.m_member.is_gateway() && row.m_member.m_region == self.m_self.m_region) {
            send(self, name, frame);
        }
    }
}

/*! @brief Removes loaders that a gateway no longer knows; loaders do not receive each other's pulses. */
auto discard_unknown_loaders(core& self, const wire::fleet::State& state) -> void {
    std::set<std::string, std::less<>> known{self.m_self.m_instance};
    for (const auto& each : state.members()) {
        known.insert(each.instance());
    }
    std::erase_if(self.m_members,
                  [&](const auto& each) { return !each.second.m_member.is_gateway() && !known.contains(each.first); });
}

auto push_changes(core& self) -> void {
    wire::fleet::Frame frame{};
    auto& update = *frame.mutable_state();
    const auto version = configuration_version(self);
    if (version > std::exchange(self.m_last_pushed_configuration, version)) {
        update.set_configuration(self.m_configuration->m_source_text);
    }
    add_targets(self, update);
    for (const auto& id : std::exchange(self.m_changed_servers, {})) {
        add_server(self, id, update);
    }
    for (const auto& [name, row] : self.m_members) {
        const auto is_local = row.m_member.is_gateway() && row.m_member.m_region == self.m_self.m_region;
        if (is_local && name != self.m_self.m_instance) {
            send(self, name, frame);
        }
    }
    push_weights_to_loaders(self, update);
}

} // namespace

} // namespace internal

auto schedule_push(core& self, const std::string& server) -> void {
    if (!self.m_follows_servers || !self.m_watches_store) {
        return;
    }
    if (!server.empty()) {
        self.m_changed_servers.insert(server);
    }
    if (!std::exchange(self.m_push_scheduled, true)) {
        self.m_loop.post([&self] {
            self.m_push_scheduled = false;
            internal::push_changes(self);
        });
    }
}

auto update_store_watch(core& self) -> void {
    const auto now = steady_now();
    if (now - self.m_started < internal::startup_watch_time) {
        return;
    }
    const auto must_watch = fleet::is_watcher(self.m_members, self.m_self, now);
    if (must_watch == self.m_watches_store) {
        return;
    }
    self.m_watches_store = must_watch;
    self.m_events.write("store.watch", {{"watches", must_watch}});
    for (const auto& each : {self.m_operator_follower, self.m_server_follower}) {
        if (must_watch) {
            each->resume();
        } else {
            each->pause();
        }
    }
}

auto full_state(const core& self, const std::uint64_t known_configuration, const bool with_servers)
    -> wire::fleet::State {
    wire::fleet::State out{};
    if (self.m_configuration && self.m_configuration->m_version > known_configuration) {
        out.set_configuration(self.m_configuration->m_source_text);
    }
    add_targets(self, out);
    if (with_servers) {
        for (const auto& [id, row] : self.m_servers.m_rows) {
            internal::add_server(self, id, out);
        }
        for (const auto& [id, version] : self.m_servers.m_removed) {
            internal::add_server(self, id, out);
        }
    }
    const auto now = steady_now();
    for (const auto& [name, row] : self.m_members) {
        if (row.m_listed || now - row.m_last_received < fleet::heartbeat_timeout) {
            to_wire(row.m_member, *out.add_members());
        }
    }
    return out;
}

auto answer_to(const core& self, const wire::fleet::Pull& request) -> wire::fleet::State {
    wire::fleet::State out{};
    if (request.weights_only()) {
        add_targets(self, out);
    } else {
        out = full_state(self, request.configuration(), request.servers());
    }
    out.set_answers(request.number());
    return out;
}

auto accept_state(core& self, const wire::fleet::State& state, const std::string_view source,
                  const std::optional<time_point> requested_at) -> void {
    // Weights are applied first, so that a loader that learns its models starts with the wanted version.
    accept_targets(self, state, source, requested_at);
    if (!state.configuration().empty()) {
        accept_configuration(self, state.configuration(), source);
        apply_held_operator_items(self);
    }
    for (const auto& each : state.servers()) {
        if (!self.m_follows_servers) {
            break;
        }
        if (each.era() == 0U && self.m_store.era() != 0U) {
            continue;
        }
        self.m_store.note_era(each.era());
        const fleet::store_version version{each.era(), each.revision()};
        const auto changed = each.removed() ? fleet::merge_removal(self.m_servers, each.id(), version)
                                            : offer_server(self, from_wire(each), false);
        if (changed) {
            self.m_events.write("server.told",
                                {{"server", each.id()}, {"removed", each.removed()}, {"source", source}});
            self.m_handlers.m_on_server(each.id());
        }
    }
    for (const auto& each : state.members()) {
        update_member(self, from_wire(each), false);
    }
    if (!self.m_follows_servers && state.members_size() > 0) {
        internal::discard_unknown_loaders(self, state);
    }
}

auto on_message(core& self, const std::string_view from, const std::string_view bytes) -> void {
    wire::fleet::Frame frame{};
    const auto parsed = frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!parsed || frame.protocol() != frame_protocol_version) {
        self.m_counters.add("peer_frames_malformed_total");
        return;
    }
    switch (frame.body_case()) {
    case wire::fleet::Frame::kPulse:
        internal::on_pulse(self, from, frame.pulse());
        break;
    case wire::fleet::Frame::kPull:
        internal::on_pull(self, from, frame.pull());
        break;
    case wire::fleet::Frame::kState:
        internal::on_state(self, from, *frame.mutable_state());
        break;
    default:
        self.m_handlers.m_on_frame(from, frame);
    }
}

namespace internal {

namespace {

[[nodiscard]] auto other_seeds(const core& self) -> std::vector<std::string> {
    auto out = self.m_settings.m_seeds;
    std::erase(out, self.m_settings.m_listen.m_control);
    return out;
}

auto ask_next_seed(core& self) -> void;

/*! @brief Asks the next seed at once while operators' keys are held and not all have been asked, otherwise after the
 * interval. */
auto continue_with_seeds(core& self) -> void {
    if (!self.m_applies_operator_items && self.m_seeds_tried < other_seeds(self).size()) {
        self.m_loop.post([&self] { ask_next_seed(self); });
        return;
    }
    apply_held_operator_items(self);
    self.m_loop.after(seed_retry_interval, [&self] { request_seed_state(self); });
}

auto ask_next_seed(core& self) -> void {
    const auto seeds = other_seeds(self);
    const auto seed = net::parse_endpoint(seeds[(self.m_first_seed + self.m_seeds_tried++) % seeds.size()]);
    if (!seed) {
        continue_with_seeds(self);
        return;
    }
    net::call_limits limits{};
    limits.m_total_time = seed_retry_interval;
    limits.m_connect_time = seed_retry_interval;
    limits.m_body_bytes = max_state_bytes;
    net::http_request request{};
    request.m_target = "/state";
    self.m_http.fetch(*seed, std::move(request), limits,
                      [&self, requested_at = boot_now()](const net::call_end&, const net::http_response& response) {
                          constexpr std::uint16_t ok = 200U;
                          wire::fleet::State state{};
                          if (response.m_status == ok && state.ParseFromString(response.m_body)) {
                              self.m_state_received = true;
                              accept_state(self, state, "seed", requested_at);
                          }
                          continue_with_seeds(self);
                      });
}

} // namespace

} // namespace internal

auto request_seed_state(core& self) -> void {
    const auto has_enough_state = self.m_state_received || self.m_seed_requests >= internal::max_seed_requests;
    if (internal::other_seeds(self).empty()) {
        apply_held_operator_items(self);
        return;
    }
    if (self.m_configuration && has_enough_state) {
        return;
    }
    ++self.m_seed_requests;
    internal::ask_next_seed(self);
}

} // namespace rhubarbwharf::node
