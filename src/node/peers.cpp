#include <algorithm>
#include <set>
#include <utility>

#include <fleet.pb.h>
#include <node/boot_clock.hpp>
#include <node/configurations.hpp>
#include <node/contact.hpp>
#include <node/core.hpp>
#include <node/evacuations.hpp>
#include <node/pulse.hpp>
#include <node/store_version.hpp>
#include <node/targets.hpp>
#include <node/traffic.hpp>
#include <node/wire.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Time after the start in which the store's list of gateways decides who watches, as heartbeats may not have
 * arrived yet. */
constexpr duration startup_watch_time = std::chrono::milliseconds{1'500};
/*! @brief Requests to seeds, counted from the start, after which a process that knows the configuration stops. Until
 * then it still requests the state of a seed, which contains the times at which versions were named. */
constexpr unsigned max_seed_requests = 4U;
/*! @brief Longest time for a seed's answer, as long as bytes keep arriving: after a power cut of all, a large
 * configuration crosses links that many processes share, and a call given up halfway is made again. */
constexpr duration max_seed_time = std::chrono::seconds{6};
/*! @brief Delay before the next request to a seed, and longest time without a byte of its answer. */
constexpr duration seed_retry_interval = std::chrono::milliseconds{600};
/*! @brief Bytes of a state: a configuration of at most 1 MiB, and some 300 bytes for each of 2,500 runners and 2,900
 * members, with room for four times as many. */
constexpr std::size_t max_state_bytes = std::size_t{8} * 1024U * 1024U;

namespace {

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

/*! @brief Lists the names of the other members that meet a condition. */
[[nodiscard]] auto list_names(const core& self, const auto& condition) -> std::vector<std::string> {
    std::vector<std::string> out{};
    for (const auto& [name, row] : self.m_members) {
        if (name != self.m_self.m_instance && condition(row)) {
            out.push_back(name);
        }
    }
    return out;
}

} // namespace

} // namespace internal

auto send(core& self, const std::string_view peer, wire::fleet::Frame& frame) -> void {
    frame.set_protocol(frame_protocol_version);
    frame.set_incarnation(self.m_incarnation);
    const auto bytes = frame.SerializeAsString();
    if (self.m_bus.send(peer, bytes) != code::ok) {
        self.m_counters.add("peer_messages_unsent_total");
        return;
    }
    internal::count_sent(self, internal::frame_kind(frame), bytes.size());
}

auto connect_to_gateway(core& self, const std::string_view name) -> void {
    const auto row = self.m_members.find(name);
    if (row != self.m_members.end() && row->second.m_member.is_gateway()) {
        self.m_bus.connect(name, row->second.m_member.m_bus_address);
    }
}

auto send_to(core& self, const std::span<const std::string> peers, wire::fleet::Frame& frame) -> void {
    frame.set_protocol(frame_protocol_version);
    frame.set_incarnation(self.m_incarnation);
    const auto bytes = frame.SerializeAsString();
    const auto kind = internal::frame_kind(frame);
    for (const auto& name : peers) {
        connect_to_gateway(self, name);
        if (self.m_bus.send(name, bytes) != code::ok) {
            self.m_counters.add("peer_messages_unsent_total");
        } else {
            internal::count_sent(self, kind, bytes.size());
        }
    }
}

auto send_to_gateways(core& self, wire::fleet::Frame& frame) -> void {
    send_to(self, internal::list_names(self, [](const auto& row) { return row.m_member.is_gateway(); }), frame);
}

auto send_to_region(core& self, wire::fleet::Frame& frame) -> void {
    const auto is_local_gateway = [&self](const auto& row) {
        return row.m_member.is_gateway() && row.m_member.m_region == self.m_self.m_region;
    };
    send_to(self, internal::list_names(self, is_local_gateway), frame);
}

auto region_of(const core& self, const std::string_view data_centre) -> std::string_view {
    const auto& settings = self.m_settings.m_data_centres;
    const auto named = std::ranges::find(settings, data_centre, &config::data_centre_settings::m_name);
    if (named != settings.end()) {
        return named->m_region;
    }
    const auto found = std::ranges::find_if(
        self.m_members, [data_centre](const auto& each) { return each.second.m_member.m_data_centre == data_centre; });
    return found == self.m_members.end() ? std::string_view{} : found->second.m_member.m_region;
}

