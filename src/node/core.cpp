#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

#include <node/boot_clock.hpp>
#include <node/configurations.hpp>
#include <node/contact.hpp>
#include <node/core.hpp>
#include <node/evacuations.hpp>
#include <node/store_version.hpp>
#include <node/traffic.hpp>
#include <platform/decode.hpp>
#include <platform/encode.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/setup/settings.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Batch delay for changes of backend servers: a quarter of the time within which a draining server must get no
 * new requests. */
constexpr duration server_batch_delay = std::chrono::milliseconds{500};
/*! @brief Assumed time of keys that were written before this process started. */
constexpr time_point distant_past{duration{1}};
/*! @brief Interval between checks whether the store has to be read directly. */
constexpr duration store_fallback_interval = std::chrono::milliseconds{2'000};
/*! @brief Capacity of the send queue of one peer: a few seconds of pulses and reports. */
constexpr int max_queued_messages = 256;
constexpr duration bus_heartbeat_interval = std::chrono::seconds{2};
/*! @brief Longest delay of the first watch of the store. It begins once a process has registered and knows that no
 * other one watches; where all start at once, that takes longer than a listing. */
constexpr duration max_first_watch_delay = std::chrono::seconds{1};
/*! @brief Mean delay between two reads of the list of gateways at the start while the store does not answer. */
constexpr duration first_read_retry_delay = std::chrono::milliseconds{800};
/*! @brief Longest time for which operators' keys are held at the start. */
constexpr duration startup_hold_time = std::chrono::milliseconds{1'200};
/*! @brief Time over which gateways register again in a new era: each writes twice, and the store limits the writes of
 * all of them together. */
constexpr duration gateway_registration_spread = std::chrono::seconds{4};

namespace {

[[nodiscard]] auto endpoint_or_empty(const std::string& text) -> net::endpoint {
    return net::parse_endpoint(text).value_or(net::endpoint{});
}

[[nodiscard]] auto bus_limits() -> net::bus_limits {
    net::bus_limits out{};
    out.m_queue_messages = max_queued_messages;
    out.m_heartbeat = bus_heartbeat_interval;
    return out;
}

[[nodiscard]] auto make_own_member(const config::node_settings& settings, const std::uint64_t incarnation)
    -> fleet::member {
    fleet::member out{};
    out.m_instance = settings.m_instance;
    out.m_region = settings.m_region;
    out.m_data_centre = settings.m_data_centre;
    out.m_incarnation = incarnation;
    out.m_caller_address = endpoint_or_empty(settings.m_listen.m_callers);
    out.m_bus_address = endpoint_or_empty(settings.m_listen.m_bus);
    out.m_bulk_address = endpoint_or_empty(settings.m_listen.m_bulk);
    out.m_service = settings.m_runner.m_service;
    return out;
}

/*! @brief Asks the seeds for the state, once; for a loader that found no gateway in the store. */
auto ask_seeds(core& self) -> void {
    if (self.m_seeds_tried == 0U) {
        request_seed_state(self);
    }
}

/*! @brief Applies a key written by an operator, or holds it at the start. @param written When it was written. */
auto on_operator_item(core& self, const adapter::key_value& item, const fleet::arrival_time& written) -> void {
    const auto is_evacuation = item.m_key.starts_with(adapter::key::evacuations);
    if (item.m_removed && !is_evacuation) {
        return;
    }
    if (!self.m_applies_operator_items) {
        self.m_held_operator_items.push_back({item, written});
        return;
    }
    if (is_evacuation) {
        on_evacuation_item(self, item);
    } else if (item.m_key == adapter::key::configuration) {
        accept_configuration(self, item.m_value, "store");
    } else if (item.m_key.starts_with(adapter::key::weights_targets)) {
        if (auto target = adapter::decode_weights_target(item.m_value)) {
            // Operators write a version again if the store has lost it; its time limit began with the first write.
            const auto is_repeated = target->m_version <= wanted_version(self, target->m_model);
            target->m_written_at = written.m_earliest;
            target->m_has_exact_write_time = written.m_is_exact && !is_repeated;
            accept_weights_target(self, std::move(*target), "store");
            schedule_push(self, {});
        }
    }
}

[[nodiscard]] auto server_id_of(const std::string& key) -> std::string {
    return key.substr(adapter::key::servers.size());
}

/*! @brief Applies the entry of a backend server. @param is_new_write Whether it has just been written. */
auto on_server_item(core& self, const adapter::key_value& item, const bool is_new_write) -> void {
    const auto id = server_id_of(item.m_key);
    if (item.m_removed) {
        handle_server_removal(self, id, item.m_version);
        return;
    }
    auto server = adapter::decode_server(id, item.m_value, item.m_version);
    if (!server) {
        self.m_events.write("server.malformed",
                            {{"server", id}, {"revision", static_cast<std::int64_t>(item.m_version.m_revision)}});
        handle_server_removal(self, id, item.m_version);
        return;
    }
    const auto draining = server->m_draining;
    if (offer_server(self, *server, is_new_write)) {
        self.m_events.write("server.entry", {{"server", id},
                                             {"draining", draining},
                                             {"revision", static_cast<std::int64_t>(item.m_version.m_revision)}});
        self.m_handlers.m_on_server(id);
        schedule_push(self, id);
    }
}

auto on_server_list(core& self, const std::vector<adapter::key_value>& items, const fleet::store_version version)
    -> void {
    std::set<std::string, std::less<>> listed_ids{};
    for (const auto& each : items) {
        listed_ids.insert(server_id_of(each.m_key));
        on_server_item(self, each, false);
    }
    if (self.m_held_servers.empty()) {
        fleet::note_listing(self.m_servers, version);
    }
    for (const auto& id : fleet::missing_entries(self.m_servers, listed_ids, version)) {
        handle_server_removal(self, id, version);
    }
}

auto on_member_item(core& self, const adapter::key_value& item) -> void {
    if (!item.m_removed) {
        if (const auto registered = adapter::decode_member(item.m_value)) {
            update_member(self, *registered, true);
        }
        return;
    }
    const auto name = item.m_key.substr(item.m_key.rfind('/') + 1U);
    if (const auto found = self.m_members.find(name); found != self.m_members.end()) {
        found->second.m_listed = false;
    }
}

auto on_member_list(core& self, const std::vector<adapter::key_value>& items) -> void {
    for (auto& [name, row] : self.m_members) {
        row.m_listed = name == self.m_self.m_instance;
    }
    for (const auto& each : items) {
        on_member_item(self, each);
    }
}

[[nodiscard]] auto value_bytes(const std::vector<adapter::key_value>& items) -> std::size_t {
    return std::accumulate(items.begin(), items.end(), std::size_t{0},
                           [](const std::size_t sum, const auto& each) { return sum + each.m_value.size(); });
}

/*! @brief Creates a follower whose callbacks refer to the core, which must outlive it. */
[[nodiscard]] auto make_follower(core& self, const std::string_view prefix, const duration batch_delay,
                                 std::function<void(std::vector<adapter::key_value>, fleet::store_version)> on_list,
                                 std::function<void(adapter::key_value)> on_change) -> std::shared_ptr<follower> {
    follower_handlers handlers{};
    handlers.m_on_list = [&self, prefix, on_list = std::move(on_list)](std::vector<adapter::key_value> items,
                                                                       const fleet::store_version version) {
        count_read(self, prefix, value_bytes(items));
        on_list(std::move(items), version);
    };
    handlers.m_on_change = std::move(on_change);
    handlers.m_on_reachability = [&self, prefix](const bool reachable) {
        note_reachability(self, prefix, reachable);
    };
    handlers.m_arrival = [&self] {
        return arrival_now(self);
    };
    handlers.m_on_watch_replaced = [&self, prefix](const duration age) {
        self.m_events.write(
            "store.watch_replaced",
            {{"prefix", prefix}, {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()}});
        self.m_counters.add("store_watches_replaced_total", 1.0, prefix);
    };
    handlers.m_on_delivery = [&self, prefix](const adapter::page& page) {
        count_read(self, prefix, value_bytes(page.m_items));
        for (const auto& each : page.m_items) {
            fleet::add_delivered(self.m_change_account, std::array{each.m_version.m_revision});
        }
        note_store_version(self, page.m_version, std::nullopt);
    };
    const auto watch_timeout = std::chrono::milliseconds{self.m_settings.m_store.m_watch_ms};
    return std::make_shared<follower>(self.m_loop, self.m_store, std::string{prefix}, watch_timeout, batch_delay,
                                      self.m_random(), std::move(handlers));
}

/*! @brief Follows the store if the list of gateways, once read, names this one as a watcher; the others get the state
 * from peers. If the listed watchers do not live, `update_store_watch` makes it one later. */
auto begin_following(core& self) -> void {
    if (std::exchange(self.m_following_begun, true)) {
        return;
    }
    if (!fleet::is_watcher(self.m_members, self.m_self, steady_now())) {
        pause_store_watch(self);
        return;
    }
    for (const auto& each : {self.m_server_follower, self.m_operator_follower}) {
        each->start(max_first_watch_delay);
    }
}

/*! @brief Begins to watch, or leaves the watch to those that the store lists as watchers, now that the own entry is
 * written. */
auto settle_startup_watch(core& self) -> void {
    if (!self.m_follows_servers || !self.m_watches_store) {
        return;
    }
    if (!fleet::is_watcher(self.m_members, self.m_self, steady_now())) {
        pause_store_watch(self);
        return;
    }
    for (const auto& each : {self.m_operator_follower, self.m_server_follower}) {
        each->begin_watch();
    }
}

/*! @brief Applies the list of gateways. */
auto on_members_read(core& self, const std::vector<adapter::key_value>& items) -> void {
    on_member_list(self, items);
    if (self.m_follows_servers) {
        begin_following(self);
    } else if (items.empty()) {
        ask_seeds(self);
    }
    if (self.m_registered && !std::exchange(self.m_members_read, true)) {
        settle_startup_watch(self);
    }
    if (!self.m_watches_store && !self.m_store_reachable) {
        note_reachability(self, adapter::key::members, true);
    }
}

[[nodiscard]] auto gateways_of_region(const core& self) -> std::string {
    return std::string{adapter::key::gateways} + self.m_self.m_region + "/";
}

auto read_members(core& self) -> void;

/*! @brief Repeats the first read of the list of gateways, on which all else waits at the start. A loader asks the seeds
 * meanwhile. */
auto retry_first_read(core& self) -> void {
    if (self.m_following_begun || self.m_members_read) {
        return;
    }
    if (!self.m_follows_servers) {
        ask_seeds(self);
        return;
    }
    // The periodic check reads as well; each failure must not begin a sequence of retries of its own.
    if (std::exchange(self.m_first_read_retry_pending, true)) {
        return;
    }
    const auto jitter = duration{
        static_cast<duration::rep>(self.m_random() % static_cast<std::uint64_t>(first_read_retry_delay.count()))};
    self.m_loop.after(first_read_retry_delay / 2 + jitter, [&self] {
        self.m_first_read_retry_pending = false;
        if (!self.m_following_begun) {
            read_members(self);
        }
    });
}

/*! @brief Reads the list of gateways once; later changes arrive from the members themselves. Loaders need those of
 * their region only, and all if it has none: were each process to read all members, a restart of all would fill the
 * links between regions. */
auto read_members(core& self, const std::string& prefix) -> void {
    self.m_store.range(prefix, {}, [&self, prefix](const adapter::page& page) {
        if (page.m_reply != adapter::reply::ok) {
            retry_first_read(self);
        } else if (page.m_items.empty() && prefix != adapter::key::gateways) {
            read_members(self, std::string{adapter::key::gateways});
        } else {
            on_members_read(self, page.m_items);
        }
    });
}

auto read_members(core& self) -> void {
    read_members(self, self.m_follows_servers ? std::string{adapter::key::gateways} : gateways_of_region(self));
}

/*! @brief Reads the operators' keys directly, for a loader that receives no pulses from a gateway. */
auto read_operators(core& self) -> void {
    self.m_store.range(adapter::key::operators, {}, [&self](adapter::page page) {
        std::stable_partition(page.m_items.begin(), page.m_items.end(),
                              [](const auto& each) { return each.m_key != adapter::key::configuration; });
        for (const auto& each : page.m_items) {
            on_operator_item(self, each, {distant_past, false});
        }
    });
}

[[nodiscard]] auto has_live_gateway(const core& self, const time_point now) -> bool {
    return std::ranges::any_of(self.m_members, [&](const auto& each) {
        return each.second.m_member.is_gateway() && now - each.second.m_last_received <= fleet::heartbeat_timeout;
    });
}

/*! @brief Reads the store directly if no gateway provides its contents. */
auto read_store_if_needed(core& self) -> void {
    const auto now = steady_now();
    const auto gateway_alive = has_live_gateway(self, now);
    // A gateway that does not watch would not notice that a lost store answers again, and never become a watcher.
    const auto probes_store = self.m_follows_servers && !self.m_watches_store && !self.m_store_reachable;
    const auto is_alone = !self.m_follows_servers && is_due(self.m_store_fallback, gateway_alive, now, self.m_random());
    if (!self.m_members_read || probes_store || is_alone) {
        read_members(self);
    }
    if (is_alone) {
        read_operators(self);
    }
}

auto follow_store(core& self) -> void {
    self.m_loop.every(store_fallback_interval, [&self] { read_store_if_needed(self); });
    if (!self.m_follows_servers) {
        return;
    }
    self.m_operator_follower = make_follower(
        self, adapter::key::operators, duration::zero(),
        [&self](const std::vector<adapter::key_value>& items, const fleet::store_version version) {
            for (const auto& each : items) {
                on_operator_item(self, each, self.m_operator_follower->write_time());
            }
            on_evacuation_listing(self, items, version);
        },
        [&self](const adapter::key_value& item) {
            on_operator_item(self, item, self.m_operator_follower->write_time());
        });
    self.m_server_follower = make_follower(
        self, adapter::key::servers, server_batch_delay,
        [&self](const std::vector<adapter::key_value>& items, const fleet::store_version version) {
            on_server_list(self, items, version);
        },
        [&self](const adapter::key_value& item) { on_server_item(self, item, true); });
}

/*! @brief Writes the own entry, from which the others know where to find this gateway. */
auto register_gateway(core& self) -> void {
    const auto key = std::string{adapter::key::gateways} + self.m_self.m_region + "/" + self.m_self.m_instance;
    self.m_registration = std::make_shared<registration>(
        self.m_loop, self.m_store, key, adapter::encode_member(self.m_self),
        std::chrono::milliseconds{self.m_settings.m_store.m_lease_ms}, [&self] {
            self.m_events.write("member.registered", {{"era", static_cast<std::int64_t>(self.m_store.era())}});
            self.m_registered = true;
            // In a new era the list is incomplete until all gateways have registered again.
            const auto era_age = steady_now() - self.m_store_era_since;
            if (self.m_store_era_since != time_point{} && era_age <= gateway_registration_spread) {
                return;
            }
            // If two processes start together, the one that writes later reads the other's entry.
            self.m_members_read = false;
            read_members(self);
        });
    self.m_registration->start();
    self.m_loop.every(store_probe_interval, [&self] {
        if (self.m_watches_store || self.m_store_doubted) {
            probe_store(self, node::boot_now());
        }
    });
}

} // namespace

} // namespace internal

core::core(const config::node_settings& settings, const bool follows_servers)
    : m_settings{settings}, m_incarnation{setup::draw_incarnation()}, m_random{setup::draw_incarnation()},
      m_started{steady_now()}, m_events{m_loop, settings.m_instance}, m_http{m_loop},
      m_bus{m_loop, settings.m_instance, internal::bus_limits(),
            [this](const std::string_view from, const std::string_view bytes) {
                on_message(*this, from, bytes);
            }},
      m_store{m_http, internal::endpoint_or_empty(settings.m_store.m_address),
              std::chrono::milliseconds{settings.m_store.m_call_ms}},
      m_self{internal::make_own_member(settings, m_incarnation)}, m_first_seed{m_random()},
      m_follows_servers{follows_servers}, m_state_pulls{m_random() >> 1U}, m_version_requests{m_random() >> 1U} {
    m_handlers.m_on_configuration = [] {
    };
    m_handlers.m_on_weights = [] {
    };
    m_handlers.m_on_server = [](const std::string&) {
    };
    m_handlers.m_on_evacuation = [](const std::string&) {
    };
    m_handlers.m_on_gateway = [](const std::string&) {
    };
    m_handlers.m_on_state = [](std::string_view, const wire::fleet::State&) {
    };
    m_handlers.m_on_suspension = [](duration) {
    };
    m_handlers.m_on_frame = [](std::string_view, const wire::fleet::Frame&) {
    };
}

auto start(core& self) -> bool {
    if (self.m_bus.listen(self.m_self.m_bus_address) != code::ok) {
        return false;
    }
    fleet::member_observation own{};
    own.m_member = self.m_self;
    own.m_listed = true;
    own.m_last_received = steady_now();
    own.m_ready = false;
    self.m_members[self.m_self.m_instance] = std::move(own);
    self.m_registered = !self.m_follows_servers;
    self.m_store.set_era_handler(
        [&self](const std::uint64_t former, const std::uint64_t era) { on_store_era(self, former, era); });
    self.m_store.set_response_handler([&self](const duration silence) { note_response(self, silence); });
    self.m_store.set_contact_handler([&self](const bool answers) { note_contact(self, answers); });
    self.m_loop.after(internal::startup_hold_time, [&self] { apply_held_operator_items(self); });
    internal::follow_store(self);
    internal::read_members(self);
    if (self.m_follows_servers) {
        internal::register_gateway(self);
        request_seed_state(self);
    }
    return true;
}

auto on_store_era(core& self, const std::uint64_t former, const std::uint64_t era) -> void {
    self.m_store_era_since = steady_now();
    self.m_pending_removals.clear();
    self.m_events.write("store.era", {{"old", static_cast<std::int64_t>(former)},
                                      {"new", static_cast<std::int64_t>(era)},
                                      {"revision", static_cast<std::int64_t>(self.m_servers.m_version.m_revision)},
                                      {"servers", static_cast<std::int64_t>(self.m_servers.m_rows.size())}});
    self.m_counters.add("store_eras_total");
    for (const auto& each : {self.m_operator_follower, self.m_server_follower}) {
        if (each) {
            each->relist();
        }
    }
    if (self.m_registration) {
        constexpr auto spread = static_cast<std::uint64_t>(internal::gateway_registration_spread.count());
        self.m_registration->renew_in_new_era(duration{static_cast<duration::rep>(self.m_random() % spread)});
    }
}

auto apply_held_operator_items(core& self) -> void {
    if (std::exchange(self.m_applies_operator_items, true)) {
        return;
    }
    for (const auto& each : std::exchange(self.m_held_operator_items, {})) {
        internal::on_operator_item(self, each.m_item, each.m_written);
    }
}

auto leave(core& self) -> void {
    self.m_leaving = true;
    self.m_ready = false;
    self.m_registration->stop();
    send_pulse(self);
}

auto accept_configuration(core& self, const std::string_view text, const std::string_view source) -> void {
    auto decoded = adapter::decode_configuration(text);
    if (!decoded) {
        self.m_events.write("configuration.malformed", {{"source", source}});
        return;
    }
    const auto previous_version = self.m_configuration ? self.m_configuration->m_version : 0U;
    if (!fleet::replaces(*decoded, self.m_configuration)) {
        return;
    }
    const auto version = decoded->m_version;
    self.m_configuration = std::make_shared<const fleet::configuration>(std::move(*decoded));
    self.m_events.write("configuration.applied", {{"version", static_cast<std::int64_t>(version)},
                                                  {"before", static_cast<std::int64_t>(previous_version)},
                                                  {"source", source}});
    self.m_counters.set("configuration_version", static_cast<double>(version));
    self.m_handlers.m_on_configuration();
    relay_configuration(self);
}

} // namespace rhubarbwharf::node
