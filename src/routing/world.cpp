#include <algorithm>
#include <cmath>
#include <optional>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <routing/world.hpp>

namespace rhubarbwharf::routing::internal {

auto schedule(world& all, const duration delay, const kind what, const std::size_t subject, const std::uint32_t attempt,
              const code why) -> void {
    all.m_events.push({all.m_now + delay, ++all.m_order, what, subject, attempt, why});
}

auto uniform(world& all) -> double {
    return std::uniform_real_distribution<double>{}(all.m_random);
}

/*! @brief Picks from 0 to count-1 with weight 1/(1+index). */
[[nodiscard]] auto skewed(world& all, const std::size_t count) -> std::size_t {
    const auto spread = std::log(static_cast<double>(count) + 1.0);
    const auto value = std::exp(uniform(all) * spread) - 1.0;
    return std::min(static_cast<std::size_t>(value), count - 1U);
}

auto scaled(const duration time, const double factor) -> duration {
    return duration{static_cast<duration::rep>(static_cast<double>(time.count()) * factor)};
}

// Engines.

[[nodiscard]] auto touch_prefix(engine& server, const std::uint64_t prefix) -> bool {
    const auto found = std::ranges::find(server.m_cached, prefix);
    const auto hit = found != server.m_cached.end();
    if (hit) {
        server.m_cached.erase(found);
    } else {
        server.m_news.push_back(prefix);
    }
    server.m_cached.push_front(prefix);
    if (server.m_cached.size() > engine_prefixes) {
        server.m_cached.pop_back();
    }
    return hit;
}

auto run_job(world& all, const std::size_t id) -> void {
    auto& work = all.m_jobs[id];
    auto& server = all.m_engines[work.m_engine];
    ++server.m_running;
    work.m_running = true;
    work.m_hit = touch_prefix(server, work.m_prefix);
    const auto begin = std::max(all.m_now, server.m_prefill_free);
    const auto first = begin + scaled(work.m_hit ? prefill_hit : prefill_miss, server.m_slowness);
    server.m_prefill_free = first;
    const auto decode = scaled(token_time * work.m_tokens, server.m_slowness);
    schedule(all, first - all.m_now, kind::first_token, id, work.m_flight.m_attempts);
    schedule(all, first - all.m_now + decode, kind::end, id, work.m_flight.m_attempts);
}

auto serve_engine(world& all, engine& server) -> void {
    while (server.m_alive && server.m_running < engine_slots && !server.m_waiting.empty()) {
        const auto id = server.m_waiting.front();
        server.m_waiting.pop_front();
        run_job(all, id);
    }
}

auto reach_engine(world& all, const std::size_t id, const std::uint32_t attempt) -> void {
    auto& server = all.m_engines[all.m_jobs[id].m_engine];
    if (!server.m_alive) {
        return schedule(all, hop, kind::ended, id, attempt, code::connection_failed);
    }
    if (server.m_waiting.size() >= engine_queue) {
        return schedule(all, hop, kind::ended, id, attempt, code::overloaded);
    }
    server.m_waiting.push_back(id);
    serve_engine(all, server);
}

auto kill(world& all, const std::size_t index) -> void {
    all.m_engines[index] = {};
    all.m_engines[index].m_alive = false;
    for (std::size_t id = 0; id < all.m_jobs.size(); ++id) {
        const auto& work = all.m_jobs[id];
        if (!work.m_done && work.m_engine == index) {
            schedule(all, hop, kind::ended, id, work.m_flight.m_attempts, code::connection_failed);
        }
    }
    for (auto& entry : all.m_entries) {
        entry.m_live[index] = false;
    }
}

// Entries.

[[nodiscard]] auto gather(const world& all, const entry_state& entry, const job& work) -> std::vector<candidate> {
    std::vector<candidate> rows{};
    for (std::size_t index = 0; index < engines; ++index) {
        const auto& row = entry.m_backends[index];
        if (entry.m_live[index] && passes(row.m_breaker, all.m_now)) {
            rows.push_back({instance_id{static_cast<std::uint32_t>(index)}, load(row), row.m_capacity,
                            row.m_first_byte_s, holds(row, work.m_prefix)});
        }
    }
    return rows;
}

[[nodiscard]] auto least(const std::vector<candidate>& rows, const entry_state& entry, const std::size_t from)
    -> std::size_t {
    std::size_t best = from % rows.size();
    for (std::size_t step = 0; step < rows.size(); ++step) {
        const auto index = (from + step) % rows.size();
        const auto& row = entry.m_backends[rows[index].m_instance.value()];
        best = row.m_reported < entry.m_backends[rows[best].m_instance.value()].m_reported ? index : best;
    }
    return best;
}

[[nodiscard]] auto affine(const std::vector<candidate>& rows, const std::uint64_t prefix) -> std::size_t {
    const auto best = std::ranges::max_element(
        rows, {}, [prefix](const candidate& row) { return mix(prefix, row.m_instance.value()); });
    return static_cast<std::size_t>(best - rows.begin());
}

[[nodiscard]] auto pick(world& all, entry_state& entry, const job& work, const std::vector<candidate>& rows)
    -> std::optional<std::size_t> {
    const auto random = all.m_random();
    switch (all.m_setup.m_policy) {
    case policy::random:
        return random % rows.size();
    case policy::round_robin:
        return entry.m_next++ % rows.size();
    case policy::least_reported:
        return least(rows, entry, random);
    case policy::power_of_two: {
        const auto first = random % rows.size();
        const auto second = (random >> 32U) % rows.size();
        return rows[second].m_load < rows[first].m_load ? second : first;
    }
    case policy::prefix_affinity:
        return affine(rows, work.m_prefix);
    case policy::product:
        return choose(rows, work.m_prefix, random, {});
    }
    return std::nullopt;
}

[[nodiscard]] auto place(world& all, const std::size_t id) -> bool {
    auto& work = all.m_jobs[id];
    auto& entry = all.m_entries[work.m_entry];
    const auto rows = gather(all, entry, work);
    const auto chosen = rows.empty() ? std::nullopt : pick(all, entry, work, rows);
    if (!chosen) {
        return false;
    }
    work.m_engine = rows[*chosen].m_instance.value();
    work.m_sent = all.m_now;
    all.m_retries += ++work.m_flight.m_attempts > 1U ? 1U : 0U;
    auto& row = entry.m_backends[work.m_engine];
    ++row.m_in_flight;
    pass(row.m_breaker);
    remember(row, work.m_prefix);
    note_sent(entry.m_queue, all.m_now);
    schedule(all, hop, kind::reach, id, work.m_flight.m_attempts);
    return true;
}

auto arrive(world& all, organisation_id organisation, std::uint32_t tries) -> void;

auto close(world& all, const std::size_t id, const bool whole) -> void {
    auto& work = all.m_jobs[id];
    ensure(!work.m_done, "a request ends once");
    work.m_done = true;
    work.m_whole = whole;
    work.m_ended = all.m_now;
    if (!whole && all.m_setup.m_trouble == trouble::retry_storm && work.m_tries < storm_tries) {
        arrive(all, work.m_organisation, work.m_tries + 1U);
    }
}

auto wait(world& all, const std::size_t id) -> void {
    auto& work = all.m_jobs[id];
    auto& entry = all.m_entries[work.m_entry];
    const auto most = queue_limit(entry.m_queue, all.m_now, queue_time);
    const auto done = push(entry.m_queue, {request_id{id}, work.m_organisation, 0, all.m_now + queue_time}, most);
    if (done.m_displaced) {
        close(all, done.m_displaced->m_request.value(), false);
    }
    if (done.m_code != code::ok) {
        close(all, id, false);
    }
}

auto submit(world& all, const std::size_t id) -> void {
    auto& work = all.m_jobs[id];
    auto& entry = all.m_entries[work.m_entry];
    if (all.m_setup.m_policy != policy::product) {
        return place(all, id) ? void() : close(all, id, false);
    }
    if (entry.m_queue.m_size == 0U && place(all, id)) {
        return charge(entry.m_queue, work.m_organisation);
    }
    wait(all, id);
}

auto pump(world& all, entry_state& entry) -> void {
    while (const auto next = pop(entry.m_queue)) {
        if (!place(all, next->m_request.value())) {
            return unpop(entry.m_queue, *next);
        }
    }
}

auto on_ended(world& all, const event& what) -> void {
    auto& work = all.m_jobs[what.m_subject];
    if (work.m_done || work.m_flight.m_attempts != what.m_attempt) {
        return;
    }
    auto& entry = all.m_entries[work.m_entry];
    auto& row = entry.m_backends[work.m_engine];
    auto& server = all.m_engines[work.m_engine];
    --row.m_in_flight;
    refresh(row, server.m_running + static_cast<std::uint32_t>(server.m_waiting.size()), engine_slots);
    what.m_code == code::connection_failed ? fail(row.m_breaker, all.m_now) : succeed(row.m_breaker);
    work.m_running = false;
    const attempt_end end{what.m_code, what.m_code == code::overloaded, {}};
    const auto next = after(work.m_flight, end, entry.m_budget, all.m_now, {});
    if (next.m_step == step::finish || next.m_step == step::refuse) {
        close(all, what.m_subject, next.m_step == step::finish);
    } else {
        submit(all, what.m_subject);
    }
    pump(all, entry);
}

auto on_first_token(world& all, const event& what) -> void {
    auto& work = all.m_jobs[what.m_subject];
    if (work.m_done || work.m_flight.m_attempts != what.m_attempt || !all.m_engines[work.m_engine].m_alive) {
        return;
    }
    const auto arrived = all.m_now + hop;
    work.m_first = work.m_first == time_point{} ? arrived : work.m_first;
    work.m_flight.m_head_sent = true;
    sample(all.m_entries[work.m_entry].m_backends[work.m_engine], arrived - work.m_sent);
}

auto on_engine_end(world& all, const event& what) -> void {
    const auto& work = all.m_jobs[what.m_subject];
    if (work.m_done || work.m_flight.m_attempts != what.m_attempt || !work.m_running) {
        return;
    }
    auto& server = all.m_engines[work.m_engine];
    if (!server.m_alive) {
        return;
    }
    --server.m_running;
    serve_engine(all, server);
    schedule(all, hop, kind::ended, what.m_subject, what.m_attempt);
}

auto report(world& all, const std::size_t index) -> void {
    auto& server = all.m_engines[index];
    schedule(all, report_period, kind::report, index);
    if (!server.m_alive) {
        return;
    }
    constexpr double lost_events = 0.1;
    for (auto& entry : all.m_entries) {
        auto& row = entry.m_backends[index];
        entry.m_live[index] = true;
        refresh(row, server.m_running + static_cast<std::uint32_t>(server.m_waiting.size()), engine_slots);
        for (const auto prefix : server.m_news) {
            if (uniform(all) > lost_events) {
                remember(row, prefix);
            }
        }
        pump(all, entry);
    }
    server.m_news.clear();
}

auto tick(world& all) -> void {
    schedule(all, milliseconds{20}, kind::tick, 0);
    for (auto& entry : all.m_entries) {
        for (const auto& late : expire(entry.m_queue, all.m_now)) {
            close(all, late.m_request.value(), false);
        }
        pump(all, entry);
    }
}

auto arrive(world& all, const organisation_id organisation, const std::uint32_t tries) -> void {
    job work{};
    work.m_entry = all.m_random() % entries;
    work.m_organisation = organisation;
    work.m_prefix = mix(organisation.value() + 1U, skewed(all, prefixes_each));
    work.m_tokens =
        1U + static_cast<std::uint32_t>(std::exponential_distribution<double>{1.0 / tokens_mean}(all.m_random));
    work.m_tries = tries;
    work.m_arrived = all.m_now;
    work.m_flight.m_stream = true;
    work.m_flight.m_deadline = all.m_now + request_deadline;
    all.m_jobs.push_back(work);
    submit(all, all.m_jobs.size() - 1U);
}

auto arrive_next(world& all) -> void {
    constexpr double greedy_rate = capacity_per_second * 10.0 / organisations;
    const auto greedy = all.m_setup.m_trouble == trouble::greedy_one ? greedy_rate : 0.0;
    const auto rate = all.m_setup.m_load * capacity_per_second;
    const auto total = rate + greedy;
    const auto is_greedy = uniform(all) * total < greedy;
    arrive(all, organisation_id{static_cast<std::uint32_t>(is_greedy ? 0U : skewed(all, organisations))}, 0);
    const auto gap = std::exponential_distribution<double>{total}(all.m_random);
    schedule(all, duration{static_cast<duration::rep>(gap * 1e6)}, kind::arrive, 0);
}

auto handle(world& all, const event& what) -> void {
    switch (what.m_kind) {
    case kind::arrive:
        return arrive_next(all);
    case kind::reach:
        return reach_engine(all, what.m_subject, what.m_attempt);
    case kind::first_token:
        return on_first_token(all, what);
    case kind::end:
        return on_engine_end(all, what);
    case kind::ended:
        return on_ended(all, what);
    case kind::report:
        return report(all, what.m_subject);
    case kind::tick:
        return tick(all);
    case kind::die:
        return kill(all, what.m_subject);
    case kind::revive:
        all.m_engines[what.m_subject].m_alive = true;
        return;
    }
}

auto plan_trouble(world& all) -> void {
    constexpr std::size_t dying = 10;
    const auto half = warm_up + (run_time - warm_up) / 2;
    if (all.m_setup.m_trouble == trouble::slow_one) {
        constexpr double slowness = 10.0;
        all.m_engines[0].m_slowness = slowness;
    }
    if (all.m_setup.m_trouble != trouble::ten_die && all.m_setup.m_trouble != trouble::region_lost) {
        return;
    }
    for (std::size_t index = 0; index < dying; ++index) {
        schedule(all, half, kind::die, index);
        if (all.m_setup.m_trouble == trouble::ten_die) {
            schedule(all, half + down_time, kind::revive, index);
        }
    }
}

} // namespace rhubarbwharf::routing::internal
