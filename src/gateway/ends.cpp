#include <algorithm>
#include <cstdio>
#include <utility>

#include <fleet.pb.h>
#include <gateway/daemon.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

/*! @brief Time without an event after which a stream that can go on elsewhere does so. */
constexpr duration longest_pause = std::chrono::milliseconds{1'100};
/*! @brief Time without an answer beyond the route's target after which a request is sent elsewhere instead. */
constexpr duration late_patience = std::chrono::milliseconds{500};
/*! @brief Time without an answer after which a plain service's request is sent elsewhere. */
constexpr duration plain_patience = std::chrono::milliseconds{180};

namespace {

[[nodiscard]] auto ms(const duration time) noexcept -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/*! @brief Tells whether another attempt may be made at all. */
[[nodiscard]] auto may_repeat(const exchange& item, const failure& what) -> bool {
    const auto repeats = item.m_route->m_repeat == fleet::repeat::idempotent;
    const auto safe = repeats || (what.m_not_run && !item.m_may_have_run);
    const auto resumes = !item.m_started || (item.m_route->m_resumable && !item.m_events.last_id().empty());
    // A server that was never reached does not count as one that the request was sent to.
    const auto sent = item.m_tried.size() - (what.m_sent ? 0U : 1U);
    constexpr std::size_t most_tried = 6U;
    return safe && resumes && sent < item.m_route->m_attempts && item.m_tried.size() < most_tried;
}

/*! @brief Ends an exchange that will not be tried again. */
auto end_failed(daemon& self, const std::shared_ptr<exchange>& item, const failure& what) -> void {
    if (item->m_started) {
        item->m_answer->abort();
        forget(self, item, 0U, what.m_reason);
        return;
    }
    if (what.m_not_run && !item->m_may_have_run) {
        constexpr duration pause = std::chrono::milliseconds{120};
        end_with(self, item, refusal(503U, what.m_reason, pause), what.m_reason);
        return;
    }
    end_with(self, item, failed(502U, what.m_reason), what.m_reason);
}

/*! @brief Takes a request back that waits at a runner whose version may no longer begin one. */
auto look_for_old_version(daemon& self, const std::shared_ptr<exchange>& item, const time_point now) -> void {
    const auto& service = *item->m_service;
    const auto waits = !item->m_started && !item->m_attempt->m_head;
    if (!waits || !service.m_engine || item->m_route->m_repeat != fleet::repeat::idempotent) {
        return;
    }
    const auto least = node::least_version(self.m_core, item->m_model, now, node::version_last_call);
    const auto held =
        fleet::version_of(item->m_attempt->m_backend->m_models, item->m_model, service.m_engine->m_layers);
    if (held == 0U || held >= least) {
        return;
    }
    item->m_may_have_run = true;
    drop_attempt(self, item, "the version may no longer begin a request");
    place(self, item);
}

/*! @brief Acts on an attempt that has given nothing for too long. */
auto look_for_silence(daemon& self, const std::shared_ptr<exchange>& item, const time_point now) -> void {
    const auto& made = *item->m_attempt;
    const auto repeats = item->m_route->m_repeat == fleet::repeat::idempotent;
    if (!repeats || item->m_tried.size() >= item->m_route->m_attempts) {
        return;
    }
    const auto since = now - std::max(item->m_last_event, made.m_sent);
    const auto target = item->m_route->m_target + late_patience;
    const auto patience = item->m_started ? longest_pause : (item->m_service->m_engine ? target : plain_patience);
    const auto waits = item->m_started ? made.m_is_stream : !made.m_head;
    if (since < patience || (!waits && !item->m_started)) {
        return;
    }
    auto& row = *item->m_attempt->m_backend;
    if (!has_room_elsewhere(self, *item, now) ||
        !dispatch::take_repeat(self.m_services[item->m_service->m_name].m_budget, now)) {
        item->m_last_event = now;
        return;
    }
    if (dispatch::fail(row.m_health, service_failure_rate(self, row), now)) {
        self.m_core.m_events.write("server.ejected", {{"server", row.m_id}, {"id", item->m_name}});
    }
    item->m_may_have_run = true;
    drop_attempt(self, item, "no answer for too long");
    item->m_events.drop_part();
    place(self, item);
}

} // namespace

} // namespace internal

auto refusal(const std::uint16_t status, const std::string_view detail, const duration retry_after)
    -> net::http_response {
    auto out = net::problem(code::overloaded, outcome::not_run, detail, duration::zero());
    out.m_status = status;
    if (retry_after > duration::zero()) {
        constexpr std::size_t longest = 24U;
        std::array<char, longest> text{};
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>{retry_after}.count());
        out.m_headers.push_back({"Retry-After", text.data()});
    }
    return out;
}

auto failed(const std::uint16_t status, const std::string_view detail) -> net::http_response {
    auto out = net::problem(code::outcome_unknown, outcome::unknown, detail, duration::zero());
    out.m_status = status;
    return out;
}

