#include <fleet.pb.h>
#include <gateway/crash_records.hpp>
#include <node/configurations.hpp>
#include <platform/decode.hpp>
#include <platform/encode.hpp>
#include <platform/names.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

[[nodiscard]] auto is_path(const std::string_view target, const std::string_view path) -> bool {
    return target.substr(0U, target.find('?')) == path;
}

[[nodiscard]] auto unknown_path_response() -> net::http_response {
    return net::problem(code::not_found, outcome::not_run, "no such path", duration::zero());
}

[[nodiscard]] auto text_response(std::string text, const std::string_view type) -> net::http_response {
    return {200U, {{"Content-Type", std::string{type}}}, std::move(text)};
}

/*! @brief Returns the retry budgets of all services as elements of a JSON array. */
[[nodiscard]] auto dump_retry_budgets(daemon& self, const time_point now) -> std::string {
    std::string out{};
    for (auto& [name, service] : self.m_services) {
        auto& budget = service.m_retry_budget;
        out += out.empty() ? "{" : ",{";
        out += "\"service\":" + net::json_string(name) +
               ",\"used\":" + std::to_string(dispatch::count_retries(budget, now)) +
               ",\"allowed\":" + std::to_string(dispatch::count_allowed_retries(budget, now)) +
               ",\"slack\":" + std::to_string(budget.m_extra_retries) + "}";
    }
    return out;
}

/*! @brief Returns configuration version, backend servers, members and retry budgets of this process as JSON. */
[[nodiscard]] auto dump(daemon& self) -> std::string {
    const auto now = steady_now();
    std::string out{"{\"instance\":"};
    out += net::json_string(self.m_core.m_settings.m_instance);
    const auto version = self.m_core.m_configuration ? self.m_core.m_configuration->m_version : 0U;
    out += ",\"configuration\":" + std::to_string(version);
    out += ",\"exchanges\":" + std::to_string(self.m_exchanges.size()) + ",\"servers\":[";
    auto first = true;
    for (const auto& [id, backend] : self.m_backends) {
        out += first ? "{\"id\":" : ",{\"id\":";
        first = false;
        out += net::json_string(id) + ",\"service\":" + net::json_string(backend->m_service);
        out += ",\"region\":" + net::json_string(backend->m_region);
        out += ",\"load\":" + std::to_string(dispatch::estimate_load(*backend)) +
               ",\"own\":" + std::to_string(backend->m_own_requests);
        if (backend->m_turns) {
            const auto limit = fleet::limit_of(self.m_core.m_server_limits, id, backend->m_started_ms);
            out += ",\"limit_per_s\":" + std::to_string(limit) +
                   ",\"own_limit_per_s\":" + std::to_string(backend->m_turns->m_per_s);
        }
        out += ",\"evacuated\":" + std::string{backend->m_evacuated ? "true" : "false"};
        out += ",\"cold\":" + std::string{now < backend->m_warm_up.m_cold_until ? "true" : "false"};
        out += ",\"draining\":" + std::string{backend->m_draining ? "true" : "false"};
        out += ",\"usable\":" + std::string{dispatch::is_usable(backend->m_health, now) ? "true" : "false"} + "}";
    }
    out += "],\"members\":[";
    first = true;
    for (const auto& [name, member] : self.m_core.m_members) {
        out += first ? "{\"name\":" : ",{\"name\":";
        first = false;
        out += net::json_string(name) + ",\"ready\":" + std::string{member.m_ready ? "true" : "false"} + "}";
    }
    out += "],\"weights\":[";
    first = true;
    for (const auto& each : self.m_core.m_weights_targets) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - each.m_written_at);
        out += first ? "{\"model\":" : ",{\"model\":";
        first = false;
        out += net::json_string(each.m_model) + ",\"version\":" + std::to_string(each.m_version);
        out += ",\"age_ms\":" + std::to_string(age.count());
        out += ",\"exact\":" + std::string{each.m_has_exact_write_time ? "true" : "false"} + "}";
    }
    return out + "],\"retry_budgets\":[" + dump_retry_budgets(self, now) + "]}";
}

} // namespace

} // namespace internal

auto on_directory(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void {
    if (!internal::is_path(incoming.m_target, adapter::path::resolve)) {
        responder->respond(internal::unknown_path_response());
        return;
    }
    const auto region = adapter::query_value(incoming.m_target, "region");
    const auto data_centre = adapter::query_value(incoming.m_target, "zone");
    const auto& configuration = self.m_core.m_configuration;
    const auto host = adapter::query_value(incoming.m_target, "name");
    const auto allowed = configuration ? fleet::regions_of_host(*configuration, host) : fleet::allowed_regions{};
    const auto gateways = fleet::list_gateways(self.m_core.m_members, region, data_centre, steady_now(), allowed);
    if (gateways.empty()) {
        self.m_core.m_counters.add("directory_refusals_total");
        responder->respond(refusal_response(503U, "no gateway is ready", std::chrono::milliseconds{300}));
        return;
    }
    responder->respond(adapter::encode_addresses(
        gateways, std::chrono::milliseconds{self.m_core.m_settings.m_bounds.m_directory_ttl_ms}));
}

auto on_readiness(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void {
    if (!internal::is_path(incoming.m_target, adapter::path::readiness)) {
        responder->respond(internal::unknown_path_response());
    } else if (self.m_core.m_ready) {
        responder->respond(internal::text_response("ready\n", "text/plain"));
    } else {
        responder->respond(refusal_response(503U, "not ready", duration::zero()));
    }
}

auto on_metrics(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void {
    if (internal::is_path(incoming.m_target, "/metrics")) {
        auto& counters = self.m_core.m_counters;
        counters.set("log_lines_dropped", static_cast<double>(self.m_core.m_events.dropped()));
        counters.set("exchanges", static_cast<double>(self.m_exchanges.size()));
        counters.set("connections", static_cast<double>(self.m_caller_server.connections()));
        responder->respond(internal::text_response(counters.text(), "text/plain; version=0.0.4"));
    } else if (internal::is_path(incoming.m_target, "/dump")) {
        responder->respond(internal::text_response(internal::dump(self), "application/json"));
    } else {
        responder->respond(internal::unknown_path_response());
    }
}

auto on_control(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void {
    if (!internal::is_path(incoming.m_target, "/state")) {
        responder->respond(internal::unknown_path_response());
        return;
    }
    auto state = node::startup_state(self.m_core, adapter::query_value(incoming.m_target, "region"),
                                     adapter::query_value(incoming.m_target, "servers") == "1");
    if (adapter::query_value(incoming.m_target, "compressed") == "1") {
        node::compress_configuration(self.m_core, state);
    }
    if (adapter::query_value(incoming.m_target, "crashes") == "1") {
        add_crash_records(self, state);
    }
    responder->respond(internal::text_response(state.SerializeAsString(), "application/x-protobuf"));
}

} // namespace rhubarbwharf::gateway
