#include <algorithm>
#include <deque>
#include <map>

#include "platform_store.hpp"
#include "standin.hpp"

namespace rhubarbwharf::standin {

namespace internal {

/*! @brief Token bucket that limits the call rate; its capacity is one second's worth of calls. */
struct token_bucket {
    double m_calls_per_second{};
    double m_available{};
    time_point m_refilled_at{};
};

struct watcher {
    std::string m_first{};
    std::string m_end{};
    std::shared_ptr<net::responder> m_responder{};
    bool m_closed{};
};

struct listed_instance {
    std::string m_state{};
    std::string m_pending_state{};
    time_point m_visible_at{};
};

struct platform {
    options m_options{};
    store m_store{};
    std::deque<std::shared_ptr<watcher>> m_watchers{};
    std::map<std::string, listed_instance> m_instances{};
    std::map<std::string, std::uint64_t> m_call_counts{};
    token_bucket m_reads{};
    token_bucket m_writes{};
};

[[nodiscard]] auto try_acquire(token_bucket& bucket, const time_point now) -> bool {
    const auto elapsed = std::chrono::duration<double>(now - bucket.m_refilled_at).count();
    bucket.m_available = std::min(bucket.m_calls_per_second, bucket.m_available + elapsed * bucket.m_calls_per_second);
    bucket.m_refilled_at = now;
    if (bucket.m_available < 1.0) {
        return false;
    }
    bucket.m_available -= 1.0;
    return true;
}

[[nodiscard]] auto header_json(const platform& self) -> boost::json::object {
    return {{"revision", std::to_string(self.m_store.m_revision)}};
}

auto notify(platform& self, const std::vector<event>& events) -> void {
    for (const auto& change : events) {
        const auto message = boost::json::serialize(boost::json::object{
            {"result", {{"header", header_json(self)}, {"events", boost::json::array{to_json(change)}}}}});
        for (const auto& subscriber : self.m_watchers) {
            if (!subscriber->m_closed && in_range(change.m_key_value.m_key, subscriber->m_first, subscriber->m_end)) {
                subscriber->m_responder->write(message + "\n");
            }
        }
    }
    std::erase_if(self.m_watchers, [](const auto& subscriber) { return subscriber->m_closed; });
}

[[nodiscard]] auto etcd_error(const std::uint16_t status, const std::string_view message) -> net::http_response {
    return json_response(status, boost::json::object{{"code", status == 429 ? 8 : 3}, {"message", message}});
}

[[nodiscard]] auto handle_range(const platform& self, const boost::json::object& body) -> net::http_response {
    auto response = range_json(self.m_store, body);
    response["header"] = header_json(self);
    return json_response(200, response);
}

[[nodiscard]] auto handle_transaction(platform& self, const boost::json::object& body) -> net::http_response {
    const auto outcome = run_transaction(self.m_store, body);
    if (!outcome) {
        return etcd_error(400, "exactly one compare on one key and one operation a branch are taken");
    }
    notify(self, outcome->m_events);
    auto response = outcome->m_response;
    response["header"] = header_json(self);
    return json_response(200, response);
}

[[nodiscard]] auto handle_lease(platform& self, const std::string_view target, const boost::json::object& body)
    -> net::http_response {
    auto& kv_store = self.m_store;
    const auto number = integer_member(body, "ID");
    if (target.ends_with("grant")) {
        const auto granted =
            grant_lease(kv_store, number, std::chrono::seconds{integer_member(body, "TTL")}, steady_now());
        return json_response(200, boost::json::object{{"header", header_json(self)},
                                                      {"ID", std::to_string(granted)},
                                                      {"TTL", std::to_string(integer_member(body, "TTL"))}});
    }
    if (target.ends_with("keepalive")) {
        boost::json::object renewed{{"header", header_json(self)}, {"ID", std::to_string(number)}};
        if (const auto ttl = renew_lease(kv_store, number, steady_now()); ttl > 0) {
            renewed["TTL"] = std::to_string(ttl);
        }
        return json_response(200, boost::json::object{{"result", renewed}});
    }
    if (!kv_store.m_leases.contains(number)) {
        return json_response(404, boost::json::object{{"code", 5}, {"message", "requested lease not found"}});
    }
    notify(self, revoke_lease(kv_store, number));
    return json_response(200, boost::json::object{{"header", header_json(self)}});
}

auto handle_watch(platform& self, const boost::json::object& body, const std::shared_ptr<net::responder>& responder)
    -> void {
    const auto* found = body.if_contains("create_request");
    const auto create = found != nullptr && found->is_object() ? found->get_object() : boost::json::object{};
    const auto subscriber = std::make_shared<watcher>();
    subscriber->m_first = base64_decode(string_member(create, "key"));
    subscriber->m_end = base64_decode(string_member(create, "range_end"));
    subscriber->m_responder = responder;
    responder->on_close([subscriber](net::close_reason) { subscriber->m_closed = true; });
    responder->start({.m_status = 200, .m_headers = {{"Content-Type", "application/json"}}, .m_body = {}});
    responder->write(
        boost::json::serialize(boost::json::object{{"result", {{"header", header_json(self)}, {"created", true}}}}) +
        "\n");
    const auto from = integer_member(create, "start_revision");
    self.m_watchers.push_back(subscriber);
    if (from <= 0) {
        return;
    }
    for (const auto& [key, stored] : self.m_store.m_key_values) {
        if (stored.m_mod_revision >= static_cast<std::uint64_t>(from) &&
            in_range(key, subscriber->m_first, subscriber->m_end)) {
            responder->write(
                boost::json::serialize(boost::json::object{
                    {"result",
                     {{"header", header_json(self)},
                      {"events", boost::json::array{to_json(event{.m_key_value = stored, .m_deleted = false})}}}}}) +
                "\n");
        }
    }
}

/*! @brief Updates or returns the list of instances; an update becomes visible after the report delay. */
[[nodiscard]] auto handle_instances(platform& self, const net::http_request& request) -> net::http_response {
    const auto now = steady_now();
    if (request.m_method == "POST") {
        const auto body = parse_object(request.m_body);
        auto& listed = self.m_instances[string_member(body, "instance")];
        listed.m_pending_state = string_member(body, "state");
        listed.m_visible_at = now + self.m_options.m_report_delay;
    }
    boost::json::array rows{};
    for (auto& [instance, listed] : self.m_instances) {
        listed.m_state = now >= listed.m_visible_at ? listed.m_pending_state : listed.m_state;
        if (listed.m_state == "live" || listed.m_state == "leaving") {
            rows.push_back({{"instance", instance}, {"state", listed.m_state}});
        }
    }
    return json_response(200, boost::json::object{{"instances", rows}});
}

[[nodiscard]] auto counts(const platform& self) -> net::http_response {
    boost::json::object value{};
    for (const auto& [kind, calls] : self.m_call_counts) {
        value[kind] = calls;
    }
    value["open_watches"] = self.m_watchers.size();
    value["revision"] = self.m_store.m_revision;
    return json_response(200, value);
}

[[nodiscard]] auto call_kind(const std::string_view target) -> std::string_view {
    if (target == "/v3/kv/range" || target == "/v3/watch") {
        return "reads";
    }
    return "writes";
}

auto handle_request(platform& self, const net::http_request& request, const std::shared_ptr<net::responder>& responder)
    -> void {
    const std::string_view target{request.m_target};
    if (target == "/instances") {
        return responder->respond(handle_instances(self, request));
    }
    if (target == "/counts") {
        return responder->respond(counts(self));
    }
    if (request.m_method != "POST" || !target.starts_with("/v3/")) {
        return responder->respond(etcd_error(404, "no such path"));
    }
    const auto kind = call_kind(target);
    if (!try_acquire(kind == "reads" ? self.m_reads : self.m_writes, steady_now())) {
        ++self.m_call_counts["refused_" + std::string{kind}];
        return responder->respond(etcd_error(429, "rate limit"));
    }
    ++self.m_call_counts[std::string{kind}];
    ++self.m_call_counts[std::string{target}];
    const auto body = parse_object(request.m_body);
    if (target == "/v3/watch") {
        return handle_watch(self, body, responder);
    }
    if (target == "/v3/kv/range") {
        return responder->respond(handle_range(self, body));
    }
    if (target == "/v3/kv/txn") {
        return responder->respond(handle_transaction(self, body));
    }
    if (target.starts_with("/v3/lease/")) {
        return responder->respond(handle_lease(self, target, body));
    }
    responder->respond(etcd_error(404, "no such path"));
}

auto expire_leases(platform& self) -> void {
    const auto now = steady_now();
    std::vector<std::int64_t> expired{};
    for (const auto& [number, lease] : self.m_store.m_leases) {
        if (now >= lease.m_expires_at) {
            expired.push_back(number);
        }
    }
    for (const auto number : expired) {
        notify(self, revoke_lease(self.m_store, number));
    }
}

/*! @brief Applies the faults `ignore_compare`, `restore` and `down`; `none` turns `ignore_compare` off. */
auto apply_fault(platform& self, const fault& injected) -> void {
    if (injected.m_kind == "ignore_compare" || injected.m_kind == "none") {
        self.m_store.m_ignores_compare = injected.m_kind == "ignore_compare";
    }
    if (injected.m_kind == "restore") {
        roll_back(self.m_store, injected.m_count);
    }
    if (injected.m_kind == "restore" || injected.m_kind == "down") {
        for (const auto& subscriber : std::exchange(self.m_watchers, {})) {
            subscriber->m_responder->abort();
        }
    }
}

} // namespace internal

auto make_platform(net::loop& owner, const options& settings, const std::shared_ptr<fault_table>& faults)
    -> net::http_handler {
    constexpr auto lease_check_interval = std::chrono::milliseconds{100};
    const auto self = std::make_shared<internal::platform>();
    self->m_options = settings;
    self->m_reads = {.m_calls_per_second = settings.m_reads_per_second,
                     .m_available = settings.m_reads_per_second,
                     .m_refilled_at = steady_now()};
    self->m_writes = {.m_calls_per_second = settings.m_writes_per_second,
                      .m_available = settings.m_writes_per_second,
                      .m_refilled_at = steady_now()};
    faults->m_on_set = [self](const fault& injected) {
        internal::apply_fault(*self, injected);
    };
    owner.every(lease_check_interval, [self] { internal::expire_leases(*self); });
    return [self](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
        internal::handle_request(*self, request, responder);
    };
}

} // namespace rhubarbwharf::standin
