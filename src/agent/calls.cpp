#include <agent/daemon.hpp>

#include <algorithm>
#include <array>
#include <cctype>

#include <agent/calls.hpp>
#include <agent/journal.hpp>
#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::agent {

namespace internal {

constexpr std::uint16_t status_unavailable = 503;
constexpr std::string_view event_stream_type = "text/event-stream";
constexpr std::size_t fingerprint_digits = 16;
constexpr auto dropped_headers =
    std::to_array<std::string_view>({"host", "connection", "content-length", "transfer-encoding", "authorization",
                                     "x-request-id", "x-priority", "x-deadline-ms", "x-resume-tokens", "x-fencing"});

[[nodiscard]] auto lower_case(const std::string_view name) -> std::string {
    std::string lower{name};
    std::ranges::transform(lower, lower.begin(),
                           [](const unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

[[nodiscard]] auto is_dropped(const std::string_view name) -> bool {
    return std::ranges::find(dropped_headers, lower_case(name)) != dropped_headers.end();
}

[[nodiscard]] auto make_answer_envelope(const daemon& self) -> wire::Envelope {
    return make_envelope(self);
}

auto send_head(daemon& self, relay& target, const net::http_response& head) -> void {
    auto message = make_answer_envelope(self);
    auto& out = *message.mutable_answer_head();
    out.set_request(target.m_dispatch.request());
    out.set_attempt(target.m_dispatch.attempt());
    out.set_status(head.m_status);
    for (const auto& field : head.m_headers) {
        if (!is_dropped(field.m_name)) {
            auto& copy = *out.add_headers();
            copy.set_name(field.m_name);
            copy.set_value(field.m_value);
        }
    }
    if (target.m_admitted_version.m_manifest != digest{}) {
        out.set_manifest(std::string{as_bytes(target.m_admitted_version.m_manifest)});
    }
    target.m_has_head = true;
    send(self, target.m_entry, message);
}

auto fail_relay(relay& target, const code reason) -> void {
    if (target.m_fault == code::ok) {
        target.m_fault = reason;
    }
    if (target.m_call) {
        target.m_call->cancel();
    }
}

auto send_part(daemon& self, relay& target, event_batch batch) -> void {
    if (batch.m_bytes.empty() || !target.m_has_head || target.m_fault != code::ok) {
        return;
    }
    auto message = make_answer_envelope(self);
    auto& out = *message.mutable_answer_part();
    out.set_request(target.m_dispatch.request());
    out.set_attempt(target.m_dispatch.attempt());
    out.set_sequence(target.m_sent_parts);
    out.set_tokens(batch.m_tokens);
    self.m_counters.add("agent_tokens_total", batch.m_tokens);
    out.set_bytes(std::move(batch.m_bytes));
    if (!send(self, target.m_entry, message)) {
        fail_relay(target, code::send_queue_full);
        return;
    }
    ++target.m_sent_parts;
}

auto on_head(daemon& self, relay& target, const net::http_response& head) -> void {
    target.m_http_status = head.m_status;
    target.m_scanner.m_is_stream = net::find(head.m_headers, "Content-Type").starts_with(event_stream_type);
    const auto is_engine = !self.m_settings.m_backend.m_plain_service;
    if (is_engine && head.m_status == status_unavailable) {
        return;
    }
    if (is_engine) {
        target.m_scanner.m_expected_fingerprint =
            to_hex(target.m_admitted_version.m_content).substr(0, fingerprint_digits);
    }
    send_head(self, target, head);
}

auto on_part(daemon& self, relay& target, const std::string_view bytes) -> void {
    auto batch = scan(target.m_scanner, bytes);
    if (target.m_scanner.m_has_other_version) {
        self.m_counters.add("agent_foreign_answers_total");
        return fail_relay(target, code::wrong_version);
    }
    if (is_oversize(target.m_scanner)) {
        return fail_relay(target, code::too_large);
    }
    send_part(self, target, std::move(batch));
}

[[nodiscard]] auto has_changed_without_fingerprint(const daemon& self, const relay& target) -> bool {
    const auto is_engine = !self.m_settings.m_backend.m_plain_service;
    return is_engine && target.m_gate_generation != self.m_gate.m_generation &&
           target.m_scanner.m_matching_fingerprints == 0 && self.m_gate.m_phase != phase::closing;
}

[[nodiscard]] auto end_code(const daemon& self, const relay& target, const net::call_end& end) -> code {
    if (target.m_is_cancelled) {
        return code::cancelled;
    }
    if (target.m_fault != code::ok) {
        return target.m_fault;
    }
    if (end.m_code != code::ok) {
        return end.m_code == code::timed_out ? code::timed_out : code::backend_server_failed;
    }
    if (target.m_scanner.m_is_stream && !target.m_scanner.m_is_done) {
        return code::cut_stream;
    }
    return has_changed_without_fingerprint(self, target) ? code::wrong_version : code::ok;
}

[[nodiscard]] auto is_refused_by_engine(const daemon& self, const relay& target) -> bool {
    return !self.m_settings.m_backend.m_plain_service && target.m_http_status == status_unavailable;
}

[[nodiscard]] auto make_attempt_end(daemon& self, const relay& target, const net::call_end& end) -> attempt_end {
    attempt_end outcome{};
    outcome.m_code = end_code(self, target, end);
    const auto ran_nothing = end.m_code != code::ok && end.m_sent == net::sent::nothing;
    if (ran_nothing || is_refused_by_engine(self, target)) {
        outcome.m_not_run = record_refusal(self.m_admission, target.m_id, steady_now());
        outcome.m_code = target.m_is_cancelled ? code::cancelled : code::no_backend_server;
        outcome.m_retry_after = std::chrono::seconds{1};
    }
    outcome.m_crashed = end.m_code == code::connection_failed || end.m_code == code::cut_stream;
    outcome.m_crashed = outcome.m_crashed && !outcome.m_not_run && !target.m_is_cancelled;
    return outcome;
}

auto on_end(daemon& self, const std::shared_ptr<relay>& target, const net::call_end& end) -> void {
    if (end.m_code == code::ok && target->m_fault == code::ok) {
        auto rest = finish(target->m_scanner);
        if (target->m_scanner.m_has_other_version) {
            target->m_fault = code::wrong_version;
        }
        send_part(self, *target, std::move(rest));
    }
    target->m_is_running = false;
    target->m_call.reset();
    const auto outcome = make_attempt_end(self, *target, end);
    if (outcome.m_crashed) {
        send_probe(self);
    }
    end_relay(self, *target);
    send_end(self, *target, outcome);
    process_queue(self);
    advance_gate(self);
}

[[nodiscard]] auto deadline_of(const daemon& self, const wire::Dispatch& dispatch) -> time_point {
    const auto wanted =
        dispatch.deadline_ms() > 0 ? dispatch.deadline_ms() : self.m_settings.m_routing.m_default_deadline_ms;
    const auto allowed = std::min<duration>(std::chrono::milliseconds{wanted}, max_deadline);
    return steady_now() + allowed;
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
    ensure(found != self.m_relays.end(), "an attempt that waits has a relay");
    const auto target = found->second;
    self.m_relays.erase(found);
    const auto not_run = record_refusal(self.m_admission, id, steady_now());
    send_end(self, *target, {reason, not_run, std::chrono::seconds{1}, {}, false});
}

} // namespace internal

auto make_backend_request(const daemon& self, const relay& target) -> net::http_request {
    const auto& dispatch = target.m_dispatch;
    net::http_request request{};
    request.m_method = dispatch.method();
    request.m_target = dispatch.target();
    request.m_body = dispatch.body();
    std::string request_name{};
    for (const auto& field : dispatch.headers()) {
        if (!internal::is_dropped(field.name())) {
            request.m_headers.push_back({field.name(), field.value()});
        } else if (internal::lower_case(field.name()) == "x-request-id") {
            request_name = field.value();
        }
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(target.m_deadline - steady_now());
    request.m_headers.push_back(
        {"X-Request-Id", request_name.empty() ? std::to_string(dispatch.request()) : request_name});
    request.m_headers.push_back({"X-Priority", std::to_string(dispatch.priority())});
    request.m_headers.push_back({"X-Deadline-Ms", std::to_string(std::max<std::int64_t>(left.count(), 0))});
    request.m_headers.push_back({"X-Resume-Tokens", std::to_string(dispatch.resume_tokens())});
    if (!self.m_settings.m_backend.m_plain_service) {
        request.m_headers.push_back(
            {"X-Fencing", std::to_string(self.m_gate.m_ticket.value()) + ' ' + std::to_string(self.m_epoch)});
    }
    return request;
}

auto make_call_limits(const relay& target) -> net::call_limits {
    net::call_limits limits{};
    limits.m_total_time = std::max<duration>(target.m_deadline - steady_now(), std::chrono::milliseconds{1});
    limits.m_idle_time = limits.m_total_time;
    return limits;
}

auto end_relay(daemon& self, const relay& target) -> void {
    release_slot(self.m_admission, target.m_dispatch.suspect());
    self.m_relays.erase(target.m_id);
}

auto send_end(daemon& self, const relay& target, const attempt_end& end) -> void {
    auto message = internal::make_answer_envelope(self);
    auto& out = *message.mutable_answer_end();
    out.set_request(target.m_dispatch.request());
    out.set_attempt(target.m_dispatch.attempt());
    out.set_parts(target.m_sent_parts);
    out.set_code(static_cast<std::uint32_t>(end.m_code));
    out.set_not_run(end.m_not_run);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(end.m_retry_after);
    out.set_retry_after_ms(static_cast<std::uint32_t>(wait.count()));
    out.set_detail(end.m_detail);
    out.set_running(static_cast<std::uint32_t>(self.m_admission.m_running));
    out.set_waiting(static_cast<std::uint32_t>(self.m_admission.m_waiting.size()));
    out.set_crashed(end.m_crashed);
    self.m_counters.add("agent_answers_total", 1.0, describe(end.m_code).m_name);
    send(self, target.m_entry, message);
}

auto start_relay(daemon& self, const std::shared_ptr<relay>& target) -> void {
    target->m_is_running = true;
    target->m_admitted_version = self.m_gate.m_confirmed_version;
    target->m_gate_generation = self.m_gate.m_generation;
    ensure(self.m_gate.m_phase == phase::serving, "a request goes to the backend server only through an open gate");
    if (target->m_is_non_idempotent) {
        return start_claim(self, target);
    }
    net::call_handlers handlers{};
    handlers.m_on_head = [&self, target](const auto& head) {
        internal::on_head(self, *target, head);
    };
    handlers.m_on_part = [&self, target](const auto bytes) {
        internal::on_part(self, *target, bytes);
    };
    handlers.m_on_end = [&self, target](const auto& end) {
        internal::on_end(self, target, end);
    };
    target->m_call = self.m_http.send(self.m_backend, make_backend_request(self, *target), make_call_limits(*target),
                                      std::move(handlers));
}

auto on_dispatch(daemon& self, const std::string_view peer, const wire::Envelope& message) -> void {
    const auto target = std::make_shared<relay>();
    target->m_entry = peer;
    target->m_dispatch = message.dispatch();
    const auto& dispatch = target->m_dispatch;
    target->m_id = internal::make_attempt_id(peer, message.incarnation(), dispatch.request(), dispatch.attempt());
    target->m_deadline = internal::deadline_of(self, dispatch);
    target->m_is_non_idempotent = dispatch.non_idempotent() || is_non_idempotent(self, dispatch);
    const auto now = steady_now();
    const auto gate_code = admits(self.m_gate, internal::requested_manifest(dispatch));
    const auto verdict = try_admit(
        self.m_admission, {target->m_id, dispatch.priority(), target->m_deadline, dispatch.suspect()}, gate_code, now);
    switch (verdict.m_kind) {
    case admission_result::kind::run:
        self.m_relays.emplace(target->m_id, target);
        return start_relay(self, target);
    case admission_result::kind::wait:
        self.m_relays.emplace(target->m_id, target);
        return;
    case admission_result::kind::refuse:
        return send_end(self, *target, {verdict.m_code, verdict.m_not_run, verdict.m_retry_after, {}, false});
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
    const auto known = self.m_admission.m_decisions.find(id);
    const auto has_run = known != self.m_admission.m_decisions.end() && known->second == attempt_decision::accepted;
    relay unknown{};
    unknown.m_entry = peer;
    unknown.m_dispatch.set_request(cancel.request());
    unknown.m_dispatch.set_attempt(cancel.attempt());
    const auto not_run = !has_run && record_refusal(self.m_admission, id, steady_now());
    send_end(self, unknown, {code::cancelled, not_run, duration::zero(), {}, false});
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
        const auto target = self.m_relays.at(*id);
        const auto still = admits_queued(self.m_gate, internal::requested_manifest(target->m_dispatch));
        if (still == code::ok) {
            start_relay(self, target);
            continue;
        }
        release_slot(self.m_admission, target->m_dispatch.suspect());
        internal::refuse_waiting(self, *id, still);
    }
}

} // namespace rhubarbwharf::agent
