#include <algorithm>
#include <array>
#include <cctype>

#include <entry/daemon.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr std::uint16_t status_ok = 200;
constexpr std::size_t version_digits = 16;
constexpr auto hop_headers = std::to_array<std::string_view>(
    {"connection", "content-length", "keep-alive", "transfer-encoding", "server", "date"});

/*! @brief The attempt that a message belongs to, if it is still in progress. */
[[nodiscard]] auto attempt_of(daemon& self, const std::string_view from, const std::uint64_t id,
                              const std::uint32_t attempt) -> std::shared_ptr<request> {
    const auto found = self.m_requests.find(request_id{id});
    if (found != self.m_requests.end()) {
        const auto& target = found->second;
        if (target->m_target && target->m_flight.m_attempts == attempt &&
            self.m_members.m_names.name(*target->m_target) == from) {
            return target;
        }
    }
    self.m_counters.add("entry_late_answers_total");
    return nullptr;
}

/*! @brief Ends an attempt that the backend server or its agent got wrong. */
auto fail(daemon& self, const std::shared_ptr<request>& target, const code why) -> void {
    auto message = envelope(self);
    message.mutable_cancel()->set_request(target->m_id.value());
    message.mutable_cancel()->set_attempt(target->m_flight.m_attempts);
    send(self, self.m_members.m_names.name(*target->m_target), message);
    routing::record_failure(backend_of(self, *target->m_target).m_breaker, steady_now());
    end_attempt(self, target, {why, false, {}});
}

[[nodiscard]] auto is_hop_header(const std::string_view name) -> bool {
    return std::ranges::any_of(hop_headers, [name](const std::string_view other) {
        return std::ranges::equal(name, other, [](const unsigned char left, const unsigned char right) {
            return std::tolower(left) == right;
        });
    });
}

[[nodiscard]] auto head_of(const digest& version, const wire::AnswerHead& head) -> net::http_response {
    net::http_response out{};
    out.m_status = static_cast<std::uint16_t>(head.status());
    for (const auto& field : head.headers()) {
        if (!is_hop_header(field.name())) {
            out.m_headers.push_back({field.name(), field.value()});
        }
    }
    if (version != digest{}) {
        out.m_headers.push_back({"X-Model-Version", to_hex(version).substr(0, version_digits)});
    }
    return out;
}

auto on_head(daemon& self, const std::string_view from, const wire::AnswerHead& head) -> void {
    const auto target = attempt_of(self, from, head.request(), head.attempt());
    if (!target) {
        return;
    }
    const auto version = head.manifest().empty() ? digest{} : digest_from_bytes(head.manifest()).value_or(digest{});
    if (target->m_has_head || (target->m_flight.m_head_sent && target->m_version != version)) {
        return fail(self, target, code::backend_server_failed);
    }
    const auto spent = steady_now() - target->m_sent;
    routing::record_first_byte(backend_of(self, *target->m_target), spent);
    self.m_counters.observe("entry_first_byte_seconds", steady_now() - target->m_arrived);
    target->m_has_head = true;
    if (target->m_flight.m_head_sent) {
        if (head.status() != status_ok) {
            fail(self, target, code::cut_stream);
        }
        return;
    }
    const auto passed_on = target->m_flight.m_stream && head.status() == status_ok;
    target->m_version = passed_on ? version : target->m_version;
    auto out = head_of(version, head);
    if (!passed_on) {
        target->m_collected = std::move(out);
        return;
    }
    target->m_flight.m_head_sent = true;
    target->m_answer->start(std::move(out));
}

auto on_part(daemon& self, const std::string_view from, const wire::AnswerPart& part) -> void {
    const auto target = attempt_of(self, from, part.request(), part.attempt());
    if (!target) {
        return;
    }
    if (!target->m_has_head || part.sequence() != target->m_parts) {
        self.m_counters.add("entry_part_gaps_total");
        return fail(self, target, code::cut_stream);
    }
    ++target->m_parts;
    self.m_counters.add("entry_tokens_total", part.tokens());
    if (target->m_flight.m_head_sent) {
        target->m_tokens += part.tokens();
        return target->m_answer->write(part.bytes());
    }
    target->m_collected.m_body += part.bytes();
}

auto judge(daemon& self, const request& target, const wire::AnswerEnd& end) -> void {
    auto& load = backend_of(self, *target.m_target);
    if (end.code() == 0U) {
        return routing::record_success(load.m_breaker);
    }
    if (end.code() == static_cast<std::uint32_t>(code::no_backend_server)) {
        return routing::trip(load.m_breaker, steady_now());
    }
    const auto failed = end.crashed() || end.code() == static_cast<std::uint32_t>(code::backend_server_failed) ||
                        end.code() == static_cast<std::uint32_t>(code::timed_out);
    return failed ? routing::record_failure(load.m_breaker, steady_now()) : routing::release_probe(load.m_breaker);
}

auto blame(daemon& self, const request& target) -> void {
    const auto until = steady_now() + std::chrono::seconds{self.m_settings.m_routing.m_quarantine_s};
    const auto crashes = routing::record_crash(self.m_quarantine, target.m_content, until);
    self.m_counters.add("entry_crashes_blamed_total");
    tell_quarantine(self, target.m_content, crashes);
}

[[nodiscard]] auto code_of(const wire::AnswerEnd& end) noexcept -> code {
    const auto value = static_cast<code>(end.code());
    return describe(value).m_code == value ? value : code::backend_server_failed;
}

auto on_end(daemon& self, const std::string_view from, const wire::AnswerEnd& end) -> void {
    const auto target = attempt_of(self, from, end.request(), end.attempt());
    if (!target) {
        return;
    }
    const auto whole = target->m_has_head && target->m_parts == end.parts();
    if (end.code() == 0U && !whole) {
        self.m_counters.add("entry_part_gaps_total");
        return fail(self, target, code::cut_stream);
    }
    judge(self, *target, end);
    if (end.crashed()) {
        blame(self, *target);
    }
    const auto id = *target->m_target;
    if (end.crashed() && routing::is_quarantined(self.m_quarantine, target->m_content, steady_now())) {
        return end_attempt(self, target, {code::quarantined, false, {}});
    }
    end_attempt(self, target, {code_of(end), end.not_run(), std::chrono::milliseconds{end.retry_after_ms()}});
    auto& load = backend_of(self, id);
    routing::apply_load_report(load, end.running() + end.waiting(), load.m_capacity);
    pump(self);
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
