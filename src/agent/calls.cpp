#include <agent/daemon.hpp>

#include <algorithm>
#include <array>
#include <cctype>

#include <agent/calls.hpp>
#include <agent/journal.hpp>
#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/net/held_bytes.hpp>

namespace rhubarbwharf::agent {

namespace internal {

constexpr std::uint16_t status_unavailable = 503;
constexpr std::string_view event_stream_type = "text/event-stream";
constexpr std::size_t fingerprint_digits = 16;
constexpr auto dropped_headers =
    std::to_array<std::string_view>({"host", "connection", "content-length", "transfer-encoding", "authorization",
                                     "x-request-id", "x-priority", "x-deadline-ms", "x-resume-tokens", "x-fencing"});

[[nodiscard]] auto lower_case(const std::string_view name) -> std::string {
    std::string result{name};
    std::ranges::transform(result, result.begin(),
                           [](const unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

[[nodiscard]] auto is_dropped(const std::string_view name) -> bool {
    return std::ranges::find(dropped_headers, lower_case(name)) != dropped_headers.end();
}

[[nodiscard]] auto make_answer_envelope(const daemon& self) -> wire::Envelope {
    return make_envelope(self);
}

auto send_head(daemon& self, relay& attempt, const net::http_response& head) -> void {
    auto message = make_answer_envelope(self);
    auto& out = *message.mutable_answer_head();
    out.set_request(attempt.m_dispatch.request());
    out.set_attempt(attempt.m_dispatch.attempt());
    out.set_status(head.m_status);
    for (const auto& field : head.m_headers) {
        if (!is_dropped(field.m_name)) {
            auto& copy = *out.add_headers();
            copy.set_name(field.m_name);
            copy.set_value(field.m_value);
        }
    }
    if (attempt.m_admitted_version.m_manifest != digest{}) {
        out.set_manifest(std::string{as_bytes(attempt.m_admitted_version.m_manifest)});
    }
    attempt.m_has_head = true;
    send(self, attempt.m_entry, message);
}

auto fail_relay(relay& attempt, const code reason) -> void {
    if (attempt.m_fault == code::ok) {
        attempt.m_fault = reason;
    }
    if (attempt.m_call) {
        attempt.m_call->cancel();
    }
}

auto send_part(daemon& self, relay& attempt, event_batch batch) -> void {
    if (batch.m_bytes.empty() || !attempt.m_has_head || attempt.m_fault != code::ok) {
        return;
    }
    auto message = make_answer_envelope(self);
    auto& out = *message.mutable_answer_part();
    out.set_request(attempt.m_dispatch.request());
    out.set_attempt(attempt.m_dispatch.attempt());
    out.set_sequence(attempt.m_sent_parts);
    out.set_tokens(batch.m_tokens);
    self.m_counters.add("agent_tokens_total", batch.m_tokens);
    out.set_bytes(std::move(batch.m_bytes));
    if (!send(self, attempt.m_entry, message)) {
        fail_relay(attempt, code::send_queue_full);
        return;
    }
    ++attempt.m_sent_parts;
}

auto on_head(daemon& self, relay& attempt, const net::http_response& head) -> void {
    attempt.m_http_status = head.m_status;
    attempt.m_scanner.m_is_stream = net::find(head.m_headers, "Content-Type").starts_with(event_stream_type);
    const auto is_engine = !self.m_settings.m_backend.m_plain_service;
    if (is_engine && head.m_status == status_unavailable) {
        return;
    }
    if (is_engine) {
        attempt.m_scanner.m_expected_fingerprint =
            to_hex(attempt.m_admitted_version.m_content).substr(0, fingerprint_digits);
    }
    send_head(self, attempt, head);
}

/*! @brief Ends the relay with the largest incomplete answer if those of all relays take more than `max_held_bytes`.
 * @param attempt The relay whose answer has grown; small ones are not looked at. */
auto limit_held_bytes(daemon& self, const relay& attempt) -> void {
    constexpr std::size_t least_checked_bytes = 64U << 10U;
    if (held_bytes(attempt.m_scanner) < least_checked_bytes) {
        return;
    }
    std::vector<std::shared_ptr<relay>> relays{};
    std::vector<net::held_response> held{};
    for (const auto& [id, each] : self.m_relays) {
        if (each->m_fault == code::ok) {
            relays.push_back(each);
            held.push_back({self.m_settings.m_backend.m_address, held_bytes(each->m_scanner)});
        }
    }
    if (const auto excess = net::find_excess(held, max_held_bytes)) {
        self.m_counters.add("agent_held_bytes_exceeded_total");
        fail_relay(*relays[*excess], code::too_large);
    }
}

auto on_part(daemon& self, relay& attempt, const std::string_view bytes) -> void {
    auto batch = scan(attempt.m_scanner, bytes);
    if (attempt.m_scanner.m_has_other_version) {
        self.m_counters.add("agent_foreign_answers_total");
        return fail_relay(attempt, code::wrong_version);
    }
    if (is_oversize(attempt.m_scanner)) {
        return fail_relay(attempt, code::too_large);
    }
    send_part(self, attempt, std::move(batch));
    limit_held_bytes(self, attempt);
}

/**
 * @brief Checks whether the gate closed or opened while an answer without fingerprints was relayed: it is unknown then
 * which version the answer came from. The phase `closing` is excepted, as the engine keeps its version until the
 * requests in progress have ended.
 */
[[nodiscard]] auto has_changed_without_fingerprint(const daemon& self, const relay& attempt) -> bool {
    const auto is_engine = !self.m_settings.m_backend.m_plain_service;
    return is_engine && attempt.m_gate_generation != self.m_gate.m_generation &&
           attempt.m_scanner.m_matching_fingerprints == 0 && self.m_gate.m_phase != phase::closing;
}

[[nodiscard]] auto end_code(const daemon& self, const relay& attempt, const net::call_end& end) -> code {
    if (attempt.m_is_cancelled) {
        return code::cancelled;
    }
    if (attempt.m_fault != code::ok) {
        return attempt.m_fault;
    }
    if (end.m_code != code::ok) {
        return end.m_code == code::timed_out ? code::timed_out : code::backend_server_failed;
    }
    if (attempt.m_scanner.m_is_stream && !attempt.m_scanner.m_is_done) {
        return code::cut_stream;
    }
    return has_changed_without_fingerprint(self, attempt) ? code::wrong_version : code::ok;
}

[[nodiscard]] auto is_refused_by_engine(const daemon& self, const relay& attempt) -> bool {
    return !self.m_settings.m_backend.m_plain_service && attempt.m_http_status == status_unavailable;
}

[[nodiscard]] auto make_attempt_end(daemon& self, const relay& attempt, const net::call_end& end) -> attempt_end {
    attempt_end result{};
    result.m_code = end_code(self, attempt, end);
    const auto was_not_sent = end.m_code != code::ok && end.m_sent == net::sent::nothing;
    if (was_not_sent || is_refused_by_engine(self, attempt)) {
        result.m_not_run = record_refusal(self.m_admission, attempt.m_id, steady_now());
        result.m_code = attempt.m_is_cancelled ? code::cancelled : code::no_backend_server;
        result.m_retry_after = std::chrono::seconds{1};
    }
    result.m_crashed = end.m_code == code::connection_failed || end.m_code == code::cut_stream;
    result.m_crashed = result.m_crashed && !result.m_not_run && !attempt.m_is_cancelled;
    return result;
}

auto on_end(daemon& self, const std::shared_ptr<relay>& attempt, const net::call_end& end) -> void {
    if (end.m_code == code::ok && attempt->m_fault == code::ok) {
        auto rest = finish(attempt->m_scanner);
        if (attempt->m_scanner.m_has_other_version) {
            attempt->m_fault = code::wrong_version;
        }
        send_part(self, *attempt, std::move(rest));
    }
    attempt->m_is_running = false;
    attempt->m_call.reset();
    const auto result = make_attempt_end(self, *attempt, end);
    if (result.m_crashed) {
        send_probe(self);
    }
    end_relay(self, *attempt);
    send_end(self, *attempt, result);
    process_queue(self);
    advance_gate(self);
}

[[nodiscard]] auto deadline_of(const daemon& self, const wire::Dispatch& dispatch) -> time_point {
    const auto requested_ms =
        dispatch.deadline_ms() > 0 ? dispatch.deadline_ms() : self.m_settings.m_routing.m_default_deadline_ms;
    const auto timeout = std::min<duration>(std::chrono::milliseconds{requested_ms}, max_deadline);
    return steady_now() + timeout;
}

[[nodiscard]] auto requested_manifest(const wire::Dispatch& dispatch) -> digest {
    return digest_from_bytes(dispatch.manifest()).value_or(digest{});
}

[[nodiscard]] auto make_attempt_id(const std::string_view peer, const std::uint64_t incarnation,
                                   const std::uint64_t request, const std::uint32_t attempt) -> attempt_id {
    return {mix(stable_hash(peer), incarnation), request_id{request}, attempt};
}

auto refuse_waiting(daemon& self, const attempt_id& id, const code reason) -> void {
    const auto found = self.m_relays.find(id);
    ensure(found != self.m_relays.end(), "a waiting attempt has a relay");
    const auto attempt = found->second;
    self.m_relays.erase(found);
    const auto not_run = record_refusal(self.m_admission, id, steady_now());
    send_end(self, *attempt, {reason, not_run, std::chrono::seconds{1}, {}, false});
}

} // namespace internal

auto make_backend_request(const daemon& self, const relay& attempt) -> net::http_request {
    const auto& dispatch = attempt.m_dispatch;
    net::http_request request{};
    request.m_method = dispatch.method();
    request.m_target = dispatch.target();
    request.m_body = dispatch.body();
    std::string request_id_header{};
    for (const auto& field : dispatch.headers()) {
        if (!internal::is_dropped(field.name())) {
            request.m_headers.push_back({field.name(), field.value()});
        } else if (internal::lower_case(field.name()) == "x-request-id") {
            request_id_header = field.value();
        }
    }
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(attempt.m_deadline - steady_now());
    request.m_headers.push_back(
        {"X-Request-Id", request_id_header.empty() ? std::to_string(dispatch.request()) : request_id_header});
    request.m_headers.push_back({"X-Priority", std::to_string(dispatch.priority())});
    request.m_headers.push_back({"X-Deadline-Ms", std::to_string(std::max<std::int64_t>(remaining.count(), 0))});
    request.m_headers.push_back({"X-Resume-Tokens", std::to_string(dispatch.resume_tokens())});
    if (!self.m_settings.m_backend.m_plain_service) {
        request.m_headers.push_back(
            {"X-Fencing", std::to_string(self.m_gate.m_ticket.value()) + ' ' + std::to_string(self.m_epoch)});
    }
    return request;
}

auto make_call_limits(const relay& attempt) -> net::call_limits {
    net::call_limits limits{};
    limits.m_total_time = std::max<duration>(attempt.m_deadline - steady_now(), std::chrono::milliseconds{1});
    limits.m_idle_time = limits.m_total_time;
    return limits;
}

auto end_relay(daemon& self, const relay& attempt) -> void {
    release_slot(self.m_admission, attempt.m_dispatch.suspect());
    self.m_relays.erase(attempt.m_id);
}

auto send_end(daemon& self, const relay& attempt, const attempt_end& end) -> void {
    auto message = internal::make_answer_envelope(self);
    auto& out = *message.mutable_answer_end();
    out.set_request(attempt.m_dispatch.request());
    out.set_attempt(attempt.m_dispatch.attempt());
    out.set_parts(attempt.m_sent_parts);
    out.set_code(static_cast<std::uint32_t>(end.m_code));
    out.set_not_run(end.m_not_run);
    const auto retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(end.m_retry_after);
    out.set_retry_after_ms(static_cast<std::uint32_t>(retry_after.count()));
    out.set_detail(end.m_detail);
    out.set_running(static_cast<std::uint32_t>(self.m_admission.m_running));
    out.set_waiting(static_cast<std::uint32_t>(self.m_admission.m_waiting.size()));
    out.set_crashed(end.m_crashed);
    self.m_counters.add("agent_answers_total", 1.0, describe(end.m_code).m_name);
    send(self, attempt.m_entry, message);
}

auto start_relay(daemon& self, const std::shared_ptr<relay>& attempt) -> void {
    attempt->m_is_running = true;
    attempt->m_admitted_version = self.m_gate.m_confirmed_version;
    attempt->m_gate_generation = self.m_gate.m_generation;
    ensure(self.m_gate.m_phase == phase::serving, "a request is sent to the backend server only through an open gate");
    if (attempt->m_is_non_idempotent) {
        return start_claim(self, attempt);
    }
    net::call_handlers handlers{};
    handlers.m_on_head = [&self, attempt](const auto& head) {
        internal::on_head(self, *attempt, head);
    };
    handlers.m_on_part = [&self, attempt](const auto bytes) {
        internal::on_part(self, *attempt, bytes);
    };
    handlers.m_on_end = [&self, attempt](const auto& end) {
        internal::on_end(self, attempt, end);
    };
    attempt->m_call = self.m_http.send(self.m_backend, make_backend_request(self, *attempt), make_call_limits(*attempt),
                                       std::move(handlers));
}

auto on_dispatch(daemon& self, const std::string_view peer, const wire::Envelope& message) -> void {
    const auto attempt = std::make_shared<relay>();
    attempt->m_entry = peer;
    attempt->m_dispatch = message.dispatch();
    const auto& dispatch = attempt->m_dispatch;
    attempt->m_id = internal::make_attempt_id(peer, message.incarnation(), dispatch.request(), dispatch.attempt());
    attempt->m_deadline = internal::deadline_of(self, dispatch);
    attempt->m_is_non_idempotent = dispatch.non_idempotent() || is_non_idempotent(self, dispatch);
    const auto now = steady_now();
    const auto gate_code = admits(self.m_gate, internal::requested_manifest(dispatch));
    const auto result =
        try_admit(self.m_admission, {attempt->m_id, dispatch.priority(), attempt->m_deadline, dispatch.suspect()},
                  gate_code, now);
    switch (result.m_kind) {
    case admission_result::kind::run:
        self.m_relays.emplace(attempt->m_id, attempt);
        return start_relay(self, attempt);
    case admission_result::kind::wait:
        self.m_relays.emplace(attempt->m_id, attempt);
        return;
    case admission_result::kind::refuse:
        return send_end(self, *attempt, {result.m_code, result.m_not_run, result.m_retry_after, {}, false});
    case admission_result::kind::drop:
        self.m_counters.add("agent_copies_dropped_total");
    }
}

auto on_cancel(daemon& self, const std::string_view peer, const wire::Envelope& message) -> void {
    const auto& cancel = message.cancel();
    const auto id = internal::make_attempt_id(peer, message.incarnation(), cancel.request(), cancel.attempt());
    if (remove_waiting(self.m_admission, id)) {
        return internal::refuse_waiting(self, id, code::cancelled);
    }
    if (const auto found = self.m_relays.find(id); found != self.m_relays.end()) {
        found->second->m_is_cancelled = true;
        if (found->second->m_call) {
            found->second->m_call->cancel();
        }
        return;
    }
    const auto decision = self.m_admission.m_decisions.find(id);
    const auto was_accepted =
        decision != self.m_admission.m_decisions.end() && decision->second == admission_decision::accepted;
    relay cancelled{};
    cancelled.m_entry = peer;
    cancelled.m_dispatch.set_request(cancel.request());
    cancelled.m_dispatch.set_attempt(cancel.attempt());
    const auto not_run = !was_accepted && record_refusal(self.m_admission, id, steady_now());
    send_end(self, cancelled, {code::cancelled, not_run, duration::zero(), {}, false});
}

auto process_queue(daemon& self) -> void {
    const auto now = steady_now();
    for (const auto& id : expire(self.m_admission, now)) {
        internal::refuse_waiting(self, id, code::deadline_passed);
    }
    const auto gate_code = admits_queued(self.m_gate, digest{});
    if (gate_code != code::ok) {
        for (const auto& id : remove_all_waiting(self.m_admission)) {
            internal::refuse_waiting(self, id, gate_code);
        }
        return;
    }
    for (auto id = start_next(self.m_admission, now); id; id = start_next(self.m_admission, now)) {
        const auto attempt = self.m_relays.at(*id);
        const auto current_code = admits_queued(self.m_gate, internal::requested_manifest(attempt->m_dispatch));
        if (current_code == code::ok) {
            start_relay(self, attempt);
            continue;
        }
        release_slot(self.m_admission, attempt->m_dispatch.suspect());
        internal::refuse_waiting(self, *id, current_code);
    }
}

} // namespace rhubarbwharf::agent
