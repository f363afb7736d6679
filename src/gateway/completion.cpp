#include <algorithm>
#include <cstdio>
#include <span>
#include <tuple>
#include <utility>

#include <fleet.pb.h>
#include <gateway/parts.hpp>
#include <gateway/retries.hpp>
#include <rhubarbwharf/dispatch/hedge.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

/*! @brief Backend servers to which one request is sent at most, those that refuse it included. */
constexpr std::size_t max_tried_servers = 6U;

[[nodiscard]] auto to_ms(const duration time) noexcept -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/*! @brief Returns the time since the attempt last sent an event, or since it was sent. */
[[nodiscard]] auto silence_of(const exchange& item, const attempt& current, const time_point now) noexcept -> duration {
    return now - std::max(item.m_last_event_at, current.m_sent_at);
}

/*! @brief Checks whether the route and the earlier attempts allow another attempt. */
[[nodiscard]] auto may_retry(const exchange& item, const attempt_failure& failure) -> bool {
    const auto idempotent = item.m_route->m_idempotency == fleet::idempotency::idempotent;
    const auto safe = idempotent || (failure.m_not_run && !item.m_may_have_run);
    const auto resumable =
        !item.m_stream_started || (item.m_route->m_resumable && !item.m_events.last_event_id().empty());
    return safe && resumable && item.m_tried_servers.size() - item.m_unsent_attempts < item.m_route->m_max_attempts &&
           item.m_tried_servers.size() < max_tried_servers;
}

/*! @brief Ends an exchange that is not retried. */
auto end_failed(daemon& self, const std::shared_ptr<exchange>& item, const attempt_failure& failure) -> void {
    if (item->m_stream_started) {
        item->m_responder->abort();
        close_exchange(self, item, 0U, failure.m_reason);
        return;
    }
    if (failure.m_not_run && !item->m_may_have_run) {
        end_with_response(self, item, refusal_response(503U, failure.m_reason, retry_after_failure(self, *item)),
                          failure.m_reason);
        return;
    }
    end_with_response(self, item, give_up_response(*item, 502U, failure.m_reason), failure.m_reason);
}

/*! @brief Returns the exchanges in progress, so that some of them may end while all are visited. */
[[nodiscard]] auto list_exchanges(const daemon& self) -> std::vector<std::shared_ptr<exchange>> {
    std::vector<std::shared_ptr<exchange>> out{};
    out.reserve(self.m_exchanges.size());
    for (const auto& [id, item] : self.m_exchanges) {
        out.push_back(item);
    }
    return out;
}

/*! @brief Checks whether an attempt waits at a runner whose version may no longer start requests. */
[[nodiscard]] auto is_outdated(const daemon& self, const exchange& item, const attempt& current, const time_point now)
    -> bool {
    const auto& service = *item.m_service;
    if (current.m_head || !service.m_engine || item.m_route->m_idempotency != fleet::idempotency::idempotent) {
        return false;
    }
    const auto min_version = node::min_allowed_version(self.m_core, item.m_model, now, node::version_withdrawal_margin);
    const auto held_version =
        fleet::complete_version(current.m_backend->m_models, item.m_model, service.m_engine->m_layer_count);
    return dispatch::may_begin_outdated(held_version, current.m_held_version, min_version);
}

constexpr std::string_view version_expired = "the version may no longer begin a request";

/*! @brief Withdraws the outdated attempts of a request. @return Whether none is left. */
[[nodiscard]] auto withdraw_outdated(daemon& self, const std::shared_ptr<exchange>& item, const time_point now)
    -> bool {
    for (const auto& each : {item->m_hedge, item->m_attempt}) {
        if (each && is_outdated(self, *item, *each, now)) {
            item->m_may_have_run = true;
            item->m_withdrawn = true;
            cancel_attempt(self, item, each, version_expired);
        }
    }
    return item->m_attempt == nullptr;
}

