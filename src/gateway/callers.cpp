#include <algorithm>
#include <array>
#include <charconv>

#include <gateway/daemon.hpp>
#include <platform/decode.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

/*! @brief Part of the caller's time that the answer's way back takes. */
constexpr duration way_back = std::chrono::milliseconds{4};
/*! @brief Time after which the longest patience of a route's callers is measured anew. */
constexpr duration patience_memory = std::chrono::seconds{10};
/*! @brief A caller with less than this part of the time that others give has come back from a refusal; those that ask
 * for the first time differ by up to 15 in 100. */
constexpr double first_time_part = 0.83;
/*! @brief Pause told to callers before this gateway knows any configuration. */
constexpr duration unknown_pause = std::chrono::milliseconds{300};
/*! @brief Crashes at which a request was running, over all gateways, after which it is held back: one more than those
 * of a neighbour that runs beside it twice. */
constexpr std::uint32_t most_crashes = 3U;
constexpr std::string_view bearer = "Bearer ";

namespace {

[[nodiscard]] auto lower(std::string_view text) -> std::string {
    std::string out{text};
    std::ranges::transform(out, out.begin(), [](const char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return out;
}

[[nodiscard]] auto same_name(const std::string_view left, const std::string_view lower_right) noexcept -> bool {
    return std::ranges::equal(left, lower_right, [](const char a, const char b) {
        return (a >= 'A' && a <= 'Z' ? static_cast<char>(a - 'A' + 'a') : a) == b;
    });
}

/*! @brief Tells whether a field concerns one connection, holds a key, or is set by this system. */
[[nodiscard]] auto is_own_field(const std::string_view lower_name) noexcept -> bool {
    constexpr auto dropped = std::to_array<std::string_view>(
        {"connection", "keep-alive", "proxy-connection", "proxy-authorization", "proxy-authenticate", "te", "trailer",
         "transfer-encoding", "upgrade", "content-length", "host", "expect", "authorization"});
    return std::ranges::find(dropped, lower_name) != dropped.end() ||
           std::ranges::any_of(adapter::field::set_by_system,
                               [lower_name](const std::string_view each) { return same_name(each, lower_name); });
}

/*! @brief Lists the fields that the `Connection` fields of a request name. */
[[nodiscard]] auto connection_fields(const std::vector<net::header>& headers) -> std::vector<std::string> {
    std::vector<std::string> out{};
    for (const auto& field : headers) {
        if (lower(field.m_name) != "connection") {
            continue;
        }
        std::string_view rest{field.m_value};
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            auto name = rest.substr(0U, comma);
            name.remove_prefix(std::min(name.find_first_not_of(" \t"), name.size()));
            name = name.substr(0U, name.find_last_not_of(" \t") + 1U);
            out.push_back(lower(name));
            rest.remove_prefix(std::min(comma + 1U, rest.size()));
        }
    }
    return out;
}

[[nodiscard]] auto forwardable(const std::vector<net::header>& headers) -> std::vector<net::header> {
    const auto named = connection_fields(headers);
    std::vector<net::header> out{};
    for (const auto& field : headers) {
        const auto name = lower(field.m_name);
        if (!is_own_field(name) && std::ranges::find(named, name) == named.end()) {
            out.push_back(field);
        }
    }
    return out;
}

[[nodiscard]] auto key_of(const std::vector<net::header>& headers) -> std::string {
    const auto field = net::find(headers, "Authorization");
    return field.starts_with(bearer) ? std::string{field.substr(bearer.size())} : std::string{};
}

[[nodiscard]] auto milliseconds_of(const std::string_view text) -> std::optional<std::int64_t> {
    std::int64_t value{};
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    return read.ec == std::errc{} && value >= 0 ? std::optional{value} : std::nullopt;
}

/*! @brief Returns the longest time that callers of a route have given lately: what a fresh request has. */
[[nodiscard]] auto usual_patience(daemon& self, const fleet::route& route, const duration given, const time_point now)
    -> duration {
    auto& known = self.m_patience[route.m_name];
    if (given >= known.m_longest || now - known.m_since > patience_memory) {
        known = {given, now};
    }
    return known.m_longest;
}

/*! @brief Sets when the caller stops waiting, and until when an answer is on time. */
auto set_times(daemon& self, exchange& item, const std::vector<net::header>& headers) -> void {
    const auto& route = *item.m_route;
    const auto given = milliseconds_of(net::find(headers, adapter::field::deadline));
    const auto left = given ? duration{std::chrono::milliseconds{*given}} : route.m_timeout;
    item.m_deadline = item.m_arrived + std::min(route.m_timeout, std::max(duration{1}, left - way_back));
    const auto usual = given ? usual_patience(self, route, left, item.m_arrived) : left;
    const auto came_back = left < std::chrono::duration_cast<duration>(usual * first_time_part);
    item.m_target = item.m_arrived + route.m_target - (came_back ? usual - left : duration::zero());
}

[[nodiscard]] auto content_of(const net::http_request& incoming, const std::string_view organisation) -> std::uint64_t {
    std::string text{organisation};
    text.append("\n").append(incoming.m_method).append(incoming.m_target).append("\n").append(incoming.m_body);
    const auto whole = sha256(text);
    std::uint64_t out{};
    std::copy_n(whole.m_bytes.begin(), sizeof(out), reinterpret_cast<std::uint8_t*>(&out));
    return out;
}

/*! @brief Why a request is turned away before it is routed. */
struct rejection {
    code m_code{code::ok};
    std::string_view m_detail{};
};

/*! @brief Finds route, service and organisation. */
[[nodiscard]] auto resolve(daemon& self, const net::http_request& incoming, exchange& item) -> rejection {
    const auto& known = *item.m_configuration;
    item.m_route = fleet::find_route(known, net::find(incoming.m_headers, "Host"), incoming.m_target);
    if (item.m_route == nullptr) {
        return {code::not_found, "no route begins this path"};
    }
    const auto* const owner = fleet::find_owner(known, key_of(incoming.m_headers));
    if (owner == nullptr && known.m_needs_key && !item.m_route->m_public) {
        return {code::unauthorised, "no organisation holds this key"};
    }
    item.m_priority = item.m_route->m_priority;
    if (owner != nullptr) {
        item.m_organisation = owner->m_name;
        item.m_priority = owner->m_priority.value_or(item.m_priority);
    }
    item.m_service = fleet::find_service(known, fleet::pick_service(*item.m_route, self.m_core.m_random()));
    if (item.m_service == nullptr) {
        return {code::no_backend_server, "the route's service is not configured"};
    }
    return {};
}

auto log_rejected(daemon& self, const std::string_view name, const std::string_view detail, const std::int64_t version)
    -> void {
    self.m_core.m_events.write("request.rejected", {{"id", name}, {"reason", detail}, {"configuration", version}});
    self.m_core.m_counters.add("requests_rejected_total");
}

auto fill(daemon& self, exchange& item, net::http_request&& incoming) -> void {
    const auto tokens = adapter::decode_token_counts(net::find(incoming.m_headers, adapter::field::tokens));
    const auto hint = adapter::decode_token_counts(net::find(incoming.m_headers, adapter::field::length_hint));
    item.m_prompt = tokens.m_prompt_tokens;
    item.m_output = hint.m_prompt_tokens > 0.0 ? hint.m_prompt_tokens : tokens.m_output_tokens;
    item.m_model = net::find(incoming.m_headers, adapter::field::model);
    set_times(self, item, incoming.m_headers);
    item.m_content = content_of(incoming, item.m_organisation);
    item.m_request.m_method = std::move(incoming.m_method);
    item.m_request.m_target = std::move(incoming.m_target);
    item.m_request.m_host = net::find(incoming.m_headers, "Host");
    item.m_request.m_headers = forwardable(incoming.m_headers);
    item.m_request.m_body = std::move(incoming.m_body);
    if (!item.m_organisation.empty()) {
        item.m_request.m_headers.push_back({std::string{adapter::field::organisation}, item.m_organisation});
    }
}

} // namespace

} // namespace internal

