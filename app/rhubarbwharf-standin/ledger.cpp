#include <iostream>
#include <map>

#include "standin.hpp"

namespace rhubarbwharf::standin {

namespace internal {

struct ledger {
    std::map<std::string, std::uint64_t> m_runs{};
    std::uint64_t m_running{};
    std::uint64_t m_last_id{};
};

[[nodiscard]] auto counts(const ledger& books) -> boost::json::object {
    boost::json::object value{};
    for (const auto& [reference, runs] : books.m_runs) {
        value[reference] = runs;
    }
    return value;
}

[[nodiscard]] auto state(const ledger& books, const options& set) -> boost::json::object {
    return {{"model", ""},
            {"manifest", ""},
            {"content", ""},
            {"adapter", ""},
            {"role", ""},
            {"running", books.m_running},
            {"waiting", 0},
            {"capacity", set.m_capacity},
            {"fencing", {{"ticket", 0}, {"epoch", 0}}},
            {"crashes", 0},
            {"cached_prefixes", boost::json::array{}}};
}

[[nodiscard]] auto is_writing(const net::http_request& request) -> bool {
    return request.m_method == "POST" && (request.m_target == "/payments" || request.m_target == "/stock-corrections" ||
                                          request.m_target == "/releases" || request.m_target == "/holds");
}

} // namespace internal

auto make_ledger(net::loop& owner, const options& set) -> net::http_handler {
    const auto books = std::make_shared<internal::ledger>();
    return [&owner, set, books](const net::http_request& request, const std::shared_ptr<net::responder>& answer) {
        if (request.m_target == "/v1/engine/state") {
            return answer->respond(json_response(200, internal::state(*books, set)));
        }
        if (request.m_target == "/counts" || request.m_target == "/entries") {
            return answer->respond(json_response(200, internal::counts(*books)));
        }
        if (!internal::is_writing(request)) {
            return answer->respond(json_response(404, boost::json::object{{"error", "no such path"}}));
        }
        const auto reference = text_of(parse_object(request.m_body), "reference");
        const auto runs = ++books->m_runs[reference];
        const auto id = ++books->m_last_id;
        ++books->m_running;
        std::cout << "run " << reference << std::endl;
        owner.after(set.m_work_time, [books, answer, reference, runs, id] {
            --books->m_running;
            answer->respond(
                json_response(201, boost::json::object{{"id", id}, {"reference", reference}, {"runs", runs}}));
        });
    };
}

} // namespace rhubarbwharf::standin
