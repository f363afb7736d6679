#include <algorithm>
#include <array>
#include <cctype>

#include <entry/daemon.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr std::uint16_t status_ok = 200;
constexpr std::size_t version_hex_digits = 16;
constexpr auto hop_by_hop_headers = std::to_array<std::string_view>(
    {"connection", "content-length", "keep-alive", "transfer-encoding", "server", "date"});

/*! @brief Finds the request whose attempt in progress a message belongs to. @return Null, and the message is counted
 * as late, if the attempt has ended or the sender is not its backend server. */
[[nodiscard]] auto find_attempt(daemon& self, const std::string_view from, const std::uint64_t id,
                                const std::uint32_t attempt) -> std::shared_ptr<request> {
    const auto found = self.m_requests.find(request_id{id});
    if (found != self.m_requests.end()) {
        const auto& pending = found->second;
        if (pending->m_backend && pending->m_progress.m_attempts == attempt &&
            self.m_members.m_names.name(*pending->m_backend) == from) {
            return pending;
        }
    }
    self.m_counters.add("entry_late_answers_total");
    return nullptr;
}

/*! @brief Cancels and ends an attempt whose response violates the protocol or cannot continue the stream. */
auto fail_attempt(daemon& self, const std::shared_ptr<request>& pending, const code reason) -> void {
    auto message = make_envelope(self);
    message.mutable_cancel()->set_request(pending->m_id.value());
    message.mutable_cancel()->set_attempt(pending->m_progress.m_attempts);
    send(self, self.m_members.m_names.name(*pending->m_backend), message);
    routing::record_failure(backend_of(self, *pending->m_backend).m_breaker, steady_now());
    end_attempt(self, pending, {reason, false, {}});
}

[[nodiscard]] auto is_hop_by_hop_header(const std::string_view name) -> bool {
    return std::ranges::any_of(hop_by_hop_headers, [name](const std::string_view other) {
        return std::ranges::equal(name, other, [](const unsigned char left, const unsigned char right) {
            return std::tolower(left) == right;
        });
    });
}

[[nodiscard]] auto make_response_head(const digest& version, const wire::AnswerHead& head) -> net::http_response {
    net::http_response out{};
    out.m_status = static_cast<std::uint16_t>(head.status());
    for (const auto& field : head.headers()) {
        if (!is_hop_by_hop_header(field.name())) {
            out.m_headers.push_back({field.name(), field.value()});
        }
    }
    if (version != digest{}) {
        out.m_headers.push_back({"X-Model-Version", to_hex(version).substr(0, version_hex_digits)});
    }
    return out;
}

auto on_head(daemon& self, const std::string_view from, const wire::AnswerHead& head) -> void {
    const auto pending = find_attempt(self, from, head.request(), head.attempt());
    if (!pending) {
        return;
    }
    const auto version = head.manifest().empty() ? digest{} : digest_from_bytes(head.manifest()).value_or(digest{});
    if (pending->m_has_head || (pending->m_progress.m_head_sent && pending->m_version != version)) {
        return fail_attempt(self, pending, code::backend_server_failed);
    }
    const auto first_byte_time = steady_now() - pending->m_attempt_sent;
    routing::record_first_byte(backend_of(self, *pending->m_backend), first_byte_time);
    self.m_counters.observe("entry_first_byte_seconds", steady_now() - pending->m_arrived);
    pending->m_has_head = true;
    if (pending->m_progress.m_head_sent) {
        if (head.status() != status_ok) {
            fail_attempt(self, pending, code::cut_stream);
        }
        return;
    }
    const auto is_forwarded = pending->m_progress.m_stream && head.status() == status_ok;
    pending->m_version = is_forwarded ? version : pending->m_version;
    auto out = make_response_head(version, head);
    if (!is_forwarded) {
        pending->m_buffered_response = std::move(out);
        return;
    }
    pending->m_progress.m_head_sent = true;
    pending->m_responder->start(std::move(out));
}

