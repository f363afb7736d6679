#include <algorithm>

#include <gateway/daemon.hpp>
#include <platform/names.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

/*! @brief Time to connect to a backend server: one way to the farthest data centre and back, and a queue there. */
constexpr duration connect_time = std::chrono::milliseconds{400};
/*! @brief Longest idle time of a connection that a request which can't be repeated uses. */
constexpr duration fresh_time = std::chrono::seconds{3};
/*! @brief Idle time of a connection that any other request uses. */
constexpr duration kept_time = std::chrono::seconds{20};
/*! @brief Least and most time that a refused caller is told to wait. Its answer will be late in any case, so that it
 * does best to come when those that can be on time have been served. */
constexpr duration least_return = std::chrono::milliseconds{1'000};
constexpr duration most_return = std::chrono::milliseconds{1'800};
/*! @brief Time without an event after which a caller gives a stream up: this at least, or so many times the route's
 * target, or so many times its longest pause. */
constexpr duration least_patience = std::chrono::seconds{2};
constexpr int patience_in_targets = 4;
constexpr int patience_in_pauses = 8;
/*! @brief Share of the caller's time after which it no longer waits as told. */
constexpr int honoured_part = 3;

namespace {

[[nodiscard]] auto demand_of(const daemon& self, const exchange& item, const time_point now) -> dispatch::demand {
    dispatch::demand out{};
    out.m_prompt = item.m_prompt;
    out.m_tried = item.m_tried;
    out.m_version = item.m_started ? item.m_version : 0U;
    if (item.m_service->m_engine && !item.m_model.empty()) {
        out.m_model = item.m_model;
        out.m_layers = item.m_service->m_engine->m_layers;
        out.m_least_version = node::least_version(self.m_core, item.m_model, now, node::version_margin);
        const auto late = node::least_version(self.m_core, item.m_model, now, node::version_least_margin);
        const auto& rows = self.m_services.at(item.m_service->m_name).m_backends;
        if (late < out.m_least_version && !dispatch::is_held(rows, out)) {
            out.m_least_version = late;
        }
    }
    return out;
}

[[nodiscard]] auto limits_of(const daemon& self, const exchange& item) -> dispatch::placement_limits {
    constexpr double plain_queue = 3.0;
    dispatch::placement_limits out{};
    out.m_data_centre = self.m_core.m_self.m_data_centre;
    if (!item.m_service->m_engine) {
        out.m_beyond_slots = plain_queue;
        out.m_reserve = -plain_queue;
    } else {
        out.m_gateways = self.m_gateways;
    }
    return out;
}

[[nodiscard]] auto choose_backend(daemon& self, const exchange& item, const time_point now)
    -> std::optional<dispatch::choice> {
    const auto& rows = self.m_services[item.m_service->m_name].m_backends;
    std::vector<const dispatch::server_load*> views{};
    views.reserve(rows.size());
    std::ranges::transform(rows, std::back_inserter(views), [](const auto& each) { return each.get(); });
    const auto* const engine = item.m_service->m_engine ? &*item.m_service->m_engine : nullptr;
    return dispatch::choose(views, engine, demand_of(self, item, now), limits_of(self, item), self.m_core.m_random(),
                            now);
}

/*! @brief Tells whether any backend server could run an exchange, now or when it has room. */
[[nodiscard]] auto has_fit(daemon& self, const exchange& item, const time_point now) -> bool {
    const auto wanted = demand_of(self, item, now);
    return std::ranges::any_of(self.m_services[item.m_service->m_name].m_backends,
                               [&](const auto& each) { return dispatch::is_fit(*each, wanted, now); });
}

[[nodiscard]] auto waiting_of(const exchange& item) -> dispatch::waiting {
    const auto* const engine = item.m_service->m_engine ? &*item.m_service->m_engine : nullptr;
    auto first = std::chrono::milliseconds{10};
    auto whole = std::chrono::milliseconds{50};
    if (engine != nullptr) {
        const auto pass = dispatch::pass_time(*engine, static_cast<double>(engine->m_slots));
        const auto reading = item.m_prompt / engine->m_read_per_ms + dispatch::passes_when_full * pass;
        const auto writing = engine->m_usual_output / engine->m_stride * pass;
        first = std::chrono::milliseconds{static_cast<std::int64_t>(reading)};
        whole = std::chrono::milliseconds{static_cast<std::int64_t>(reading + writing)};
    }
    dispatch::waiting out{};
    out.m_request = item.m_id;
    out.m_priority = item.m_priority;
    out.m_since = item.m_arrived;
    out.m_useful_until = item.m_target - first;
    const auto late_until = std::min<time_point>(item.m_deadline - whole, item.m_arrived + dispatch::late_wait);
    out.m_until = out.m_useful_until > item.m_arrived ? out.m_useful_until : late_until;
    if (item.m_route->m_streams) {
        const auto patience = std::max(
            {least_patience, item.m_route->m_target * patience_in_targets, item.m_route->m_gap * patience_in_pauses});
        out.m_until = std::min<time_point>(out.m_until, item.m_arrived + patience - first);
    }
    return out;
}

[[nodiscard]] auto return_time(daemon& self, const exchange& item, const duration expected, const time_point now)
    -> duration {
    const auto spread = std::chrono::milliseconds{self.m_core.m_random() % 400U};
    const auto honoured = std::max<duration>(duration{1}, (item.m_deadline - now) / honoured_part);
    return std::min<duration>(std::clamp<duration>(expected + spread, least_return, most_return), honoured);
}

[[nodiscard]] auto ms(const duration time) noexcept -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

[[nodiscard]] auto left_ms(const exchange& item, const time_point now) -> std::int64_t {
    return std::max<std::int64_t>(1, ms(item.m_deadline - now));
}

[[nodiscard]] auto request_for(const exchange& item, const dispatch::server_load& to, const std::uint64_t only_version,
                               const time_point now) -> net::http_request {
    auto out = item.m_request;
    const auto add = [&out](const std::string_view name, std::string value) {
        out.m_headers.push_back({std::string{name}, std::move(value)});
    };
    add(adapter::field::deadline, std::to_string(left_ms(item, now)));
    add(adapter::field::expect_server, to.m_id);
    if (only_version != 0U) {
        add(adapter::field::expect_version, std::to_string(only_version));
    }
    if (item.m_service->m_engine) {
        add(adapter::field::priority, std::to_string(std::min(item.m_priority, 9U)));
    }
    if (item.m_started) {
        std::erase_if(out.m_headers,
                      [](const net::header& field) { return field.m_name == adapter::field::last_event; });
        add(adapter::field::last_event, item.m_events.last_id());
    }
    return out;
}

auto refuse(daemon& self, const std::shared_ptr<exchange>& item, const duration expected, const std::string_view reason)
    -> void {
    const auto now = steady_now();
    const auto pause = return_time(self, *item, expected, now);
    const auto& state = self.m_services[item->m_service->m_name];
    self.m_core.m_events.write("request.refused",
                               {{"id", item->m_name},
                                {"reason", reason},
                                {"waiting", static_cast<std::int64_t>(state.m_queue.m_rows.size())},
                                {"sent_per_s", dispatch::rate(state.m_queue, now)},
                                {"expected_ms", ms(expected)},
                                {"target_ms", ms(item->m_target - item->m_arrived)},
                                {"return_ms", ms(pause)},
                                {"servers", static_cast<std::int64_t>(state.m_backends.size())},
                                {"configuration", static_cast<std::int64_t>(item->m_configuration->m_version)}});
    end_with(self, item, refusal(503U, reason, pause), reason);
}

} // namespace

/*! @brief Hands the parts of an answer on; defined beside the relay. */
auto handlers_for(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& made)
    -> net::call_handlers;

} // namespace internal

auto dispatch_to(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<dispatch::server_load>& to,
                 const dispatch::choice& why) -> void {
    const auto now = steady_now();
    auto made = std::make_shared<attempt>();
    made->m_backend = to;
    made->m_sent = now;
    made->m_unread = item->m_prompt;
    ++to->m_own;
    to->m_unread += made->m_unread;
    dispatch::begin(to->m_health, now);
    item->m_attempt = made;
    item->m_tried.push_back(to->m_id);
    item->m_last_event = now;
    dispatch::note_sent(self.m_services[item->m_service->m_name].m_queue, now);

    const auto wanted = internal::demand_of(self, *item, now);
    const auto held = fleet::version_of(to->m_models, wanted.m_model, wanted.m_layers);
    const auto pinned = wanted.m_version != 0U || wanted.m_least_version != 0U;
    net::call_limits limits{};
    limits.m_total_time = item->m_deadline - now + std::chrono::milliseconds{500};
    limits.m_idle_time = limits.m_total_time;
    limits.m_connect_time = internal::connect_time;
    const auto repeats = item->m_route->m_repeat == fleet::repeat::idempotent;
    limits.m_kept_time = repeats ? internal::kept_time : internal::fresh_time;
    limits.m_echo = {std::string{adapter::field::attempt}, item->m_name};
    self.m_core.m_events.write(
        "request.sent",
        {{"id", item->m_name},
         {"server", to->m_id},
         {"try", static_cast<std::int64_t>(item->m_tried.size())},
         {"load", why.m_load},
         {"first_ms", why.m_first_ms},
         {"report_age_ms", to->m_reported == time_point{} ? std::int64_t{-1} : internal::ms(now - to->m_reported)},
         {"waited_ms", internal::ms(now - item->m_arrived)},
         {"target_ms", internal::ms(item->m_target - item->m_arrived)},
         {"version", static_cast<std::int64_t>(held)},
         {"configuration", static_cast<std::int64_t>(item->m_configuration->m_version)}});
    made->m_call = self.m_core.m_http.send(to->m_address, internal::request_for(*item, *to, pinned ? held : 0U, now),
                                           limits, internal::handlers_for(self, item, made));
}

auto has_room_elsewhere(daemon& self, const exchange& item, const time_point now) -> bool {
    return internal::choose_backend(self, item, now).has_value();
}

auto place(daemon& self, const std::shared_ptr<exchange>& item) -> void {
    const auto now = steady_now();
    auto& state = self.m_services[item->m_service->m_name];
    const auto first_in_line = state.m_queue.m_rows.empty();
    if (first_in_line || !item->m_tried.empty()) {
        if (const auto found = internal::choose_backend(self, *item, now)) {
            dispatch_to(self, item, state.m_backends[found->m_index], *found);
            return;
        }
    }
    const auto entry = internal::waiting_of(*item);
    if (entry.m_until <= now) {
        internal::refuse(self, item, std::chrono::milliseconds{100}, "the time left is too short");
        return;
    }
    if (!internal::has_fit(self, *item, now) && item->m_tried.empty()) {
        internal::refuse(self, item, std::chrono::milliseconds{400}, "no backend server can run it now");
        return;
    }
    if (const auto expected = dispatch::refuse_after(state.m_queue, entry, now)) {
        internal::refuse(self, item, *expected, "no place is expected in time");
        return;
    }
    dispatch::push(state.m_queue, entry);
    if (!first_in_line) {
        pump(self, item->m_service->m_name);
    }
}

auto pump(daemon& self, const std::string_view name) -> void {
    const auto found = self.m_services.find(name);
    if (found == self.m_services.end() || found->second.m_queue.m_rows.empty()) {
        return;
    }
    const auto now = steady_now();
    auto& state = found->second;
    for (const auto& each : dispatch::expire(state.m_queue, now)) {
        if (const auto item = self.m_exchanges.find(each.m_request); item != self.m_exchanges.end()) {
            const auto kept = item->second;
            internal::refuse(self, kept, dispatch::expected_wait(state.m_queue, each, now),
                             "no place came free in time");
        }
    }
    // One that has no backend server left to try must not hold up those behind it.
    constexpr int most_misses = 4;
    auto misses = 0;
    for (const auto& each : dispatch::order(state.m_queue, now)) {
        const auto item = self.m_exchanges.find(each.m_request);
        if (item == self.m_exchanges.end()) {
            dispatch::erase(state.m_queue, each.m_request);
            continue;
        }
        const auto kept = item->second;
        const auto chosen = internal::choose_backend(self, *kept, now);
        if (chosen) {
            dispatch::erase(state.m_queue, each.m_request);
            dispatch_to(self, kept, state.m_backends[chosen->m_index], *chosen);
        } else if (++misses >= most_misses) {
            return;
        }
    }
}

} // namespace rhubarbwharf::gateway
