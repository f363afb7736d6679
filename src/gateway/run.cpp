#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include <fleet.pb.h>
#include <gateway/crash_records.hpp>
#include <gateway/limits.hpp>
#include <gateway/parts.hpp>
#include <gateway/retries.hpp>
#include <node/configurations.hpp>
#include <rhubarbwharf/gateway/run.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

constexpr int exit_stopped = 0;
constexpr int exit_no_listener = 1;
/*! @brief Time after a stop signal during which new requests are still accepted, as callers cache directory responses.
 */
constexpr duration drain_delay = std::chrono::milliseconds{2'800};
/*! @brief Time before the end of the grace period at which the gateway stops even if responses are outstanding or not
 * yet taken by their callers. */
constexpr duration grace_period_margin = std::chrono::milliseconds{600};
/*! @brief Time between the decision to stop and the end of the event loop, in which pending output is sent. */
constexpr duration flush_delay = std::chrono::milliseconds{150};
/*! @brief Heartbeats for each exchange of loads between regions: a load is less than half as old as a stale one when it
 * arrives. */
constexpr std::uint64_t heartbeats_per_load_exchange = 2U;
/*! @brief Time after the start during which a gateway that knows no backend server is not ready. */
constexpr duration ready_timeout = std::chrono::seconds{3};

namespace {

/*! @brief Opens a listener. @return True also if the address is empty, which disables the listener. */
[[nodiscard]] auto listen(net::http_server& server, const std::string& address) -> bool {
    const auto parsed = net::parse_endpoint(address);
    return address.empty() || (parsed && server.listen(*parsed) == code::ok);
}

/*! @brief Returns the limits of servers that only receive small requests. */
[[nodiscard]] auto small_request_limits() -> net::http_limits {
    net::http_limits out{};
    out.m_connections = 512U;
    out.m_body_bytes = std::size_t{64} * 1024U;
    return out;
}

/*! @brief Updates the smoothed number of requests per second, which quotas are based on. */
auto measure_demand(daemon& self) -> void {
    constexpr double sample_weight = 0.25;
    const auto interval_s = std::chrono::duration<double>{heartbeat_interval}.count();
    const auto request_rate = static_cast<double>(std::exchange(self.m_recent_requests, 0U)) / interval_s;
    self.m_core.m_demand += sample_weight * (request_rate - self.m_core.m_demand);
}

/*! @brief Reports the restrictions of the configuration in force that name no region of the deployment. */
auto report_unknown_regions(daemon& self) -> void {
    std::set<std::string_view> known{};
    for (const auto& each : self.m_core.m_settings.m_data_centres) {
        known.insert(each.m_region);
    }
    const auto& configuration = *self.m_core.m_configuration;
    for (const auto& each : fleet::list_unknown_regions(configuration, known)) {
        self.m_core.m_events.write("configuration.unknown_region",
                                   {{"version", static_cast<std::int64_t>(configuration.m_version)},
                                    {"owner", each.m_owner},
                                    {"region", each.m_region}});
    }
}

auto apply_configuration(daemon& self) -> void {
    const auto& configuration = *self.m_core.m_configuration;
    auto limits = configuration.m_limits;
    limits.m_half_close = false;
    self.m_caller_server.set_limits(limits);
    divide_retry_budget(self);
    if (!self.m_core.m_settings.m_data_centres.empty()) {
        report_unknown_regions(self);
    }
}

auto update_readiness(daemon& self, const time_point now) -> void {
    auto& core = self.m_core;
    const auto is_initialised =
        core.m_configuration && (!self.m_backends.empty() || now - core.m_started > ready_timeout);
    if (core.m_ready || core.m_leaving || !is_initialised) {
        return;
    }
    core.m_ready = true;
    core.m_events.write("gateway.ready", {{"configuration", static_cast<std::int64_t>(core.m_configuration->m_version)},
                                          {"servers", static_cast<std::int64_t>(self.m_backends.size())}});
    node::send_pulse(core);
}

auto stop_when_drained(daemon& self, const time_point now) -> void {
    if (!self.m_core.m_leaving || now - self.m_leaving_since < drain_delay) {
        return;
    }
    if (!std::exchange(self.m_draining, true)) {
        self.m_caller_server.drain();
    }
    const auto grace = std::chrono::milliseconds{self.m_core.m_settings.m_bounds.m_grace_ms} - grace_period_margin;
    const auto is_drained = self.m_exchanges.empty() && self.m_caller_server.connections() == 0U;
    if (!is_drained && now - self.m_leaving_since < grace) {
        return;
    }
    self.m_core.m_events.write("gateway.stopped",
                               {{"requests_cut", static_cast<std::int64_t>(self.m_exchanges.size())},
                                {"connections", static_cast<std::int64_t>(self.m_caller_server.connections())}});
    end_all_unanswered(self, "the gateway stops");
    self.m_core.m_loop.after(flush_delay, [&self] { self.m_core.m_loop.stop(); });
    self.m_leaving_since = time_point::max();
}

auto tick(daemon& self) -> void {
    node::note_running(self.m_core);
    const auto now = steady_now();
    check_timeouts(self, now);
    update_readiness(self, now);
    if (self.m_leaving_since != time_point::max()) {
        stop_when_drained(self, now);
    }
}

/*! @brief Tells the peers of this gateway, and divides the work with those that it has heard. After a stall that makes
 * all of them look silent it waits for their next heartbeats. */
auto beat(daemon& self) -> void {
    node::note_running(self.m_core);
    measure_demand(self);
    node::send_pulse(self.m_core);
    divide_retry_budget(self);
    evict_unused_weights(self, steady_now());
    refresh_parts(self, steady_now());
    if (!fleet::has_just_stalled(self.m_core.m_stalls, steady_now(), fleet::heartbeat_timeout - 2 * heartbeat_interval,
                                 2 * heartbeat_interval)) {
        node::update_store_watch(self.m_core);
        assign_quotas(self);
        update_all_turns(self);
    }
    if (self.m_core.m_pulses_sent % heartbeats_per_load_exchange == 0U) {
        send_region_loads(self);
    }
}

auto on_stop_signal(daemon& self, const int count) -> void {
    if (count > 1) {
        self.m_core.m_events.write("gateway.leaving", {{"requests", static_cast<std::int64_t>(self.m_exchanges.size())},
                                                       {"signals", static_cast<std::int64_t>(count)}});
        return;
    }
    self.m_leaving_since = steady_now();
    self.m_core.m_events.write("gateway.leaving", {{"requests", static_cast<std::int64_t>(self.m_exchanges.size())}});
    self.m_caller_server.retire();
    node::leave(self.m_core);
}

/*! @brief Reloads the settings that may change at run time: the bounds, the store and hedging. Keeps the current ones
 * if the file has errors. */
auto reload(daemon& self) -> void {
    const auto read = config::load_node(self.m_settings_file);
    const auto* const reloaded = std::get_if<config::node_settings>(&read);
    if (reloaded == nullptr) {
        const auto& faults = std::get<std::vector<config::fault>>(read);
        self.m_core.m_events.write("settings.rejected", {{"fault", config::to_string(faults.front())}});
        return;
    }
    auto& core = self.m_core;
    core.m_settings.m_bounds = reloaded->m_bounds;
    core.m_settings.m_store = reloaded->m_store;
    core.m_settings.m_hedging = reloaded->m_hedging;
    if (const auto address = net::parse_endpoint(reloaded->m_store.m_address)) {
        core.m_store.set_address(*address);
    }
    core.m_events.write("settings.reloaded", {{"store", reloaded->m_store.m_address}});
}

[[nodiscard]] auto open_listeners(daemon& self) -> bool {
    const auto& addresses = self.m_core.m_settings.m_listen;
    return listen(self.m_caller_server, addresses.m_callers) &&
           listen(self.m_readiness_server, addresses.m_readiness) &&
           listen(self.m_directory_server, addresses.m_directory) &&
           listen(self.m_metrics_server, addresses.m_metrics) && listen(self.m_control_server, addresses.m_control) &&
           listen(self.m_bulk_server, addresses.m_bulk);
}

auto set_handlers(daemon& self) -> void {
    auto& handlers = self.m_core.m_handlers;
    handlers.m_on_configuration = [&self] {
        apply_configuration(self);
    };
    handlers.m_on_server = [&self](const std::string& id) {
        refresh_backend(self, id);
    };
    self.m_caller_server.on_connection_closed([&self](const net::close_reason reason) {
        self.m_core.m_counters.add("caller_connections_closed_total", 1.0, net::to_string(reason));
    });
    handlers.m_on_evacuation = [&self](const std::string& data_centre) {
        on_evacuation(self, data_centre);
    };
    handlers.m_on_gateway = [&self](const std::string& name) {
        send_verdicts(self, name);
        send_crash_records(self, name);
        tell_predecessor_retries(self, name);
    };
    handlers.m_on_state = [&self](const std::string_view source, const wire::fleet::State& state) {
        accept_crash_records(self, source, state);
    };
    handlers.m_on_suspension = [&self](const duration suspended) {
        note_suspension(self, suspended);
    };
    handlers.m_on_frame = [&self](const std::string_view peer, const wire::fleet::Frame& frame) {
        on_frame(self, peer, frame);
    };
}

} // namespace

} // namespace internal

