#include <entry/daemon.hpp>
#include <rhubarbwharf/setup/settings.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr std::string_view tickets_path = "/v1/tickets";
constexpr std::string_view instances_path = "/v1/instances/";
constexpr std::string_view state_suffix = "/state";

auto respond_text(const std::shared_ptr<net::responder>& responder, const std::uint16_t status, std::string text,
                  std::string type) -> void {
    net::http_response out{};
    out.m_status = status;
    out.m_headers = {{"Content-Type", std::move(type)}};
    out.m_body = std::move(text);
    responder->respond(std::move(out));
}

[[nodiscard]] auto is_ready(const daemon& self) -> bool {
    return !self.m_leaving;
}

auto handle_get(daemon& self, const std::string_view path, const std::shared_ptr<net::responder>& responder) -> void {
    constexpr std::uint16_t status_ok = 200;
    constexpr std::uint16_t status_unavailable = 503;
    if (path == "/metrics") {
        return respond_text(responder, status_ok, self.m_counters.text(), "text/plain; version=0.0.4");
    }
    if (path == "/healthz") {
        return respond_text(responder, status_ok, "ok\n", "text/plain");
    }
    if (path == "/readyz") {
        const auto ready = is_ready(self);
        return respond_text(responder, ready ? status_ok : status_unavailable, ready ? "ready\n" : "leaving\n",
                            "text/plain");
    }
    if (path == "/state") {
        return respond_text(responder, status_ok, dump_tables(self), "application/json");
    }
    if (path.starts_with(tickets_path)) {
        const auto rest = path.substr(tickets_path.size());
        if (rest.empty() || rest.starts_with('/')) {
            return show_ticket(self, rest.empty() ? rest : rest.substr(1), responder);
        }
    }
    if (path.starts_with(instances_path) && path.ends_with(state_suffix)) {
        const auto name = path.substr(instances_path.size(), path.size() - instances_path.size() - state_suffix.size());
        return request_dump(self, name, responder);
    }
    responder->respond(net::problem(code::not_found, outcome::not_run, "there is no such path", {}));
}

auto handle_post(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void {
    constexpr std::uint16_t status_accepted = 202;
    if (setup::owner_of(self.m_settings.m_operators, incoming.m_headers) == nullptr) {
        return responder->respond(net::problem(code::unauthorised, outcome::not_run, "no operator has this key", {}));
    }
    if (incoming.m_target == tickets_path) {
        return submit_ticket(self, incoming.m_body, responder);
    }
    if (incoming.m_target == "/v1/drain") {
        begin_leaving(self);
        return respond_text(responder, status_accepted, "{\"draining\":true}", "application/json");
    }
    responder->respond(net::problem(code::not_found, outcome::not_run, "there is no such path", {}));
}

} // namespace internal

auto on_admin_request(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void {
    if (incoming.m_method == "GET") {
        const auto path = std::string_view{incoming.m_target}.substr(0, incoming.m_target.find('?'));
        return internal::handle_get(self, path, responder);
    }
    if (incoming.m_method == "POST") {
        return internal::handle_post(self, incoming, responder);
    }
    responder->respond(net::problem(code::method_not_allowed, outcome::not_run, "the listener takes GET and POST", {}));
}

} // namespace rhubarbwharf::entry
