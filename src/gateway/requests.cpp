#include <algorithm>
#include <array>
#include <charconv>

#include <gateway/parts.hpp>
#include <platform/decode.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

/*! @brief Part of the caller's timeout that is reserved for the transit of the response. */
constexpr duration response_transit_time = std::chrono::milliseconds{4};
/*! @brief Period over which the longest timeout of a route's callers is measured. */
constexpr duration caller_timeout_window = std::chrono::seconds{10};
/*! @brief Fraction of the longest recent timeout below which a request is treated as a retry after a refusal. Timeouts
 * of first attempts differ by up to 15 in 100. */
constexpr double min_first_attempt_ratio = 0.83;
/*! @brief `Retry-After` while a newer configuration is being read. */
constexpr duration outdated_retry_after = std::chrono::milliseconds{300};
/*! @brief `Retry-After` while no configuration has been received. */
constexpr duration unconfigured_retry_after = std::chrono::milliseconds{300};
constexpr std::string_view bearer_prefix = "Bearer ";

namespace {

[[nodiscard]] auto to_lower(std::string_view text) -> std::string {
    std::string out{text};
    std::ranges::transform(out, out.begin(), [](const char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return out;
}

[[nodiscard]] auto equals_lower(const std::string_view left, const std::string_view lower_right) noexcept -> bool {
    return std::ranges::equal(left, lower_right, [](const char a, const char b) {
        return (a >= 'A' && a <= 'Z' ? static_cast<char>(a - 'A' + 'a') : a) == b;
    });
}

/*! @brief Checks whether a header is hop-by-hop, carries the API key, or is set by this system. */
[[nodiscard]] auto is_stripped_field(const std::string_view lower_name) noexcept -> bool {
    constexpr auto stripped = std::to_array<std::string_view>(
        {"connection", "keep-alive", "proxy-connection", "proxy-authorization", "proxy-authenticate", "te", "trailer",
         "transfer-encoding", "upgrade", "content-length", "host", "expect", "authorization"});
    return std::ranges::find(stripped, lower_name) != stripped.end() ||
           std::ranges::any_of(adapter::field::set_by_system,
                               [lower_name](const std::string_view each) { return equals_lower(each, lower_name); });
}

/*! @brief Returns the lower-case header names that the `Connection` headers of a request list. */
[[nodiscard]] auto connection_options(const std::vector<net::header>& headers) -> std::vector<std::string> {
    std::vector<std::string> out{};
    for (const auto& field : headers) {
        if (to_lower(field.m_name) != "connection") {
            continue;
        }
        std::string_view rest{field.m_value};
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            auto name = rest.substr(0U, comma);
            name.remove_prefix(std::min(name.find_first_not_of(" \t"), name.size()));
            name = name.substr(0U, name.find_last_not_of(" \t") + 1U);
            out.push_back(to_lower(name));
            rest.remove_prefix(std::min(comma + 1U, rest.size()));
        }
    }
    return out;
}

[[nodiscard]] auto forwardable_headers(const std::vector<net::header>& headers) -> std::vector<net::header> {
    const auto hop_by_hop = connection_options(headers);
    std::vector<net::header> out{};
    for (const auto& field : headers) {
        const auto name = to_lower(field.m_name);
        if (!is_stripped_field(name) && std::ranges::find(hop_by_hop, name) == hop_by_hop.end()) {
            out.push_back(field);
        }
    }
    return out;
}

[[nodiscard]] auto api_key(const std::vector<net::header>& headers) -> std::string {
    const auto field = net::find(headers, "Authorization");
    return field.starts_with(bearer_prefix) ? std::string{field.substr(bearer_prefix.size())} : std::string{};
}

[[nodiscard]] auto parse_milliseconds(const std::string_view text) -> std::optional<std::int64_t> {
    std::int64_t value{};
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    return read.ec == std::errc{} && value >= 0 ? std::optional{value} : std::nullopt;
}

/*! @brief Returns the longest timeout that callers of a route have sent recently, which is that of first attempts. */
[[nodiscard]] auto usual_caller_timeout(daemon& self, const fleet::route& route, const duration timeout,
                                        const time_point now) -> duration {
    auto& observed = self.m_caller_timeouts[route.m_name];
    if (timeout >= observed.m_longest || now - observed.m_observed_at > caller_timeout_window) {
        observed = {timeout, now};
    }
    return observed.m_longest;
}

/*! @brief Sets the deadline of an exchange and the latest on-time start of its response. The time that a caller has
 * already spent on refused attempts counts against the latter. */
auto set_deadlines(daemon& self, exchange& item, const std::vector<net::header>& headers) -> void {
    const auto& route = *item.m_route;
    const auto given = parse_milliseconds(net::find(headers, adapter::field::deadline));
    const auto remaining = given ? duration{std::chrono::milliseconds{*given}} : route.m_timeout;
    item.m_deadline =
        item.m_arrived_at + std::min(route.m_timeout, std::max(duration{1}, remaining - response_transit_time));
    const auto usual_timeout = given ? usual_caller_timeout(self, route, remaining, item.m_arrived_at) : remaining;
    const auto is_retry = remaining < std::chrono::duration_cast<duration>(usual_timeout * min_first_attempt_ratio);
    item.m_first_byte_deadline =
        item.m_arrived_at + route.m_first_byte_target - (is_retry ? usual_timeout - remaining : duration::zero());
}

[[nodiscard]] auto digest_content(const net::http_request& incoming, const std::string_view organisation)
    -> std::uint64_t {
    std::string text{organisation};
    text.append("\n").append(incoming.m_method).append(incoming.m_target).append("\n").append(incoming.m_body);
    return short_digest(text);
}

/*! @brief Reason to reject a request before it is scheduled; `code::ok` if it is accepted. */
struct rejection {
    code m_code{code::ok};
    std::string_view m_detail{};
};

/*! @brief Finds route, organisation, priority and service of a request. */
[[nodiscard]] auto resolve_route(daemon& self, const net::http_request& incoming, exchange& item) -> rejection {
    const auto& configuration = *item.m_configuration;
    item.m_route = fleet::find_route(configuration, net::find(incoming.m_headers, "Host"), incoming.m_target);
    if (item.m_route == nullptr) {
        return {code::not_found, "no route begins this path"};
    }
    const auto* const owner = fleet::find_key_owner(configuration, api_key(incoming.m_headers));
    if (owner == nullptr && configuration.m_requires_key && !item.m_route->m_public) {
        return {code::unauthorised, "no organisation holds this key"};
    }
    item.m_priority = item.m_route->m_priority;
    item.m_allowed_regions = item.m_route->m_allowed_regions;
    if (owner != nullptr) {
        item.m_organisation = owner->m_name;
        item.m_priority = owner->m_priority.value_or(item.m_priority);
        item.m_allowed_regions = fleet::intersect(item.m_allowed_regions, owner->m_allowed_regions);
    }
    item.m_service = fleet::find_service(configuration, fleet::pick_service(*item.m_route, self.m_core.m_random()));
    if (item.m_service == nullptr) {
        return {code::no_backend_server, "the route's service is not configured"};
    }
    item.m_urgency = fleet::urgency_of(*item.m_service, *item.m_route);
    return {};
}

/*! @brief Checks whether a newer configuration, which this gateway does not have yet, may allow a request. A caller
 * does not repeat what is not found or not authorised. */
[[nodiscard]] auto may_be_outdated(const daemon& self, const code rejected) -> bool {
    const auto is_unknown = rejected == code::not_found || rejected == code::unauthorised;
    return is_unknown &&
           fleet::is_outdated(self.m_core.m_configuration_offers, self.m_core.m_configuration->m_version, steady_now());
}

[[nodiscard]] auto closing_text(const net::close_reason reason) noexcept -> std::string_view {
    switch (reason) {
    case net::close_reason::slow_reader:
        return "the caller does not take its response";
    case net::close_reason::queue_full:
        return "too many bytes wait for the caller";
    default:
        return "the caller left";
    }
}

auto log_rejection(daemon& self, const std::string_view attempt_id, const std::string_view detail,
                   const std::int64_t version) -> void {
    self.m_core.m_events.write("request.rejected",
                               {{"id", attempt_id}, {"reason", detail}, {"configuration", version}});
    self.m_core.m_counters.add("requests_rejected_total");
}

auto fill_exchange(daemon& self, exchange& item, net::http_request&& incoming) -> void {
    const auto tokens = adapter::decode_token_counts(net::find(incoming.m_headers, adapter::field::tokens));
    const auto hint = adapter::decode_token_counts(net::find(incoming.m_headers, adapter::field::length_hint));
    item.m_prompt_tokens = tokens.m_prompt_tokens;
    // The hint is a single number, which is decoded as the first of the two counts.
    item.m_output_tokens = hint.m_prompt_tokens > 0.0 ? hint.m_prompt_tokens : tokens.m_output_tokens;
    item.m_model = net::find(incoming.m_headers, adapter::field::model);
    set_deadlines(self, item, incoming.m_headers);
    item.m_content_digest = digest_content(incoming, item.m_organisation);
    item.m_parts = shared_parts(item.m_model, net::find(incoming.m_headers, adapter::field::prompt_parts));
    item.m_request.m_method = std::move(incoming.m_method);
    item.m_request.m_target = std::move(incoming.m_target);
    item.m_request.m_host = net::find(incoming.m_headers, "Host");
    item.m_request.m_headers = forwardable_headers(incoming.m_headers);
    item.m_request.m_body = std::move(incoming.m_body);
    if (!item.m_organisation.empty()) {
        item.m_request.m_headers.push_back({std::string{adapter::field::organisation}, item.m_organisation});
    }
}

} // namespace

} // namespace internal

