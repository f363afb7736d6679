#include <algorithm>
#include <deque>
#include <map>

#include "platform_store.hpp"
#include "standin.hpp"

namespace rhubarbwharf::standin {

namespace internal {

/*! @brief Calls that one kind may still make; refilled with time, one second's worth at most. */
struct bucket {
    double m_rate{};
    double m_left{};
    time_point m_filled{};
};

struct watcher {
    std::string m_first{};
    std::string m_end{};
    std::shared_ptr<net::responder> m_answer{};
    bool m_closed{};
};

struct listed_instance {
    std::string m_state{};
    std::string m_next{};
    time_point m_seen_from{};
};

struct platform {
    options m_set{};
    store m_store{};
    std::deque<std::shared_ptr<watcher>> m_watchers{};
    std::map<std::string, listed_instance> m_instances{};
    std::map<std::string, std::uint64_t> m_counts{};
    bucket m_reads{};
    bucket m_writes{};
};

[[nodiscard]] auto take_call(bucket& calls, const time_point now) -> bool {
    const auto passed = std::chrono::duration<double>(now - calls.m_filled).count();
    calls.m_left = std::min(calls.m_rate, calls.m_left + passed * calls.m_rate);
    calls.m_filled = now;
    if (calls.m_left < 1.0) {
        return false;
    }
    calls.m_left -= 1.0;
    return true;
}

[[nodiscard]] auto header_of(const platform& service) -> boost::json::object {
    return {{"revision", std::to_string(service.m_store.m_revision)}};
}

auto notify(platform& service, const std::vector<event>& events) -> void {
    for (const auto& changed : events) {
        const auto line = boost::json::serialize(boost::json::object{
            {"result", {{"header", header_of(service)}, {"events", boost::json::array{to_json(changed)}}}}});
        for (const auto& waiting : service.m_watchers) {
            if (!waiting->m_closed && in_range(changed.m_row.m_key, waiting->m_first, waiting->m_end)) {
                waiting->m_answer->write(line + "\n");
            }
        }
    }
    std::erase_if(service.m_watchers, [](const auto& waiting) { return waiting->m_closed; });
}

[[nodiscard]] auto refuse_call(const std::uint16_t status, const std::string_view message) -> net::http_response {
    return json_response(status, boost::json::object{{"code", status == 429 ? 8 : 3}, {"message", message}});
}

[[nodiscard]] auto range(const platform& service, const boost::json::object& body) -> net::http_response {
    auto answer = range_json(service.m_store, body);
    answer["header"] = header_of(service);
    return json_response(200, answer);
}

[[nodiscard]] auto transact(platform& service, const boost::json::object& body) -> net::http_response {
    const auto ended = run_transaction(service.m_store, body);
    if (!ended) {
        return refuse_call(400, "exactly one compare on one key and one operation a branch are taken");
    }
    notify(service, ended->m_events);
    auto answer = ended->m_answer;
    answer["header"] = header_of(service);
    return json_response(200, answer);
}

[[nodiscard]] auto lease(platform& service, const std::string_view target, const boost::json::object& body)
    -> net::http_response {
    auto& held = service.m_store;
    const auto number = number_of(body, "ID");
    if (target.ends_with("grant")) {
        const auto given = grant(held, number, std::chrono::seconds{number_of(body, "TTL")}, steady_now());
        return json_response(200, boost::json::object{{"header", header_of(service)},
                                                      {"ID", std::to_string(given)},
                                                      {"TTL", std::to_string(number_of(body, "TTL"))}});
    }
    if (target.ends_with("keepalive")) {
        boost::json::object kept{{"header", header_of(service)}, {"ID", std::to_string(number)}};
        if (const auto ttl = keep_alive(held, number, steady_now()); ttl > 0) {
            kept["TTL"] = std::to_string(ttl);
        }
        return json_response(200, boost::json::object{{"result", kept}});
    }
    if (!held.m_leases.contains(number)) {
        return json_response(404, boost::json::object{{"code", 5}, {"message", "requested lease not found"}});
    }
    notify(service, end_lease(held, number));
    return json_response(200, boost::json::object{{"header", header_of(service)}});
}

auto watch(platform& service, const boost::json::object& body, const std::shared_ptr<net::responder>& answer) -> void {
    const auto* found = body.if_contains("create_request");
    const auto create = found != nullptr && found->is_object() ? found->get_object() : boost::json::object{};
    const auto waiting = std::make_shared<watcher>();
    waiting->m_first = decode(text_of(create, "key"));
    waiting->m_end = decode(text_of(create, "range_end"));
    waiting->m_answer = answer;
    answer->on_close([waiting] { waiting->m_closed = true; });
    answer->start({.m_status = 200, .m_headers = {{"Content-Type", "application/json"}}, .m_body = {}});
    answer->write(
        boost::json::serialize(boost::json::object{{"result", {{"header", header_of(service)}, {"created", true}}}}) +
        "\n");
    const auto from = number_of(create, "start_revision");
    service.m_watchers.push_back(waiting);
    if (from <= 0) {
        return;
    }
    for (const auto& [key, row] : service.m_store.m_rows) {
        if (row.m_modified >= static_cast<std::uint64_t>(from) && in_range(key, waiting->m_first, waiting->m_end)) {
            answer->write(boost::json::serialize(boost::json::object{
                              {"result",
                               {{"header", header_of(service)},
                                {"events", boost::json::array{to_json(event{.m_row = row, .m_deleted = false})}}}}}) +
                          "\n");
        }
    }
}

/*! @brief Takes a change of the list of instances, which is seen only later, or gives the list out. */
[[nodiscard]] auto instances(platform& service, const net::http_request& request) -> net::http_response {
    const auto now = steady_now();
    if (request.m_method == "POST") {
        const auto body = parse_object(request.m_body);
        auto& row = service.m_instances[text_of(body, "instance")];
        row.m_next = text_of(body, "state");
        row.m_seen_from = now + service.m_set.m_lag;
    }
    boost::json::array rows{};
    for (auto& [instance, row] : service.m_instances) {
        row.m_state = now >= row.m_seen_from ? row.m_next : row.m_state;
        if (row.m_state == "live" || row.m_state == "leaving") {
            rows.push_back({{"instance", instance}, {"state", row.m_state}});
        }
    }
    return json_response(200, boost::json::object{{"instances", rows}});
}

[[nodiscard]] auto counts(const platform& service) -> net::http_response {
    boost::json::object value{};
    for (const auto& [kind, calls] : service.m_counts) {
        value[kind] = calls;
    }
    value["open_watches"] = service.m_watchers.size();
    value["revision"] = service.m_store.m_revision;
    return json_response(200, value);
}

[[nodiscard]] auto kind_of(const std::string_view target) -> std::string_view {
    if (target == "/v3/kv/range" || target == "/v3/watch") {
        return "reads";
    }
    return "writes";
}

auto serve(platform& service, const net::http_request& request, const std::shared_ptr<net::responder>& answer) -> void {
    const std::string_view target{request.m_target};
    if (target == "/instances") {
        return answer->respond(instances(service, request));
    }
    if (target == "/counts") {
        return answer->respond(counts(service));
    }
    if (request.m_method != "POST" || !target.starts_with("/v3/")) {
        return answer->respond(refuse_call(404, "no such path"));
    }
    const auto kind = kind_of(target);
    if (!take_call(kind == "reads" ? service.m_reads : service.m_writes, steady_now())) {
        ++service.m_counts["refused_" + std::string{kind}];
        return answer->respond(refuse_call(429, "rate limit"));
    }
    ++service.m_counts[std::string{kind}];
    ++service.m_counts[std::string{target}];
    const auto body = parse_object(request.m_body);
    if (target == "/v3/watch") {
        return watch(service, body, answer);
    }
    if (target == "/v3/kv/range") {
        return answer->respond(range(service, body));
    }
    if (target == "/v3/kv/txn") {
        return answer->respond(transact(service, body));
    }
    if (target.starts_with("/v3/lease/")) {
        return answer->respond(lease(service, target, body));
    }
    answer->respond(refuse_call(404, "no such path"));
}

auto end_leases(platform& service) -> void {
    const auto now = steady_now();
    std::vector<std::int64_t> ended{};
    for (const auto& [number, row] : service.m_store.m_leases) {
        if (now >= row.m_end) {
            ended.push_back(number);
        }
    }
    for (const auto number : ended) {
        notify(service, end_lease(service.m_store, number));
    }
}

/*! @brief Carries the faults `ignore_compare`, `restore` and `down` out. */
auto on_fault(platform& service, const fault& what) -> void {
    if (what.m_kind == "ignore_compare" || what.m_kind == "none") {
        service.m_store.m_ignores_compare = what.m_kind == "ignore_compare";
    }
    if (what.m_kind == "restore") {
        restore(service.m_store, what.m_count);
    }
    if (what.m_kind == "restore" || what.m_kind == "down") {
        for (const auto& waiting : std::exchange(service.m_watchers, {})) {
            waiting->m_answer->abort();
        }
    }
}

} // namespace internal

auto make_platform(net::loop& owner, const options& set, const std::shared_ptr<faults>& table) -> net::http_handler {
    constexpr auto lease_check_period = std::chrono::milliseconds{100};
    const auto service = std::make_shared<internal::platform>();
    service->m_set = set;
    service->m_reads = {.m_rate = set.m_reads_per_second, .m_left = set.m_reads_per_second, .m_filled = steady_now()};
    service->m_writes = {
        .m_rate = set.m_writes_per_second, .m_left = set.m_writes_per_second, .m_filled = steady_now()};
    table->m_on_set = [service](const fault& what) {
        internal::on_fault(*service, what);
    };
    owner.every(lease_check_period, [service] { internal::end_leases(*service); });
    return [service](const net::http_request& request, const std::shared_ptr<net::responder>& answer) {
        internal::serve(*service, request, answer);
    };
}

} // namespace rhubarbwharf::standin
