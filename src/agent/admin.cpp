#include <agent/daemon.hpp>

#include <algorithm>
#include <array>

#include <boost/json.hpp>

#include <rhubarbwharf/setup/settings.hpp>

namespace rhubarbwharf::agent {

namespace internal {

namespace json = boost::json;

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_accepted = 202;
constexpr std::uint16_t status_unavailable = 503;

[[nodiscard]] auto text_answer(const std::uint16_t status, std::string type, std::string body) -> net::http_response {
    net::http_response answer{};
    answer.m_status = status;
    answer.m_headers.push_back({"Content-Type", std::move(type)});
    answer.m_body = std::move(body);
    return answer;
}

[[nodiscard]] auto dump_gate(const daemon& self) -> json::object {
    const auto& gate = self.m_gate;
    json::object out{
        {"phase", to_string(gate.m_phase)},
        {"ticket", gate.m_ticket.value()},
        {"model", gate.m_confirmed_version.m_model},
        {"manifest", to_hex(gate.m_confirmed_version.m_manifest)},
        {"content", to_hex(gate.m_confirmed_version.m_content)},
        {"adapter", gate.m_confirmed_version.m_adapter},
        {"generation", gate.m_generation},
        {"epoch", self.m_epoch},
        {"fenced", gate.m_is_fenced},
        {"ready", self.m_is_ready},
    };
    if (gate.m_target) {
        out["wanted"] = json::object{{"manifest", to_hex(gate.m_target->m_version.m_manifest)},
                                     {"ticket", gate.m_target->m_ticket.value()},
                                     {"traffic", gate.m_target->m_traffic}};
    }
    return out;
}

[[nodiscard]] auto dump_members(const daemon& self) -> json::array {
    json::array out{};
    for (const auto& member : self.m_members) {
        out.push_back(json::object{{"instance", member.m_instance},
                                   {"phase", to_string(member.m_phase)},
                                   {"ticket", member.m_ticket.value()},
                                   {"ready", member.m_ready},
                                   {"leaving", member.m_leaving}});
    }
    return out;
}

[[nodiscard]] auto dump_desired(const daemon& self) -> json::array {
    json::array out{};
    for (const auto& entry : self.m_desired.m_entries) {
        out.push_back(json::object{{"scope", entry.m_scope},
                                   {"ticket", entry.m_ticket.value()},
                                   {"manifest", to_hex(entry.m_state.m_manifest)},
                                   {"traffic", entry.m_state.m_traffic}});
    }
    return out;
}

[[nodiscard]] auto phase_name(const execution::shard_phase value) -> std::string_view {
    constexpr auto names =
        std::to_array<std::string_view>({"idle", "acquiring", "reading", "taking", "owned", "releasing"});
    return names[static_cast<std::size_t>(value)];
}

[[nodiscard]] auto dump_shards(const daemon& self) -> json::array {
    json::array out{};
    if (!self.m_has_journal) {
        return out;
    }
    for (const auto& item : self.m_owner.m_shards) {
        out.push_back(json::object{{"shard", item.m_id.value()},
                                   {"phase", phase_name(item.m_phase)},
                                   {"token", item.m_token.value()},
                                   {"segment", item.m_open_header.m_number},
                                   {"segment_bytes", item.m_open_bytes.size()},
                                   {"sealed", item.m_sealed_segments.size()},
                                   {"keys", item.m_keys.size()},
                                   {"pending", item.m_pending_records.size()},
                                   {"healthy", item.m_is_healthy}});
    }
    return out;
}

[[nodiscard]] auto dump_platform(const daemon& self) -> json::object {
    const auto& counts = self.m_platform.counts();
    const auto since_last_answer = steady_now() - self.m_platform.last_answer();
    return {
        {"reads", counts.m_reads},
        {"writes", counts.m_writes},
        {"watches", counts.m_watches},
        {"failures", counts.m_failures},
        {"read_backs", counts.m_read_backs},
        {"silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(since_last_answer).count()},
    };
}

[[nodiscard]] auto readiness_response(const daemon& self) -> net::http_response {
    const auto is_ready = self.m_gate.m_phase == phase::serving && !self.m_is_stopping;
    return text_answer(is_ready ? status_ok : status_unavailable, "text/plain",
                       std::string{to_string(self.m_gate.m_phase)} + '\n');
}

[[nodiscard]] auto handle_drain(daemon& self, const net::http_request& request) -> net::http_response {
    if (request.m_method != "POST") {
        return net::problem(code::method_not_allowed, outcome::not_run, "drain takes POST", duration::zero());
    }
    if (setup::owner_of(self.m_settings.m_operators, request.m_headers) == nullptr) {
        return net::problem(code::unauthorised, outcome::not_run, "an operator's key is needed", duration::zero());
    }
    stop(self, 1);
    return text_answer(status_accepted, "application/json", "{\"draining\":true}");
}

} // namespace internal

auto dump(const daemon& self) -> std::string {
    boost::json::object out{
        {"role", "agent"},
        {"instance", self.m_settings.m_instance},
        {"region", self.m_settings.m_region},
        {"data_centre", self.m_settings.m_data_centre},
        {"group", self.m_settings.m_backend.m_group},
        {"incarnation", std::to_string(self.m_incarnation)},
        {"stopping", self.m_is_stopping},
        {"bus_sent_bytes", self.m_bus.sent_bytes()},
        {"bus_received_bytes", self.m_bus.received_bytes()},
        {"gate", internal::dump_gate(self)},
        {"running", self.m_admission.m_running},
        {"waiting", self.m_admission.m_waiting.size()},
        {"attempts_remembered", self.m_admission.m_decisions.size()},
        {"members", internal::dump_members(self)},
        {"desired", internal::dump_desired(self)},
        {"shards", internal::dump_shards(self)},
        {"calls_running", self.m_owner.m_running_calls.size()},
        {"platform", internal::dump_platform(self)},
    };
    boost::system::error_code failure{};
    out["exchange"] = boost::json::parse(self.m_exchange.dump(), failure);
    return boost::json::serialize(out);
}

auto serve_admin(daemon& self, const net::http_request& request, net::responder& answer) -> void {
    const auto path = std::string_view{request.m_target}.substr(0, request.m_target.find('?'));
    if (path == "/v1/drain") {
        return answer.respond(internal::handle_drain(self, request));
    }
    if (request.m_method != "GET") {
        return answer.respond(net::problem(code::method_not_allowed, outcome::not_run, path, duration::zero()));
    }
    if (path == "/metrics") {
        return answer.respond(
            internal::text_answer(internal::status_ok, "text/plain; version=0.0.4", self.m_counters.text()));
    }
    if (path == "/healthz") {
        return answer.respond(internal::text_answer(internal::status_ok, "text/plain", "ok\n"));
    }
    if (path == "/readyz") {
        return answer.respond(internal::readiness_response(self));
    }
    if (path == "/state") {
        return answer.respond(internal::text_answer(internal::status_ok, "application/json", dump(self)));
    }
    answer.respond(net::problem(code::not_found, outcome::not_run, path, duration::zero()));
}

} // namespace rhubarbwharf::agent