/*! @brief Withdraws all outdated attempts and reschedules their requests as far as the retry budget allows: begun
 * streams first, then the more urgent and the older ones. The others end at once, as they may run nowhere. */
auto reschedule_outdated(daemon& self, const std::span<const std::shared_ptr<exchange>> exchanges, const time_point now)
    -> void {
    std::vector<std::shared_ptr<exchange>> withdrawn{};
    for (const auto& item : exchanges) {
        if (!item->m_ended && item->m_attempt && withdraw_outdated(self, item, now)) {
            withdrawn.push_back(item);
        }
    }
    std::ranges::sort(withdrawn, {}, [](const auto& item) {
        return std::tuple{!item->m_stream_started, item->m_priority, item->m_urgency, item->m_arrived_at};
    });
    for (const auto& item : withdrawn) {
        if (item->m_ended) {
            continue;
        }
        if (grant_retry(self, *item, dispatch::retry_cause::withdrawal)) {
            schedule(self, item);
        } else {
            end_with_response(self, item, give_up_response(*item, 502U, version_expired), version_expired);
        }
    }
}

/*! @brief Sends a request whose backend server is silent to a second one as well. */
auto hedge_silent(daemon& self, const std::shared_ptr<exchange>& item, const time_point now) -> void {
    const auto current = item->m_attempt;
    const auto& route = *item->m_route;
    dispatch::pending_response state{};
    state.m_idempotent = route.m_idempotency == fleet::idempotency::idempotent;
    state.m_stream_started = item->m_stream_started;
    state.m_head_received = current->m_head.has_value();
    state.m_hedged = item->m_hedge != nullptr;
    state.m_has_engine = item->m_service->m_engine.has_value();
    state.m_first_byte_target = route.m_first_byte_target;
    state.m_resumable = !item->m_events.last_event_id().empty();
    state.m_time_left = item->m_deadline - now;
    state.m_silence = std::min(silence_of(*item, *current, now), now - item->m_silence_checked_at);
    state.m_attempts = item->m_tried_servers.size() - item->m_unsent_attempts;
    state.m_max_attempts = route.m_max_attempts;
    if (item->m_tried_servers.size() >= max_tried_servers || item->m_hedge_waits) {
        return;
    }
    if (dispatch::needs_hedge(state)) {
        item->m_silence_checked_at = now;
        hedge(self, item);
    } else if (self.m_core.m_settings.m_hedging.m_max_share > 0.0 &&
               dispatch::is_slow(state, self.m_tail_latencies[route.m_name])) {
        hedge_slow(self, item);
    }
}

} // namespace

} // namespace internal

auto refusal_response(const std::uint16_t status, const std::string_view detail, const duration retry_after)
    -> net::http_response {
    auto response = net::problem(code::overloaded, outcome::not_run, detail, duration::zero());
    response.m_status = status;
    if (retry_after > duration::zero()) {
        constexpr std::size_t max_length = 24U;
        std::array<char, max_length> text{};
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>{retry_after}.count());
        response.m_headers.push_back({"Retry-After", text.data()});
    }
    return response;
}

auto failure_response(const std::uint16_t status, const std::string_view detail) -> net::http_response {
    auto response = net::problem(code::outcome_unknown, outcome::unknown, detail, duration::zero());
    response.m_status = status;
    return response;
}

auto give_up_response(const exchange& item, const std::uint16_t status, const std::string_view reason)
    -> net::http_response {
    return item.m_server_error ? *item.m_server_error : failure_response(status, reason);
}

namespace {

/*! @brief Removes an attempt from the load of its backend server. */
auto release_load(const attempt& ended) -> void {
    auto& backend = *ended.m_backend;
    dispatch::record_request_end(backend, steady_now());
    backend.m_unread_prompt_tokens = std::max(0.0, backend.m_unread_prompt_tokens - ended.m_unread_tokens);
    dispatch::release_probe(backend.m_health);
}

[[nodiscard]] auto version_of(const fleet::shared_configuration& configuration) noexcept -> std::int64_t {
    return configuration ? static_cast<std::int64_t>(configuration->m_version) : 0;
}

} // namespace

