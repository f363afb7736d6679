#include <algorithm>
#include <limits>
#include <utility>

#include <entry/daemon.hpp>
#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/execution/key.hpp>
#include <rhubarbwharf/net/log.hpp>

namespace rhubarbwharf::entry {

namespace internal {

/*! @brief Reports after a suspension by which every live peer has been heard again: one that was about to leave, and
 * one that may be lost. */
constexpr int reports_after_suspension = 2;

/*! @brief Why a request was not sent. */
enum class placed : std::uint8_t { sent, no_room, none_live };

[[nodiscard]] auto takes_traffic(const daemon& self, const std::string_view scope) -> bool {
    const auto* const entry = ticket::find(self.m_desired, scope);
    return entry == nullptr || entry->m_state.m_traffic;
}

[[nodiscard]] auto is_eligible(const daemon& self, const request& target, const membership::member& row,
                               const routing::backend_state& load, const time_point now) -> bool {
    const auto& seen = row.m_report;
    const auto version_fits = target.m_version == digest{} || target.m_version == seen.m_manifest;
    return seen.m_group == target.m_group && membership::accepts_requests(row, now, self.m_bounds) && version_fits &&
           routing::allows_request(load.m_breaker, now) && takes_traffic(self, "instance:" + seen.m_instance);
}

[[nodiscard]] auto gather(daemon& self, const request& target, const time_point now)
    -> std::vector<routing::candidate> {
    std::vector<routing::candidate> rows{};
    if (!takes_traffic(self, "group:" + target.m_group)) {
        return rows;
    }
    for (std::size_t index = 0; index < self.m_members.m_members.size(); ++index) {
        const auto id = instance_id{static_cast<std::uint32_t>(index)};
        const auto& load = backend_of(self, id);
        if (is_eligible(self, target, self.m_members.m_members[index], load, now)) {
            rows.push_back({id, routing::estimate_load(load), load.m_capacity, load.m_first_byte_s,
                            routing::holds_prefix(load, target.m_prefix)});
        }
    }
    return rows;
}

auto drop_tried(const daemon& self, const request& target, std::vector<routing::candidate>& rows) -> void {
    const auto others =
        std::ranges::any_of(rows, [&target](const auto& row) { return row.m_instance != target.m_before; });
    if (others) {
        std::erase_if(rows, [&target](const auto& row) { return row.m_instance == target.m_before; });
    }
    if (target.m_suspect) {
        std::erase_if(
            rows, [&self](const auto& row) { return self.m_backends[row.m_instance.value()].m_suspect_requests > 0U; });
    }
}

auto fill_attempt(const request& target, wire::Dispatch& out, const time_point now, const ticket_number highest)
    -> void {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(target.m_flight.m_deadline - now);
    out = target.m_dispatch;
    out.set_attempt(target.m_flight.m_attempts);
    out.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1)));
    out.set_ticket(highest.value());
    out.set_resume_tokens(target.m_tokens);
    out.set_suspect(target.m_suspect);
    if (target.m_version != digest{}) {
        out.set_manifest(std::string{as_bytes(target.m_version)});
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

auto start(daemon& self, const std::shared_ptr<request>& target, const instance_id id, const time_point now) -> void {
    ensure(!target->m_target, "a request has one attempt in progress");
    ++target->m_flight.m_attempts;
    target->m_target = id;
    target->m_sent = now;
    target->m_has_head = false;
    target->m_parts = 0;
    target->m_collected = {};
    auto& load = backend_of(self, id);
    ++load.m_in_flight;
    load.m_suspect_requests += target->m_suspect ? 1U : 0U;
    routing::record_attempt(load.m_breaker);
    routing::remember_prefix(load, target->m_prefix);
    auto message = envelope(self);
    fill_attempt(*target, *message.mutable_dispatch(), now, ticket::highest_ticket(self.m_desired));
    self.m_counters.add("entry_attempts_total");
    const auto sent = send(self, self.m_members.m_names.name(id), message);
    if (sent != code::ok) {
        membership::mark_suspected(self.m_members, id);
        end_attempt(self, target, {sent, true, {}});
    }
}

[[nodiscard]] auto place(daemon& self, const std::shared_ptr<request>& target) -> placed {
    const auto now = steady_now();
    auto rows = gather(self, *target, now);
    if (rows.empty()) {
        return placed::none_live;
    }
    drop_tried(self, *target, rows);
    const auto chosen = routing::choose_backend(rows, target->m_prefix, self.m_random(), self.m_choice);
    if (!chosen) {
        return placed::no_room;
    }
    routing::record_sent(queue_of(self, target->m_group), now);
    start(self, target, rows[*chosen].m_instance, now);
    return placed::sent;
}

[[nodiscard]] auto slots(const daemon& self, const std::string_view group) -> std::size_t {
    std::size_t count = 0;
    const auto now = steady_now();
    for (const auto& row : self.m_members.m_members) {
        count += membership::accepts_requests(row, now, self.m_bounds) && row.m_report.m_group == group
                     ? row.m_report.m_capacity
                     : 0U;
    }
    return count;
}

auto refuse(daemon& self, const std::shared_ptr<request>& target, const routing::attempt_decision& why) -> void {
    ensure(!target->m_target, "a request is refused after its attempt has ended");
    self.m_requests.erase(target->m_id);
    self.m_counters.add("entry_refusals_total", 1.0, describe(why.m_code).m_name);
    const auto answer = std::move(target->m_answer);
    ensure(answer != nullptr, "a caller gets one final answer");
    auto refusal = net::problem(why.m_code, why.m_outcome, describe(why.m_code).m_meaning, why.m_retry_after);
    if (!target->m_flight.m_head_sent) {
        return answer->respond(std::move(refusal));
    }
    self.m_counters.add("entry_cut_streams_total");
    answer->write("event: error\ndata: " + refusal.m_body + "\n\n");
    answer->abort();
}

auto refuse_unsent(daemon& self, const std::shared_ptr<request>& target, const code why) -> void {
    refuse(self, target, routing::make_refusal(target->m_flight, why, false, routing::default_retry_after));
}

/*! @brief Tells whether this process has just been suspended, so that silence says nothing of its peers yet. */
[[nodiscard]] auto hears_again(daemon& self, const time_point now) -> bool {
    adjust_for_suspension(self, now);
    const auto reports = std::chrono::milliseconds{self.m_settings.m_routing.m_report_ms} * reports_after_suspension;
    return self.m_resumed != time_point{} && now - self.m_resumed < reports;
}

/*! @brief Lets a request wait; one that has begun is neither refused nor displaced. */
auto wait(daemon& self, const std::shared_ptr<request>& target) -> void {
    const auto now = steady_now();
    const auto patience = std::chrono::milliseconds{self.m_settings.m_routing.m_queue_ms};
    auto& queue = queue_of(self, target->m_group);
    routing::queued_request entry{target->m_id, target->m_organisation,
                                  static_cast<std::uint8_t>(target->m_dispatch.priority()),
                                  target->m_flight.m_deadline};
    auto most = std::numeric_limits<std::size_t>::max();
    if (target->m_flight.m_attempts == 0U) {
        most = routing::queue_limit(queue, now, patience);
        entry.m_send_deadline = std::min(entry.m_send_deadline, now + patience);
    } else {
        entry.m_priority = std::numeric_limits<std::uint8_t>::max();
    }
    const auto done = routing::push(queue, entry, most);
    if (done.m_displaced) {
        refuse_unsent(self, self.m_requests.at(done.m_displaced->m_request), code::over_share);
    }
    if (done.m_code != code::ok) {
        refuse_unsent(self, target, done.m_code);
    }
}

auto send_or_wait(daemon& self, const std::shared_ptr<request>& target) -> void {
    auto& queue = queue_of(self, target->m_group);
    if (queue.m_size > 0U) {
        return wait(self, target);
    }
    switch (place(self, target)) {
    case placed::sent:
        return routing::charge_request(queue, target->m_organisation);
    case placed::no_room:
        return wait(self, target);
    case placed::none_live:
        return hears_again(self, steady_now()) ? wait(self, target)
                                               : refuse_unsent(self, target, code::no_backend_server);
    }
}

auto send_to_owner(daemon& self, const std::shared_ptr<request>& target) -> void {
    const auto key = execution::hash_idempotency_key(target->m_dispatch.organisation(), target->m_group,
                                                     target->m_dispatch.idempotency_key());
    const auto shard = execution::shard_of(key, self.m_settings.m_execution.m_shards);
    const auto* const owner =
        membership::find_shard_owner(self.m_members, target->m_group, shard, steady_now(), self.m_bounds);
    if (owner == nullptr) {
        return refuse_unsent(self, target,
                             slots(self, target->m_group) > 0U ? code::journal_unavailable : code::no_backend_server);
    }
    const auto id = *self.m_members.m_names.find(owner->m_report.m_instance);
    if (id == target->m_before) {
        return refuse_unsent(self, target, code::journal_unavailable);
    }
    target->m_dispatch.set_shard(shard.value());
    start(self, target, id, steady_now());
}

auto send_again(daemon& self, const std::shared_ptr<request>& target) -> void {
    self.m_counters.add("entry_retries_total");
    if (target->m_flight.m_non_idempotent) {
        return send_to_owner(self, target);
    }
    switch (place(self, target)) {
    case placed::sent:
        return;
    case placed::no_room:
        return wait(self, target);
    case placed::none_live:
        return refuse_unsent(self, target, target->m_flight.m_head_sent ? code::cut_stream : code::no_backend_server);
    }
}

/*! @brief Tells whether a request may find no place where others would. */
[[nodiscard]] auto is_choosy(const request& target) noexcept -> bool {
    return target.m_suspect || target.m_version != digest{};
}

auto cancel_attempt(daemon& self, request& target) -> void {
    if (!target.m_target) {
        return;
    }
    auto message = envelope(self);
    message.mutable_cancel()->set_request(target.m_id.value());
    message.mutable_cancel()->set_attempt(target.m_flight.m_attempts);
    send(self, self.m_members.m_names.name(*target.m_target), message);
}

/*! @brief Takes the attempt in progress off its backend server's account. */
auto release(daemon& self, request& target) -> void {
    ensure(target.m_target.has_value(), "an attempt that ends was in progress");
    auto& load = backend_of(self, *target.m_target);
    ensure(load.m_in_flight > 0U, "requests in progress are counted");
    --load.m_in_flight;
    load.m_suspect_requests -= target.m_suspect ? 1U : 0U;
    target.m_before = target.m_target;
    target.m_target.reset();
}

auto give_up(daemon& self, const std::shared_ptr<request>& target, const code why) -> void {
    const auto in_progress = target->m_target.has_value();
    if (in_progress) {
        cancel_attempt(self, *target);
        routing::release_probe(backend_of(self, *target->m_target).m_breaker);
        release(self, *target);
    } else {
        routing::erase(queue_of(self, target->m_group), target->m_id);
    }
    refuse(self, target, routing::make_refusal(target->m_flight, why, in_progress, {}));
}

} // namespace internal