auto on_caller(daemon& self, net::http_request incoming, std::shared_ptr<net::responder> answer) -> void {
    self.m_core.m_counters.add("requests_total");
    auto item = std::make_shared<exchange>();
    item->m_name = net::find(incoming.m_headers, adapter::field::attempt);
    item->m_arrived = steady_now();
    item->m_configuration = self.m_core.m_configuration;
    if (!item->m_configuration) {
        internal::log_rejected(self, item->m_name, "no configuration is known yet", 0);
        answer->respond(refusal(503U, "no configuration is known yet", internal::unknown_pause));
        return;
    }
    const auto version = static_cast<std::int64_t>(item->m_configuration->m_version);
    if (self.m_closed) {
        internal::log_rejected(self, item->m_name, "the gateway is stopping", version);
        answer->respond(refusal(503U, "the gateway is stopping", duration{1}));
        return;
    }
    const auto rejected = internal::resolve(self, incoming, *item);
    if (rejected.m_code != code::ok) {
        internal::log_rejected(self, item->m_name, rejected.m_detail, version);
        answer->respond(net::problem(rejected.m_code, outcome::not_run, rejected.m_detail, duration::zero()));
        return;
    }
    internal::fill(self, *item, std::move(incoming));
    item->m_id = request_id{++self.m_last_request};
    ++self.m_arrivals;
    item->m_answer = std::move(answer);
    self.m_exchanges.emplace(item->m_id, item);
    item->m_answer->on_close([&self, item] {
        drop_attempt(self, item, "the caller left");
        forget(self, item, 0U, "the caller left");
    });
    dispatch::note_request(self.m_services[item->m_service->m_name].m_budget, item->m_arrived);
    if (routing::crashes(self.m_quarantine, item->m_content, item->m_arrived) >= internal::most_crashes) {
        end_with(self, item, refusal(503U, "the request has crashed backend servers", std::chrono::seconds{2}),
                 "quarantined");
        return;
    }
    place(self, item);
}

} // namespace rhubarbwharf::gateway
