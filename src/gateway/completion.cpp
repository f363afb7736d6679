#include <algorithm>
#include <cstdio>
#include <utility>

#include <fleet.pb.h>
#include <gateway/daemon.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

/*! @brief Longest pause between events before a resumable stream is resumed on another backend server. */
constexpr duration event_gap_timeout = std::chrono::milliseconds{1'100};
/*! @brief Time beyond the route's latency target after which a request without a response is sent to another backend
 * server. */
constexpr duration late_response_timeout = std::chrono::milliseconds{500};
/*! @brief Time after which a request without a response is sent to another backend server if its service has no engine.
 */
constexpr duration plain_response_timeout = std::chrono::milliseconds{180};

namespace {

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
    // A backend server that could not be reached does not count as an attempt.
    const auto attempts = item.m_tried_servers.size() - (failure.m_sent ? 0U : 1U);
    constexpr std::size_t max_tried_servers = 6U;
    return safe && resumable && attempts < item.m_route->m_max_attempts &&
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
        constexpr duration retry_after = std::chrono::milliseconds{120};
        end_with_response(self, item, refusal_response(503U, failure.m_reason, retry_after), failure.m_reason);
        return;
    }
    end_with_response(self, item, failure_response(502U, failure.m_reason), failure.m_reason);
}

/*! @brief Reschedules a request that waits at a runner whose version may no longer start requests. */
auto reschedule_outdated(daemon& self, const std::shared_ptr<exchange>& item, const time_point now) -> void {
    const auto& service = *item->m_service;
    const auto awaits_response = !item->m_stream_started && !item->m_attempt->m_head;
    if (!awaits_response || !service.m_engine || item->m_route->m_idempotency != fleet::idempotency::idempotent) {
        return;
    }
    const auto min_version =
        node::min_allowed_version(self.m_core, item->m_model, now, node::version_withdrawal_margin);
    const auto held_version =
        fleet::complete_version(item->m_attempt->m_backend->m_models, item->m_model, service.m_engine->m_layer_count);
    if (held_version == 0U || held_version >= min_version) {
        return;
    }
    item->m_may_have_run = true;
    cancel_attempt(self, item, "the version may no longer begin a request");
    schedule(self, item);
}

