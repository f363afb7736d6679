#include <algorithm>
#include <limits>
#include <utility>

#include <node/boot_clock.hpp>
#include <node/configurations.hpp>
#include <node/evacuations.hpp>
#include <node/pulse.hpp>
#include <node/targets.hpp>
#include <node/wire.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Requests for a state whose times are kept for their answers: those of a few seconds. */
constexpr std::size_t max_remembered_pulls = 16U;
/*! @brief Minimum time between two requests for a full state, so that one change is not requested from every peer. */
constexpr duration min_pull_interval = std::chrono::milliseconds{250};
/*! @brief Minimum time between two requests for members: while many processes start, each changes the list. */
constexpr duration min_member_pull_interval = std::chrono::seconds{2};
/*! @brief Heartbeats of a gateway for each that it sends to the loaders, if it does not represent its region: loaders
 * only need to know that it lives. */
constexpr std::uint64_t pulses_per_loader_pulse = 3U;

namespace {

/*! @brief Returns a digest of the loaders of the own region that does not depend on their order. */
[[nodiscard]] auto loaders_digest(const core& self) -> std::uint64_t {
    std::uint64_t out{};
    for (const auto& [name, row] : self.m_members) {
        const auto is_local_loader = !row.m_member.is_gateway() && row.m_member.m_region == self.m_self.m_region;
        out += is_local_loader ? std::hash<std::string>{}(name) ^ row.m_member.m_incarnation : 0U;
    }
    return out;
}

[[nodiscard]] auto digests_of_servers(core& self) -> const server_digests& {
    auto& out = self.m_server_digests;
    if (std::exchange(out.m_changes, self.m_servers.m_changes) != self.m_servers.m_changes) {
        out.m_versions = fleet::fingerprint(self.m_servers);
        out.m_revisions = fleet::fingerprint_of_revisions(self.m_servers);
    }
    return out;
}

/*! @brief Versions that a pulse states, and differences from the own state. */
struct peer_status {
    /*! @brief Whether it has a newer configuration, which it sends only as part of its state. */
    bool m_configuration_differs{};
    std::uint64_t m_weights_version_sum{};
    bool m_servers_differ{};
    bool m_members_differ{};
};

[[nodiscard]] auto is_behind(const core& self, const peer_status& status, const time_point now) -> bool {
    const auto members = status.m_members_differ && now - self.m_last_full_pull >= min_member_pull_interval;
    const auto newer = status.m_configuration_differs && may_request_configuration(self, self.m_last_full_pull, now);
    return newer || status.m_weights_version_sum > weights_version_sum(self) || status.m_servers_differ || members;
}

/*! @brief Checks whether a gateway of the own region has reported the same differing set of backend servers twice in
 * a row. */
[[nodiscard]] auto servers_differ(core& self, fleet::member_observation& row, const wire::fleet::Pulse& message)
    -> bool {
    const auto states_era = message.store_era() != 0U;
    if (!states_era && self.m_store.era() != 0U) {
        return false;
    }
    const auto& digests = digests_of_servers(self);
    const auto fingerprint = states_era ? message.server_versions() : message.servers();
    const auto own = states_era ? digests.m_versions : digests.m_revisions;
    const auto is_stable = row.m_servers_fingerprint == fingerprint;
    row.m_servers_fingerprint = fingerprint;
    const auto is_local = row.m_member.m_region == self.m_self.m_region;
    return self.m_follows_servers && is_local && is_stable && fingerprint != own;
}

/*! @brief Returns the version up to which the list of backend servers is known. */
[[nodiscard]] auto known_server_version(const core& self) -> fleet::store_version {
    const auto followed = self.m_server_follower ? self.m_server_follower->version() : fleet::store_version{};
    return std::max(self.m_servers.m_version, followed);
}

/*! @brief Replaces the watch of the backend servers if a peer knows what it should have delivered: its response may be
 * lost, and nothing else shows it if no other call was affected. */
auto check_server_watch(core& self, const wire::fleet::Pulse& message, const time_point now) -> void {
    const auto follows_same_era = message.store_era() == self.m_store.era();
    if (!self.m_watches_store || !self.m_server_follower || !follows_same_era) {
        return;
    }
    const fleet::store_version told{message.store_era(), message.server_revision()};
    if (fleet::note_told_version(self.m_missed_version, known_server_version(self), told, now)) {
        self.m_server_follower->replace_watch(now, revision_watch_timeout);
    }
}

/*! @brief Returns the revision up to which this process has received and applied all changes of the store; 0 if it does
 * not watch, or still holds back some of them. */
[[nodiscard]] auto delivered_revision(const core& self) -> std::uint64_t {
    const auto recovery_began = std::max(self.m_store_reachable_since, self.m_store_era_since);
    const auto is_recovering = steady_now() - recovery_began < store_recovery_window;
    const auto holds_changes = is_recovering || !self.m_pending_removals.empty() || !self.m_held_servers.empty() ||
                               !self.m_applies_operator_items;
    const auto& account = self.m_change_account.m_known;
    return self.m_watches_store && !holds_changes && account.m_era == self.m_store.era() ? account.m_revision : 0U;
}

/*! @brief Notes up to which version a watcher of the region has received all changes, if this process knows what it
 * knows. */
auto note_delivered_revision(core& self, const wire::fleet::Pulse& message) -> void {
    const auto is_of_era = message.store_era() == self.m_store.era();
    const auto knows_the_same = message.configuration() <= configuration_version(self) &&
                                message.weights() == weights_version_sum(self) &&
                                message.server_versions() == digests_of_servers(self).m_versions;
    if (message.delivered_revision() != 0U && is_of_era && knows_the_same) {
        self.m_delivered_version =
            std::max(self.m_delivered_version, fleet::store_version{message.store_era(), message.delivered_revision()});
    }
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

[[nodiscard]] auto age_ms(const time_point since, const time_point now) -> std::uint32_t {
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - since).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
}

auto add_server_limits(const core& self, const time_point now, wire::fleet::Pulse& out) -> void {
    for (const auto& [id, limit] : self.m_server_limits) {
        const auto row = self.m_servers.m_rows.find(id);
        const auto is_listed = row != self.m_servers.m_rows.end() && row->second.m_started_ms == limit.m_started_ms;
        if (is_listed && fleet::is_told(limit, now)) {
            auto* const added = out.add_server_limits();
            added->set_id(id);
            added->set_started(limit.m_started_ms);
            added->set_per_s(limit.m_per_s);
            added->set_age_ms(age_ms(limit.m_as_of, now));
        }
    }
}

auto accept_server_limits(core& self, const std::string_view from, const wire::fleet::Pulse& message) -> void {
    if (!self.m_follows_servers || message.server_limits().empty()) {
        return;
    }
    const auto arrived = arrival_now(self).m_earliest;
    for (const auto& each : message.server_limits()) {
        if (each.per_s() >= 0.0) {
            const auto as_of = arrived - std::chrono::milliseconds{each.age_ms()};
            accept_server_limit(self, each.id(), {each.started(), each.per_s(), as_of}, from);
        }
    }
}

auto status_to_wire(const std::string_view region, const fleet::region_status& status, const time_point now,
                    wire::fleet::RegionStatus& out) -> void {
    out.set_region(std::string{region});
    out.set_age_ms(age_ms(status.m_measured_at, now));
    for (const auto& each : status.m_data_centres) {
        auto* const row = out.add_data_centres();
        row->set_data_centre(each.m_data_centre);
        row->set_gateways(static_cast<std::uint32_t>(each.m_gateways));
        row->set_demand(each.m_demand_per_s);
    }
}

auto merge_regions(core& self, const wire::fleet::Pulse& message, const time_point now) -> void {
    for (const auto& each : message.regions()) {
        if (each.region() == self.m_self.m_region) {
            continue;
        }
        fleet::region_status status{};
        status.m_measured_at = now - std::chrono::milliseconds{each.age_ms()};
        for (const auto& row : each.data_centres()) {
            status.m_data_centres.push_back({row.data_centre(), row.gateways(), row.demand()});
        }
        fleet::merge_region(self.m_regions, each.region(), std::move(status));
    }
}

/*! @brief Notes the gateways of other regions that a gateway of the own region has heard.
 * @return Whether one of them is not known. */
[[nodiscard]] auto note_heard(core& self, const wire::fleet::Pulse& message, const time_point now) -> bool {
    auto any_unknown = false;
    for (const auto& each : message.heard()) {
        const auto heard_at = now - std::chrono::milliseconds{each.age_ms()};
        const auto is_known = fleet::merge_heard(self.m_members, {each.instance(), each.incarnation(), heard_at});
        any_unknown = any_unknown || !is_known;
    }
    return any_unknown;
}

/*! @brief Records how the sender of a heartbeat is, and what it has heard of others.
 * @return What it knows that this process may lack. */
[[nodiscard]] auto note_sender(core& self, const std::string_view from, const wire::fleet::Pulse& message,
                               const time_point now) -> peer_status {
    auto& row = self.m_members[std::string{from}];
    row.m_last_received = now;
    row.m_last_heard = now;
    row.m_ready = message.ready();
    row.m_leaving = message.leaving();
    const auto has_lost_store = std::exchange(row.m_reaches_store, message.reaches_store()) && !row.m_reaches_store;
    row.m_demand_per_s = message.demand();
    row.m_store_era = message.store_era();
    merge_regions(self, message, now);
    const auto is_local = row.m_member.m_region == self.m_self.m_region;
    if (has_lost_store && is_local && self.m_follows_servers) {
        update_store_watch(self);
    }
    const auto has_unknown = is_local && self.m_follows_servers && note_heard(self, message, now);
    const auto loaders_differ = !self.m_follows_servers && message.loaders() != loaders_digest(self);
    const auto has_newer_configuration = message.configuration() > configuration_version(self);
    return {has_newer_configuration && sends_configuration_in_state(self, from), message.weights(),
            servers_differ(self, row, message), has_unknown || loaders_differ};
}

/*! @brief Counts a request for a state by what it is for. */
auto count_request(core& self, const peer_status& status, const bool is_behind) -> void {
    const auto* const reason = !is_behind                       ? "confirmation"
                               : status.m_configuration_differs ? "configuration"
                               : status.m_servers_differ        ? "servers"
                               : status.m_members_differ        ? "members"
                                                                : "weights";
    self.m_counters.add("state_requests_total", 1.0, reason);
}

auto request_state(core& self, const std::string_view from, const peer_status& status, const bool is_behind,
                   const time_point now) -> void {
    self.m_last_state_pull = now;
    self.m_last_full_pull = is_behind ? now : self.m_last_full_pull;
    self.m_state_pull_times.emplace(++self.m_state_pulls, boot_now());
    if (self.m_state_pull_times.size() > max_remembered_pulls) {
        self.m_state_pull_times.erase(self.m_state_pull_times.begin());
    }
    const auto needs_servers = status.m_servers_differ || self.m_servers.m_rows.empty();
    count_request(self, status, is_behind);
    wire::fleet::Frame request{};
    // A configuration that the peer gives by itself is left out of its state.
    const auto known =
        status.m_configuration_differs ? configuration_version(self) : std::numeric_limits<std::uint64_t>::max();
    request.mutable_pull()->set_configuration(known);
    request.mutable_pull()->set_servers(is_behind && self.m_follows_servers && needs_servers);
    request.mutable_pull()->set_number(self.m_state_pulls);
    request.mutable_pull()->set_weights_only(!is_behind);
    send(self, from, request);
}

/*! @brief Asks a gateway of another region for the times at which versions were named, if they are not confirmed. A
 * gateway that does not represent its region receives no heartbeat that would make it ask. */
auto confirm_with_other_region(core& self, const time_point now) -> void {
    std::vector<std::string_view> names{};
    for (const auto& [name, row] : self.m_members) {
        const auto is_remote = row.m_member.is_gateway() && row.m_member.m_region != self.m_self.m_region;
        if (is_remote && now - row.m_last_received <= fleet::heartbeat_timeout) {
            names.push_back(name);
        }
    }
    if (names.empty() || now - self.m_last_state_pull < min_pull_interval) {
        return;
    }
    const auto name = names[self.m_random() % names.size()];
    if (request_confirmation(self, self.m_members.find(name)->second.m_member.m_region, now)) {
        connect_to_gateway(self, name);
        request_state(self, name, {}, false, now);
    }
}

auto note_own_state(core& self, const time_point now) -> void {
    auto& own = self.m_members[self.m_self.m_instance];
    own.m_last_received = now;
    own.m_ready = self.m_ready;
    own.m_leaving = self.m_leaving;
    own.m_reaches_store = self.m_store_reachable && !self.m_store_doubted;
    own.m_demand_per_s = self.m_demand;
    own.m_store_era = self.m_store.era();
}

auto fill_pulse(core& self, wire::fleet::Pulse& message) -> void {
    to_wire(self.m_self, *message.mutable_self());
    message.set_ready(self.m_ready);
    message.set_leaving(self.m_leaving);
    message.set_demand(self.m_demand);
    message.set_configuration(configuration_version(self));
    message.set_weights(weights_version_sum(self));
    message.set_servers(digests_of_servers(self).m_revisions);
    message.set_server_revision(self.m_servers.m_version.m_revision);
    message.set_server_versions(digests_of_servers(self).m_versions);
    message.set_store_era(self.m_store.era());
    message.set_reaches_store(self.m_store_reachable && !self.m_store_doubted);
    message.set_delivered_revision(delivered_revision(self));
    message.set_loaders(loaders_digest(self));
    add_leaving_servers(self, message);
    add_server_limits(self, steady_now(), message);
    add_evacuations(self, *message.mutable_evacuations());
}

/*! @brief Adds what this gateway has heard of other regions, for its own. */
auto add_remote_state(const core& self, const time_point now, wire::fleet::Pulse& message) -> void {
    for (const auto& each : fleet::list_heard(self.m_members, self.m_self.m_region, now)) {
        auto* const heard = message.add_heard();
        heard->set_instance(each.m_instance);
        heard->set_incarnation(each.m_incarnation);
        heard->set_age_ms(age_ms(each.m_last_heard, now));
    }
    for (const auto& [region, status] : self.m_regions) {
        if (now - status.m_measured_at <= fleet::region_status_timeout) {
            status_to_wire(region, status, now, *message.add_regions());
        }
    }
}

auto send_to_loaders(core& self, wire::fleet::Frame& frame) -> void {
    std::vector<std::string> names{};
    for (const auto& [name, row] : self.m_members) {
        if (!row.m_member.is_gateway() && row.m_member.m_data_centre == self.m_self.m_data_centre) {
            names.push_back(name);
        }
    }
    send_to(self, names, frame);
}

} // namespace