auto cancel_attempt(daemon& self, const std::shared_ptr<exchange>& item, std::shared_ptr<attempt> value,
                    const std::string_view reason) -> void {
    const auto ended = std::move(value);
    if (ended == item->m_hedge) {
        item->m_hedge = nullptr;
    } else if (ended == item->m_attempt) {
        item->m_attempt = std::exchange(item->m_hedge, nullptr);
        item->m_events.continue_with(item->m_attempt ? std::move(item->m_attempt->m_events) : event_stream{});
    }
    release_load(*ended);
    ended->m_call->cancel();
    const auto silence = internal::silence_of(*item, *ended, steady_now());
    self.m_core.m_events.write("attempt.ended", {{"id", item->m_attempt_id},
                                                 {"server", ended->m_backend->m_id},
                                                 {"reason", reason},
                                                 {"silent_ms", internal::to_ms(silence)}});
}

auto cancel_attempts(daemon& self, const std::shared_ptr<exchange>& item, const std::string_view reason) -> void {
    while (item->m_attempt) {
        cancel_attempt(self, item, item->m_attempt, reason);
    }
}

auto keep_attempt(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& kept) -> void {
    if (!item->m_hedge) {
        return;
    }
    const auto loser = kept == item->m_hedge ? item->m_attempt : item->m_hedge;
    auto& backend = *loser->m_backend;
    const auto is_slow = std::exchange(item->m_hedged_as_slow, false);
    if (is_slow && loser == item->m_attempt) {
        self.m_core.m_counters.add("slow_hedges_won_total", 1.0, item->m_route->m_name);
    }
    if (!is_slow && loser == item->m_attempt &&
        dispatch::record_failure(backend.m_health, service_failure_rate(self, backend), steady_now())) {
        self.m_core.m_events.write("server.ejected", {{"server", backend.m_id}, {"id", item->m_attempt_id}});
    }
    cancel_attempt(self, item, loser, "another server delivered first");
}

auto retry_or_end(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& failed,
                  const attempt_failure& failure) -> void {
    const auto was_hedged = item->m_hedge != nullptr;
    cancel_attempt(self, item, failed, failure.m_reason);
    item->m_may_have_run = item->m_may_have_run || !failure.m_not_run;
    if (!failure.m_sent) {
        ++item->m_unsent_attempts;
        uncount_attempt(self, *item, *failed);
    }
    if (was_hedged) {
        return;
    }
    if (item->m_stream_started && item->m_resumed_to_end) {
        constexpr std::uint16_t status_ok = 200U;
        item->m_responder->finish();
        close_exchange(self, item, status_ok, "answered");
        return;
    }
    const auto now = steady_now();
    const auto in_time = now + dispatch::min_attempt_time < item->m_deadline;
    const auto retries = internal::may_retry(*item, failure) && in_time;
    const auto cause = item->m_stream_started ? dispatch::retry_cause::resumption : dispatch::retry_cause::failure;
    const auto reached_none = item->m_tried_servers.size() == item->m_unsent_attempts;
    if (retries && (reached_none || grant_retry(self, *item, cause))) {
        schedule(self, item);
    } else {
        internal::end_failed(self, item, failure);
    }
}

auto end_with_response(daemon& self, const std::shared_ptr<exchange>& item, net::http_response response,
                       const std::string_view reason) -> void {
    if (item->m_ended) {
        return;
    }
    const auto status = response.m_status;
    if (item->m_stream_started) {
        item->m_responder->abort();
        close_exchange(self, item, 0U, reason);
        return;
    }
    // An earlier attempt may have run, so the response must not state that the request did not run.
    if (item->m_may_have_run && status == 503U) {
        response = give_up_response(*item, 502U, reason);
    }
    const auto sent_status = response.m_status;
    item->m_responder->respond(std::move(response));
    close_exchange(self, item, sent_status, reason);
}