/*! @brief Reschedules a request whose attempt has sent no data within its timeout. */
auto reschedule_silent(daemon& self, const std::shared_ptr<exchange>& item, const time_point now) -> void {
    const auto& current = *item->m_attempt;
    const auto idempotent = item->m_route->m_idempotency == fleet::idempotency::idempotent;
    if (!idempotent || item->m_tried_servers.size() >= item->m_route->m_max_attempts) {
        return;
    }
    const auto silence = silence_of(*item, current, now);
    const auto first_byte_timeout = item->m_route->m_first_byte_target + late_response_timeout;
    const auto timeout = item->m_stream_started
                             ? event_gap_timeout
                             : (item->m_service->m_engine ? first_byte_timeout : plain_response_timeout);
    const auto awaits_data = item->m_stream_started ? current.m_is_stream : !current.m_head;
    if (silence < timeout || (!awaits_data && !item->m_stream_started)) {
        return;
    }
    auto& backend = *item->m_attempt->m_backend;
    if (!has_alternative_backend(self, *item, now) ||
        !dispatch::try_acquire_retry(self.m_services[item->m_service->m_name].m_retry_budget, now)) {
        item->m_last_event_at = now;
        return;
    }
    if (dispatch::record_failure(backend.m_health, service_failure_rate(self, backend), now)) {
        self.m_core.m_events.write("server.ejected", {{"server", backend.m_id}, {"id", item->m_attempt_id}});
    }
    item->m_may_have_run = true;
    cancel_attempt(self, item, "no answer for too long");
    item->m_events.drop_partial_event();
    schedule(self, item);
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

auto cancel_attempt(daemon& self, const std::shared_ptr<exchange>& item, const std::string_view reason) -> void {
    const auto current = std::exchange(item->m_attempt, nullptr);
    if (!current) {
        return;
    }
    auto& backend = *current->m_backend;
    backend.m_own_requests -= std::min(backend.m_own_requests, 1U);
    backend.m_unread_prompt_tokens = std::max(0.0, backend.m_unread_prompt_tokens - current->m_unread_tokens);
    dispatch::release_probe(backend.m_health);
    current->m_call->cancel();
    self.m_core.m_events.write("attempt.ended",
                               {{"id", item->m_attempt_id},
                                {"server", backend.m_id},
                                {"reason", reason},
                                {"silent_ms", internal::to_ms(internal::silence_of(*item, *current, steady_now()))}});
}

auto retry_or_end(daemon& self, const std::shared_ptr<exchange>& item, const attempt_failure& failure) -> void {
    cancel_attempt(self, item, failure.m_reason);
    item->m_may_have_run = item->m_may_have_run || !failure.m_not_run;
    item->m_events.drop_partial_event();
    const auto now = steady_now();
    const auto in_time = now + std::chrono::milliseconds{20} < item->m_deadline;
    auto& budget = self.m_services[item->m_service->m_name].m_retry_budget;
    const auto retries = internal::may_retry(*item, failure) && in_time;
    if (retries && (!failure.m_sent || dispatch::try_acquire_retry(budget, now))) {
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
        response = failure_response(502U, reason);
    }
    const auto sent_status = response.m_status;
    item->m_responder->respond(std::move(response));
    close_exchange(self, item, sent_status, reason);
}

namespace {

[[nodiscard]] auto version_of(const fleet::shared_configuration& configuration) noexcept -> std::int64_t {
    return configuration ? static_cast<std::int64_t>(configuration->m_version) : 0;
}

} // namespace

auto close_exchange(daemon& self, const std::shared_ptr<exchange>& item, const std::uint16_t status,
                    const std::string_view reason) -> void {
    if (std::exchange(item->m_ended, true)) {
        return;
    }
    const std::string service{item->m_service->m_name};
    const auto now = steady_now();
    const auto server =
        item->m_tried_servers.empty() ? std::string_view{} : std::string_view{item->m_tried_servers.back()};
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
    if (const auto current = std::exchange(item->m_attempt, nullptr)) {
        auto& backend = *current->m_backend;
        backend.m_own_requests -= std::min(backend.m_own_requests, 1U);
        backend.m_unread_prompt_tokens = std::max(0.0, backend.m_unread_prompt_tokens - current->m_unread_tokens);
        dispatch::release_probe(backend.m_health);
        if (status == 0U) {
            current->m_call->cancel();
        }
    }
    dispatch::erase(self.m_services[service].m_queue, item->m_id);
    self.m_exchanges.erase(item->m_id);
    item->m_responder = nullptr;
    dispatch_queued(self, service);
}

auto check_timeouts(daemon& self, const time_point now) -> void {
    std::vector<std::shared_ptr<exchange>> exchanges{};
    exchanges.reserve(self.m_exchanges.size());
    for (const auto& [id, item] : self.m_exchanges) {
        exchanges.push_back(item);
    }
    for (const auto& item : exchanges) {
        if (item->m_ended) {
            continue;
        }
        if (now >= item->m_deadline) {
            const auto may_have_run = item->m_attempt != nullptr || item->m_may_have_run;
            cancel_attempt(self, item, "the deadline passed");
            end_with_response(self, item,
                              may_have_run ? failure_response(504U, "the deadline passed")
                                           : refusal_response(503U, "the deadline passed", {}),
                              "the deadline passed");
        } else if (item->m_attempt) {
            internal::reschedule_outdated(self, item, now);
        }
        if (!item->m_ended && item->m_attempt) {
            internal::reschedule_silent(self, item, now);
        }
    }
    for (const auto& [name, state] : self.m_services) {
        dispatch_queued(self, name);
    }
}

auto attribute_crash(daemon& self, const exchange& item) -> void {
    const auto crashes =
        routing::record_crash(self.m_quarantine, item.m_content_digest, steady_now() + crash_attribution_retention);
    self.m_core.m_events.write("request.blamed",
                               {{"id", item.m_attempt_id}, {"crashes", static_cast<std::int64_t>(crashes)}});
    wire::fleet::Frame frame{};
    frame.mutable_blame()->set_content(item.m_content_digest);
    frame.mutable_blame()->set_crashes(crashes);
    node::send_to_gateways(self.m_core, frame);
}

} // namespace rhubarbwharf::gateway