auto weights_version_sum(const core& self) -> std::uint64_t {
    std::uint64_t sum{};
    for (const auto& each : self.m_weights_targets) {
        sum += each.m_version;
    }
    return sum;
}

auto configuration_version(const core& self) -> std::uint64_t {
    return self.m_configuration ? self.m_configuration->m_version : 0U;
}

auto on_pulse(core& self, const std::string_view from, const wire::fleet::Pulse& message) -> void {
    update_member(self, from_wire(message.self()), false);
    const auto now = steady_now();
    self.m_store.note_era(message.store_era());
    for (const auto& each : message.leaving_servers()) {
        mark_server_leaving(self, each.id(), from_wire(each), from);
    }
    accept_server_limits(self, from, message);
    accept_evacuations(self, message.evacuations(), from);
    const auto status = note_sender(self, from, message, now);
    const auto is_regional = message.self().region() == self.m_self.m_region;
    offer_configuration(self, from, message.configuration(),
                        is_regional ? fleet::offer_source::region : fleet::offer_source::other_region);
    check_server_watch(self, message, now);
    if (is_regional && self.m_follows_servers) {
        note_delivered_revision(self, message);
    }
    if (now - self.m_last_state_pull < min_pull_interval) {
        return;
    }
    const auto behind = is_behind(self, status, now);
    if (behind || request_confirmation(self, message.self().region(), now)) {
        request_state(self, from, status, behind, now);
    }
}

} // namespace internal

auto send_pulse(core& self) -> void {
    const auto now = steady_now();
    internal::note_own_state(self, now);
    wire::fleet::Frame frame{};
    internal::fill_pulse(self, *frame.mutable_pulse());
    const auto is_representative = fleet::is_representative(self.m_members, self.m_self, now);
    if (is_representative || self.m_leaving || self.m_pulses_sent % internal::pulses_per_loader_pulse == 0U) {
        internal::send_to_loaders(self, frame);
    }
    if (is_representative) {
        auto to_others = frame;
        const auto own_region = fleet::measure_region(self.m_members, self.m_self.m_region, now);
        internal::status_to_wire(self.m_self.m_region, own_region, now, *to_others.mutable_pulse()->add_regions());
        send_to(self, fleet::remote_heartbeat_targets(self.m_members, self.m_self, self.m_random(), now), to_others);
    } else {
        internal::confirm_with_other_region(self, now);
    }
    internal::add_remote_state(self, now, *frame.mutable_pulse());
    send_to_region(self, frame);
    ++self.m_pulses_sent;
    for (const auto& name : fleet::evict_expired_members(self.m_members, self.m_self.m_region, now)) {
        self.m_bus.disconnect(name);
    }
}

} // namespace rhubarbwharf::node