auto on_caller_request(daemon& self, net::http_request incoming, std::shared_ptr<net::responder> responder) -> void {
    self.m_core.m_counters.add("requests_total");
    auto item = std::make_shared<exchange>();
    item->m_attempt_id = net::find(incoming.m_headers, adapter::field::attempt);
    item->m_arrived_at = steady_now();
    item->m_configuration = self.m_core.m_configuration;
    if (!item->m_configuration) {
        internal::log_rejection(self, item->m_attempt_id, "no configuration is known yet", 0);
        responder->respond(refusal_response(503U, "no configuration is known yet", internal::unconfigured_retry_after));
        return;
    }
    const auto version = static_cast<std::int64_t>(item->m_configuration->m_version);
    if (self.m_draining) {
        internal::log_rejection(self, item->m_attempt_id, "the gateway is stopping", version);
        responder->respond(refusal_response(503U, "the gateway is stopping", duration{1}));
        return;
    }
    const auto rejected = internal::resolve_route(self, incoming, *item);
    if (rejected.m_code != code::ok) {
        internal::log_rejection(self, item->m_attempt_id, rejected.m_detail, version);
        if (internal::may_be_outdated(self, rejected.m_code)) {
            self.m_core.m_counters.add("requests_refused_as_outdated_total");
            responder->respond(
                refusal_response(503U, "a newer configuration is being read", internal::outdated_retry_after));
            return;
        }
        responder->respond(net::problem(rejected.m_code, outcome::not_run, rejected.m_detail, duration::zero()));
        return;
    }
    internal::fill_exchange(self, *item, std::move(incoming));
    item->m_id = request_id{++self.m_last_request_id};
    ++self.m_recent_requests;
    item->m_responder = std::move(responder);
    self.m_exchanges.emplace(item->m_id, item);
    item->m_responder->on_close([&self, item](const net::close_reason reason) {
        const auto text = internal::closing_text(reason);
        cancel_attempts(self, item, text);
        close_exchange(self, item, 0U, text);
    });
    auto& state = self.m_services[item->m_service->m_name];
    dispatch::record_request(state.m_retry_budget, item->m_arrived_at);
    state.m_hedge_allowance.m_max_share = self.m_core.m_settings.m_hedging.m_max_share;
    if (item->m_route->m_idempotency == fleet::idempotency::idempotent) {
        dispatch::record_request(state.m_hedge_allowance);
    }
    schedule(self, item);
}

} // namespace rhubarbwharf::gateway