auto close_exchange(daemon& self, const std::shared_ptr<exchange>& item, const std::uint16_t status,
                    const std::string_view reason) -> void {
    if (std::exchange(item->m_ended, true)) {
        return;
    }
    const std::string service{item->m_service->m_name};
    const auto now = steady_now();
    const auto last_server =
        item->m_tried_servers.empty() ? std::string_view{} : std::string_view{item->m_tried_servers.back()};
    const auto server = item->m_attempt ? std::string_view{item->m_attempt->m_backend->m_id} : last_server;
    self.m_core.m_events.write("request.ended", {{"id", item->m_attempt_id},
                                                 {"status", static_cast<std::int64_t>(status)},
                                                 {"reason", reason},
                                                 {"server", server},
                                                 {"tries", static_cast<std::int64_t>(item->m_tried_servers.size())},
                                                 {"took_ms", internal::to_ms(now - item->m_arrived_at)},
                                                 {"first_ms", internal::to_ms(item->m_first_byte_latency)},
                                                 {"pause_ms", internal::to_ms(item->m_longest_pause)},
                                                 {"route", item->m_route->m_name},
                                                 {"events_bytes", static_cast<std::int64_t>(item->m_event_bytes)},
                                                 {"configuration", version_of(item->m_configuration)},
                                                 {"newest", version_of(self.m_core.m_configuration)}});
    self.m_core.m_counters.add("requests_ended_total", 1.0, std::to_string(status));
    if (status == 0U) {
        self.m_core.m_counters.add("requests_cut_total", 1.0, reason);
    }
    self.m_core.m_counters.observe("request_seconds", now - item->m_arrived_at);
    for (const auto& each : {std::exchange(item->m_hedge, nullptr), std::exchange(item->m_attempt, nullptr)}) {
        if (each) {
            release_load(*each);
            each->m_call->cancel();
        }
    }
    end_trial(self, *item);
    withdraw_grant(self, *item);
    dispatch::erase(self.m_services[service].m_queue, item->m_id);
    self.m_exchanges.erase(item->m_id);
    item->m_responder = nullptr;
    dispatch_queued(self, service);
}

auto end_unanswered(daemon& self, const std::shared_ptr<exchange>& item, const std::string_view reason) -> void {
    const auto may_have_run = item->m_attempt != nullptr || item->m_may_have_run;
    cancel_attempts(self, item, reason);
    end_with_response(
        self, item, may_have_run ? give_up_response(*item, 504U, reason) : refusal_response(503U, reason, {}), reason);
}

auto end_all_unanswered(daemon& self, const std::string_view reason) -> void {
    auto exchanges = internal::list_exchanges(self);
    // Queued requests end first, so that none of them is sent to a server that becomes free.
    std::partition(exchanges.begin(), exchanges.end(), [](const auto& item) { return item->m_attempt == nullptr; });
    for (const auto& item : exchanges) {
        if (!item->m_ended) {
            end_unanswered(self, item, reason);
        }
    }
}

auto check_timeouts(daemon& self, const time_point now) -> void {
    const auto exchanges = internal::list_exchanges(self);
    for (const auto& item : exchanges) {
        if (!item->m_ended && now >= item->m_deadline) {
            end_unanswered(self, item, "the deadline passed");
        }
    }
    internal::reschedule_outdated(self, exchanges, now);
    for (const auto& item : exchanges) {
        if (!item->m_ended && item->m_attempt) {
            internal::hedge_silent(self, item, now);
        }
    }
    for (const auto& [name, state] : self.m_services) {
        dispatch::expire_refusals(state.m_backends, now);
        dispatch_queued(self, name);
    }
}

} // namespace rhubarbwharf::gateway
