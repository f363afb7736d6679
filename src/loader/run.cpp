#include <algorithm>
#include <utility>

#include <fleet.pb.h>
#include <loader/daemon.hpp>
#include <node/wire.hpp>
#include <platform/encode.hpp>
#include <rhubarbwharf/loader/run.hpp>

namespace rhubarbwharf::loader {

namespace internal {

constexpr int status_stopped = 0;
constexpr int status_no_listener = 1;
/*! @brief Time after which unchanged news is told again: half of the age at which a gateway falls back on the store. */
constexpr duration repeat_time = std::chrono::milliseconds{450};
/*! @brief Time between words of who this loader is; the store tells the same. */
constexpr duration introduction_time = std::chrono::seconds{2};
/*! @brief Time for a call to the runner on this machine. */
constexpr duration local_time = std::chrono::milliseconds{1'500};
/*! @brief Time after an order at which a runner that shows nothing of it is looked at anew. */
constexpr duration order_time = std::chrono::milliseconds{1'500};
constexpr duration flush_time = std::chrono::milliseconds{100};

namespace {

auto on_report(daemon& self, const net::http_response& got) -> void {
    constexpr std::uint16_t ok = 200U;
    self.m_report_asked = false;
    const auto read = got.m_status == ok ? adapter::decode_report(got.m_body) : std::nullopt;
    const auto was_alive = std::exchange(self.m_alive, read.has_value());
    if (was_alive != self.m_alive || (read && read->m_started != self.m_report.m_started)) {
        self.m_core.m_events.write(
            "runner.seen",
            {{"alive", self.m_alive}, {"started", static_cast<std::int64_t>(read ? read->m_started : 0U)}});
    }
    if (!read) {
        return;
    }
    if (self.m_report_known && read->m_started != self.m_report.m_started) {
        // Staged data may have gone with a loss of power, and the runner holds no layers.
        for (auto& [name, model] : self.m_models) {
            model.m_staged_read = false;
            model.m_staged_asked = false;
            model.m_claimed = true;
            std::ranges::fill(model.m_pieces, piece_state::missing);
            model.m_stage = stage::fetching;
        }
    }
    const auto ordering = std::ranges::any_of(self.m_models, [](const auto& each) {
        return each.second.m_stage == stage::ordered && steady_now() - each.second.m_ordered < report_period;
    });
    self.m_report = *read;
    self.m_report.m_busy = read->m_busy || ordering;
    self.m_report_known = true;
    tell_gateways(self, false);
    advance(self);
}

/*! @brief Decides what a model is at, from what the runner says it holds. */
auto settle(daemon& self, model_state& model, const time_point now) -> void {
    const auto held = fleet::version_of(self.m_report.m_models, model.m_name, layers_of(self));
    model.m_held = held;
    if (held == model.m_version) {
        if (model.m_stage != stage::settled) {
            self.m_core.m_events.write(
                "load.done",
                {{"model", model.m_name},
                 {"version", static_cast<std::int64_t>(model.m_version)},
                 {"took_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(now - model.m_wanted_since).count()}});
        }
        model.m_stage = stage::settled;
        return;
    }
    if (model.m_stage == stage::settled) {
        model.m_stage = stage::fetching;
    }
    if (model.m_stage == stage::ordered && !self.m_report.m_busy && now - model.m_ordered > order_time) {
        model.m_stage = stage::fetching;
    }
}

[[nodiscard]] auto listen(net::http_server& server, const std::string& where) -> bool {
    const auto parsed = net::parse_endpoint(where);
    return where.empty() || (parsed && server.listen(*parsed) == code::ok);
}

auto on_metrics(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer)
    -> void {
    if (!incoming.m_target.starts_with("/metrics")) {
        answer->respond(net::problem(code::not_found, outcome::not_run, "no such path", duration::zero()));
        return;
    }
    self.m_core.m_counters.set("log_lines_dropped", static_cast<double>(self.m_core.m_events.dropped()));
    answer->respond({200U, {{"Content-Type", "text/plain; version=0.0.4"}}, self.m_core.m_counters.text()});
}

auto on_stop(daemon& self) -> void {
    self.m_core.m_events.write("loader.stopped", {});
    self.m_core.m_registration->stop();
    self.m_core.m_loop.after(flush_time, [&self] { self.m_core.m_loop.stop(); });
}

auto reload(daemon& self) -> void {
    const auto read = config::load_node(self.m_file);
    const auto* const fresh = std::get_if<config::node_settings>(&read);
    if (fresh == nullptr) {
        const auto& faults = std::get<std::vector<config::fault>>(read);
        self.m_core.m_events.write("settings.rejected", {{"fault", config::to_string(faults.front())}});
        return;
    }
    self.m_core.m_settings.m_bounds = fresh->m_bounds;
    if (const auto address = net::parse_endpoint(fresh->m_store.m_address)) {
        self.m_core.m_store.set_address(*address);
    }
    self.m_core.m_events.write("settings.reloaded", {{"store", fresh->m_store.m_address}});
}

} // namespace

} // namespace internal

daemon::daemon(const config::node_settings& settings, std::string file)
    : m_file{std::move(file)}, m_core{settings, false}, m_bulk{m_core.m_loop, net::http_limits{},
                                                               [this](const net::http_request& incoming,
                                                                      const std::shared_ptr<net::responder>& answer) {
                                                                   on_bulk(*this, incoming, answer);
                                                               }},
      m_metrics{m_core.m_loop, net::http_limits{},
                [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& answer) {
                    internal::on_metrics(*this, incoming, answer);
                }},
      m_runner{net::parse_endpoint(settings.m_runner.m_address).value_or(net::endpoint{})} {}

auto local_limits() -> net::call_limits {
    net::call_limits out{};
    out.m_total_time = internal::local_time;
    return out;
}

auto layers_of(const daemon& self) -> unsigned {
    const auto* const service = self.m_core.m_configuration
                                    ? fleet::find_service(*self.m_core.m_configuration, self.m_core.m_self.m_service)
                                    : nullptr;
    return service != nullptr && service->m_engine ? service->m_engine->m_layers : 1U;
}

auto find_model(daemon& self, const std::string& name, const std::uint64_t version) -> model_state* {
    const auto found = self.m_models.find(name);
    return found == self.m_models.end() || found->second.m_version != version ? nullptr : &found->second;
}

auto look_at_runner(daemon& self) -> void {
    if (std::exchange(self.m_report_asked, true)) {
        return;
    }
    self.m_core.m_http.fetch(
        self.m_runner, adapter::encode_report_call(), local_limits(),
        [&self](const net::call_end&, const net::http_response& got) { internal::on_report(self, got); });
}

auto tell_gateways(daemon& self, const bool at_once) -> void {
    if (!self.m_report_known) {
        return;
    }
    wire::fleet::Frame frame{};
    auto& news = *frame.mutable_load();
    news.set_address(net::to_string(self.m_runner));
    news.set_started(self.m_report.m_started);
    news.set_waiting(self.m_report.m_waiting);
    news.set_running(self.m_report.m_running);
    news.set_busy(self.m_report.m_busy);
    node::to_wire(self.m_report.m_models, *news.mutable_models());
    news.set_pace(self.m_report.m_pace);
    news.set_alive(self.m_alive);
    const auto now = steady_now();
    auto text = news.SerializeAsString();
    if (!at_once && text == self.m_told_text && now - self.m_told < internal::repeat_time) {
        return;
    }
    if (now - self.m_introduced >= internal::introduction_time) {
        self.m_introduced = now;
        node::to_wire(self.m_core.m_self, *news.mutable_self());
    }
    self.m_told = now;
    self.m_told_text = std::move(text);
    node::send_to_gateways(self.m_core, frame);
}

auto refresh_models(daemon& self) -> void {
    const auto& known = self.m_core.m_configuration;
    const auto* const service = known ? fleet::find_service(*known, self.m_core.m_self.m_service) : nullptr;
    if (service == nullptr || !service->m_engine) {
        return;
    }
    for (const auto& name : service->m_engine->m_models) {
        auto& model = self.m_models[name];
        model.m_name = name;
        const auto wanted = node::wanted_version(self.m_core, name);
        if (model.m_version == wanted || model.m_next == wanted) {
            continue;
        }
        // While nobody gives the new version's manifest, the one before can still be brought in, and answer till the
        // new one's time limit.
        if (model.m_version != 0U && model.m_stage != stage::settled) {
            model.m_next = wanted;
            model.m_next_question = {};
        } else {
            begin_version(self, model, wanted);
        }
    }
    advance(self);
}

auto begin_version(daemon& self, model_state& model, const std::uint64_t version) -> void {
    const auto& known = self.m_core.m_configuration;
    const auto* const service = known ? fleet::find_service(*known, self.m_core.m_self.m_service) : nullptr;
    // Beside a runner that holds the version before lies nothing of the new one.
    const auto is_update = model.m_version != 0U && model.m_stage == stage::settled;
    const auto pieces = service != nullptr && service->m_engine ? service->m_engine->m_pieces : model.m_pieces.size();
    auto name = std::move(model.m_name);
    model = model_state{};
    model.m_name = std::move(name);
    model.m_staged_read = is_update;
    model.m_claimed = is_update;
    model.m_version = version;
    model.m_wanted_since = steady_now();
    model.m_pieces.assign(pieces, piece_state::missing);
}

auto advance(daemon& self) -> void {
    if (!self.m_report_known) {
        return;
    }
    const auto now = steady_now();
    for (auto& [name, model] : self.m_models) {
        internal::settle(self, model, now);
        if (model.m_next != 0U && model.m_stage == stage::settled) {
            begin_version(self, model, model.m_next);
            internal::settle(self, model, now);
        } else if (model.m_next != 0U) {
            ask_manifest(self, model, model.m_next, model.m_next_question);
        }
        if (model.m_stage == stage::settled && !std::exchange(model.m_claimed, true)) {
            claim_staged(self, model);
        }
        if (model.m_stage != stage::fetching) {
            continue;
        }
        if (model.m_manifest && !model.m_staged_read && !std::exchange(model.m_staged_asked, true)) {
            read_staged(self, model);
        }
        fetch_pieces(self, model);
        if (is_whole(model.m_pieces) && !std::exchange(model.m_whole_told, true)) {
            self.m_core.m_events.write(
                "stage.whole",
                {{"model", name},
                 {"version", static_cast<std::int64_t>(model.m_version)},
                 {"took_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(now - model.m_wanted_since).count()}});
        }
        if (model.m_manifest && model.m_staged_read && is_whole(model.m_pieces) && !waits_to_load(self, model)) {
            verify_and_order(self, model);
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
    const auto& listen_at = settings.m_listen;
    if (!internal::listen(self.m_bulk, listen_at.m_bulk) || !internal::listen(self.m_metrics, listen_at.m_metrics) ||
        !node::start(self.m_core)) {
        self.m_core.m_events.write("loader.failed", {{"reason", "a listener can't be opened"}});
        return internal::status_no_listener;
    }
    auto& loop = self.m_core.m_loop;
    loop.every(report_period, [&self] { look_at_runner(self); });
    loop.every(fetch_period, [&self] { advance(self); });
    loop.on_stop_signal([&self](int) { internal::on_stop(self); });
    loop.on_reload_signal([&self] { internal::reload(self); });
    self.m_core.m_events.write("loader.started", {{"runner", settings.m_runner.m_address}});
    loop.run();
    return internal::status_stopped;
}

} // namespace rhubarbwharf::loader
