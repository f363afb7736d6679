#include <iostream>
#include <map>

#include "standin.hpp"

namespace rhubarbwharf::standin {

namespace internal {

struct ledger {
    std::map<std::string, std::uint64_t> m_runs{};
    std::uint64_t m_running_calls{};
    std::uint64_t m_last_entry_id{};
};

[[nodiscard]] auto counts(const ledger& self) -> boost::json::object {
    boost::json::object value{};
    for (const auto& [reference, runs] : self.m_runs) {
        value[reference] = runs;
    }
    return value;
}

[[nodiscard]] auto state_json(const ledger& self, const options& settings) -> boost::json::object {
    return {{"model", ""},
            {"manifest", ""},
            {"content", ""},
            {"adapter", ""},
            {"role", ""},
            {"running", self.m_running_calls},
            {"waiting", 0},
            {"capacity", settings.m_capacity},
            {"fencing", {{"ticket", 0}, {"epoch", 0}}},
            {"crashes", 0},
            {"cached_prefixes", boost::json::array{}}};
}

[[nodiscard]] auto is_write(const net::http_request& request) -> bool {
    return request.m_method == "POST" && (request.m_target == "/payments" || request.m_target == "/stock-corrections" ||
                                          request.m_target == "/releases" || request.m_target == "/holds");
}

} // namespace internal

auto make_ledger(net::loop& owner, const options& settings) -> net::http_handler {
    const auto self = std::make_shared<internal::ledger>();
    return
        [&owner, settings, self](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            if (request.m_target == "/v1/engine/state") {
                return responder->respond(json_response(200, internal::state_json(*self, settings)));
            }
            if (request.m_target == "/counts" || request.m_target == "/entries") {
                return responder->respond(json_response(200, internal::counts(*self)));
            }
            if (!internal::is_write(request)) {
                return responder->respond(json_response(404, boost::json::object{{"error", "no such path"}}));
            }
            const auto reference = string_member(parse_object(request.m_body), "reference");
            const auto runs = ++self->m_runs[reference];
            const auto id = ++self->m_last_entry_id;
            ++self->m_running_calls;
            std::cout << "run " << reference << std::endl;
            owner.after(settings.m_call_duration, [self, responder, reference, runs, id] {
                --self->m_running_calls;
                responder->respond(
                    json_response(201, boost::json::object{{"id", id}, {"reference", reference}, {"runs", runs}}));
            });
        };
}

} // namespace rhubarbwharf::standin