auto backend_of(daemon& self, const instance_id id) -> routing::backend_state& {
    if (self.m_backends.size() <= id.value()) {
        self.m_backends.resize(id.value() + 1U);
    }
    return self.m_backends[id.value()];
}

auto submit(daemon& self, const std::shared_ptr<request>& fresh) -> void {
    self.m_counters.add("entry_requests_total");
    self.m_requests.emplace(fresh->m_id, fresh);
    const auto now = steady_now();
    if (routing::is_quarantined(self.m_quarantine, fresh->m_content, now)) {
        return internal::refuse(self, fresh, routing::make_refusal(fresh->m_flight, code::quarantined, false, {}));
    }
    fresh->m_suspect = routing::count_crashes(self.m_quarantine, fresh->m_content, now) > 0U;
    if (fresh->m_flight.m_non_idempotent) {
        return internal::send_to_owner(self, fresh);
    }
    internal::send_or_wait(self, fresh);
}

auto end_attempt(daemon& self, const std::shared_ptr<request>& target, const routing::attempt_result& end) -> void {
    internal::release(self, *target);
    const routing::attempt_limits limits{self.m_settings.m_routing.m_max_attempts};
    const auto next = routing::decide_next_step(target->m_flight, end, self.m_budget, steady_now(), limits);
    switch (next.m_step) {
    case routing::next_step::finish:
        return finish(self, target);
    case routing::next_step::refuse:
        return internal::refuse(self, target, next);
    case routing::next_step::resume:
        self.m_counters.add("entry_resumes_total");
        [[fallthrough]];
    case routing::next_step::retry:
        target->m_suspect = routing::count_crashes(self.m_quarantine, target->m_content, steady_now()) > 0U;
        return internal::send_again(self, target);
    }
}

