#include <algorithm>
#include <charconv>
#include <utility>

#include <gateway/crash_records.hpp>
#include <gateway/limits.hpp>
#include <gateway/parts.hpp>
#include <gateway/retries.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/net/held_bytes.hpp>

namespace rhubarbwharf::gateway::internal {

/*! @brief Size from which a buffered response is treated as a failure instead of being forwarded. */
constexpr std::size_t max_buffered_bytes = std::size_t{8} * 1024U * 1024U;

namespace {

constexpr std::uint16_t status_ok = 200U;
constexpr std::uint16_t status_multiple_choices = 300U;
constexpr std::uint16_t status_timeout = 408U;
constexpr std::uint16_t status_misdirected = 421U;
constexpr std::uint16_t status_too_many = 429U;
constexpr std::uint16_t status_server_error = 500U;
constexpr std::uint16_t status_unavailable = 503U;

[[nodiscard]] auto has_header(const net::http_response& head, const std::string_view name) -> bool {
    return !net::find(head.m_headers, name).empty();
}

[[nodiscard]] auto is_success(const std::uint16_t status) noexcept -> bool {
    return status >= status_ok && status < status_multiple_choices;
}

/*! @brief Checks whether the backend server states that it did not run the request. */
[[nodiscard]] auto is_not_executed(const net::http_response& head) -> bool {
    return head.m_status == status_misdirected || has_header(head, adapter::field::not_executed);
}

/*! @brief Checks whether a status would tell the caller that the request did not run. */
[[nodiscard]] auto implies_not_run(const std::uint16_t status) noexcept -> bool {
    return status == status_timeout || status == status_misdirected || status == status_too_many ||
           status == status_unavailable;
}

[[nodiscard]] auto parse_number(const std::string_view text) -> std::uint64_t {
    std::uint64_t out{};
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

/*! @brief Subtracts the prompt from the backend server's unread tokens once the response has begun. */
auto clear_unread_tokens(attempt& current) -> void {
    current.m_backend->m_unread_prompt_tokens =
        std::max(0.0, current.m_backend->m_unread_prompt_tokens - std::exchange(current.m_unread_tokens, 0.0));
}

auto record_first_byte(daemon& self, exchange& item, const attempt& current) -> void {
    const auto now = steady_now();
    item.m_first_byte_latency = now - current.m_sent_at;
    dispatch::record_latency(self.m_tail_latencies[item.m_route->m_name], item.m_first_byte_latency);
    self.m_core.m_counters.observe("first_byte_seconds", now - item.m_arrived_at);
    self.m_core.m_counters.observe("backend_first_byte_seconds", item.m_first_byte_latency);
}

auto on_head(const exchange& item, attempt& current, const net::http_response& head) -> void {
    current.m_head = head;
    clear_unread_tokens(current);
    const auto encoded = has_header(head, "Content-Encoding");
    current.m_is_stream = item.m_route->m_streaming && is_success(head.m_status) && !encoded &&
                          has_header(head, adapter::field::signature);
}

[[nodiscard]] auto response_head(const net::http_response& head) -> net::http_response {
    return {head.m_status, head.m_headers, {}};
}

/*! @brief Starts the stream to the caller with the head of the attempt that is kept. */
auto start_stream(exchange& item, const attempt& current) -> void {
    item.m_stream_started = true;
    item.m_weights_version = parse_number(net::find(current.m_head->m_headers, adapter::field::version));
    item.m_responder->start(response_head(*current.m_head));
}

/*! @brief Forwards complete events to the caller. */
auto forward_events(daemon& self, exchange& item, const attempt& current, const std::string_view events) -> void {
    if (!item.m_stream_started) {
        start_stream(item, current);
    }
    const auto now = steady_now();
    if (item.m_event_bytes > 0U) {
        item.m_longest_pause = std::max<duration>(item.m_longest_pause, now - item.m_last_event_at);
    } else {
        record_first_byte(self, item, current);
    }
    item.m_last_event_at = now;
    item.m_event_bytes += events.size();
    item.m_resumed_to_end = false;
    item.m_responder->write(events);
}

auto on_incomplete_response(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& ended,
                            const net::call_end& end) -> void;

/*! @brief Ends an attempt whose response exceeds a limit of the gateway. */
auto on_too_large(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& ended,
                  const std::string_view limit) -> void {
    self.m_core.m_events.write("response.too_large",
                               {{"server", ended->m_backend->m_id}, {"id", item->m_attempt_id}, {"limit", limit}});
    on_incomplete_response(self, item, ended, {code::too_large, net::sent::some, limit});
}

/*! @brief Returns the events received so far in the response to an attempt. */
[[nodiscard]] auto events_of(exchange& item, attempt& of) noexcept -> event_stream& {
    return &of == item.m_hedge.get() ? of.m_events : item.m_events;
}

/*! @brief Ends one attempt if the incomplete responses to all requests take more than `net::max_held_bytes`.
 * @param current The attempt whose response has grown; small ones are not looked at. */
auto limit_held_bytes(daemon& self, exchange& item, attempt& current) -> void {
    constexpr std::size_t least_checked_bytes = std::size_t{64} * 1024U;
    const auto bytes_of = [](exchange& owner, attempt& each) {
        return each.m_body.capacity() + events_of(owner, each).buffered_bytes();
    };
    if (bytes_of(item, current) < least_checked_bytes) {
        return;
    }
    std::vector<std::pair<std::shared_ptr<exchange>, std::shared_ptr<attempt>>> attempts{};
    std::vector<net::held_response> held{};
    for (const auto& [id, owner] : self.m_exchanges) {
        for (const auto& each : {owner->m_attempt, owner->m_hedge}) {
            if (each) {
                attempts.emplace_back(owner, each);
                held.push_back({each->m_backend->m_id, bytes_of(*owner, *each)});
            }
        }
    }
    if (const auto excess = net::find_excess(held, net::max_held_bytes)) {
        const auto& [owner, each] = attempts[*excess];
        on_too_large(self, owner, each, "held_bytes");
    }
}

auto on_body_part(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& current,
                  const std::string_view part) -> void {
    if (!current->m_is_stream) {
        if (current->m_body.size() + part.size() > max_buffered_bytes) {
            on_too_large(self, item, current, "buffered_bytes");
        } else {
            current->m_body.append(part);
            limit_held_bytes(self, *item, *current);
        }
        return;
    }
    auto& received = events_of(*item, *current);
    received.append(part);
    const auto events = received.take_complete_events();
    const auto is_too_large = received.is_event_too_large();
    if (!events.empty()) {
        on_delivery(self, *item, *current, false);
        withdraw_hedge(self, *item);
        keep_attempt(self, item, current);
        forward_events(self, *item, *current, events);
    }
    if (is_too_large) {
        on_too_large(self, item, current, "event_bytes");
    } else {
        limit_held_bytes(self, *item, *current);
    }
}

/*! @brief Ends a stream that has been received completely. */
auto finish_stream(daemon& self, const std::shared_ptr<exchange>& item) -> void {
    if (!item->m_stream_started) {
        start_stream(*item, *item->m_attempt);
    }
    dispatch::record_success(item->m_attempt->m_backend->m_health);
    on_delivery(self, *item, *item->m_attempt, true);
    exculpate(self, *item);
    const auto status = item->m_attempt->m_head->m_status;
    item->m_responder->finish();
    close_exchange(self, item, status, "answered");
}

/*! @brief Updates the load entry from a refusal: the model is not held, or there is no capacity for a while. */
auto apply_refusal(dispatch::server_load& backend, const std::uint16_t status) -> void {
    if (status == status_misdirected) {
        backend.m_models.clear();
    } else {
        dispatch::record_refusal(backend, steady_now());
    }
}

/*! @brief Forwards a buffered response that has been received completely, or retries the request. */
auto handle_complete_response(daemon& self, const std::shared_ptr<exchange>& item,
                              const std::shared_ptr<attempt>& ended) -> void {
    auto& current = *ended;
    const auto status = current.m_head->m_status;
    auto& health = current.m_backend->m_health;
    if (is_not_executed(*current.m_head)) {
        dispatch::release_probe(health);
        apply_refusal(*current.m_backend, status);
        retry_or_end(self, item, ended,
                     {true, true, status == status_misdirected ? "misdirected" : "the server is full"});
        return;
    }
    if (item->m_stream_started) {
        dispatch::record_failure(health, service_failure_rate(self, *current.m_backend), steady_now());
        retry_or_end(self, item, ended, {false, true, "the answer does not continue the stream"});
        return;
    }
    const auto signed_by_server = has_header(*current.m_head, adapter::field::signature);
    const auto encoded = has_header(*current.m_head, "Content-Encoding");
    if (!signed_by_server || encoded || implies_not_run(status) || current.m_body.size() >= max_buffered_bytes) {
        if (current.m_backend->m_paused_until <= steady_now()) {
            dispatch::record_failure(health, service_failure_rate(self, *current.m_backend), steady_now());
        }
        retry_or_end(self, item, ended, {false, true, "the answer is not the server's own"});
        return;
    }
    if (status >= status_server_error) {
        dispatch::record_failure(health, service_failure_rate(self, *current.m_backend), steady_now());
        if (item->m_hedge) {
            item->m_server_error = net::http_response{status, current.m_head->m_headers, std::move(current.m_body)};
            item->m_may_have_run = true;
            cancel_attempt(self, item, ended, "server error");
            return;
        }
        const auto idempotent = item->m_route->m_idempotency == fleet::idempotency::idempotent;
        if (idempotent && item->m_tried_servers.size() < item->m_route->m_max_attempts) {
            if (grant_retry(self, *item, dispatch::retry_cause::failure)) {
                item->m_server_error = net::http_response{status, current.m_head->m_headers, std::move(current.m_body)};
                cancel_attempt(self, item, ended, "server error");
                item->m_may_have_run = true;
                schedule(self, item);
                return;
            }
        }
    } else {
        dispatch::record_success(health);
        on_delivery(self, *item, current, true);
        exculpate(self, *item);
        record_first_byte(self, *item, current);
    }
    keep_attempt(self, item, ended);
    net::http_response response{status, current.m_head->m_headers, std::move(current.m_body)};
    end_with_response(self, item, std::move(response), "answered");
}

/*! @brief Checks whether the connection to a backend server was lost, so that the server may have ended. */
[[nodiscard]] auto is_connection_lost(const net::call_end& end) noexcept -> bool {
    return !end.m_is_malformed && end.m_code != code::timed_out && end.m_code != code::too_large;
}

/*! @brief Returns why a response is not complete. */
[[nodiscard]] auto failure_reason(const net::call_end& end) noexcept -> std::string_view {
    if (is_connection_lost(end)) {
        return "the connection broke";
    }
    if (end.m_is_malformed) {
        return "the answer is malformed";
    }
    return end.m_code == code::timed_out ? "no answer in time" : "the answer exceeds a limit";
}

/*! @brief Handles a call that ended before the response was complete. */
auto on_incomplete_response(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& ended,
                            const net::call_end& end) -> void {
    auto& backend = *ended->m_backend;
    const auto now = steady_now();
    const auto sent = end.m_sent == net::sent::some;
    if (!sent) {
        dispatch::eject(backend.m_health, now);
        self.m_core.m_events.write("server.unreachable", {{"server", backend.m_id}, {"id", item->m_attempt_id}});
    } else if (dispatch::record_failure(backend.m_health, service_failure_rate(self, backend), now)) {
        self.m_core.m_events.write("server.ejected", {{"server", backend.m_id}, {"id", item->m_attempt_id}});
    }
    if (end.m_is_malformed) {
        self.m_core.m_counters.add("responses_malformed_total", 1.0, item->m_service->m_name);
    }
    if (sent && is_connection_lost(end)) {
        item->m_has_lost_connection = true;
        on_server_crash(self, *item, *ended);
        attribute_crash(self, *item, ended->m_backend);
    }
    retry_or_end(self, item, ended, {!sent, sent, failure_reason(end)});
}

auto on_call_end(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& ended,
                 const net::call_end& end) -> void {
    const auto& received = events_of(*item, *ended);
    const auto is_complete = end.m_code == code::ok && ended->m_head;
    if (!is_complete || (ended->m_is_stream && received.has_partial_event())) {
        on_incomplete_response(self, item, ended, end);
    } else if (ended == item->m_hedge && item->m_stream_started && ended->m_is_stream) {
        item->m_resumed_to_end = true;
        cancel_attempt(self, item, ended, "the resumed stream has no further event");
    } else if (ended->m_is_stream) {
        keep_attempt(self, item, ended);
        finish_stream(self, item);
    } else {
        handle_complete_response(self, item, ended);
    }
}

} // namespace

auto make_call_handlers(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& current)
    -> net::call_handlers {
    const auto is_current = [item, current] {
        return !item->m_ended && (item->m_attempt == current || item->m_hedge == current);
    };
    net::call_handlers out{};
    out.m_on_head = [&self, item, current, is_current](const net::http_response& head) {
        if (is_current()) {
            dispatch::record_sign_of_life(*current->m_backend, steady_now());
            on_server_alive(self, *current->m_backend);
            on_server_headers(self, *current->m_backend, head);
            on_limit_header(self, *current->m_backend, head, current->m_sent_at);
            on_head(*item, *current, head);
            if (!current->m_is_stream) {
                withdraw_hedge(self, *item);
            }
        }
    };
    out.m_on_part = [&self, item, current, is_current](const std::string_view part) {
        if (is_current()) {
            dispatch::record_sign_of_life(*current->m_backend, steady_now());
            on_server_alive(self, *current->m_backend);
            on_body_part(self, item, current, part);
        }
    };
    out.m_on_end = [&self, item, current, is_current](const net::call_end& end) {
        if (is_current()) {
            on_call_end(self, item, current, end);
        }
    };
    return out;
}

} // namespace rhubarbwharf::gateway::internal
