#include <algorithm>
#include <utility>

#include <fleet.pb.h>
#include <gateway/daemon.hpp>
#include <rhubarbwharf/gateway/run.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

constexpr int status_stopped = 0;
constexpr int status_no_listener = 1;
/*! @brief Time after a stop signal in which new requests are still taken: callers keep what they were told a while. */
constexpr duration farewell_time = std::chrono::milliseconds{2'800};
/*! @brief Time before the end of the grace time at which a gateway that still waits for answers stops all the same. */
constexpr duration grace_margin = std::chrono::milliseconds{600};
/*! @brief Time for the last bytes to leave. */
constexpr duration flush_time = std::chrono::milliseconds{150};
/*! @brief Time after the start in which a gateway without any entry of backend servers is not ready. */
constexpr duration ready_wait = std::chrono::seconds{3};

namespace {

[[nodiscard]] auto listen(net::http_server& server, const std::string& where) -> bool {
    const auto parsed = net::parse_endpoint(where);
    return where.empty() || (parsed && server.listen(*parsed) == code::ok);
}

[[nodiscard]] auto small_limits() -> net::http_limits {
    net::http_limits out{};
    out.m_connections = 512U;
    out.m_body_bytes = std::size_t{64} * 1024U;
    return out;
}

auto apply_configuration(daemon& self) -> void {
    const auto& known = *self.m_core.m_configuration;
    auto limits = known.m_limits;
    limits.m_half_close = false;
    self.m_callers.set_limits(limits);
}

/*! @brief Smooths the requests a second that reach this gateway, for the quotas. */
auto measure_demand(daemon& self) -> void {
    constexpr double newest = 0.25;
    const auto period = std::chrono::duration<double>{pulse_period}.count();
    const auto now_rate = static_cast<double>(std::exchange(self.m_arrivals, 0U)) / period;
    self.m_core.m_demand += newest * (now_rate - self.m_core.m_demand);
}

/*! @brief Divides the budget of repeats among the gateways that are known. */
auto share_budget(daemon& self) -> void {
    if (!self.m_core.m_configuration) {
        return;
    }
    const auto& known = *self.m_core.m_configuration;
    const auto gateways = static_cast<double>(
        std::max<std::ptrdiff_t>(1, std::ranges::count_if(self.m_core.m_members, [](const auto& each) {
                                     return each.second.m_member.is_gateway();
                                 })));
    const auto& bounds = self.m_core.m_settings.m_bounds;
    for (const auto& service : known.m_services) {
        auto& budget = self.m_services[service.m_name].m_budget;
        budget.m_ratio = bounds.m_retry_ratio;
        budget.m_slack = bounds.m_retry_slack / gateways;
        budget.m_window = std::chrono::milliseconds{bounds.m_retry_window_ms};
    }
}

auto look_ready(daemon& self, const time_point now) -> void {
    auto& core = self.m_core;
    const auto knows = core.m_configuration && (!self.m_backends.empty() || now - core.m_started > ready_wait);
    if (core.m_ready || core.m_leaving || !knows) {
        return;
    }
    core.m_ready = true;
    core.m_events.write("gateway.ready", {{"configuration", static_cast<std::int64_t>(core.m_configuration->m_version)},
                                          {"servers", static_cast<std::int64_t>(self.m_backends.size())}});
    node::pulse(core);
}

auto end_when_done(daemon& self, const time_point now) -> void {
    if (!self.m_core.m_leaving || now - self.m_left < farewell_time) {
        return;
    }
    if (!std::exchange(self.m_closed, true)) {
        self.m_callers.drain();
    }
    const auto grace = std::chrono::milliseconds{self.m_core.m_settings.m_bounds.m_grace_ms} - grace_margin;
    if (!self.m_exchanges.empty() && now - self.m_left < grace) {
        return;
    }
    self.m_core.m_events.write("gateway.stopped",
                               {{"requests_cut", static_cast<std::int64_t>(self.m_exchanges.size())}});
    self.m_core.m_loop.after(flush_time, [&self] { self.m_core.m_loop.stop(); });
    self.m_left = time_point::max();
}

auto tick(daemon& self) -> void {
    const auto now = steady_now();
    expire(self, now);
    look_ready(self, now);
    if (self.m_left != time_point::max()) {
        end_when_done(self, now);
    }
}

auto on_stop(daemon& self, const int count) -> void {
    if (count > 1) {
        self.m_core.m_loop.stop();
        return;
    }
    self.m_left = steady_now();
    self.m_core.m_events.write("gateway.leaving", {{"requests", static_cast<std::int64_t>(self.m_exchanges.size())}});
    self.m_callers.retire();
    node::leave(self.m_core);
}

/*! @brief Takes over what may change while running: the time limits and the store's address. */
auto reload(daemon& self) -> void {
    const auto read = config::load_node(self.m_file);
    const auto* const fresh = std::get_if<config::node_settings>(&read);
    if (fresh == nullptr) {
        const auto& faults = std::get<std::vector<config::fault>>(read);
        self.m_core.m_events.write("settings.rejected", {{"fault", config::to_string(faults.front())}});
        return;
    }
    auto& core = self.m_core;
    core.m_settings.m_bounds = fresh->m_bounds;
    core.m_settings.m_store = fresh->m_store;
    if (const auto address = net::parse_endpoint(fresh->m_store.m_address)) {
        core.m_store.set_address(*address);
    }
    core.m_events.write("settings.reloaded", {{"store", fresh->m_store.m_address}});
}

[[nodiscard]] auto open_listeners(daemon& self) -> bool {
    const auto& listen_at = self.m_core.m_settings.m_listen;
    return listen(self.m_callers, listen_at.m_callers) && listen(self.m_readiness, listen_at.m_readiness) &&
           listen(self.m_directory, listen_at.m_directory) && listen(self.m_metrics, listen_at.m_metrics) &&
           listen(self.m_control, listen_at.m_control) && listen(self.m_bulk, listen_at.m_bulk);
}

auto set_handlers(daemon& self) -> void {
    auto& handlers = self.m_core.m_handlers;
    handlers.m_on_configuration = [&self] {
        apply_configuration(self);
    };
    handlers.m_on_server = [&self](const std::string& id) {
        refresh_backend(self, id);
    };
    handlers.m_on_frame = [&self](const std::string_view from, const wire::fleet::Frame& frame) {
        on_frame(self, from, frame);
    };
}

} // namespace

} // namespace internal

