#include <algorithm>
#include <utility>

#include <fleet.pb.h>
#include <node/core.hpp>
#include <node/wire.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Least time between two requests for a whole state, so that one change is not asked of every peer. */
constexpr duration pull_pause = std::chrono::milliseconds{250};
/*! @brief Time after the start in which every gateway watches the store, until it has heard of the others. */
constexpr duration settle_time = std::chrono::milliseconds{1'500};
/*! @brief Least time between two configurations that a loader takes over from a gateway. */
constexpr duration loader_pause = std::chrono::seconds{10};
/*! @brief Questions to seeds by a process that knows the configuration already, but not since when. */
constexpr unsigned most_seed_calls = 4U;
/*! @brief Pause before the seeds are asked again. */
constexpr duration seed_pause = std::chrono::milliseconds{600};

namespace {

[[nodiscard]] auto sum_of_targets(const core& self) -> std::uint64_t {
    std::uint64_t sum{};
    for (const auto& each : self.m_targets) {
        sum += each.m_version;
    }
    return sum;
}

[[nodiscard]] auto configuration_version(const core& self) -> std::uint64_t {
    return self.m_configuration ? self.m_configuration->m_version : 0U;
}

/*! @brief Digests the loaders that are known, whatever their order. */
[[nodiscard]] auto loaders_digest(const core& self) -> std::uint64_t {
    std::uint64_t out{};
    for (const auto& [name, row] : self.m_members) {
        out += row.m_member.is_gateway() ? 0U : std::hash<std::string>{}(name) ^ row.m_member.m_incarnation;
    }
    return out;
}

/*! @brief What a pulse tells beyond the sender's own state. */
struct sighting_news {
    std::uint64_t m_configuration{};
    std::uint64_t m_weights{};
    bool m_servers_differ{};
    bool m_loaders_differ{};
};

[[nodiscard]] auto is_behind(const core& self, const sighting_news& news, const time_point now) -> bool {
    // A loader takes configurations over at leisure; what it needs of them seldom changes.
    const auto leisure = self.m_configuration && !self.m_follows_servers && now - self.m_pulled < loader_pause;
    const auto newer = news.m_configuration > configuration_version(self) && !leisure;
    return newer || news.m_weights > sum_of_targets(self) || news.m_servers_differ || news.m_loaders_differ;
}

/*! @brief Tells whether a gateway of the own region has known other backend servers for a while. */
[[nodiscard]] auto servers_differ(core& self, fleet::sighting& row, const std::uint64_t told) -> bool {
    const auto settled = row.m_servers == told;
    row.m_servers = told;
    const auto near = row.m_member.m_region == self.m_self.m_region;
    return self.m_follows_servers && near && settled && told != fleet::fingerprint(self.m_servers);
}

auto on_pulse(core& self, const std::string_view from, const wire::fleet::Pulse& news) -> void {
    note_member(self, from_wire(news.self()), false);
    const auto now = steady_now();
    auto& row = self.m_members[std::string{from}];
    row.m_heard = now;
    row.m_ready = news.ready();
    row.m_leaving = news.leaving();
    row.m_reaches_store = news.reaches_store();
    row.m_demand = news.demand();
    const auto loaders_differ = !self.m_follows_servers && news.loaders() != loaders_digest(self);
    const sighting_news told{news.configuration(), news.weights(), servers_differ(self, row, news.servers()),
                             loaders_differ};
    if (!is_behind(self, told, now) || now - self.m_pulled < pull_pause) {
        return;
    }
    self.m_pulled = now;
    wire::fleet::Frame ask{};
    ask.mutable_pull()->set_configuration(configuration_version(self));
    ask.mutable_pull()->set_servers(self.m_follows_servers);
    send(self, from, ask);
}

auto on_pull(core& self, const std::string_view from, const wire::fleet::Pull& ask) -> void {
    wire::fleet::Frame answer{};
    *answer.mutable_state() = whole_state(self, ask.configuration(), ask.servers());
    send(self, from, answer);
}

} // namespace

} // namespace internal

auto send(core& self, const std::string_view peer, wire::fleet::Frame& frame) -> void {
    frame.set_protocol(frame_protocol);
    frame.set_incarnation(self.m_incarnation);
    if (self.m_bus.send(peer, frame.SerializeAsString()) != code::ok) {
        self.m_counters.add("peer_messages_unsent_total");
    }
}

auto send_to_gateways(core& self, wire::fleet::Frame& frame) -> void {
    frame.set_protocol(frame_protocol);
    frame.set_incarnation(self.m_incarnation);
    const auto bytes = frame.SerializeAsString();
    for (const auto& [name, row] : self.m_members) {
        const auto wanted = row.m_member.is_gateway() && name != self.m_self.m_instance;
        if (wanted && self.m_bus.send(name, bytes) != code::ok) {
            self.m_counters.add("peer_messages_unsent_total");
        }
    }
}

