#include <algorithm>
#include <limits>
#include <utility>

#include <entry/daemon.hpp>
#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/execution/key.hpp>
#include <rhubarbwharf/net/log.hpp>

namespace rhubarbwharf::entry {

namespace internal {

/*! @brief Report intervals after a suspension within which every live peer has sent a message again: one until its next
 * report, and one more because that report may be lost. */
constexpr int reports_after_suspension = 2;

/*! @brief Outcome of trying to send a request. */
enum class placement : std::uint8_t { sent, no_capacity, no_eligible_backend };

[[nodiscard]] auto accepts_traffic(const daemon& self, const std::string_view scope) -> bool {
    const auto* const entry = ticket::find(self.m_desired_state, scope);
    return entry == nullptr || entry->m_state.m_traffic;
}

[[nodiscard]] auto is_eligible(const daemon& self, const request& pending, const membership::member& row,
                               const routing::backend_state& backend, const time_point now) -> bool {
    const auto& report = row.m_report;
    const auto version_matches = pending.m_version == digest{} || pending.m_version == report.m_manifest;
    return report.m_group == pending.m_group && membership::accepts_requests(row, now, self.m_member_limits) &&
           version_matches && routing::allows_request(backend.m_breaker, now) &&
           accepts_traffic(self, "instance:" + report.m_instance);
}

[[nodiscard]] auto list_candidates(daemon& self, const request& pending, const time_point now)
    -> std::vector<routing::candidate> {
    std::vector<routing::candidate> candidates{};
    if (!accepts_traffic(self, "group:" + pending.m_group)) {
        return candidates;
    }
    for (std::size_t index = 0; index < self.m_members.m_members.size(); ++index) {
        const auto id = instance_id{static_cast<std::uint32_t>(index)};
        const auto& backend = backend_of(self, id);
        if (is_eligible(self, pending, self.m_members.m_members[index], backend, now)) {
            candidates.push_back({id, routing::estimate_load(backend), backend.m_capacity, backend.m_first_byte_s,
                                  routing::holds_prefix(backend, pending.m_prefix_hash)});
        }
    }
    return candidates;
}

auto filter_candidates(const daemon& self, const request& pending, std::vector<routing::candidate>& candidates)
    -> void {
    const auto has_others = std::ranges::any_of(
        candidates, [&pending](const auto& row) { return row.m_instance != pending.m_previous_backend; });
    if (has_others) {
        std::erase_if(candidates, [&pending](const auto& row) { return row.m_instance == pending.m_previous_backend; });
    }
    if (pending.m_suspect) {
        std::erase_if(candidates, [&self](const auto& row) {
            return self.m_backends[row.m_instance.value()].m_suspect_requests > 0U;
        });
    }
}

auto build_dispatch(const request& pending, wire::Dispatch& out, const time_point now, const ticket_number highest)
    -> void {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(pending.m_progress.m_deadline - now);
    out = pending.m_dispatch;
    out.set_attempt(pending.m_progress.m_attempts);
    out.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(remaining.count(), 1)));
    out.set_ticket(highest.value());
    out.set_resume_tokens(pending.m_forwarded_tokens);
    out.set_suspect(pending.m_suspect);
    if (pending.m_version != digest{}) {
        out.set_manifest(std::string{as_bytes(pending.m_version)});
    }
}

[[nodiscard]] auto queue_of(daemon& self, const std::string_view group) -> routing::fair_queue& {
    const auto found = self.m_queues.find(group);
    if (found != self.m_queues.end()) {
        return found->second;
    }
    auto& queue = self.m_queues[std::string{group}];
    for (const auto& owner : self.m_settings.m_organisations) {
        routing::set_weight(queue, self.m_organisations.emplace(owner.m_name), owner.m_weight);
    }
    return queue;
}

auto start_attempt(daemon& self, const std::shared_ptr<request>& pending, const instance_id id, const time_point now)
    -> void {
    ensure(!pending->m_backend, "a request has at most one attempt in progress");
    ++pending->m_progress.m_attempts;
    pending->m_backend = id;
    pending->m_attempt_sent = now;
    pending->m_has_head = false;
    pending->m_part_count = 0;
    pending->m_buffered_response = {};
    auto& backend = backend_of(self, id);
    ++backend.m_in_flight;
    backend.m_suspect_requests += pending->m_suspect ? 1U : 0U;
    routing::record_attempt(backend.m_breaker);
    routing::remember_prefix(backend, pending->m_prefix_hash);
    auto message = make_envelope(self);
    build_dispatch(*pending, *message.mutable_dispatch(), now, ticket::highest_ticket(self.m_desired_state));
    self.m_counters.add("entry_attempts_total");
    const auto sent = send(self, self.m_members.m_names.name(id), message);
    if (sent != code::ok) {
        membership::mark_suspected(self.m_members, id);
        end_attempt(self, pending, {sent, true, {}});
    }
}