auto on_part(daemon& self, const std::string_view from, const wire::AnswerPart& part) -> void {
    const auto pending = find_attempt(self, from, part.request(), part.attempt());
    if (!pending) {
        return;
    }
    if (!pending->m_has_head || part.sequence() != pending->m_part_count) {
        self.m_counters.add("entry_part_gaps_total");
        return fail_attempt(self, pending, code::cut_stream);
    }
    ++pending->m_part_count;
    self.m_counters.add("entry_tokens_total", part.tokens());
    if (pending->m_progress.m_head_sent) {
        pending->m_forwarded_tokens += part.tokens();
        return pending->m_responder->write(part.bytes());
    }
    pending->m_buffered_response.m_body += part.bytes();
}

auto update_breaker(daemon& self, const request& pending, const wire::AnswerEnd& end) -> void {
    auto& backend = backend_of(self, *pending.m_backend);
    if (end.code() == 0U) {
        return routing::record_success(backend.m_breaker);
    }
    if (end.code() == static_cast<std::uint32_t>(code::no_backend_server)) {
        return routing::trip(backend.m_breaker, steady_now());
    }
    const auto failed = end.crashed() || end.code() == static_cast<std::uint32_t>(code::backend_server_failed) ||
                        end.code() == static_cast<std::uint32_t>(code::timed_out);
    return failed ? routing::record_failure(backend.m_breaker, steady_now())
                  : routing::release_probe(backend.m_breaker);
}

/*! @brief Attributes a crash to a request. @param told Runs once the other entries know of it. */
auto attribute_crash(daemon& self, const request& pending, std::function<void()> told) -> void {
    const auto expiry = steady_now() + std::chrono::seconds{self.m_settings.m_routing.m_quarantine_s};
    const auto crashes = routing::record_crash(self.m_quarantine, pending.m_content_digest, expiry);
    self.m_counters.add("entry_crashes_blamed_total");
    broadcast_crashes(self, pending.m_content_digest, crashes, std::move(told));
}

[[nodiscard]] auto code_of(const wire::AnswerEnd& end) noexcept -> code {
    const auto value = static_cast<code>(end.code());
    return describe(value).m_code == value ? value : code::backend_server_failed;
}

/*! @brief Ends the attempt that an agent reports as ended. */
auto complete_end(daemon& self, const std::shared_ptr<request>& pending, const wire::AnswerEnd& end) -> void {
    const auto id = *pending->m_backend;
    if (end.crashed() && routing::is_quarantined(self.m_quarantine, pending->m_content_digest, steady_now())) {
        return end_attempt(self, pending, {code::quarantined, false, {}});
    }
    end_attempt(self, pending, {code_of(end), end.not_run(), std::chrono::milliseconds{end.retry_after_ms()}});
    auto& backend = backend_of(self, id);
    routing::apply_load_report(backend, end.running() + end.waiting(), backend.m_capacity);
    send_queued_requests(self);
}

auto on_end(daemon& self, const std::string_view from, const wire::AnswerEnd& end) -> void {
    const auto pending = find_attempt(self, from, end.request(), end.attempt());
    if (!pending) {
        return;
    }
    const auto is_complete = pending->m_has_head && pending->m_part_count == end.parts();
    if (end.code() == 0U && !is_complete) {
        self.m_counters.add("entry_part_gaps_total");
        return fail_attempt(self, pending, code::cut_stream);
    }
    update_breaker(self, *pending, end);
    if (!end.crashed()) {
        complete_end(self, pending, end);
        return;
    }
    // The caller may send the request to another entry as soon as it is answered, so that one must know by then.
    attribute_crash(self, *pending, [&self, pending, end, sender = std::string{from}] {
        if (find_attempt(self, sender, end.request(), end.attempt()) == pending) {
            complete_end(self, pending, end);
        }
    });
}

} // namespace internal

auto on_answer(daemon& self, const std::string_view from, const wire::Envelope& message) -> void {
    switch (message.body_case()) {
    case wire::Envelope::kAnswerHead:
        return internal::on_head(self, from, message.answer_head());
    case wire::Envelope::kAnswerPart:
        return internal::on_part(self, from, message.answer_part());
    default:
        return internal::on_end(self, from, message.answer_end());
    }
}

} // namespace rhubarbwharf::entry
