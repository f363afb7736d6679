#include <algorithm>
#include <cmath>
#include <optional>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <routing/simulation.hpp>

namespace rhubarbwharf::routing::internal {

auto schedule(simulation& state, const duration delay, const event_kind kind, const std::size_t target,
              const std::uint32_t attempt, const code result) -> void {
    state.m_events.push({state.m_now + delay, ++state.m_sequence, kind, target, attempt, result});
}

auto uniform(simulation& state) -> double {
    return std::uniform_real_distribution<double>{}(state.m_random);
}

/*! @brief Draws an index from 0 to count-1 with a probability about proportional to 1/(1+index). */
[[nodiscard]] auto zipf_index(simulation& state, const std::size_t count) -> std::size_t {
    const auto log_range = std::log(static_cast<double>(count) + 1.0);
    const auto value = std::exp(uniform(state) * log_range) - 1.0;
    return std::min(static_cast<std::size_t>(value), count - 1U);
}

auto scale(const duration time, const double factor) -> duration {
    return duration{static_cast<duration::rep>(static_cast<double>(time.count()) * factor)};
}

[[nodiscard]] auto access_prefix_cache(engine& server, const std::uint64_t prefix) -> bool {
    const auto found = std::ranges::find(server.m_cached_prefixes, prefix);
    const auto hit = found != server.m_cached_prefixes.end();
    if (hit) {
        server.m_cached_prefixes.erase(found);
    } else {
        server.m_unreported_prefixes.push_back(prefix);
    }
    server.m_cached_prefixes.push_front(prefix);
    if (server.m_cached_prefixes.size() > engine_cache_capacity) {
        server.m_cached_prefixes.pop_back();
    }
    return hit;
}

auto start_request(simulation& state, const std::size_t id) -> void {
    auto& request = state.m_requests[id];
    auto& server = state.m_engines[request.m_engine];
    ++server.m_running;
    request.m_running = true;
    request.m_prefix_hit = access_prefix_cache(server, request.m_prefix);
    const auto begin = std::max(state.m_now, server.m_prefill_available);
    const auto first_token =
        begin + scale(request.m_prefix_hit ? cache_hit_prefill_time : cache_miss_prefill_time, server.m_slowdown);
    server.m_prefill_available = first_token;
    const auto decode = scale(time_per_token * request.m_tokens, server.m_slowdown);
    schedule(state, first_token - state.m_now, event_kind::first_token, id, request.m_progress.m_attempts);
    schedule(state, first_token - state.m_now + decode, event_kind::engine_finished, id, request.m_progress.m_attempts);
}

auto start_waiting_requests(simulation& state, engine& server) -> void {
    while (server.m_alive && server.m_running < engine_slots && !server.m_waiting.empty()) {
        const auto id = server.m_waiting.front();
        server.m_waiting.pop_front();
        start_request(state, id);
    }
}

auto on_engine_arrival(simulation& state, const std::size_t id, const std::uint32_t attempt) -> void {
    auto& server = state.m_engines[state.m_requests[id].m_engine];
    if (!server.m_alive) {
        return schedule(state, network_delay, event_kind::attempt_ended, id, attempt, code::connection_failed);
    }
    if (server.m_waiting.size() >= engine_queue_capacity) {
        return schedule(state, network_delay, event_kind::attempt_ended, id, attempt, code::overloaded);
    }
    server.m_waiting.push_back(id);
    start_waiting_requests(state, server);
}

auto crash_engine(simulation& state, const std::size_t index) -> void {
    state.m_engines[index] = {};
    state.m_engines[index].m_alive = false;
    for (std::size_t id = 0; id < state.m_requests.size(); ++id) {
        const auto& request = state.m_requests[id];
        if (!request.m_done && request.m_engine == index) {
            schedule(state, network_delay, event_kind::attempt_ended, id, request.m_progress.m_attempts,
                     code::connection_failed);
        }
    }
    for (auto& entry : state.m_entries) {
        entry.m_live[index] = false;
    }
}

[[nodiscard]] auto collect_candidates(const simulation& state, const entry_state& entry,
                                      const simulated_request& request) -> std::vector<candidate> {
    std::vector<candidate> rows{};
    for (std::size_t index = 0; index < engine_count; ++index) {
        const auto& row = entry.m_backends[index];
        if (entry.m_live[index] && allows_request(row.m_breaker, state.m_now)) {
            rows.push_back({instance_id{static_cast<std::uint32_t>(index)}, estimate_load(row), row.m_capacity,
                            row.m_first_byte_s, holds_prefix(row, request.m_prefix)});
        }
    }
    return rows;
}

[[nodiscard]] auto select_least_reported(const std::vector<candidate>& rows, const entry_state& entry,
                                         const std::size_t start) -> std::size_t {
    std::size_t best = start % rows.size();
    for (std::size_t offset = 0; offset < rows.size(); ++offset) {
        const auto index = (start + offset) % rows.size();
        const auto& row = entry.m_backends[rows[index].m_instance.value()];
        best = row.m_reported_requests < entry.m_backends[rows[best].m_instance.value()].m_reported_requests ? index
                                                                                                             : best;
    }
    return best;
}

[[nodiscard]] auto select_by_prefix(const std::vector<candidate>& rows, const std::uint64_t prefix) -> std::size_t {
    const auto best = std::ranges::max_element(
        rows, {}, [prefix](const candidate& row) { return mix(prefix, row.m_instance.value()); });
    return static_cast<std::size_t>(best - rows.begin());
}

[[nodiscard]] auto select_candidate(simulation& state, entry_state& entry, const simulated_request& request,
                                    const std::vector<candidate>& rows) -> std::optional<std::size_t> {
    const auto random = state.m_random();
    switch (state.m_case.m_policy) {
    case policy::random:
        return random % rows.size();
    case policy::round_robin:
        return entry.m_next_backend++ % rows.size();
    case policy::least_reported:
        return select_least_reported(rows, entry, random);
    case policy::power_of_two: {
        const auto first = random % rows.size();
        const auto second = (random >> 32U) % rows.size();
        return rows[second].m_load < rows[first].m_load ? second : first;
    }
    case policy::prefix_affinity:
        return select_by_prefix(rows, request.m_prefix);
    case policy::product:
        return choose_backend(rows, request.m_prefix, random, {});
    }
    return std::nullopt;
}

[[nodiscard]] auto try_send(simulation& state, const std::size_t id) -> bool {
    auto& request = state.m_requests[id];
    auto& entry = state.m_entries[request.m_entry];
    const auto rows = collect_candidates(state, entry, request);
    const auto chosen = rows.empty() ? std::nullopt : select_candidate(state, entry, request, rows);
    if (!chosen) {
        return false;
    }
    request.m_engine = rows[*chosen].m_instance.value();
    request.m_sent = state.m_now;
    state.m_retries += ++request.m_progress.m_attempts > 1U ? 1U : 0U;
    auto& row = entry.m_backends[request.m_engine];
    ++row.m_in_flight;
    record_attempt(row.m_breaker);
    remember_prefix(row, request.m_prefix);
    record_sent(entry.m_queue, state.m_now);
    schedule(state, network_delay, event_kind::engine_arrival, id, request.m_progress.m_attempts);
    return true;
}

auto add_request(simulation& state, organisation_id organisation, std::uint32_t resubmissions) -> void;

auto finish_request(simulation& state, const std::size_t id, const bool is_completed) -> void {
    auto& request = state.m_requests[id];
    ensure(!request.m_done, "a request is finished only once");
    request.m_done = true;
    request.m_completed = is_completed;
    request.m_ended = state.m_now;
    if (!is_completed && state.m_case.m_fault == bench_fault::retry_storm &&
        request.m_resubmissions < max_resubmissions) {
        add_request(state, request.m_organisation, request.m_resubmissions + 1U);
    }
}

auto enqueue(simulation& state, const std::size_t id) -> void {
    auto& request = state.m_requests[id];
    auto& entry = state.m_entries[request.m_entry];
    const auto max_queued = queue_limit(entry.m_queue, state.m_now, max_queue_time);
    const auto result =
        push(entry.m_queue, {request_id{id}, request.m_organisation, 0, state.m_now + max_queue_time}, max_queued);
    if (result.m_displaced) {
        finish_request(state, result.m_displaced->m_request.value(), false);
    }
    if (result.m_code != code::ok) {
        finish_request(state, id, false);
    }
}

auto submit_request(simulation& state, const std::size_t id) -> void {
    auto& request = state.m_requests[id];
    auto& entry = state.m_entries[request.m_entry];
    if (state.m_case.m_policy != policy::product) {
        return try_send(state, id) ? void() : finish_request(state, id, false);
    }
    if (entry.m_queue.m_size == 0U && try_send(state, id)) {
        return charge_request(entry.m_queue, request.m_organisation);
    }
    enqueue(state, id);
}

auto dispatch_queued(simulation& state, entry_state& entry) -> void {
    while (const auto next = pop(entry.m_queue)) {
        if (!try_send(state, next->m_request.value())) {
            return undo_pop(entry.m_queue, *next);
        }
    }
}

auto on_attempt_ended(simulation& state, const simulation_event& event) -> void {
    auto& request = state.m_requests[event.m_target];
    if (request.m_done || request.m_progress.m_attempts != event.m_attempt) {
        return;
    }
    auto& entry = state.m_entries[request.m_entry];
    auto& row = entry.m_backends[request.m_engine];
    auto& server = state.m_engines[request.m_engine];
    --row.m_in_flight;
    apply_load_report(row, server.m_running + static_cast<std::uint32_t>(server.m_waiting.size()), engine_slots);
    event.m_code == code::connection_failed ? record_failure(row.m_breaker, state.m_now)
                                            : record_success(row.m_breaker);
    request.m_running = false;
    const attempt_result end{event.m_code, event.m_code == code::overloaded, {}};
    const auto next = decide_next_step(request.m_progress, end, entry.m_budget, state.m_now, {});
    if (next.m_step == next_step::finish || next.m_step == next_step::refuse) {
        finish_request(state, event.m_target, next.m_step == next_step::finish);
    } else {
        submit_request(state, event.m_target);
    }
    dispatch_queued(state, entry);
}

auto on_first_token(simulation& state, const simulation_event& event) -> void {
    auto& request = state.m_requests[event.m_target];
    if (request.m_done || request.m_progress.m_attempts != event.m_attempt ||
        !state.m_engines[request.m_engine].m_alive) {
        return;
    }
    const auto arrived = state.m_now + network_delay;
    request.m_first_token = request.m_first_token == time_point{} ? arrived : request.m_first_token;
    request.m_progress.m_head_sent = true;
    record_first_byte(state.m_entries[request.m_entry].m_backends[request.m_engine], arrived - request.m_sent);
}

auto on_engine_finished(simulation& state, const simulation_event& event) -> void {
    const auto& request = state.m_requests[event.m_target];
    if (request.m_done || request.m_progress.m_attempts != event.m_attempt || !request.m_running) {
        return;
    }
    auto& server = state.m_engines[request.m_engine];
    if (!server.m_alive) {
        return;
    }
    --server.m_running;
    start_waiting_requests(state, server);
    schedule(state, network_delay, event_kind::attempt_ended, event.m_target, event.m_attempt);
}

auto publish_load_report(simulation& state, const std::size_t index) -> void {
    auto& server = state.m_engines[index];
    schedule(state, report_interval, event_kind::load_report, index);
    if (!server.m_alive) {
        return;
    }
    constexpr double prefix_loss_rate = 0.1;
    for (auto& entry : state.m_entries) {
        auto& row = entry.m_backends[index];
        entry.m_live[index] = true;
        apply_load_report(row, server.m_running + static_cast<std::uint32_t>(server.m_waiting.size()), engine_slots);
        for (const auto prefix : server.m_unreported_prefixes) {
            if (uniform(state) > prefix_loss_rate) {
                remember_prefix(row, prefix);
            }
        }
        dispatch_queued(state, entry);
    }
    server.m_unreported_prefixes.clear();
}

auto on_queue_tick(simulation& state) -> void {
    schedule(state, milliseconds{20}, event_kind::queue_tick, 0);
    for (auto& entry : state.m_entries) {
        for (const auto& expired : expire(entry.m_queue, state.m_now)) {
            finish_request(state, expired.m_request.value(), false);
        }
        dispatch_queued(state, entry);
    }
}

auto add_request(simulation& state, const organisation_id organisation, const std::uint32_t resubmissions) -> void {
    simulated_request request{};
    request.m_entry = state.m_random() % entry_count;
    request.m_organisation = organisation;
    request.m_prefix = mix(organisation.value() + 1U, zipf_index(state, prefixes_per_organisation));
    request.m_tokens = 1U + static_cast<std::uint32_t>(
                                std::exponential_distribution<double>{1.0 / mean_output_tokens}(state.m_random));
    request.m_resubmissions = resubmissions;
    request.m_arrived = state.m_now;
    request.m_progress.m_stream = true;
    request.m_progress.m_deadline = state.m_now + request_deadline;
    state.m_requests.push_back(request);
    submit_request(state, state.m_requests.size() - 1U);
}

auto generate_arrival(simulation& state) -> void {
    constexpr double greedy_rate_per_s = capacity_per_second * 10.0 / organisation_count;
    const auto extra_rate_per_s = state.m_case.m_fault == bench_fault::greedy_one ? greedy_rate_per_s : 0.0;
    const auto rate = state.m_case.m_relative_load * capacity_per_second;
    const auto total = rate + extra_rate_per_s;
    const auto is_greedy = uniform(state) * total < extra_rate_per_s;
    add_request(state,
                organisation_id{static_cast<std::uint32_t>(is_greedy ? 0U : zipf_index(state, organisation_count))}, 0);
    const auto interval_s = std::exponential_distribution<double>{total}(state.m_random);
    schedule(state, duration{static_cast<duration::rep>(interval_s * 1e6)}, event_kind::caller_arrival, 0);
}

auto handle_event(simulation& state, const simulation_event& event) -> void {
    switch (event.m_kind) {
    case event_kind::caller_arrival:
        return generate_arrival(state);
    case event_kind::engine_arrival:
        return on_engine_arrival(state, event.m_target, event.m_attempt);
    case event_kind::first_token:
        return on_first_token(state, event);
    case event_kind::engine_finished:
        return on_engine_finished(state, event);
    case event_kind::attempt_ended:
        return on_attempt_ended(state, event);
    case event_kind::load_report:
        return publish_load_report(state, event.m_target);
    case event_kind::queue_tick:
        return on_queue_tick(state);
    case event_kind::engine_crash:
        return crash_engine(state, event.m_target);
    case event_kind::engine_restart:
        state.m_engines[event.m_target].m_alive = true;
        return;
    }
}

auto schedule_faults(simulation& state) -> void {
    constexpr std::size_t crashed_engines = 10;
    const auto midpoint = warm_up_duration + (run_duration - warm_up_duration) / 2;
    if (state.m_case.m_fault == bench_fault::slow_one) {
        constexpr double slowdown = 10.0;
        state.m_engines[0].m_slowdown = slowdown;
    }
    if (state.m_case.m_fault != bench_fault::ten_die && state.m_case.m_fault != bench_fault::region_lost) {
        return;
    }
    for (std::size_t index = 0; index < crashed_engines; ++index) {
        schedule(state, midpoint, event_kind::engine_crash, index);
        if (state.m_case.m_fault == bench_fault::ten_die) {
            schedule(state, midpoint + outage_duration, event_kind::engine_restart, index);
        }
    }
}

} // namespace rhubarbwharf::routing::internal
