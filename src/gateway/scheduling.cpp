#include <algorithm>
#include <utility>

#include <gateway/crash_records.hpp>
#include <gateway/parts.hpp>
#include <gateway/placing.hpp>
#include <gateway/retries.hpp>
#include <platform/names.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

/*! @brief Covers a round trip to the farthest data centre and queueing of the connection there. */
constexpr duration connect_timeout = std::chrono::milliseconds{400};
/*! @brief Longest idle time of a kept connection that carries a non-idempotent request. */
constexpr duration max_idle_non_idempotent = std::chrono::seconds{3};
/*! @brief Longest idle time of a kept connection that carries an idempotent request. */
constexpr duration max_idle_idempotent = std::chrono::seconds{20};
/*! @brief Bounds of `Retry-After` for a refused request. Its response will be late in any case, so it should return
 * once the requests that can still be on time have been served. */
constexpr duration min_retry_after = std::chrono::milliseconds{1'000};
constexpr duration max_retry_after = std::chrono::milliseconds{1'800};
/*! @brief Longest time that the caller of a stream waits for an event: the largest of this time, a multiple of the
 * route's latency target, and a multiple of its longest on-time pause. */
constexpr duration min_stream_wait = std::chrono::seconds{2};
constexpr int stream_wait_target_factor = 4;
constexpr int stream_wait_gap_factor = 8;
/*! @brief `Retry-After` is at most the caller's remaining time divided by this; callers do not honour a longer one. */
constexpr int retry_after_divisor = 3;

namespace {

/*! @brief Returns the longest time that the caller of a stream waits for its next event. */
[[nodiscard]] auto max_stream_wait(const fleet::route& route) -> duration {
    return std::max<duration>({min_stream_wait, route.m_first_byte_target * stream_wait_target_factor,
                               route.m_max_event_gap * stream_wait_gap_factor});
}

[[nodiscard]] auto queue_entry(const exchange& item) -> dispatch::waiting_request {
    const auto* const engine = item.m_service->m_engine ? &*item.m_service->m_engine : nullptr;
    auto first_byte_time = std::chrono::milliseconds{10};
    auto response_time = std::chrono::milliseconds{50};
    if (engine != nullptr) {
        const auto pass_ms = dispatch::predict_pass_ms(*engine, static_cast<double>(engine->m_slots));
        const auto prefill_ms = item.m_prompt_tokens / engine->m_prefill_tokens_per_ms +
                                dispatch::passes_before_first_token_when_full * pass_ms;
        const auto decode_ms = engine->m_mean_output_tokens / engine->m_steps_per_pass * pass_ms;
        first_byte_time = std::chrono::milliseconds{static_cast<std::int64_t>(prefill_ms)};
        response_time = std::chrono::milliseconds{static_cast<std::int64_t>(prefill_ms + decode_ms)};
    }
    dispatch::waiting_request out{};
    out.m_request = item.m_id;
    out.m_group = fleet::group_of(item.m_allowed_regions);
    out.m_urgency = item.m_urgency;
    out.m_priority = item.m_priority;
    out.m_arrived = item.m_arrived_at;
    // A request whose server is silent or broke off goes before others while its caller still waits.
    if (item.m_stream_started || item.m_attempt) {
        const auto waits_since = item.m_stream_started ? item.m_last_event_at : item.m_arrived_at;
        const auto max_wait = item.m_route->m_streaming ? max_stream_wait(*item.m_route) : item.m_route->m_timeout;
        out.m_send_deadline =
            std::min<time_point>(item.m_deadline - response_time, waits_since + max_wait - first_byte_time);
        out.m_on_time_deadline = out.m_send_deadline;
        return out;
    }
    out.m_on_time_deadline = item.m_first_byte_deadline - first_byte_time;
    const auto late_until =
        std::min<time_point>(item.m_deadline - response_time, item.m_arrived_at + dispatch::max_late_wait);
    out.m_send_deadline = out.m_on_time_deadline > item.m_arrived_at ? out.m_on_time_deadline : late_until;
    if (item.m_withdrawn) {
        out.m_send_deadline = item.m_deadline - response_time;
    }
    if (item.m_route->m_streaming) {
        const auto max_wait = max_stream_wait(*item.m_route);
        out.m_send_deadline = std::min<time_point>(out.m_send_deadline, item.m_arrived_at + max_wait - first_byte_time);
    }
    return out;
}

/*! @brief Returns the longest `Retry-After` that the caller honours. */
[[nodiscard]] auto max_honoured_retry_after(const exchange& item, const time_point now) -> duration {
    return std::max<duration>(duration{1}, (item.m_deadline - now) / retry_after_divisor);
}

[[nodiscard]] auto retry_after_jitter(daemon& self) -> duration {
    return std::chrono::milliseconds{self.m_core.m_random() % 400U};
}

[[nodiscard]] auto retry_after_for(daemon& self, const exchange& item, const duration expected, const time_point now)
    -> duration {
    const auto wanted = std::clamp<duration>(expected + retry_after_jitter(self), min_retry_after, max_retry_after);
    return std::min(wanted, max_honoured_retry_after(item, now));
}

[[nodiscard]] auto to_ms(const duration time) noexcept -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

[[nodiscard]] auto remaining_ms(const exchange& item, const time_point now) -> std::int64_t {
    return std::max<std::int64_t>(1, to_ms(item.m_deadline - now));
}

/*! @brief Returns the rank of a request in the queue of a runner: by its priority, then by the urgency of its route. */
[[nodiscard]] auto runner_priority(const exchange& item) noexcept -> std::size_t {
    constexpr std::size_t last_rank = 9U;
    const auto kinds = std::max<std::size_t>(1U, item.m_service->m_route_priorities.size());
    return std::min(item.m_priority * kinds + item.m_urgency, last_rank);
}

[[nodiscard]] auto backend_request(const exchange& item, const dispatch::server_load& backend,
                                   const std::uint64_t pinned_version, const time_point now) -> net::http_request {
    auto out = item.m_request;
    const auto add = [&out](const std::string_view name, std::string value) {
        out.m_headers.push_back({std::string{name}, std::move(value)});
    };
    add(adapter::field::deadline, std::to_string(remaining_ms(item, now)));
    add(adapter::field::expect_server, backend.m_id);
    if (pinned_version != 0U) {
        add(adapter::field::expect_version, std::to_string(pinned_version));
    }
    if (item.m_service->m_engine) {
        add(adapter::field::priority, std::to_string(runner_priority(item)));
    }
    if (item.m_stream_started) {
        std::erase_if(out.m_headers, [](const net::header& field) {
            return net::is_same_name(field.m_name, adapter::field::last_event);
        });
        add(adapter::field::last_event, item.m_events.last_event_id());
    }
    return out;
}

/*! @brief Refuses a request. @param expected Time until a place is expected. @param retry_after Time after which the
 * caller is told to return. */
auto refuse(daemon& self, const std::shared_ptr<exchange>& item, const duration expected, const duration retry_after,
            const std::string_view reason) -> void {
    const auto now = steady_now();
    const auto& state = self.m_services[item->m_service->m_name];
    self.m_core.m_events.write("request.refused",
                               {{"id", item->m_attempt_id},
                                {"reason", reason},
                                {"waiting", static_cast<std::int64_t>(state.m_queue.m_waiting.size())},
                                {"sent_per_s", dispatch::send_rate(state.m_queue, now)},
                                {"expected_ms", to_ms(expected)},
                                {"target_ms", to_ms(item->m_first_byte_deadline - item->m_arrived_at)},
                                {"return_ms", to_ms(retry_after)},
                                {"servers", static_cast<std::int64_t>(state.m_backends.size())},
                                {"configuration", static_cast<std::int64_t>(item->m_configuration->m_version)}});
    end_with_response(self, item, refusal_response(503U, reason, retry_after), reason);
}

auto refuse(daemon& self, const std::shared_ptr<exchange>& item, const duration expected, const std::string_view reason)
    -> void {
    refuse(self, item, expected, retry_after_for(self, *item, expected, steady_now()), reason);
}

/*! @brief Refuses a request that no backend server can run, even once it has capacity. */
auto refuse_without_server(daemon& self, const std::shared_ptr<exchange>& item, const time_point now) -> void {
    constexpr duration expected = std::chrono::milliseconds{400};
    if (!lacks_allowed_region(self, *item, now)) {
        refuse(self, item, expected, "no backend server can run it now");
        return;
    }
    self.m_core.m_counters.add("region_refusals_total", 1.0, item->m_route->m_name);
    refuse(self, item, expected, "no backend server of the allowed regions can run it now");
}

/*! @brief Refuses a request that only pauses keep from being sent. @return Whether this is so. */
[[nodiscard]] auto refuse_if_paused(daemon& self, const std::shared_ptr<exchange>& item) -> bool {
    const auto retry_after = retry_after_pause(self, *item);
    if (retry_after) {
        refuse(self, item, *retry_after, *retry_after, "every backend server has asked for a pause");
    }
    return retry_after.has_value();
}

/*! @brief Refuses a request if all backend servers that could run it have named limits, and none has a turn for it in
 * time. @return Whether this is so. */
[[nodiscard]] auto refuse_without_turn(daemon& self, const std::shared_ptr<exchange>& item,
                                       const dispatch::waiting_request& entry, const time_point now) -> bool {
    const auto& state = self.m_services[item->m_service->m_name];
    const auto outlook = dispatch::find_turns(state.m_backends, requirements_of(self, *item, now), now);
    if (!outlook || item->m_stream_started || item->m_withdrawn) {
        return false;
    }
    const auto expected = dispatch::wait_for_turn(*outlook, state.m_queue.m_waiting.size());
    if (expected <= entry.m_send_deadline - now) {
        return false;
    }
    self.m_core.m_counters.add("limit_refusals_total");
    refuse(self, item, std::min<duration>(expected, dispatch::max_wait_estimate),
           "the limits of the backend servers allow no request in time");
    return true;
}

/*! @brief Sends a request to a second backend server if possible. */
[[nodiscard]] auto send_hedge(daemon& self, service_state& state, const std::shared_ptr<exchange>& item,
                              const time_point now) -> dispatch::send_result {
    if (has_crashed(self, *item, now)) {
        return dispatch::send_result::no_server;
    }
    const auto chosen = choose_backend(self, *item, now);
    if (!chosen) {
        return has_eligible_backend(self, *item, now) ? dispatch::send_result::no_capacity
                                                      : dispatch::send_result::no_server;
    }
    const auto cause = item->m_stream_started ? dispatch::retry_cause::resumption : dispatch::retry_cause::hedge;
    if (!grant_retry(self, *item, cause)) {
        return dispatch::send_result::no_server;
    }
    withdraw_hedge(self, *item);
    const auto& silent = *item->m_attempt;
    dispatch_to(self, item, state.m_backends[chosen->m_index], *chosen);
    self.m_core.m_events.write("request.hedged",
                               {{"id", item->m_attempt_id},
                                {"silent", silent.m_backend->m_id},
                                {"silent_ms", to_ms(now - std::max(item->m_last_event_at, silent.m_sent_at))},
                                {"server", item->m_hedge->m_backend->m_id}});
    return dispatch::send_result::ended;
}

/*! @brief Sends or refuses a waiting request if possible. */
[[nodiscard]] auto send_queued(daemon& self, service_state& state, const std::shared_ptr<exchange>& item,
                               const time_point now) -> dispatch::send_result {
    if (item->m_hedge_waits) {
        return send_hedge(self, state, item, now);
    }
    if (const auto chosen = choose_backend(self, *item, now)) {
        dispatch::erase(state.m_queue, item->m_id);
        dispatch_to(self, item, state.m_backends[chosen->m_index], *chosen);
        return dispatch::send_result::ended;
    }
    if (refuse_if_paused(self, item)) {
        return dispatch::send_result::ended;
    }
    return has_eligible_backend(self, *item, now) ? dispatch::send_result::no_capacity
                                                  : dispatch::send_result::no_server;
}

} // namespace

/*! @brief Creates the handlers that forward the response of an attempt to the caller; defined in relay.cpp. */
auto make_call_handlers(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& current)
    -> net::call_handlers;

} // namespace internal

auto retry_after_failure(daemon& self, const exchange& item) -> duration {
    constexpr duration another_server = std::chrono::milliseconds{120};
    if (const auto pause = retry_after_pause(self, item)) {
        return *pause;
    }
    const auto now = steady_now();
    return internal::has_eligible_backend(self, item, now)
               ? another_server
               : internal::retry_after_for(self, item, internal::min_retry_after, now);
}

auto dispatch_to(daemon& self, const std::shared_ptr<exchange>& item,
                 const std::shared_ptr<dispatch::server_load>& backend, const dispatch::choice& prediction) -> void {
    const auto now = steady_now();
    auto current = std::make_shared<attempt>();
    current->m_backend = backend;
    current->m_sent_at = now;
    current->m_unread_tokens = item->m_prompt_tokens;
    dispatch::record_request(*backend, now);
    backend->m_unread_prompt_tokens += current->m_unread_tokens;
    dispatch::record_attempt(backend->m_health, now);
    if (item->m_attempt) {
        item->m_hedge = current;
    } else {
        item->m_attempt = current;
    }
    count_attempt(self, *item, *current);
    item->m_last_event_at = item->m_tried_servers.empty() ? now : item->m_last_event_at;
    item->m_tried_servers.push_back(backend->m_id);
    dispatch::record_sent(self.m_services[item->m_service->m_name].m_queue, now);

    const auto requirements = internal::requirements_of(self, *item, now);
    const auto held_version = fleet::complete_version(backend->m_models, requirements.m_model, requirements.m_layers);
    current->m_held_version = held_version;
    const auto pinned = requirements.m_required_version != 0U || requirements.m_min_version != 0U;
    net::call_limits limits{};
    limits.m_total_time = item->m_deadline - now + std::chrono::milliseconds{500};
    limits.m_idle_time = limits.m_total_time;
    limits.m_connect_time = internal::connect_timeout;
    const auto idempotent = item->m_route->m_idempotency == fleet::idempotency::idempotent;
    limits.m_kept_time = idempotent ? internal::max_idle_idempotent : internal::max_idle_non_idempotent;
    limits.m_echo = {std::string{adapter::field::attempt}, item->m_attempt_id};
    self.m_core.m_events.write(
        "request.sent",
        {{"id", item->m_attempt_id},
         {"server", backend->m_id},
         {"try", static_cast<std::int64_t>(item->m_tried_servers.size())},
         {"load", prediction.m_load},
         {"first_ms", prediction.m_first_byte_ms},
         {"report_age_ms", backend->m_last_reported == time_point{} ? std::int64_t{-1}
                                                                    : internal::to_ms(now - backend->m_last_reported)},
         {"waited_ms", internal::to_ms(now - item->m_arrived_at)},
         {"target_ms", internal::to_ms(item->m_first_byte_deadline - item->m_arrived_at)},
         {"version", static_cast<std::int64_t>(held_version)},
         {"min_version", static_cast<std::int64_t>(requirements.m_min_version)},
         {"configuration", static_cast<std::int64_t>(item->m_configuration->m_version)}});
    current->m_call = self.m_core.m_http.send(
        backend->m_address, internal::backend_request(*item, *backend, pinned ? held_version : 0U, now), limits,
        internal::make_call_handlers(self, item, current));
}

auto retry_after_pause(daemon& self, const exchange& item) -> std::optional<duration> {
    const auto now = steady_now();
    const auto& backends = self.m_services[item.m_service->m_name].m_backends;
    const auto resumed = dispatch::time_until_resumed(backends, internal::requirements_of(self, item, now), now);
    if (!resumed) {
        return std::nullopt;
    }
    return std::min(*resumed + internal::retry_after_jitter(self), internal::max_honoured_retry_after(item, now));
}

auto hedge(daemon& self, const std::shared_ptr<exchange>& item) -> void {
    const auto now = steady_now();
    auto& state = self.m_services[item->m_service->m_name];
    if (internal::send_hedge(self, state, item, now) != dispatch::send_result::no_capacity) {
        return;
    }
    const auto entry = internal::queue_entry(*item);
    if (entry.m_send_deadline <= now) {
        return;
    }
    dispatch::push(state.m_queue, entry);
    item->m_hedge_waits = true;
    self.m_core.m_events.write("request.hedge_waits",
                               {{"id", item->m_attempt_id},
                                {"silent", item->m_attempt->m_backend->m_id},
                                {"waiting", static_cast<std::int64_t>(state.m_queue.m_waiting.size())},
                                {"limit_ms", internal::to_ms(entry.m_send_deadline - now)}});
    self.m_core.m_counters.add("hedges_queued_total");
}

auto hedge_slow(daemon& self, const std::shared_ptr<exchange>& item) -> void {
    auto& state = self.m_services[item->m_service->m_name];
    const auto now = steady_now();
    if (item->m_hedge_waits || state.m_hedge_allowance.m_credit < 1.0 || !state.m_queue.m_waiting.empty() ||
        has_crashed(self, *item, now)) {
        return;
    }
    auto options = internal::placement_options_for(self, *item, now);
    options.m_max_excess_requests = -internal::free_slots_for_extra_work(*item);
    const auto chosen = internal::choose_backend(self, *item, options, now);
    if (!chosen || state.m_backends[chosen->m_index]->m_turns ||
        !grant_retry(self, *item, dispatch::retry_cause::hedge)) {
        return;
    }
    if (!dispatch::try_acquire_hedge(state.m_hedge_allowance)) {
        withdraw_grant(self, *item);
        return;
    }
    const auto slow = item->m_attempt;
    item->m_hedged_as_slow = true;
    dispatch_to(self, item, state.m_backends[chosen->m_index], *chosen);
    self.m_core.m_events.write("request.hedged_slow", {{"id", item->m_attempt_id},
                                                       {"slow", slow->m_backend->m_id},
                                                       {"silent_ms", internal::to_ms(now - slow->m_sent_at)},
                                                       {"server", item->m_hedge->m_backend->m_id},
                                                       {"credit", state.m_hedge_allowance.m_credit}});
    self.m_core.m_counters.add("slow_hedges_total", 1.0, item->m_route->m_name);
}

auto withdraw_hedge(daemon& self, exchange& item) -> void {
    if (std::exchange(item.m_hedge_waits, false)) {
        dispatch::erase(self.m_services[item.m_service->m_name].m_queue, item.m_id);
    }
}

auto schedule(daemon& self, const std::shared_ptr<exchange>& item) -> void {
    withdraw_hedge(self, *item);
    if (!admit_content(self, item) || !admit_parts(self, item)) {
        return;
    }
    const auto now = steady_now();
    auto& state = self.m_services[item->m_service->m_name];
    const auto queue_was_empty = state.m_queue.m_waiting.empty();
    if (queue_was_empty || !item->m_tried_servers.empty()) {
        if (const auto chosen = internal::choose_backend(self, *item, now)) {
            dispatch_to(self, item, state.m_backends[chosen->m_index], *chosen);
            return;
        }
    }
    if (internal::refuse_if_paused(self, item)) {
        return;
    }
    const auto entry = internal::queue_entry(*item);
    if (entry.m_send_deadline <= now) {
        internal::refuse(self, item, std::chrono::milliseconds{100}, "the time left is too short");
        return;
    }
    const auto needs_eligible = item->m_tried_servers.empty() || item->m_stream_started;
    if (needs_eligible && !internal::has_eligible_backend(self, *item, now)) {
        internal::refuse_without_server(self, item, now);
        return;
    }
    if (internal::refuse_without_turn(self, item, entry, now)) {
        return;
    }
    const auto expected = dispatch::refusal_retry_after(state.m_queue, entry, now);
    if (expected && !item->m_stream_started && !item->m_withdrawn) {
        internal::refuse(self, item, *expected, "no place is expected in time");
        return;
    }
    dispatch::push(state.m_queue, entry);
    if (!queue_was_empty) {
        dispatch_queued(self, item->m_service->m_name);
    }
}

auto dispatch_queued(daemon& self, const std::string_view name) -> void {
    const auto found = self.m_services.find(name);
    if (found == self.m_services.end() || found->second.m_queue.m_waiting.empty()) {
        return;
    }
    const auto now = steady_now();
    auto& state = found->second;
    for (const auto& each : dispatch::expire(state.m_queue, now)) {
        if (const auto item = self.m_exchanges.find(each.m_request); item != self.m_exchanges.end()) {
            const auto queued = item->second;
            if (std::exchange(queued->m_hedge_waits, false)) {
                continue;
            }
            internal::refuse(self, queued, dispatch::expected_wait(state.m_queue, each, now),
                             "no place came free in time");
        }
    }
    dispatch::send_scan scan{};
    for (const auto& each : dispatch::send_order(state.m_queue, now)) {
        const auto item = self.m_exchanges.find(each.m_request);
        if (item == self.m_exchanges.end()) {
            dispatch::erase(state.m_queue, each.m_request);
            continue;
        }
        const auto queued = item->second;
        if (!dispatch::is_tried(scan, each.m_group)) {
            continue;
        }
        if (!queued->m_hedge_waits && (!admit_content(self, queued) || !admit_parts(self, queued))) {
            continue;
        }
        const auto result = internal::send_queued(self, state, queued, now);
        if (!dispatch::continues_after(scan, result, each.m_group)) {
            return;
        }
    }
}

} // namespace rhubarbwharf::gateway