daemon::daemon(const config::node_settings& settings, std::string file)
    : m_file{std::move(file)}, m_core{settings, true}, m_callers{m_core.m_loop, net::http_limits{},
                                                                 [this](net::http_request incoming,
                                                                        std::shared_ptr<net::responder> answer) {
                                                                     on_caller(*this, std::move(incoming),
                                                                               std::move(answer));
                                                                 }},
      m_readiness{m_core.m_loop, internal::small_limits(),
                  [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& answer) {
                      on_readiness(*this, incoming, answer);
                  }},
      m_directory{m_core.m_loop, internal::small_limits(),
                  [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& answer) {
                      on_directory(*this, incoming, answer);
                  }},
      m_metrics{m_core.m_loop, internal::small_limits(),
                [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& answer) {
                    on_metrics(*this, incoming, answer);
                }},
      m_control{m_core.m_loop, internal::small_limits(),
                [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& answer) {
                    on_control(*this, incoming, answer);
                }},
      m_bulk{m_core.m_loop, internal::small_limits(),
             [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& answer) {
                 on_weights(*this, incoming, answer);
             }} {}

auto run(const config::node_settings& settings, const std::string& file) -> int {
    daemon self{settings, file};
    internal::set_handlers(self);
    if (!internal::open_listeners(self) || !node::start(self.m_core)) {
        self.m_core.m_events.write("gateway.failed", {{"reason", "a listener can't be opened"}});
        return internal::status_no_listener;
    }
    auto& loop = self.m_core.m_loop;
    loop.every(tick_period, [&self] { internal::tick(self); });
    loop.every(pulse_period, [&self] {
        node::note_suspension(self.m_core);
        internal::measure_demand(self);
        node::pulse(self.m_core);
        node::review_watch(self.m_core);
        internal::share_budget(self);
        assign_quotas(self);
        sweep_weights(self, steady_now());
    });
    loop.on_stop_signal([&self](const int count) { internal::on_stop(self, count); });
    loop.on_reload_signal([&self] { internal::reload(self); });
    self.m_core.m_events.write("gateway.started",
                               {{"incarnation", static_cast<std::int64_t>(self.m_core.m_incarnation >> 1U)},
                                {"callers", settings.m_listen.m_callers}});
    loop.run();
    return internal::status_stopped;
}

} // namespace rhubarbwharf::gateway