[[nodiscard]] auto try_send(daemon& self, const std::shared_ptr<request>& pending) -> placement {
    const auto now = steady_now();
    auto candidates = list_candidates(self, *pending, now);
    if (candidates.empty()) {
        return placement::no_eligible_backend;
    }
    filter_candidates(self, *pending, candidates);
    const auto chosen =
        routing::choose_backend(candidates, pending->m_prefix_hash, self.m_random(), self.m_choice_options);
    if (!chosen) {
        return placement::no_capacity;
    }
    routing::record_sent(queue_of(self, pending->m_group), now);
    start_attempt(self, pending, candidates[*chosen].m_instance, now);
    return placement::sent;
}

[[nodiscard]] auto total_capacity(const daemon& self, const std::string_view group) -> std::size_t {
    std::size_t count = 0;
    const auto now = steady_now();
    for (const auto& row : self.m_members.m_members) {
        count += membership::accepts_requests(row, now, self.m_member_limits) && row.m_report.m_group == group
                     ? row.m_report.m_capacity
                     : 0U;
    }
    return count;
}

auto refuse(daemon& self, const std::shared_ptr<request>& pending, const routing::attempt_decision& decision) -> void {
    ensure(!pending->m_backend, "a request with an attempt in progress must not be refused");
    self.m_requests.erase(pending->m_id);
    self.m_counters.add("entry_refusals_total", 1.0, describe(decision.m_code).m_name);
    const auto responder = std::move(pending->m_responder);
    ensure(responder != nullptr, "a request gets exactly one final answer");
    auto refusal =
        net::problem(decision.m_code, decision.m_outcome, describe(decision.m_code).m_meaning, decision.m_retry_after);
    if (!pending->m_progress.m_head_sent) {
        return responder->respond(std::move(refusal));
    }
    self.m_counters.add("entry_cut_streams_total");
    responder->write("event: error\ndata: " + refusal.m_body + "\n\n");
    responder->abort();
}

auto refuse_without_attempt(daemon& self, const std::shared_ptr<request>& pending, const code reason) -> void {
    refuse(self, pending, routing::make_refusal(pending->m_progress, reason, false, routing::default_retry_after));
}

/*! @brief Checks whether the process resumed from a suspension so recently that its view of the members is outdated. */
[[nodiscard]] auto has_recently_resumed(daemon& self, const time_point now) -> bool {
    detect_suspension(self, now);
    const auto report_time =
        std::chrono::milliseconds{self.m_settings.m_routing.m_report_ms} * reports_after_suspension;
    return self.m_resumed != time_point{} && now - self.m_resumed < report_time;
}

/*! @brief Queues a request. One that has been attempted is not subject to the queue limit and is not displaced. */
auto enqueue(daemon& self, const std::shared_ptr<request>& pending) -> void {
    const auto now = steady_now();
    const auto max_wait = std::chrono::milliseconds{self.m_settings.m_routing.m_queue_ms};
    auto& queue = queue_of(self, pending->m_group);
    routing::queued_request entry{pending->m_id, pending->m_organisation,
                                  static_cast<std::uint8_t>(pending->m_dispatch.priority()),
                                  pending->m_progress.m_deadline};
    auto max_size = std::numeric_limits<std::size_t>::max();
    if (pending->m_progress.m_attempts == 0U) {
        max_size = routing::queue_limit(queue, now, max_wait);
        entry.m_send_deadline = std::min(entry.m_send_deadline, now + max_wait);
    } else {
        entry.m_priority = std::numeric_limits<std::uint8_t>::max();
    }
    const auto pushed = routing::push(queue, entry, max_size);
    if (pushed.m_displaced) {
        refuse_without_attempt(self, self.m_requests.at(pushed.m_displaced->m_request), code::over_share);
    }
    if (pushed.m_code != code::ok) {
        refuse_without_attempt(self, pending, pushed.m_code);
    }
}

auto send_or_enqueue(daemon& self, const std::shared_ptr<request>& pending) -> void {
    auto& queue = queue_of(self, pending->m_group);
    if (queue.m_size > 0U) {
        return enqueue(self, pending);
    }
    switch (try_send(self, pending)) {
    case placement::sent:
        return routing::charge_request(queue, pending->m_organisation);
    case placement::no_capacity:
        return enqueue(self, pending);
    case placement::no_eligible_backend:
        return has_recently_resumed(self, steady_now())
                   ? enqueue(self, pending)
                   : refuse_without_attempt(self, pending, code::no_backend_server);
    }
}

