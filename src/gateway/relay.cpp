#include <algorithm>
#include <charconv>
#include <utility>

#include <gateway/daemon.hpp>
#include <platform/names.hpp>

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
    self.m_core.m_counters.observe("first_byte_seconds", now - item.m_arrived_at);
    self.m_core.m_counters.observe("backend_first_byte_seconds", item.m_first_byte_latency);
}

auto on_head(exchange& item, attempt& current, const net::http_response& head) -> void {
    current.m_head = head;
    clear_unread_tokens(current);
    const auto encoded = has_header(head, "Content-Encoding");
    current.m_is_stream = item.m_route->m_streaming && is_success(head.m_status) && !encoded &&
                          has_header(head, adapter::field::signature);
    if (current.m_is_stream && !item.m_stream_started) {
        item.m_weights_version = parse_number(net::find(head.m_headers, adapter::field::version));
    }
}

[[nodiscard]] auto response_head(const net::http_response& head) -> net::http_response {
    return {head.m_status, head.m_headers, {}};
}

auto on_body_part(daemon& self, exchange& item, attempt& current, const std::string_view part) -> void {
    if (!current.m_is_stream) {
        current.m_body.append(
            part.substr(0U, max_buffered_bytes - std::min(current.m_body.size(), max_buffered_bytes)));
        return;
    }
    item.m_events.append(part);
    const auto events = item.m_events.take_complete_events();
    if (events.empty()) {
        return;
    }
    if (!item.m_stream_started) {
        item.m_stream_started = true;
        item.m_responder->start(response_head(*current.m_head));
    }
    const auto now = steady_now();
    if (item.m_event_bytes > 0U) {
        item.m_longest_pause = std::max<duration>(item.m_longest_pause, now - item.m_last_event_at);
    } else {
        record_first_byte(self, item, current);
    }
    item.m_last_event_at = now;
    item.m_event_bytes += events.size();
    item.m_responder->write(events);
}

/*! @brief Ends a stream that has been received completely. */
auto finish_stream(daemon& self, const std::shared_ptr<exchange>& item) -> void {
    if (!item->m_stream_started) {
        item->m_responder->start(response_head(*item->m_attempt->m_head));
    }
    dispatch::record_success(item->m_attempt->m_backend->m_health);
    routing::clear_crashes(self.m_quarantine, item->m_content_digest);
    const auto status = item->m_attempt->m_head->m_status;
    item->m_responder->finish();
    close_exchange(self, item, status, "answered");
}

/*! @brief Updates the load entry from a refusal: the model is not held, or there is no capacity until the next report.
 */
auto apply_refusal(dispatch::server_load& backend, const std::uint16_t status) -> void {
    if (status == status_misdirected) {
        backend.m_models.clear();
    } else {
        backend.m_other_requests = std::max(backend.m_other_requests, static_cast<double>(backend.m_slots) + 1.0);
        backend.m_last_refused = steady_now();
    }
}

/*! @brief Forwards a buffered response that has been received completely, or retries the request. */
auto handle_complete_response(daemon& self, const std::shared_ptr<exchange>& item) -> void {
    auto& current = *item->m_attempt;
    const auto status = current.m_head->m_status;
    auto& health = current.m_backend->m_health;
    if (is_not_executed(*current.m_head)) {
        dispatch::release_probe(health);
        apply_refusal(*current.m_backend, status);
        retry_or_end(self, item, {true, true, status == status_misdirected ? "misdirected" : "the server is full"});
        return;
    }
    const auto signed_by_server = has_header(*current.m_head, adapter::field::signature);
    const auto encoded = has_header(*current.m_head, "Content-Encoding");
    if (!signed_by_server || encoded || implies_not_run(status) || current.m_body.size() >= max_buffered_bytes) {
        dispatch::record_failure(health, service_failure_rate(self, *current.m_backend), steady_now());
        retry_or_end(self, item, {false, true, "the answer is not the server's own"});
        return;
    }
    if (status >= status_server_error) {
        dispatch::record_failure(health, service_failure_rate(self, *current.m_backend), steady_now());
        const auto idempotent = item->m_route->m_idempotency == fleet::idempotency::idempotent;
        if (idempotent && item->m_tried_servers.size() < item->m_route->m_max_attempts) {
            if (dispatch::try_acquire_retry(self.m_services[item->m_service->m_name].m_retry_budget, steady_now())) {
                cancel_attempt(self, item, "server error");
                item->m_may_have_run = true;
                schedule(self, item);
                return;
            }
        }
    } else {
        dispatch::record_success(health);
        routing::clear_crashes(self.m_quarantine, item->m_content_digest);
        record_first_byte(self, *item, current);
    }
    net::http_response response{status, current.m_head->m_headers, std::move(current.m_body)};
    end_with_response(self, item, std::move(response), "answered");
}

/*! @brief Handles a call that ended before the response was complete. */
auto on_incomplete_response(daemon& self, const std::shared_ptr<exchange>& item, const net::call_end& end) -> void {
    auto& backend = *item->m_attempt->m_backend;
    const auto now = steady_now();
    const auto sent = end.m_sent == net::sent::some;
    if (!sent) {
        dispatch::eject(backend.m_health, now);
        self.m_core.m_events.write("server.unreachable", {{"server", backend.m_id}, {"id", item->m_attempt_id}});
    } else if (dispatch::record_failure(backend.m_health, service_failure_rate(self, backend), now)) {
        self.m_core.m_events.write("server.ejected", {{"server", backend.m_id}, {"id", item->m_attempt_id}});
    }
    if (sent && end.m_code != code::timed_out) {
        attribute_crash(self, *item);
    }
    retry_or_end(self, item,
                 {!sent, sent, end.m_code == code::timed_out ? "no answer in time" : "the connection broke"});
}

auto on_call_end(daemon& self, const std::shared_ptr<exchange>& item, const net::call_end& end) -> void {
    const auto& current = *item->m_attempt;
    const auto is_complete = end.m_code == code::ok && current.m_head;
    if (!is_complete || (current.m_is_stream && item->m_events.has_partial_event())) {
        on_incomplete_response(self, item, end);
    } else if (current.m_is_stream) {
        finish_stream(self, item);
    } else {
        handle_complete_response(self, item);
    }
}

} // namespace

auto make_call_handlers(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& current)
    -> net::call_handlers {
    const auto is_current = [item, current] {
        return !item->m_ended && item->m_attempt == current;
    };
    net::call_handlers out{};
    out.m_on_head = [item, current, is_current](const net::http_response& head) {
        if (is_current()) {
            on_head(*item, *current, head);
        }
    };
    out.m_on_part = [&self, item, current, is_current](const std::string_view part) {
        if (is_current()) {
            on_body_part(self, *item, *current, part);
        }
    };
    out.m_on_end = [&self, item, is_current](const net::call_end& end) {
        if (is_current()) {
            on_call_end(self, item, end);
        }
    };
    return out;
}

} // namespace rhubarbwharf::gateway::internal
