#include <algorithm>
#include <charconv>
#include <utility>

#include <gateway/daemon.hpp>
#include <platform/names.hpp>

namespace rhubarbwharf::gateway::internal {

/*! @brief Largest answer that is gathered before it is passed on; a larger one ends as a failure. */
constexpr std::size_t most_gathered_bytes = std::size_t{8} * 1024U * 1024U;

namespace {

constexpr std::uint16_t status_ok = 200U;
constexpr std::uint16_t status_past_ok = 300U;
constexpr std::uint16_t status_timeout = 408U;
constexpr std::uint16_t status_misdirected = 421U;
constexpr std::uint16_t status_too_many = 429U;
constexpr std::uint16_t status_server_error = 500U;
constexpr std::uint16_t status_unavailable = 503U;

[[nodiscard]] auto has(const net::http_response& head, const std::string_view name) -> bool {
    return !net::find(head.m_headers, name).empty();
}

[[nodiscard]] auto is_success(const std::uint16_t status) noexcept -> bool {
    return status >= status_ok && status < status_past_ok;
}

/*! @brief Tells whether the backend server says that it did not run the request. */
[[nodiscard]] auto is_not_run(const net::http_response& head) -> bool {
    return head.m_status == status_misdirected || has(head, adapter::field::not_executed);
}

/*! @brief Tells whether a status would promise the caller that the request did not run. */
[[nodiscard]] auto is_promise(const std::uint16_t status) noexcept -> bool {
    return status == status_timeout || status == status_misdirected || status == status_too_many ||
           status == status_unavailable;
}

[[nodiscard]] auto number_of(const std::string_view text) -> std::uint64_t {
    std::uint64_t out{};
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

/*! @brief Counts the prompt as read once the answer has begun. */
auto note_begun(attempt& made) -> void {
    made.m_backend->m_unread = std::max(0.0, made.m_backend->m_unread - std::exchange(made.m_unread, 0.0));
}

auto observe_first(daemon& self, exchange& item, const attempt& made) -> void {
    const auto now = steady_now();
    item.m_first = now - made.m_sent;
    self.m_core.m_counters.observe("first_byte_seconds", now - item.m_arrived);
    self.m_core.m_counters.observe("backend_first_byte_seconds", item.m_first);
}

auto on_head(exchange& item, attempt& made, const net::http_response& head) -> void {
    made.m_head = head;
    note_begun(made);
    const auto encoded = has(head, "Content-Encoding");
    made.m_is_stream =
        item.m_route->m_streams && is_success(head.m_status) && !encoded && has(head, adapter::field::signature);
    if (made.m_is_stream && !item.m_started) {
        item.m_version = number_of(net::find(head.m_headers, adapter::field::version));
    }
}

[[nodiscard]] auto passed_on(const net::http_response& head) -> net::http_response {
    return {head.m_status, head.m_headers, {}};
}

auto on_part(daemon& self, exchange& item, attempt& made, const std::string_view part) -> void {
    if (!made.m_is_stream) {
        made.m_body.append(part.substr(0U, most_gathered_bytes - std::min(made.m_body.size(), most_gathered_bytes)));
        return;
    }
    item.m_events.feed(part);
    const auto events = item.m_events.take();
    if (events.empty()) {
        return;
    }
    if (!item.m_started) {
        item.m_started = true;
        item.m_answer->start(passed_on(*made.m_head));
    }
    const auto now = steady_now();
    if (item.m_event_bytes > 0U) {
        item.m_longest_pause = std::max<duration>(item.m_longest_pause, now - item.m_last_event);
    } else {
        observe_first(self, item, made);
    }
    item.m_last_event = now;
    item.m_event_bytes += events.size();
    item.m_answer->write(events);
}

/*! @brief Ends a stream whose last byte has come. */
auto finish_stream(daemon& self, const std::shared_ptr<exchange>& item) -> void {
    if (!item->m_started) {
        item->m_answer->start(passed_on(*item->m_attempt->m_head));
    }
    dispatch::succeed(item->m_attempt->m_backend->m_health);
    routing::clear(self.m_quarantine, item->m_content);
    const auto status = item->m_attempt->m_head->m_status;
    item->m_answer->finish();
    forget(self, item, status, "answered");
}

/*! @brief Takes over what a refusal tells: the model is not held, or there is no room until the next report. */
auto note_refusal(dispatch::server_load& row, const std::uint16_t status) -> void {
    if (status == status_misdirected) {
        row.m_models.clear();
    } else {
        row.m_others = std::max(row.m_others, static_cast<double>(row.m_slots) + 1.0);
        row.m_refused = steady_now();
    }
}

/*! @brief Judges an answer that came whole: passes it on, or has the request repeated. */
auto judge(daemon& self, const std::shared_ptr<exchange>& item) -> void {
    auto& made = *item->m_attempt;
    const auto status = made.m_head->m_status;
    auto& health = made.m_backend->m_health;
    if (is_not_run(*made.m_head)) {
        dispatch::release(health);
        note_refusal(*made.m_backend, status);
        retry_or_end(self, item, {true, true, status == status_misdirected ? "misdirected" : "the server is full"});
        return;
    }
    const auto signed_by_server = has(*made.m_head, adapter::field::signature);
    const auto encoded = has(*made.m_head, "Content-Encoding");
    if (!signed_by_server || encoded || is_promise(status) || made.m_body.size() >= most_gathered_bytes) {
        dispatch::fail(health, service_failure_rate(self, *made.m_backend), steady_now());
        retry_or_end(self, item, {false, true, "the answer is not the server's own"});
        return;
    }
    if (status >= status_server_error) {
        dispatch::fail(health, service_failure_rate(self, *made.m_backend), steady_now());
        const auto repeats = item->m_route->m_repeat == fleet::repeat::idempotent;
        if (repeats && item->m_tried.size() < item->m_route->m_attempts) {
            if (dispatch::take_repeat(self.m_services[item->m_service->m_name].m_budget, steady_now())) {
                drop_attempt(self, item, "server error");
                item->m_may_have_run = true;
                place(self, item);
                return;
            }
        }
    } else {
        dispatch::succeed(health);
        routing::clear(self.m_quarantine, item->m_content);
        observe_first(self, *item, made);
    }
    net::http_response answer{status, made.m_head->m_headers, std::move(made.m_body)};
    end_with(self, item, std::move(answer), "answered");
}

/*! @brief Acts on a connection that ended before the answer was whole. */
auto on_cut(daemon& self, const std::shared_ptr<exchange>& item, const net::call_end& end) -> void {
    auto& row = *item->m_attempt->m_backend;
    const auto now = steady_now();
    const auto sent = end.m_sent == net::sent::some;
    if (!sent) {
        dispatch::eject(row.m_health, now);
        self.m_core.m_events.write("server.unreachable", {{"server", row.m_id}, {"id", item->m_name}});
    } else if (dispatch::fail(row.m_health, service_failure_rate(self, row), now)) {
        self.m_core.m_events.write("server.ejected", {{"server", row.m_id}, {"id", item->m_name}});
    }
    if (sent && end.m_code != code::timed_out) {
        blame(self, *item);
    }
    retry_or_end(self, item,
                 {!sent, sent, end.m_code == code::timed_out ? "no answer in time" : "the connection broke"});
}

auto on_end(daemon& self, const std::shared_ptr<exchange>& item, const net::call_end& end) -> void {
    const auto& made = *item->m_attempt;
    const auto came = end.m_code == code::ok && made.m_head;
    if (!came || (made.m_is_stream && item->m_events.has_part())) {
        on_cut(self, item, end);
    } else if (made.m_is_stream) {
        finish_stream(self, item);
    } else {
        judge(self, item);
    }
}

} // namespace

auto handlers_for(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& made)
    -> net::call_handlers {
    const auto is_current = [item, made] {
        return !item->m_ended && item->m_attempt == made;
    };
    net::call_handlers out{};
    out.m_on_head = [item, made, is_current](const net::http_response& head) {
        if (is_current()) {
            on_head(*item, *made, head);
        }
    };
    out.m_on_part = [&self, item, made, is_current](const std::string_view part) {
        if (is_current()) {
            on_part(self, *item, *made, part);
        }
    };
    out.m_on_end = [&self, item, is_current](const net::call_end& end) {
        if (is_current()) {
            on_end(self, item, end);
        }
    };
    return out;
}

} // namespace rhubarbwharf::gateway::internal
