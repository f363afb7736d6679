#include <algorithm>
#include <ctime>
#include <utility>

#include <node/core.hpp>
#include <platform/decode.hpp>
#include <platform/encode.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/setup/settings.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Time after the store's return in which entries that lapsed meanwhile come back. */
constexpr duration return_time = std::chrono::milliseconds{2'300};
/*! @brief Pause between words of backend servers: a quarter of the time in which a leaving one must get nothing new. */
constexpr duration server_gather = std::chrono::milliseconds{500};
/*! @brief Difference of the clocks from which the machine has been suspended; less is the time between two readings. */
constexpr duration least_suspension = std::chrono::milliseconds{200};
/*! @brief When something was written that stood there before this process. */
constexpr time_point long_ago{duration{1}};
/*! @brief Time between looks at whether peers tell what the store says. */
constexpr duration fall_back_period = std::chrono::milliseconds{2'000};
/*! @brief Messages that may wait for one peer; a few seconds of pulses and reports. */
constexpr int queue_messages = 256;
constexpr duration bus_heartbeat = std::chrono::seconds{2};

namespace {

[[nodiscard]] auto endpoint_of(const std::string& text) -> net::endpoint {
    return net::parse_endpoint(text).value_or(net::endpoint{});
}

[[nodiscard]] auto bus_limits() -> net::bus_limits {
    net::bus_limits out{};
    out.m_queue_messages = queue_messages;
    out.m_heartbeat = bus_heartbeat;
    return out;
}

[[nodiscard]] auto self_of(const config::node_settings& settings, const std::uint64_t incarnation) -> fleet::member {
    fleet::member out{};
    out.m_instance = settings.m_instance;
    out.m_region = settings.m_region;
    out.m_data_centre = settings.m_data_centre;
    out.m_incarnation = incarnation;
    out.m_callers = endpoint_of(settings.m_listen.m_callers);
    out.m_bus = endpoint_of(settings.m_listen.m_bus);
    out.m_bulk = endpoint_of(settings.m_listen.m_bulk);
    out.m_service = settings.m_runner.m_service;
    return out;
}

auto note_contact(core& self, const std::string_view prefix, const bool there) -> void {
    self.m_events.write(there ? "store.reached" : "store.lost",
                        {{"prefix", prefix}, {"revision", static_cast<std::int64_t>(self.m_servers.m_revision)}});
    if (there && !self.m_store_there) {
        self.m_store_back = steady_now();
    }
    self.m_store_there = there;
    self.m_counters.set("store_reachable", there ? 1.0 : 0.0);
}

/*! @brief Takes over what the operators wrote. @param since When it was written at the earliest. @param is_exact
 * Whether it was written just then. */
auto on_operator_item(core& self, const adapter::item& got, const time_point since, const bool is_exact) -> void {
    if (got.m_removed) {
        return;
    }
    if (got.m_key == adapter::key::configuration) {
        accept_configuration(self, got.m_value, "store");
        pass_on(self, {});
    } else if (got.m_key.starts_with(adapter::key::weights)) {
        if (auto target = adapter::decode_target(got.m_value)) {
            target->m_learned = since;
            target->m_exact = is_exact;
            accept_target(self, std::move(*target), "store");
            pass_on(self, {});
        }
    }
}

[[nodiscard]] auto id_of(const std::string& key) -> std::string {
    return key.substr(adapter::key::servers.size());
}

auto on_server_item(core& self, const adapter::item& got) -> void {
    const auto id = id_of(got.m_key);
    if (got.m_removed) {
        note_removed(self, id, got.m_revision);
        return;
    }
    auto row = adapter::decode_server(id, got.m_value, got.m_revision);
    if (!row) {
        self.m_events.write("server.malformed",
                            {{"server", id}, {"revision", static_cast<std::int64_t>(got.m_revision)}});
        note_removed(self, id, got.m_revision);
        return;
    }
    const auto draining = row->m_draining;
    if (fleet::put(self.m_servers, std::move(*row))) {
        self.m_doubted.erase(id);
        self.m_events.write(
            "server.entry",
            {{"server", id}, {"draining", draining}, {"revision", static_cast<std::int64_t>(got.m_revision)}});
        self.m_handlers.m_on_server(id);
        pass_on(self, id);
    }
}

auto on_server_list(core& self, const std::vector<adapter::item>& rows, const std::uint64_t revision) -> void {
    std::set<std::string, std::less<>> listed{};
    for (const auto& each : rows) {
        listed.insert(id_of(each.m_key));
        on_server_item(self, each);
    }
    std::vector<std::string> missing{};
    for (const auto& [id, row] : self.m_servers.m_rows) {
        if (!listed.contains(id) && row.m_revision <= revision) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        note_removed(self, id, revision);
    }
}

auto on_member_item(core& self, const adapter::item& got) -> void {
    if (!got.m_removed) {
        if (const auto made = adapter::decode_member(got.m_value)) {
            note_member(self, *made, true);
        }
        return;
    }
    const auto name = got.m_key.substr(adapter::key::members.size());
    if (const auto found = self.m_members.find(name); found != self.m_members.end()) {
        found->second.m_listed = false;
    }
}

auto on_member_list(core& self, const std::vector<adapter::item>& rows) -> void {
    for (auto& [name, row] : self.m_members) {
        row.m_listed = name == self.m_self.m_instance;
    }
    for (const auto& each : rows) {
        on_member_item(self, each);
    }
}

/*! @brief Makes a follower whose handlers live as long as the core. */
[[nodiscard]] auto follow(core& self, const std::string_view prefix, const duration gather,
                          std::function<void(std::vector<adapter::item>, std::uint64_t)> on_list,
                          std::function<void(adapter::item)> on_change) -> std::shared_ptr<follower> {
    follower_handlers handlers{};
    handlers.m_on_list = std::move(on_list);
    handlers.m_on_change = std::move(on_change);
    handlers.m_on_contact = [&self, prefix](const bool there) {
        note_contact(self, prefix, there);
    };
    const auto wait = std::chrono::milliseconds{self.m_settings.m_store.m_watch_ms};
    return std::make_shared<follower>(self.m_loop, self.m_store, std::string{prefix}, wait, gather, self.m_random(),
                                      std::move(handlers));
}

/*! @brief Reads the members once; from then on they tell of themselves. */
auto read_members(core& self) -> void {
    self.m_store.range(adapter::key::members, {}, [&self](const adapter::page& got) {
        if (got.m_reply == adapter::reply::ok) {
            on_member_list(self, got.m_items);
            self.m_members_read = true;
            if (!self.m_watching && !self.m_store_there) {
                note_contact(self, adapter::key::members, true);
            }
        }
    });
}

/*! @brief Reads what the operators want, as a loader does that hears no gateway. */
auto read_operators(core& self) -> void {
    self.m_store.range(adapter::key::operators, {}, [&self](adapter::page got) {
        std::stable_partition(got.m_items.begin(), got.m_items.end(),
                              [](const auto& each) { return each.m_key != adapter::key::configuration; });
        for (const auto& each : got.m_items) {
            on_operator_item(self, each, long_ago, false);
        }
    });
}

[[nodiscard]] auto hears_gateway(const core& self, const time_point now) -> bool {
    return std::ranges::any_of(self.m_members, [&](const auto& each) {
        return each.second.m_member.is_gateway() && now - each.second.m_heard <= fleet::silent_time;
    });
}

/*! @brief Reads the store where no gateway tells what it says. */
auto fall_back(core& self) -> void {
    const auto now = steady_now();
    const auto heard = hears_gateway(self, now);
    // A gateway that does not watch would never learn that the store it once lost answers again, and never take over.
    const auto seeks_store = self.m_follows_servers && !self.m_watching && !self.m_store_there;
    if (!self.m_members_read || seeks_store || (!heard && !self.m_follows_servers)) {
        read_members(self);
    }
    if (!heard && !self.m_follows_servers) {
        read_operators(self);
    }
}

auto follow_store(core& self) -> void {
    read_members(self);
    self.m_loop.every(fall_back_period, [&self] { fall_back(self); });
    if (!self.m_follows_servers) {
        return;
    }
    self.m_operators = follow(
        self, adapter::key::operators, duration::zero(),
        [&self](const std::vector<adapter::item>& rows, std::uint64_t) {
            // A listing does not tell when a key was written: at the earliest when the store was last heard.
            const auto since = std::exchange(self.m_operators_heard, steady_now());
            for (const auto& each : rows) {
                on_operator_item(self, each, since, false);
            }
        },
        [&self](const adapter::item& got) {
            self.m_operators_heard = steady_now();
            on_operator_item(self, got, self.m_operators_heard, true);
        });
    self.m_server_entries = follow(
        self, adapter::key::servers, server_gather,
        [&self](const std::vector<adapter::item>& rows, const std::uint64_t revision) {
            on_server_list(self, rows, revision);
        },
        [&self](const adapter::item& got) { on_server_item(self, got); });
    self.m_server_entries->start();
    self.m_operators->start();
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
      m_store{m_http, internal::endpoint_of(settings.m_store.m_address),
              std::chrono::milliseconds{settings.m_store.m_call_ms}},
      m_self{internal::self_of(settings, m_incarnation)}, m_follows_servers{follows_servers} {
    m_handlers.m_on_configuration = [] {
    };
    m_handlers.m_on_weights = [] {
    };
    m_handlers.m_on_server = [](const std::string&) {
    };
    m_handlers.m_on_frame = [](std::string_view, const wire::fleet::Frame&) {
    };
}

auto start(core& self) -> bool {
    if (self.m_bus.listen(self.m_self.m_bus) != code::ok) {
        return false;
    }
    self.m_members[self.m_self.m_instance] = {self.m_self, true, steady_now(), false, false, true, 0U, 0.0};
    internal::follow_store(self);
    self.m_registration = std::make_shared<registration>(
        self.m_loop, self.m_store, std::string{adapter::key::members} + self.m_self.m_instance,
        adapter::encode_member(self.m_self), std::chrono::milliseconds{self.m_settings.m_store.m_lease_ms}, [&self] {
            // Of two processes that start together, the one that writes later reads the other's entry.
            self.m_members_read = false;
            internal::read_members(self);
        });
    self.m_registration->start();
    ask_seeds(self);
    return true;
}

auto leave(core& self) -> void {
    self.m_leaving = true;
    self.m_ready = false;
    self.m_registration->stop();
    pulse(self);
}

auto accept_configuration(core& self, const std::string_view text, const std::string_view source) -> void {
    auto read = adapter::decode_configuration(text);
    if (!read) {
        self.m_events.write("configuration.malformed", {{"source", source}});
        return;
    }
    const auto before = self.m_configuration ? self.m_configuration->m_version : 0U;
    if (self.m_configuration && read->m_version <= before) {
        return;
    }
    const auto version = read->m_version;
    self.m_configuration = std::make_shared<const fleet::configuration>(std::move(*read));
    self.m_events.write("configuration.applied", {{"version", static_cast<std::int64_t>(version)},
                                                  {"before", static_cast<std::int64_t>(before)},
                                                  {"source", source}});
    self.m_counters.set("configuration_version", static_cast<double>(version));
    self.m_handlers.m_on_configuration();
}

auto accept_target(core& self, fleet::weights_target target, const std::string_view source) -> void {
    if (target.m_learned == time_point{}) {
        target.m_learned = steady_now();
    }
    const auto is_same = [&target](const fleet::weights_target& each) {
        return each.m_model == target.m_model && each.m_version == target.m_version;
    };
    if (const auto known = std::ranges::find_if(self.m_targets, is_same); known != self.m_targets.end()) {
        if (known->m_exact == target.m_exact) {
            known->m_learned = std::min(known->m_learned, target.m_learned);
        } else if (target.m_exact) {
            *known = std::move(target);
        }
        return;
    }
    if (target.m_version <= wanted_version(self, target.m_model)) {
        return;
    }
    self.m_events.write(
        "weights.named",
        {{"model", target.m_model}, {"version", static_cast<std::int64_t>(target.m_version)}, {"source", source}});
    self.m_targets.push_back(std::move(target));
    self.m_handlers.m_on_weights();
}

auto wanted_version(const core& self, const std::string_view model) -> std::uint64_t {
    std::uint64_t newest{1U};
    for (const auto& each : self.m_targets) {
        newest = each.m_model == model ? std::max(newest, each.m_version) : newest;
    }
    return newest;
}

auto least_version(const core& self, const std::string_view model, const time_point now, const duration margin)
    -> std::uint64_t {
    const auto bound = std::chrono::milliseconds{self.m_settings.m_bounds.m_version_ms} - margin;
    std::uint64_t least{};
    for (const auto& each : self.m_targets) {
        if (each.m_model == model && now - each.m_learned >= bound) {
            least = std::max(least, each.m_version);
        }
    }
    return least;
}

auto note_suspension(core& self) -> void {
    timespec boot{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    const duration since_boot = std::chrono::seconds{boot.tv_sec} +
                                std::chrono::duration_cast<duration>(std::chrono::nanoseconds{boot.tv_nsec});
    const auto ahead = since_boot - steady_now().time_since_epoch();
    const auto slept = ahead - std::exchange(self.m_boot_ahead, ahead);
    if (self.m_boot_known && slept > internal::least_suspension) {
        for (auto& each : self.m_targets) {
            each.m_learned -= slept;
        }
        self.m_events.write("clock.suspended",
                            {{"slept_ms", std::chrono::duration_cast<std::chrono::milliseconds>(slept).count()}});
    }
    self.m_boot_known = true;
}

auto note_removed(core& self, const std::string& id, const std::uint64_t revision) -> void {
    if (!self.m_servers.m_rows.contains(id)) {
        fleet::remove(self.m_servers, id, revision);
        return;
    }
    const auto age = steady_now() - self.m_store_back;
    if (age < internal::return_time && steady_now() - self.m_started > internal::return_time) {
        self.m_doubted.insert(id);
        self.m_loop.after(internal::return_time - age, [&self, id, revision] {
            if (self.m_doubted.erase(id) > 0U && fleet::remove(self.m_servers, id, revision)) {
                self.m_events.write("server.gone", {{"server", id}, {"after_outage", true}});
                self.m_handlers.m_on_server(id);
                pass_on(self, id);
            }
        });
        return;
    }
    if (fleet::remove(self.m_servers, id, revision)) {
        self.m_events.write("server.gone", {{"server", id}, {"revision", static_cast<std::int64_t>(revision)}});
        self.m_handlers.m_on_server(id);
        pass_on(self, id);
    }
}

} // namespace rhubarbwharf::node