auto pulse(core& self) -> void {
    auto& own = self.m_members[self.m_self.m_instance];
    own.m_heard = steady_now();
    own.m_ready = self.m_ready;
    own.m_leaving = self.m_leaving;
    own.m_reaches_store = self.m_store_there;
    own.m_demand = self.m_demand;
    wire::fleet::Frame frame{};
    auto& news = *frame.mutable_pulse();
    to_wire(self.m_self, *news.mutable_self());
    news.set_ready(self.m_ready);
    news.set_leaving(self.m_leaving);
    news.set_demand(self.m_demand);
    news.set_configuration(internal::configuration_version(self));
    news.set_weights(internal::sum_of_targets(self));
    news.set_servers(fleet::fingerprint(self.m_servers));
    news.set_reaches_store(self.m_store_there);
    news.set_loaders(internal::loaders_digest(self));
    send_to_gateways(self, frame);
    const auto bytes = frame.SerializeAsString();
    for (const auto& [name, row] : self.m_members) {
        const auto nearby = !row.m_member.is_gateway() && row.m_member.m_data_centre == self.m_self.m_data_centre;
        if (nearby && self.m_bus.send(name, bytes) != code::ok) {
            self.m_counters.add("peer_messages_unsent_total");
        }
    }
    for (const auto& name : fleet::sweep(self.m_members, steady_now())) {
        self.m_bus.disconnect(name);
    }
}

auto note_member(core& self, const fleet::member& value, const bool is_listed) -> void {
    if (value.m_instance.empty() || value.m_instance == self.m_self.m_instance) {
        return;
    }
    auto& row = self.m_members[value.m_instance];
    const auto is_new = row.m_member.m_incarnation != value.m_incarnation;
    if (is_new) {
        row.m_member = value;
        row.m_leaving = false;
        row.m_ready = true;
        row.m_heard = is_listed ? steady_now() : row.m_heard;
        self.m_events.write("member.seen", {{"member", value.m_instance}, {"listed", is_listed}});
    }
    row.m_listed = row.m_listed || is_listed;
    // Each pair of gateways needs one connection each way; a loader is reached over the one that it made.
    if (value.is_gateway()) {
        self.m_bus.connect(value.m_instance, value.m_bus);
    }
}

namespace internal {

namespace {

auto add_targets(const core& self, wire::fleet::State& out) -> void {
    const auto now = steady_now();
    for (const auto& each : self.m_targets) {
        auto* const made = out.add_weights();
        made->set_model(each.m_model);
        made->set_version(each.m_version);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - each.m_learned);
        made->set_age_ms(static_cast<std::uint64_t>(age.count()));
        made->set_exact(each.m_exact);
    }
}

auto add_server(const core& self, const std::string& id, wire::fleet::State& out) -> void {
    if (const auto row = self.m_servers.m_rows.find(id); row != self.m_servers.m_rows.end()) {
        to_wire(row->second, *out.add_servers());
    } else if (const auto gone = self.m_servers.m_removed.find(id); gone != self.m_servers.m_removed.end()) {
        auto* const made = out.add_servers();
        made->set_id(id);
        made->set_revision(gone->second);
        made->set_removed(true);
    }
}

/*! @brief Tells the loaders of the region of new weights at once; all else they can wait for. */
auto tell_loaders(core& self, const wire::fleet::State& news) -> void {
    const auto sum = sum_of_targets(self);
    if (std::exchange(self.m_told_weights, sum) == sum) {
        return;
    }
    wire::fleet::Frame frame{};
    *frame.mutable_state()->mutable_weights() = news.weights();
    for (const auto& [name, row] : self.m_members) {
        if (!row.m_member.is_gateway() && row.m_member.m_region == self.m_self.m_region) {
            send(self, name, frame);
        }
    }
}

/*! @brief Forgets loaders that a gateway no longer knows: loaders do not hear each other. */
auto forget_loaders(core& self, const wire::fleet::State& state) -> void {
    std::set<std::string, std::less<>> known{self.m_self.m_instance};
    for (const auto& each : state.members()) {
        known.insert(each.instance());
    }
    std::erase_if(self.m_members,
                  [&](const auto& each) { return !each.second.m_member.is_gateway() && !known.contains(each.first); });
}

auto push(core& self) -> void {
    wire::fleet::Frame frame{};
    auto& news = *frame.mutable_state();
    const auto version = configuration_version(self);
    if (version > std::exchange(self.m_told_configuration, version)) {
        news.set_configuration(self.m_configuration->m_text);
    }
    add_targets(self, news);
    for (const auto& id : std::exchange(self.m_changed, {})) {
        add_server(self, id, news);
    }
    for (const auto& [name, row] : self.m_members) {
        const auto near = row.m_member.is_gateway() && row.m_member.m_region == self.m_self.m_region;
        if (near && name != self.m_self.m_instance) {
            send(self, name, frame);
        }
    }
    tell_loaders(self, news);
}

} // namespace

} // namespace internal