auto send_to_shard_owner(daemon& self, const std::shared_ptr<request>& pending) -> void {
    const auto key = execution::hash_idempotency_key(pending->m_dispatch.organisation(), pending->m_group,
                                                     pending->m_dispatch.idempotency_key());
    const auto shard = execution::shard_of(key, self.m_settings.m_execution.m_shards);
    const auto* const owner =
        membership::find_shard_owner(self.m_members, pending->m_group, shard, steady_now(), self.m_member_limits);
    if (owner == nullptr) {
        return refuse_without_attempt(self, pending,
                                      total_capacity(self, pending->m_group) > 0U ? code::journal_unavailable
                                                                                  : code::no_backend_server);
    }
    const auto id = *self.m_members.m_names.find(owner->m_report.m_instance);
    if (id == pending->m_previous_backend) {
        return refuse_without_attempt(self, pending, code::journal_unavailable);
    }
    pending->m_dispatch.set_shard(shard.value());
    start_attempt(self, pending, id, steady_now());
}

auto send_retry(daemon& self, const std::shared_ptr<request>& pending) -> void {
    self.m_counters.add("entry_retries_total");
    if (pending->m_progress.m_non_idempotent) {
        return send_to_shard_owner(self, pending);
    }
    switch (try_send(self, pending)) {
    case placement::sent:
        return;
    case placement::no_capacity:
        return enqueue(self, pending);
    case placement::no_eligible_backend:
        return refuse_without_attempt(self, pending,
                                      pending->m_progress.m_head_sent ? code::cut_stream : code::no_backend_server);
    }
}

/*! @brief Checks whether a request excludes backend servers that other requests may use. If it cannot be sent, requests
 * behind it in the queue still may be. */
[[nodiscard]] auto is_constrained(const request& pending) noexcept -> bool {
    return pending.m_suspect || pending.m_version != digest{};
}

auto cancel_attempt(daemon& self, request& pending) -> void {
    if (!pending.m_backend) {
        return;
    }
    auto message = make_envelope(self);
    message.mutable_cancel()->set_request(pending.m_id.value());
    message.mutable_cancel()->set_attempt(pending.m_progress.m_attempts);
    send(self, self.m_members.m_names.name(*pending.m_backend), message);
}

/*! @brief Removes the attempt in progress from the load of its backend server. */
auto release_attempt(daemon& self, request& pending) -> void {
    ensure(pending.m_backend.has_value(), "only an attempt in progress can be released");
    auto& backend = backend_of(self, *pending.m_backend);
    ensure(backend.m_in_flight > 0U, "the in-flight count includes all requests in progress");
    --backend.m_in_flight;
    backend.m_suspect_requests -= pending.m_suspect ? 1U : 0U;
    pending.m_previous_backend = pending.m_backend;
    pending.m_backend.reset();
}

auto abandon_request(daemon& self, const std::shared_ptr<request>& pending, const code reason) -> void {
    const auto in_progress = pending->m_backend.has_value();
    if (in_progress) {
        cancel_attempt(self, *pending);
        routing::release_probe(backend_of(self, *pending->m_backend).m_breaker);
        release_attempt(self, *pending);
    } else {
        routing::erase(queue_of(self, pending->m_group), pending->m_id);
    }
    refuse(self, pending, routing::make_refusal(pending->m_progress, reason, in_progress, {}));
}

} // namespace internal

auto backend_of(daemon& self, const instance_id id) -> routing::backend_state& {
    if (self.m_backends.size() <= id.value()) {
        self.m_backends.resize(id.value() + 1U);
    }
    return self.m_backends[id.value()];
}

auto submit_request(daemon& self, const std::shared_ptr<request>& pending) -> void {
    self.m_counters.add("entry_requests_total");
    self.m_requests.emplace(pending->m_id, pending);
    const auto now = steady_now();
    if (routing::is_quarantined(self.m_quarantine, pending->m_content_digest, now)) {
        return internal::refuse(self, pending,
                                routing::make_refusal(pending->m_progress, code::quarantined, false, {}));
    }
    pending->m_suspect = routing::count_crashes(self.m_quarantine, pending->m_content_digest, now) > 0U;
    if (pending->m_progress.m_non_idempotent) {
        return internal::send_to_shard_owner(self, pending);
    }
    internal::send_or_enqueue(self, pending);
}