auto drop_attempt(daemon& self, const std::shared_ptr<exchange>& item, const std::string_view why) -> void {
    const auto made = std::exchange(item->m_attempt, nullptr);
    if (!made) {
        return;
    }
    auto& row = *made->m_backend;
    row.m_own -= std::min(row.m_own, 1U);
    row.m_unread = std::max(0.0, row.m_unread - made->m_unread);
    dispatch::release(row.m_health);
    made->m_call->cancel();
    self.m_core.m_events.write("attempt.ended", {{"id", item->m_name}, {"server", row.m_id}, {"reason", why}});
}

auto retry_or_end(daemon& self, const std::shared_ptr<exchange>& item, const failure& what) -> void {
    drop_attempt(self, item, what.m_reason);
    item->m_may_have_run = item->m_may_have_run || !what.m_not_run;
    item->m_events.drop_part();
    const auto now = steady_now();
    const auto in_time = now + std::chrono::milliseconds{20} < item->m_deadline;
    auto& budget = self.m_services[item->m_service->m_name].m_budget;
    const auto repeats = internal::may_repeat(*item, what) && in_time;
    if (repeats && (!what.m_sent || dispatch::take_repeat(budget, now))) {
        place(self, item);
    } else {
        internal::end_failed(self, item, what);
    }
}

auto end_with(daemon& self, const std::shared_ptr<exchange>& item, net::http_response answer,
              const std::string_view reason) -> void {
    if (item->m_ended) {
        return;
    }
    const auto status = answer.m_status;
    if (item->m_started) {
        item->m_answer->abort();
        forget(self, item, 0U, reason);
        return;
    }
    // An earlier attempt may have run, so the answer must not promise that it did not.
    if (item->m_may_have_run && status == 503U) {
        answer = failed(502U, reason);
    }
    const auto said = answer.m_status;
    item->m_answer->respond(std::move(answer));
    forget(self, item, said, reason);
}

auto forget(daemon& self, const std::shared_ptr<exchange>& item, const std::uint16_t status,
            const std::string_view reason) -> void {
    if (std::exchange(item->m_ended, true)) {
        return;
    }
    const std::string service{item->m_service->m_name};
    const auto now = steady_now();
    const auto server = item->m_tried.empty() ? std::string_view{} : std::string_view{item->m_tried.back()};
    self.m_core.m_events.write("request.ended", {{"id", item->m_name},
                                                 {"status", static_cast<std::int64_t>(status)},
                                                 {"reason", reason},
                                                 {"server", server},
                                                 {"tries", static_cast<std::int64_t>(item->m_tried.size())},
                                                 {"took_ms", internal::ms(now - item->m_arrived)},
                                                 {"first_ms", internal::ms(item->m_first)},
                                                 {"pause_ms", internal::ms(item->m_longest_pause)},
                                                 {"route", item->m_route->m_name}});
    self.m_core.m_counters.add("requests_ended_total", 1.0, std::to_string(status));
    self.m_core.m_counters.observe("request_seconds", now - item->m_arrived);
    if (const auto made = std::exchange(item->m_attempt, nullptr)) {
        auto& row = *made->m_backend;
        row.m_own -= std::min(row.m_own, 1U);
        row.m_unread = std::max(0.0, row.m_unread - made->m_unread);
        dispatch::release(row.m_health);
        if (status == 0U) {
            made->m_call->cancel();
        }
    }
    dispatch::erase(self.m_services[service].m_queue, item->m_id);
    self.m_exchanges.erase(item->m_id);
    item->m_answer = nullptr;
    pump(self, service);
}

auto expire(daemon& self, const time_point now) -> void {
    std::vector<std::shared_ptr<exchange>> rows{};
    rows.reserve(self.m_exchanges.size());
    for (const auto& [id, item] : self.m_exchanges) {
        rows.push_back(item);
    }
    for (const auto& item : rows) {
        if (item->m_ended) {
            continue;
        }
        if (now >= item->m_deadline) {
            const auto ran = item->m_attempt != nullptr || item->m_may_have_run;
            drop_attempt(self, item, "the deadline passed");
            end_with(self, item, ran ? failed(504U, "the deadline passed") : refusal(503U, "the deadline passed", {}),
                     "the deadline passed");
        } else if (item->m_attempt) {
            internal::look_for_old_version(self, item, now);
        }
        if (!item->m_ended && item->m_attempt) {
            internal::look_for_silence(self, item, now);
        }
    }
    for (const auto& [name, state] : self.m_services) {
        pump(self, name);
    }
}

auto blame(daemon& self, const exchange& item) -> void {
    const auto crashes = routing::blame(self.m_quarantine, item.m_content, steady_now() + blame_time);
    self.m_core.m_events.write("request.blamed",
                               {{"id", item.m_name}, {"crashes", static_cast<std::int64_t>(crashes)}});
    wire::fleet::Frame frame{};
    frame.mutable_blame()->set_content(item.m_content);
    frame.mutable_blame()->set_crashes(crashes);
    node::send_to_gateways(self.m_core, frame);
}

} // namespace rhubarbwharf::gateway
