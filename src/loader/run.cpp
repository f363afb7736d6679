#include <algorithm>
#include <utility>

#include <fleet.pb.h>
#include <loader/daemon.hpp>
#include <node/boot_clock.hpp>
#include <node/wire.hpp>
#include <platform/encode.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/loader/run.hpp>

namespace rhubarbwharf::loader {

namespace internal {

constexpr int status_stopped = 0;
constexpr int status_no_listener = 1;
/*! @brief Interval at which an unchanged load is sent: less than half of the age at which a gateway falls back to the
 * store. */
constexpr duration unchanged_report_interval = std::chrono::milliseconds{450};
/*! @brief Interval at which the own member entry is sent; gateways also read it from the store. */
constexpr duration announce_interval = std::chrono::seconds{2};
/*! @brief Time limit of a call to the runner on this machine. */
constexpr duration runner_call_timeout = std::chrono::milliseconds{1'500};
/*! @brief Bytes of a report, of a list of 65,536 staged pieces, or of the response to an order. */
constexpr std::size_t max_report_bytes = std::size_t{1024} * 1024U;
/*! @brief Time after which an order counts as lost if the runner is not busy loading. */
constexpr duration load_order_timeout = std::chrono::milliseconds{1'500};
/*! @brief Time after which the staged pieces are read back again while an order is not answered: the runner may accept
 * it later, and loads what is staged then. */
constexpr duration unanswered_order_timeout = std::chrono::milliseconds{500};
/*! @brief Time before the loop stops, in which the log is written. */
constexpr duration stop_delay = std::chrono::milliseconds{100};

namespace {

/*! @brief Forgets the orders that a report shows not to be accepted any more. */
auto settle_orders(daemon& self, const fleet::load_report& report) -> void {
    for (auto& [name, model] : self.m_models) {
        if (record_order_report(model.m_open_orders, report.m_started_ms, report.m_accepted_orders)) {
            self.m_core.m_events.write("load.settled",
                                       {{"model", name},
                                        {"version", static_cast<std::int64_t>(model.m_version)},
                                        {"orders", static_cast<std::int64_t>(report.m_accepted_orders)}});
        }
    }
}

/*! @brief Applies the pause that the runner asks for instead of a report. A runner that answers so is alive, if it was
 * before. @return Whether it asks for one. */
auto apply_pause(daemon& self, const net::http_response& response) -> bool {
    constexpr std::uint16_t unavailable = 503U;
    const auto text = net::find(response.m_headers, adapter::field::retry_after);
    if (response.m_status != unavailable || text.empty()) {
        return false;
    }
    const auto pause = adapter::decode_retry_after(text);
    if (!pause) {
        self.m_core.m_events.write("runner.pause_malformed", {{"value", text.substr(0U, 40U)}});
        return false;
    }
    self.m_core.m_events.write("runner.paused",
                               {{"pause_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*pause).count()}});
    self.m_runner_paused_until = steady_now() + *pause;
    return true;
}

/*! @brief Handles the answer to a request for a report. @param requested_at When it was sent; of the boot-time clock.
 */
auto on_report(daemon& self, const time_point requested_at, const net::http_response& response) -> void {
    constexpr std::uint16_t ok = 200U;
    self.m_report_requested = false;
    if (apply_pause(self, response)) {
        return;
    }
    const auto report = response.m_status == ok ? adapter::decode_load_report(response.m_body) : std::nullopt;
    const auto was_alive = std::exchange(self.m_runner_alive, report.has_value());
    if (was_alive != self.m_runner_alive || (report && report->m_started_ms != self.m_report.m_started_ms)) {
        self.m_core.m_events.write("runner.seen",
                                   {{"alive", self.m_runner_alive},
                                    {"started", static_cast<std::int64_t>(report ? report->m_started_ms : 0U)}});
    }
    if (!report) {
        return;
    }
    settle_orders(self, *report);
    record_report(self.m_acceptance, report->m_started_ms, report->m_accepted_orders, requested_at, node::boot_now());
    if (report->m_accepted_orders == 0U) {
        // What a runner holds before any order came with it.
        for (const auto& each : report->m_models) {
            self.m_proven.insert_or_assign(each.m_name, proven_version{report->m_started_ms, each.m_version});
        }
    }
    if (self.m_report_received && report->m_started_ms != self.m_report.m_started_ms) {
        // After a restart the runner holds no layers, and a power loss may have removed staged data.
        for (auto& [name, model] : self.m_models) {
            model.m_staged_scanned = false;
            model.m_staged_scan_requested = false;
            model.m_staged_adopted = true;
            model.m_evidence.clear();
            model.m_prove_after = {};
            model.m_orders_before_load.reset();
            model.m_load_accepted.reset();
            model.m_unprovable = false;
            std::ranges::fill(model.m_pieces, piece_state::missing);
            model.m_phase = load_phase::fetching;
        }
    }
    const auto is_first_report = !self.m_report_received;
    const auto just_ordered = std::ranges::any_of(self.m_models, [](const auto& each) {
        return each.second.m_phase == load_phase::loading &&
               steady_now() - each.second.m_load_ordered_at < report_interval;
    });
    self.m_report = *report;
    self.m_report.m_order_in_progress = report->m_order_in_progress || just_ordered;
    self.m_report_received = true;
    if (is_first_report) {
        for (auto& [name, model] : self.m_models) {
            assume_inherited_orders(self, model);
        }
    }
    if (adapter::says_leaving(response.m_headers)) {
        node::mark_server_leaving(self.m_core, self.m_core.m_self.m_instance, {report->m_started_ms, self.m_runner},
                                  "runner");
    }
    report_to_gateways(self, false);
    advance_models(self);
}

/*! @brief Updates a model's phase from the versions that the runner reports. */
auto update_phase(daemon& self, model_state& model, const time_point now) -> void {
    const auto held_version = fleet::complete_version(self.m_report.m_models, model.m_name, layer_count(self));
    model.m_held_version = held_version;
    if (held_version == model.m_version) {
        if (!is_proven(self, model.m_name, held_version)) {
            const auto is_repeated = model.m_phase == load_phase::discarding && now >= model.m_prove_after;
            if (model.m_phase != load_phase::discarding || is_repeated) {
                model.m_phase = load_phase::proving;
            }
            return;
        }
        if (model.m_phase != load_phase::idle) {
            self.m_core.m_events.write(
                "load.done",
                {{"model", model.m_name},
                 {"version", static_cast<std::int64_t>(model.m_version)},
                 {"took_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(now - model.m_wanted_since).count()}});
        }
        model.m_phase = load_phase::idle;
        if (!model.m_open_orders.m_is_inherited) {
            // An order for the version that the runner holds has no effect any more.
            model.m_open_orders = {};
        }
        return;
    }
    const auto had_version = model.m_phase == load_phase::proving || model.m_phase == load_phase::discarding;
    if (model.m_phase == load_phase::idle || (had_version && !self.m_report.m_order_in_progress)) {
        model.m_phase = load_phase::fetching;
    }
    const auto order_timeout = may_be_accepted(model.m_open_orders) ? unanswered_order_timeout : load_order_timeout;
    if (model.m_phase == load_phase::loading && !self.m_report.m_order_in_progress &&
        now - model.m_load_ordered_at > order_timeout) {
        model.m_phase = load_phase::fetching;
    }
}

/*! @brief Models that the runner holds. */
struct reported_models {
    std::vector<fleet::held_model> m_proven{};
    /*! @brief Those that it may have loaded from corrupt pieces. */
    std::vector<fleet::held_model> m_unproven{};
};

[[nodiscard]] auto split_by_proof(const daemon& self) -> reported_models {
    reported_models out{};
    for (const auto& each : self.m_report.m_models) {
        (is_proven(self, each.m_name, each.m_version) ? out.m_proven : out.m_unproven).push_back(each);
    }
    return out;
}

/*! @brief Opens a listener. @return True also if the address is empty, which disables the listener. */
[[nodiscard]] auto listen(net::http_server& server, const std::string& address) -> bool {
    const auto parsed = net::parse_endpoint(address);
    return address.empty() || (parsed && server.listen(*parsed) == code::ok);
}

auto on_metrics(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void {
    if (!incoming.m_target.starts_with("/metrics")) {
        responder->respond(net::problem(code::not_found, outcome::not_run, "no such path", duration::zero()));
        return;
    }
    self.m_core.m_counters.set("log_lines_dropped", static_cast<double>(self.m_core.m_events.dropped()));
    responder->respond({200U, {{"Content-Type", "text/plain; version=0.0.4"}}, self.m_core.m_counters.text()});
}

auto on_stop(daemon& self) -> void {
    self.m_core.m_events.write("loader.stopped", {});
    self.m_core.m_loop.after(stop_delay, [&self] { self.m_core.m_loop.stop(); });
}

/*! @brief Reloads the settings that may change at run time: the bounds and the address of the store. Keeps the current
 * ones if the file has errors. */
auto reload(daemon& self) -> void {
    const auto parsed = config::load_node(self.m_settings_file);
    const auto* const updated = std::get_if<config::node_settings>(&parsed);
    if (updated == nullptr) {
        const auto& faults = std::get<std::vector<config::fault>>(parsed);
        self.m_core.m_events.write("settings.rejected", {{"fault", config::to_string(faults.front())}});
        return;
    }
    self.m_core.m_settings.m_bounds = updated->m_bounds;
    if (const auto address = net::parse_endpoint(updated->m_store.m_address)) {
        self.m_core.m_store.set_address(*address);
    }
    self.m_core.m_events.write("settings.reloaded", {{"store", updated->m_store.m_address}});
}

/*! @brief Sends a frame to the gateways that use this runner's load. In a large fleet the gateways of the region tell
 * the other regions; without one that lives, they hear it directly. */
auto send_to_gateways(daemon& self, wire::fleet::Frame& frame, const time_point now) -> void {
    const auto is_small = fleet::count_gateways(self.m_core.m_members) <= fleet::max_directly_reported_gateways;
    if (!is_small && node::has_live_regional_gateway(self.m_core, now)) {
        node::send_to_region(self.m_core, frame);
    } else {
        node::send_to_gateways(self.m_core, frame);
    }
}

/*! @brief Makes this loader known to the gateways before its runner has reported a load: they send heartbeats only to
 * loaders that they know, and a loader without any reads the store. */
auto announce(daemon& self, const time_point now) -> void {
    if (now - self.m_last_announced < announce_interval || fleet::count_gateways(self.m_core.m_members) == 0U) {
        return;
    }
    self.m_last_announced = now;
    wire::fleet::Frame frame{};
    node::to_wire(self.m_core.m_self, *frame.mutable_load()->mutable_self());
    send_to_gateways(self, frame, now);
}

} // namespace

} // namespace internal

daemon::daemon(const config::node_settings& settings, std::string file)
    : m_settings_file{std::move(file)}, m_core{settings, false},
      m_bulk_server{m_core.m_loop, net::http_limits{},
                    [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& responder) {
                        on_bulk_request(*this, incoming, responder);
                    }},
      m_metrics_server{m_core.m_loop, net::http_limits{},
                       [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& responder) {
                           internal::on_metrics(*this, incoming, responder);
                       }},
      m_runner{net::parse_endpoint(settings.m_runner.m_address).value_or(net::endpoint{})} {}

auto runner_call_limits() -> net::call_limits {
    net::call_limits out{};
    out.m_total_time = internal::runner_call_timeout;
    out.m_body_bytes = internal::max_report_bytes;
    return out;
}

auto is_runner_leaving(const daemon& self) noexcept -> bool {
    return std::ranges::any_of(self.m_core.m_leaving_servers, [&self](const auto& each) {
        return each.second.m_address == self.m_runner && each.second.m_started_ms == self.m_report.m_started_ms;
    });
}

auto layer_count(const daemon& self) -> unsigned {
    const auto* const service = self.m_core.m_configuration
                                    ? fleet::find_service(*self.m_core.m_configuration, self.m_core.m_self.m_service)
                                    : nullptr;
    return service != nullptr && service->m_engine ? service->m_engine->m_layer_count : 1U;
}

auto find_model(daemon& self, const std::string& name, const std::uint64_t version) -> model_state* {
    const auto found = self.m_models.find(name);
    return found == self.m_models.end() || found->second.m_version != version ? nullptr : &found->second;
}

auto poll_runner(daemon& self) -> void {
    if (!self.m_report_received) {
        internal::announce(self, steady_now());
    }
    if (steady_now() < self.m_runner_paused_until) {
        report_to_gateways(self, false);
        return;
    }
    if (std::exchange(self.m_report_requested, true)) {
        return;
    }
    self.m_core.m_http.fetch(
        self.m_runner, adapter::encode_report_request(), runner_call_limits(),
        [&self, requested_at = node::boot_now()](const net::call_end&, const net::http_response& response) {
            internal::on_report(self, requested_at, response);
        });
}

auto report_to_gateways(daemon& self, const bool force) -> void {
    if (!self.m_report_received) {
        return;
    }
    wire::fleet::Frame frame{};
    auto& load = *frame.mutable_load();
    load.set_address(net::to_string(self.m_runner));
    load.set_started(self.m_report.m_started_ms);
    load.set_waiting(self.m_report.m_waiting_requests);
    load.set_running(self.m_report.m_running_requests);
    load.set_busy(self.m_report.m_order_in_progress);
    const auto models = internal::split_by_proof(self);
    node::to_wire(models.m_proven, *load.mutable_models());
    node::to_wire(models.m_unproven, *load.mutable_unproven_models());
    load.set_pace(self.m_report.m_slowdown);
    load.set_alive(self.m_runner_alive);
    load.set_leaving(is_runner_leaving(self));
    const auto now = steady_now();
    auto text = load.SerializeAsString();
    if (!force && text == self.m_last_reported_load &&
        now - self.m_last_reported < internal::unchanged_report_interval) {
        return;
    }
    if (now - self.m_last_announced >= internal::announce_interval) {
        self.m_last_announced = now;
        node::to_wire(self.m_core.m_self, *load.mutable_self());
    }
    self.m_last_reported = now;
    self.m_last_reported_load = std::move(text);
    internal::send_to_gateways(self, frame, now);
}

auto refresh_models(daemon& self) -> void {
    const auto& configuration = self.m_core.m_configuration;
    const auto* const service =
        configuration ? fleet::find_service(*configuration, self.m_core.m_self.m_service) : nullptr;
    if (service == nullptr || !service->m_engine) {
        return;
    }
    for (const auto& name : service->m_engine->m_models) {
        auto& model = self.m_models[name];
        model.m_name = name;
        const auto wanted = node::wanted_version(self.m_core, name);
        if (model.m_version == wanted || model.m_next_version == wanted) {
            continue;
        }
        // Until the new version's manifest is available, the previous version is still fetched: it may be used until
        // the new one's time limit.
        const auto is_loaded = model.m_phase == load_phase::idle && !may_be_accepted(model.m_open_orders);
        if (model.m_version != 0U && !is_loaded) {
            model.m_next_version = wanted;
            model.m_next_manifest_request = {};
        } else {
            const auto is_first = model.m_version == 0U;
            begin_version(self, model, wanted);
            if (is_first) {
                assume_inherited_orders(self, model);
            }
        }
    }
    advance_models(self);
}

auto begin_version(daemon& self, model_state& model, const std::uint64_t version) -> void {
    const auto& configuration = self.m_core.m_configuration;
    const auto* const service =
        configuration ? fleet::find_service(*configuration, self.m_core.m_self.m_service) : nullptr;
    // A runner that holds the previous version has no staged pieces of the new one.
    const auto is_update = model.m_version != 0U && model.m_phase == load_phase::idle;
    const auto pieces =
        service != nullptr && service->m_engine ? service->m_engine->m_piece_count : model.m_pieces.size();
    auto name = std::move(model.m_name);
    model = model_state{};
    model.m_name = std::move(name);
    model.m_staged_scanned = is_update;
    model.m_staged_adopted = is_update;
    model.m_version = version;
    model.m_wanted_since = steady_now();
    model.m_pieces.assign(pieces, piece_state::missing);
}

auto advance_models(daemon& self) -> void {
    if (!self.m_report_received) {
        return;
    }
    const auto now = steady_now();
    for (auto& [name, model] : self.m_models) {
        internal::update_phase(self, model, now);
        check_inherited_orders(self, model);
        prove_load(self, model);
        // Pieces of another version would end the proof of this one, which the runner could not use then.
        const auto may_begin_next =
            model.m_next_version != 0U && !may_be_accepted(model.m_open_orders) && !awaits_proof(self, model);
        if (may_begin_next && model.m_phase == load_phase::idle) {
            begin_version(self, model, model.m_next_version);
            internal::update_phase(self, model, now);
        } else if (may_begin_next) {
            request_manifest(self, model, model.m_next_version, model.m_next_manifest_request);
        }
        if (model.m_phase == load_phase::idle && !std::exchange(model.m_staged_adopted, true)) {
            adopt_staged_pieces(self, model);
        }
        if (model.m_phase != load_phase::fetching || is_runner_leaving(self)) {
            continue;
        }
        if (model.m_manifest && !model.m_staged_scanned && !std::exchange(model.m_staged_scan_requested, true)) {
            scan_staged_pieces(self, model);
        }
        fetch_pieces(self, model);
        if (is_complete(model.m_pieces) && !std::exchange(model.m_complete_logged, true)) {
            self.m_core.m_events.write(
                "stage.whole",
                {{"model", name},
                 {"version", static_cast<std::int64_t>(model.m_version)},
                 {"took_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(now - model.m_wanted_since).count()}});
        }
        const auto may_order = !self.m_report.m_order_in_progress;
        if (model.m_manifest && model.m_staged_scanned && is_complete(model.m_pieces) && may_order &&
            !must_defer_load(self, model)) {
            verify_and_order_load(self, model);
        }
    }
}

auto run(const config::node_settings& settings, const std::string& file) -> int {
    daemon self{settings, file};
    self.m_core.m_handlers.m_on_configuration = [&self] {
        refresh_models(self);
    };
    self.m_core.m_handlers.m_on_weights = [&self] {
        refresh_models(self);
    };
    const auto& addresses = settings.m_listen;
    if (!internal::listen(self.m_bulk_server, addresses.m_bulk) ||
        !internal::listen(self.m_metrics_server, addresses.m_metrics) || !node::start(self.m_core)) {
        self.m_core.m_events.write("loader.failed", {{"reason", "a listener can't be opened"}});
        return internal::status_no_listener;
    }
    auto& loop = self.m_core.m_loop;
    loop.every(report_interval, [&self] { poll_runner(self); });
    loop.every(fetch_interval, [&self] {
        node::note_running(self.m_core);
        advance_models(self);
    });
    loop.on_stop_signal([&self](int) { internal::on_stop(self); });
    loop.on_reload_signal([&self] { internal::reload(self); });
    self.m_core.m_events.write("loader.started", {{"runner", settings.m_runner.m_address}});
    loop.run();
    return internal::status_stopped;
}

} // namespace rhubarbwharf::loader
