#include <fleet.pb.h>
#include <gateway/daemon.hpp>
#include <platform/decode.hpp>
#include <platform/encode.hpp>
#include <platform/names.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

[[nodiscard]] auto is_path(const std::string_view target, const std::string_view path) -> bool {
    return target.substr(0U, target.find('?')) == path;
}

[[nodiscard]] auto unknown_path() -> net::http_response {
    return net::problem(code::not_found, outcome::not_run, "no such path", duration::zero());
}

[[nodiscard]] auto text_answer(std::string text, const std::string_view type) -> net::http_response {
    return {200U, {{"Content-Type", std::string{type}}}, std::move(text)};
}

/*! @brief Writes the tables of this process as JSON. */
[[nodiscard]] auto dump(const daemon& self) -> std::string {
    const auto now = steady_now();
    std::string out{"{\"instance\":"};
    out += net::json_string(self.m_core.m_settings.m_instance);
    const auto version = self.m_core.m_configuration ? self.m_core.m_configuration->m_version : 0U;
    out += ",\"configuration\":" + std::to_string(version);
    out += ",\"exchanges\":" + std::to_string(self.m_exchanges.size()) + ",\"servers\":[";
    auto first = true;
    for (const auto& [id, row] : self.m_backends) {
        out += first ? "{\"id\":" : ",{\"id\":";
        first = false;
        out += net::json_string(id) + ",\"service\":" + net::json_string(row->m_service);
        out += ",\"load\":" + std::to_string(dispatch::load(*row)) + ",\"own\":" + std::to_string(row->m_own);
        out += ",\"draining\":" + std::string{row->m_draining ? "true" : "false"};
        out += ",\"usable\":" + std::string{dispatch::is_usable(row->m_health, now) ? "true" : "false"} + "}";
    }
    out += "],\"members\":[";
    first = true;
    for (const auto& [name, row] : self.m_core.m_members) {
        out += first ? "{\"name\":" : ",{\"name\":";
        first = false;
        out += net::json_string(name) + ",\"ready\":" + std::string{row.m_ready ? "true" : "false"} + "}";
    }
    return out + "]}";
}

} // namespace

} // namespace internal

auto on_directory(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer)
    -> void {
    if (!internal::is_path(incoming.m_target, adapter::path::resolve)) {
        answer->respond(internal::unknown_path());
        return;
    }
    const auto region = adapter::query_value(incoming.m_target, "region");
    const auto data_centre = adapter::query_value(incoming.m_target, "zone");
    const auto rows = fleet::gateways_for(self.m_core.m_members, region, data_centre, steady_now());
    if (rows.empty()) {
        answer->respond(refusal(503U, "no gateway is ready", std::chrono::milliseconds{300}));
        return;
    }
    answer->respond(
        adapter::encode_addresses(rows, std::chrono::milliseconds{self.m_core.m_settings.m_bounds.m_directory_ttl_ms}));
}

auto on_readiness(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer)
    -> void {
    if (!internal::is_path(incoming.m_target, adapter::path::readiness)) {
        answer->respond(internal::unknown_path());
    } else if (self.m_core.m_ready) {
        answer->respond(internal::text_answer("ready\n", "text/plain"));
    } else {
        answer->respond(refusal(503U, "not ready", duration::zero()));
    }
}

auto on_metrics(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer)
    -> void {
    if (internal::is_path(incoming.m_target, "/metrics")) {
        auto& counters = self.m_core.m_counters;
        counters.set("log_lines_dropped", static_cast<double>(self.m_core.m_events.dropped()));
        counters.set("exchanges", static_cast<double>(self.m_exchanges.size()));
        counters.set("connections", static_cast<double>(self.m_callers.connections()));
        answer->respond(internal::text_answer(counters.text(), "text/plain; version=0.0.4"));
    } else if (internal::is_path(incoming.m_target, "/dump")) {
        answer->respond(internal::text_answer(internal::dump(self), "application/json"));
    } else {
        answer->respond(internal::unknown_path());
    }
}

auto on_control(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer)
    -> void {
    if (!internal::is_path(incoming.m_target, "/state")) {
        answer->respond(internal::unknown_path());
        return;
    }
    const auto state = node::whole_state(self.m_core, 0U, true);
    answer->respond(internal::text_answer(state.SerializeAsString(), "application/x-protobuf"));
}

} // namespace rhubarbwharf::gateway