auto finish(daemon& self, const std::shared_ptr<request>& target) -> void {
    self.m_requests.erase(target->m_id);
    routing::clear_crashes(self.m_quarantine, target->m_content);
    self.m_counters.add("entry_answers_total");
    self.m_counters.observe("entry_request_seconds", steady_now() - target->m_arrived);
    const auto answer = std::move(target->m_answer);
    ensure(answer != nullptr, "a caller gets one final answer");
    if (target->m_flight.m_head_sent) {
        return answer->finish();
    }
    answer->respond(std::move(target->m_collected));
}

auto adjust_for_suspension(daemon& self, const time_point now) -> void {
    const auto gap = now - std::exchange(self.m_looked, now);
    if (gap < self.m_bounds.m_suspect_timeout / 2) {
        return;
    }
    self.m_resumed = now;
    const auto gap_ms = std::chrono::duration_cast<std::chrono::milliseconds>(gap).count();
    net::log(net::level::warn, "entry", "was suspended for " + std::to_string(gap_ms) + " ms");
}

auto pump(daemon& self) -> void {
    for (auto& [group, queue] : self.m_queues) {
        std::vector<routing::queued_request> set_aside{};
        for (auto left = queue.m_size; left > 0U; --left) {
            const auto entry = routing::pop(queue);
            if (!entry) {
                break;
            }
            const auto target = self.m_requests.at(entry->m_request);
            if (internal::place(self, target) == internal::placed::sent) {
                continue;
            }
            set_aside.push_back(*entry);
            if (!internal::is_choosy(*target)) {
                break;
            }
        }
        for (auto place = set_aside.rbegin(); place != set_aside.rend(); ++place) {
            routing::undo_pop(queue, *place);
        }
    }
}