auto end_attempt(daemon& self, const std::shared_ptr<request>& pending, const routing::attempt_result& end) -> void {
    internal::release_attempt(self, *pending);
    const routing::attempt_limits limits{self.m_settings.m_routing.m_max_attempts};
    const auto next = routing::decide_next_step(pending->m_progress, end, self.m_retry_budget, steady_now(), limits);
    switch (next.m_step) {
    case routing::next_step::finish:
        return finish_request(self, pending);
    case routing::next_step::refuse:
        return internal::refuse(self, pending, next);
    case routing::next_step::resume:
        self.m_counters.add("entry_resumes_total");
        [[fallthrough]];
    case routing::next_step::retry:
        pending->m_suspect = routing::count_crashes(self.m_quarantine, pending->m_content_digest, steady_now()) > 0U;
        return internal::send_retry(self, pending);
    }
}

auto finish_request(daemon& self, const std::shared_ptr<request>& pending) -> void {
    self.m_requests.erase(pending->m_id);
    routing::clear_crashes(self.m_quarantine, pending->m_content_digest);
    self.m_counters.add("entry_answers_total");
    self.m_counters.observe("entry_request_seconds", steady_now() - pending->m_arrived);
    const auto responder = std::move(pending->m_responder);
    ensure(responder != nullptr, "a request gets exactly one final answer");
    if (pending->m_progress.m_head_sent) {
        return responder->finish();
    }
    responder->respond(std::move(pending->m_buffered_response));
}

auto detect_suspension(daemon& self, const time_point now) -> void {
    const auto gap = now - std::exchange(self.m_last_check, now);
    if (gap < self.m_member_limits.m_suspect_timeout / 2) {
        return;
    }
    self.m_resumed = now;
    const auto gap_ms = std::chrono::duration_cast<std::chrono::milliseconds>(gap).count();
    net::log(net::level::warn, "entry", "process was suspended for " + std::to_string(gap_ms) + " ms");
}

auto send_queued_requests(daemon& self) -> void {
    for (auto& [group, queue] : self.m_queues) {
        std::vector<routing::queued_request> skipped{};
        for (auto remaining = queue.m_size; remaining > 0U; --remaining) {
            const auto entry = routing::pop(queue);
            if (!entry) {
                break;
            }
            const auto pending = self.m_requests.at(entry->m_request);
            if (internal::try_send(self, pending) == internal::placement::sent) {
                continue;
            }
            skipped.push_back(*entry);
            if (!internal::is_constrained(*pending)) {
                break;
            }
        }
        for (auto entry = skipped.rbegin(); entry != skipped.rend(); ++entry) {
            routing::undo_pop(queue, *entry);
        }
    }
}

auto expire_requests(daemon& self, const time_point now) -> void {
    for (auto& [group, queue] : self.m_queues) {
        for (const auto& expired : routing::expire(queue, now)) {
            const auto pending = self.m_requests.at(expired.m_request);
            const auto deadline_passed = pending->m_progress.m_deadline <= now;
            internal::refuse_without_attempt(self, pending, deadline_passed ? code::deadline_passed : code::overloaded);
        }
    }
    std::vector<std::shared_ptr<request>> overdue{};
    for (const auto& [id, pending] : self.m_requests) {
        if (pending->m_progress.m_deadline <= now) {
            overdue.push_back(pending);
        }
    }
    for (const auto& pending : overdue) {
        internal::abandon_request(self, pending, code::deadline_passed);
    }
}

auto fail_attempts_on(daemon& self, const instance_id lost) -> void {
    std::vector<std::shared_ptr<request>> affected{};
    for (const auto& [id, pending] : self.m_requests) {
        if (pending->m_backend == lost) {
            affected.push_back(pending);
        }
    }
    for (const auto& pending : affected) {
        internal::cancel_attempt(self, *pending);
        routing::release_probe(backend_of(self, lost).m_breaker);
        end_attempt(self, pending, {code::connection_failed, false, {}});
    }
}

auto on_caller_disconnected(daemon& self, const request_id id) -> void {
    const auto found = self.m_requests.find(id);
    if (found == self.m_requests.end()) {
        return;
    }
    const auto pending = found->second;
    self.m_counters.add("entry_callers_gone_total");
    if (pending->m_backend) {
        internal::cancel_attempt(self, *pending);
        routing::release_probe(backend_of(self, *pending->m_backend).m_breaker);
        internal::release_attempt(self, *pending);
    } else {
        routing::erase(internal::queue_of(self, pending->m_group), id);
    }
    self.m_requests.erase(id);
}

} // namespace rhubarbwharf::entry