daemon::daemon(const config::node_settings& settings, std::string file)
    : m_settings_file{std::move(file)}, m_core{settings, true},
      m_caller_server{m_core.m_loop, net::http_limits{},
                      [this](net::http_request incoming, std::shared_ptr<net::responder> responder) {
                          // A suspension is noted first, so that it does not count against this request.
                          node::note_running(m_core);
                          on_caller_request(*this, std::move(incoming), std::move(responder));
                      }},
      m_readiness_server{m_core.m_loop, internal::small_request_limits(),
                         [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& responder) {
                             on_readiness(*this, incoming, responder);
                         }},
      m_directory_server{m_core.m_loop, internal::small_request_limits(),
                         [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& responder) {
                             on_directory(*this, incoming, responder);
                         }},
      m_metrics_server{m_core.m_loop, internal::small_request_limits(),
                       [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& responder) {
                           on_metrics(*this, incoming, responder);
                       }},
      m_control_server{m_core.m_loop, internal::small_request_limits(),
                       [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& responder) {
                           on_control(*this, incoming, responder);
                       }},
      m_bulk_server{m_core.m_loop, internal::small_request_limits(),
                    [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& responder) {
                        if (!node::answer_configuration_request(m_core, incoming, responder)) {
                            on_weights(*this, incoming, responder);
                        }
                    }} {}

auto run(const config::node_settings& settings, const std::string& file) -> int {
    daemon self{settings, file};
    internal::set_handlers(self);
    if (!internal::open_listeners(self) || !node::start(self.m_core)) {
        self.m_core.m_events.write("gateway.failed", {{"reason", "a listener can't be opened"}});
        return internal::exit_no_listener;
    }
    auto& loop = self.m_core.m_loop;
    loop.every(tick_interval, [&self] { internal::tick(self); });
    loop.every(heartbeat_interval, [&self] { internal::beat(self); });
    loop.on_stop_signal([&self](const int count) { internal::on_stop_signal(self, count); });
    loop.on_reload_signal([&self] { internal::reload(self); });
    self.m_core.m_events.write("gateway.started",
                               {{"incarnation", static_cast<std::int64_t>(self.m_core.m_incarnation >> 1U)},
                                {"callers", settings.m_listen.m_callers}});
    loop.run();
    return internal::exit_stopped;
}

} // namespace rhubarbwharf::gateway