auto pass_on(core& self, const std::string& server) -> void {
    if (!self.m_follows_servers || !self.m_watching) {
        return;
    }
    if (!server.empty()) {
        self.m_changed.insert(server);
    }
    if (!std::exchange(self.m_push_armed, true)) {
        self.m_loop.post([&self] {
            self.m_push_armed = false;
            internal::push(self);
        });
    }
}

auto review_watch(core& self) -> void {
    const auto now = steady_now();
    if (now - self.m_started < internal::settle_time) {
        return;
    }
    const auto watches = fleet::is_watcher(self.m_members, self.m_self, now);
    if (watches == self.m_watching) {
        return;
    }
    self.m_watching = watches;
    self.m_events.write("store.watch", {{"watches", watches}});
    for (const auto& each : {self.m_operators, self.m_server_entries}) {
        if (watches) {
            each->resume();
        } else {
            each->pause();
        }
    }
}

auto whole_state(const core& self, const std::uint64_t has_configuration, const bool with_servers)
    -> wire::fleet::State {
    wire::fleet::State out{};
    if (self.m_configuration && self.m_configuration->m_version > has_configuration) {
        out.set_configuration(self.m_configuration->m_text);
    }
    internal::add_targets(self, out);
    if (with_servers) {
        for (const auto& [id, row] : self.m_servers.m_rows) {
            internal::add_server(self, id, out);
        }
        for (const auto& [id, revision] : self.m_servers.m_removed) {
            internal::add_server(self, id, out);
        }
    }
    const auto now = steady_now();
    for (const auto& [name, row] : self.m_members) {
        if (row.m_listed || now - row.m_heard < fleet::silent_time) {
            to_wire(row.m_member, *out.add_members());
        }
    }
    return out;
}

auto accept_state(core& self, const wire::fleet::State& state, const std::string_view source) -> void {
    // Weights first: a loader that learns its models begins with the version wanted, not with one before it.
    const auto now = steady_now();
    for (const auto& each : state.weights()) {
        const auto age = std::chrono::milliseconds{each.age_ms()};
        accept_target(self, {each.model(), each.version(), now - age, each.exact()}, source);
    }
    if (!state.configuration().empty()) {
        accept_configuration(self, state.configuration(), source);
    }
    for (const auto& each : state.servers()) {
        if (!self.m_follows_servers) {
            break;
        }
        const auto changed = each.removed() ? fleet::remove(self.m_servers, each.id(), each.revision())
                                            : fleet::put(self.m_servers, from_wire(each));
        if (changed) {
            self.m_events.write("server.told",
                                {{"server", each.id()}, {"removed", each.removed()}, {"source", source}});
            self.m_handlers.m_on_server(each.id());
        }
    }
    for (const auto& each : state.members()) {
        note_member(self, from_wire(each), false);
    }
    if (!self.m_follows_servers && state.members_size() > 0) {
        internal::forget_loaders(self, state);
    }
}

auto on_message(core& self, const std::string_view from, const std::string_view bytes) -> void {
    wire::fleet::Frame frame{};
    const auto read = frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!read || frame.protocol() != frame_protocol) {
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
        accept_state(self, frame.state(), from);
        break;
    default:
        self.m_handlers.m_on_frame(from, frame);
    }
}

auto ask_seeds(core& self) -> void {
    const auto enough = self.m_state_told || self.m_seed_calls >= internal::most_seed_calls;
    auto seeds = self.m_settings.m_seeds;
    std::erase(seeds, self.m_settings.m_listen.m_control);
    if ((self.m_configuration && enough) || seeds.empty()) {
        return;
    }
    ++self.m_seed_calls;
    const auto seed = net::parse_endpoint(seeds[self.m_random() % seeds.size()]);
    const auto again = [&self] {
        self.m_loop.after(internal::seed_pause, [&self] { ask_seeds(self); });
    };
    if (!seed) {
        again();
        return;
    }
    net::call_limits limits{};
    limits.m_total_time = internal::seed_pause;
    limits.m_connect_time = internal::seed_pause;
    net::http_request ask{};
    ask.m_target = "/state";
    self.m_http.fetch(*seed, std::move(ask), limits,
                      [&self, again](const net::call_end&, const net::http_response& got) {
                          constexpr std::uint16_t ok = 200U;
                          wire::fleet::State state{};
                          if (got.m_status == ok && state.ParseFromString(got.m_body)) {
                              self.m_state_told = true;
                              accept_state(self, state, "seed");
                          }
                          again();
                      });
}

} // namespace rhubarbwharf::node