auto expire(daemon& self, const time_point now) -> void {
    for (auto& [group, queue] : self.m_queues) {
        for (const auto& late : routing::expire(queue, now)) {
            const auto target = self.m_requests.at(late.m_request);
            const auto passed = target->m_flight.m_deadline <= now;
            internal::refuse_unsent(self, target, passed ? code::deadline_passed : code::overloaded);
        }
    }
    std::vector<std::shared_ptr<request>> late{};
    for (const auto& [id, target] : self.m_requests) {
        if (target->m_flight.m_deadline <= now) {
            late.push_back(target);
        }
    }
    for (const auto& target : late) {
        internal::give_up(self, target, code::deadline_passed);
    }
}

auto lose(daemon& self, const instance_id gone) -> void {
    std::vector<std::shared_ptr<request>> hit{};
    for (const auto& [id, target] : self.m_requests) {
        if (target->m_target == gone) {
            hit.push_back(target);
        }
    }
    for (const auto& target : hit) {
        internal::cancel_attempt(self, *target);
        routing::release_probe(backend_of(self, gone).m_breaker);
        end_attempt(self, target, {code::connection_failed, false, {}});
    }
}

auto on_caller_gone(daemon& self, const request_id id) -> void {
    const auto found = self.m_requests.find(id);
    if (found == self.m_requests.end()) {
        return;
    }
    const auto target = found->second;
    self.m_counters.add("entry_callers_gone_total");
    if (target->m_target) {
        internal::cancel_attempt(self, *target);
        routing::release_probe(backend_of(self, *target->m_target).m_breaker);
        internal::release(self, *target);
    } else {
        routing::erase(internal::queue_of(self, target->m_group), id);
    }
    self.m_requests.erase(id);
}

} // namespace rhubarbwharf::entry