auto has_live_regional_gateway(const core& self, const time_point now) -> bool {
    return std::ranges::any_of(self.m_members, [&](const auto& each) {
        const auto& row = each.second;
        return row.m_member.is_gateway() && row.m_member.m_region == self.m_self.m_region &&
               each.first != self.m_self.m_instance && now - row.m_last_received <= fleet::heartbeat_timeout;
    });
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
        // Members of other regions are many; a restart of all would write a line for each in every process.
        self.m_counters.add("members_seen_total");
        if (value.m_region == self.m_self.m_region) {
            self.m_events.write("member.seen", {{"member", value.m_instance}, {"listed", is_listed}});
        }
    }
    row.m_listed = row.m_listed || is_listed;
    // Gateways of a region connect to each other in both directions, to those of other regions when they first send
    // to them. Loaders are reached over the connections that they open.
    if (value.is_gateway()) {
        if (value.m_region == self.m_self.m_region) {
            connect_to_gateway(self, value.m_instance);
        }
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
    add_targets(self, update);
    add_evacuations(self, *update.mutable_evacuations());
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
    if (!must_watch) {
        pause_store_watch(self);
        return;
    }
    self.m_watches_store = true;
    self.m_store_known_until.reset();
    self.m_events.write("store.watch",
                        {{"watches", true}, {"from", static_cast<std::int64_t>(self.m_delivered_version.m_revision)}});
    const auto is_of_era = self.m_delivered_version.m_era == self.m_store.era();
    const auto known = is_of_era ? self.m_delivered_version : fleet::store_version{};
    for (const auto& each : {self.m_operator_follower, self.m_server_follower}) {
        each->resume(known);
    }
    probe_store(self, boot_now());
}

auto pause_store_watch(core& self) -> void {
    self.m_watches_store = false;
    self.m_events.write("store.watch", {{"watches", false}});
    for (const auto& each : {self.m_operator_follower, self.m_server_follower}) {
        each->pause();
    }
}

auto full_state(const core& self, const std::uint64_t known_configuration, const bool with_servers)
    -> wire::fleet::State {
    wire::fleet::State out{};
    if (self.m_configuration && self.m_configuration->m_version > known_configuration) {
        out.set_configuration(self.m_configuration->m_source_text);
    }
    add_targets(self, out);
    add_evacuations(self, *out.mutable_evacuations());
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

auto startup_state(const core& self, const std::string_view region, const bool with_servers) -> wire::fleet::State {
    auto out = full_state(self, 0U, with_servers || region.empty());
    if (region.empty()) {
        return out;
    }
    const auto now = steady_now();
    out.clear_members();
    std::set<std::string_view> other_regions{};
    for (const auto& [name, row] : self.m_members) {
        const auto& member = row.m_member;
        const auto is_known = row.m_listed || now - row.m_last_received < fleet::heartbeat_timeout;
        if (member.m_region != region) {
            other_regions.insert(member.m_region);
        } else if (member.is_gateway() && is_known) {
            to_wire(member, *out.add_members());
        }
    }
    for (const auto other : other_regions) {
        for (const auto* const each : fleet::representatives(self.m_members, other, now)) {
            to_wire(*each, *out.add_members());
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
    accept_evacuations(self, state.evacuations(), source);
    self.m_handlers.m_on_state(source, state);
    if (const auto text = configuration_text(state)) {
        const auto former = self.m_configuration;
        accept_configuration(self, *text, source);
        if (self.m_configuration != former && self.m_follows_servers && !state.compressed_configuration().empty()) {
            self.m_compressed_configuration = {self.m_configuration->m_version, state.compressed_configuration(), {}};
        }
        apply_held_operator_items(self);
    }
    if (state.relayed_configuration() != 0U) {
        offer_configuration(self, source, state.relayed_configuration(), fleet::offer_source::relay);
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
    case wire::fleet::Frame::kStoreVersionRequest:
        internal::on_store_version_request(self, from, frame.store_version_request());
        break;
    case wire::fleet::Frame::kStoreVersion:
        internal::on_store_version(self, frame.store_version());
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
    limits.m_total_time = max_seed_time;
    limits.m_idle_time = seed_retry_interval;
    limits.m_connect_time = seed_retry_interval;
    limits.m_body_bytes = max_state_bytes;
    net::http_request request{};
    // Servers are many; a gateway that reads them from the store asks for them only if that takes long.
    const auto reads_store = self.m_watches_store && self.m_seed_requests <= 1U;
    const auto needs_servers = self.m_follows_servers && self.m_servers.m_rows.empty() && !reads_store;
    request.m_target = "/state?region=" + self.m_self.m_region + "&servers=" + (needs_servers ? "1" : "0") +
                       "&compressed=1" + (self.m_follows_servers ? "&crashes=1" : "");
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
    const auto has_servers = !self.m_follows_servers || !self.m_servers.m_rows.empty();
    const auto has_enough_state =
        (self.m_state_received && has_servers) || self.m_seed_requests >= internal::max_seed_requests;
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
