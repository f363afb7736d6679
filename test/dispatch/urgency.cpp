#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/dispatch/placement.hpp>
#include <rhubarbwharf/dispatch/wait_queue.hpp>

namespace rhubarbwharf::dispatch {

namespace {

constexpr time_point now{std::chrono::hours{1}};

[[nodiscard]] auto make_waiting(const std::uint64_t id, const unsigned urgency, const duration on_time_in)
    -> waiting_request {
    waiting_request out{request_id{id}, 1U, now, now + on_time_in, now + std::chrono::seconds{2}};
    out.m_urgency = urgency;
    return out;
}

} // namespace

// Load pattern: two thirds of the servers are left, and routes of unlike urgency compete for them.
TEST_CASE("those that can be on time go before late ones, then the more urgent route, then the older request") {
    constexpr duration ms = std::chrono::milliseconds{1};
    wait_queue queue{};
    push(queue, make_waiting(1U, 0U, -ms));
    push(queue, make_waiting(2U, 2U, 700 * ms));
    push(queue, make_waiting(3U, 0U, 100 * ms));
    push(queue, make_waiting(4U, 1U, 100 * ms));
    push(queue, make_waiting(5U, 0U, 100 * ms));
    push(queue, make_waiting(6U, 2U, -ms));
    std::vector<std::uint64_t> order{};
    for (const auto& each : send_order(queue, now)) {
        order.push_back(each.m_request.value());
    }
    CHECK(order == std::vector<std::uint64_t>{3U, 5U, 4U, 2U, 1U, 6U});
    queue.m_send_rate = 10.0;
    queue.m_send_rate_updated = now;
    CHECK(expected_wait(queue, make_waiting(7U, 0U, 100 * ms), now) == 200 * ms);
    CHECK(expected_wait(queue, make_waiting(8U, 1U, 100 * ms), now) == 300 * ms);
    CHECK(expected_wait(queue, make_waiting(9U, 2U, 700 * ms), now) == 400 * ms);
    CHECK(expected_wait(queue, make_waiting(10U, 0U, -ms), now) == 500 * ms);
}

TEST_CASE("the most urgent kind may wait at runners, the least urgent leaves slots, and a single kind does neither") {
    CHECK(excess_of_urgency(0U, 3U) == 2.0);
    CHECK(excess_of_urgency(1U, 3U) == 0.0);
    CHECK(excess_of_urgency(2U, 3U) == -2.0);
    CHECK(excess_of_urgency(0U, 2U) == 1.0);
    CHECK(excess_of_urgency(1U, 2U) == -1.0);
    CHECK(excess_of_urgency(0U, 1U) == 0.0);
    CHECK(excess_of_urgency(0U, 0U) == 0.0);
    CHECK(excess_of_urgency(5U, 9U) >= -max_excess_requests);
}

TEST_CASE("an urgent request waits at a full runner only if its answer is predicted to begin in time") {
    server_load row{};
    row.m_slots = 12U;
    row.m_quota = 4.0;
    row.m_other_requests = 13.0;
    const std::vector<const server_load*> rows{&row};
    fleet::engine_profile engine{};
    engine.m_slots = 12U;
    engine.m_step_ms = 9.0;
    engine.m_steps_per_pass = 5.0;
    engine.m_prefill_tokens_per_ms = 20.0;
    placement_options options{};
    options.m_max_excess_requests = excess_of_urgency(0U, 3U);
    options.m_max_excess_first_byte_ms = 400.0;
    CHECK(choose_server(rows, &engine, {500.0}, options, 7U, now));
    options.m_max_excess_first_byte_ms = 100.0;
    CHECK_FALSE(choose_server(rows, &engine, {500.0}, options, 7U, now));
    options.m_max_excess_first_byte_ms = 400.0;
    options.m_max_excess_requests = excess_of_urgency(2U, 3U);
    CHECK_FALSE(choose_server(rows, &engine, {500.0}, options, 7U, now));
    row.m_other_requests = 10.0;
    CHECK_FALSE(choose_server(rows, &engine, {500.0}, options, 7U, now));
    row.m_other_requests = 9.0;
    CHECK(choose_server(rows, &engine, {500.0}, options, 7U, now));
}

namespace {

/*! @brief Kind of route that competes for the runners. */
struct kind {
    double m_per_s{};
    duration m_target{};
};

/*! @brief Kinds at 1.3 times what the runners serve: the most urgent two alone would fit. */
constexpr std::array kinds{kind{100.0, std::chrono::milliseconds{400}}, kind{60.0, std::chrono::milliseconds{400}},
                           kind{80.0, std::chrono::milliseconds{1'000}}};
constexpr std::size_t gateways = 24U;
constexpr std::size_t runners = 16U;
constexpr unsigned runner_slots = 12U;
constexpr duration service_time = std::chrono::milliseconds{1'050};
constexpr duration report_interval = std::chrono::milliseconds{300};
constexpr duration tick = std::chrono::milliseconds{5};

/*! @brief A request in the replay. */
struct replayed {
    std::size_t m_kind{};
    std::size_t m_gateway{};
    std::size_t m_runner{};
    time_point m_arrived{};
    time_point m_ends{};
};

/*! @brief Gateways with queues of their own before runners that admit the most urgent request first. */
class competition {
public:
    explicit competition(const bool tells_kinds_apart) : m_tells_kinds_apart{tells_kinds_apart} {
        for (auto& view : m_views) {
            for (std::size_t index = 0U; index < runners; ++index) {
                auto& row = view.emplace_back();
                row.m_id = std::to_string(index);
                row.m_slots = runner_slots;
                row.m_quota = static_cast<double>(runner_slots) / gateways;
            }
        }
    }

    /*! @brief Plays 20 s. @return By kind, the fraction of requests whose slot came in time. */
    [[nodiscard]] auto play() -> std::array<double, kinds.size()> {
        for (const auto end = m_now + std::chrono::seconds{20}; m_now < end; m_now += tick) {
            arrive();
            for (std::size_t index = 0U; index < runners; ++index) {
                step(index);
            }
            for (std::size_t index = 0U; index < gateways; ++index) {
                send_waiting(index);
            }
        }
        std::array<double, kinds.size()> out{};
        for (std::size_t index = 0U; index < kinds.size(); ++index) {
            out.at(index) = m_in_time.at(index) / std::max(1.0, m_asked.at(index));
        }
        return out;
    }

private:
    [[nodiscard]] auto urgency(const std::size_t which) const -> unsigned {
        return m_tells_kinds_apart ? static_cast<unsigned>(which) : 0U;
    }

    auto arrive() -> void {
        const auto seconds = std::chrono::duration<double>{tick}.count();
        for (std::size_t which = 0U; which < kinds.size(); ++which) {
            const auto count = std::poisson_distribution<unsigned>{kinds.at(which).m_per_s * seconds}(m_random);
            for (auto each = 0U; each < count; ++each) {
                const request_id id{++m_last_id};
                const auto gateway = static_cast<std::size_t>(m_random() % gateways);
                m_requests[id] = {which, gateway, 0U, m_now, {}};
                m_asked.at(which) += 1.0;
                const auto latest = m_now + kinds.at(which).m_target - std::chrono::milliseconds{250};
                waiting_request entry{id, 1U, m_now, latest, latest};
                entry.m_urgency = urgency(which);
                if (!refusal_retry_after(m_queues.at(gateway), entry, m_now)) {
                    push(m_queues.at(gateway), entry);
                }
            }
        }
    }

    auto send_waiting(const std::size_t gateway) -> void {
        auto& queue = m_queues.at(gateway);
        static_cast<void>(expire(queue, m_now));
        send_scan scan{};
        for (const auto& entry : send_order(queue, m_now)) {
            std::vector<const server_load*> rows{};
            for (const auto& each : m_views.at(gateway)) {
                rows.push_back(&each);
            }
            auto& request = m_requests.at(entry.m_request);
            placement_options options{};
            options.m_gateway_count = gateways;
            options.m_divides_free_slots = m_tells_kinds_apart;
            options.m_quota_only_slots = runner_slots * quota_only_fraction;
            options.m_max_excess_requests =
                excess_of_urgency(urgency(request.m_kind), m_tells_kinds_apart ? kinds.size() : 1U);
            options.m_max_excess_first_byte_ms =
                std::chrono::duration<double, std::milli>{request.m_arrived + kinds.at(request.m_kind).m_target - m_now}
                    .count();
            const auto chosen = choose_server(rows, &m_engine, {950.0}, options, m_random(), m_now);
            if (chosen) {
                erase(queue, entry.m_request);
                request.m_runner = chosen->m_index;
                record_request(m_views.at(gateway).at(chosen->m_index), m_now);
                record_sent(queue, m_now);
                m_waiting.at(chosen->m_index).push_back(entry.m_request);
            }
            if (!continues_after(scan, chosen ? send_result::ended : send_result::no_capacity)) {
                return;
            }
        }
    }

    auto step(const std::size_t runner) -> void {
        auto& running = m_running.at(runner);
        auto& waiting = m_waiting.at(runner);
        std::erase_if(running, [&](const request_id id) {
            const auto& request = m_requests.at(id);
            if (request.m_ends > m_now) {
                return false;
            }
            record_request_end(m_views.at(request.m_gateway).at(runner), m_now);
            return true;
        });
        std::ranges::stable_sort(waiting, {}, [&](const request_id id) { return urgency(m_requests.at(id).m_kind); });
        while (!waiting.empty() && running.size() < runner_slots) {
            auto& request = m_requests.at(waiting.front());
            request.m_ends = m_now + service_time;
            const auto in_time = m_now - request.m_arrived <= kinds.at(request.m_kind).m_target - first_token_time;
            m_in_time.at(request.m_kind) += in_time ? 1.0 : 0.0;
            running.push_back(waiting.front());
            waiting.erase(waiting.begin());
        }
        const auto phase = runner * report_interval / runners;
        if ((m_now.time_since_epoch() + phase) % report_interval < tick) {
            report(runner, static_cast<double>(running.size()), static_cast<double>(waiting.size()));
        }
    }

    auto report(const std::size_t runner, const double running, const double waiting) -> void {
        for (auto& view : m_views) {
            auto& row = view.at(runner);
            row.m_other_requests = std::max(0.0, running + waiting - row.m_own_requests);
            row.m_other_waiting_requests = std::min(row.m_other_requests, waiting);
            row.m_last_reported = m_now;
            row.m_last_heard = m_now;
            note_free_slots(row, running + waiting, m_random());
        }
    }

    /*! @brief Time from the begin in a slot to the first token. */
    static constexpr duration first_token_time = std::chrono::milliseconds{150};

    [[nodiscard]] static auto make_engine() -> fleet::engine_profile {
        fleet::engine_profile out{};
        out.m_slots = runner_slots;
        out.m_step_ms = 9.0;
        out.m_steps_per_pass = 5.0;
        out.m_prefill_tokens_per_ms = 20.0;
        return out;
    }

    bool m_tells_kinds_apart{};
    fleet::engine_profile m_engine{make_engine()};
    std::mt19937_64 m_random{20'261'205U};
    time_point m_now{now};
    std::uint64_t m_last_id{};
    std::map<request_id, replayed> m_requests{};
    std::array<std::vector<server_load>, gateways> m_views{};
    std::array<wait_queue, gateways> m_queues{};
    std::array<std::vector<request_id>, runners> m_running{};
    std::array<std::vector<request_id>, runners> m_waiting{};
    std::array<double, kinds.size()> m_asked{};
    std::array<double, kinds.size()> m_in_time{};
};

} // namespace

// Load pattern: a third of the runners is away. Where the kinds were not told apart, the one that may wait longest, and
// is the least urgent, took the slots, as the others could not wait until one came free at their gateway.
TEST_CASE("with too few runners the urgent kinds are served before the one that may wait longest") {
    const auto before = competition{false}.play();
    const auto after = competition{true}.play();
    MESSAGE("in time before: ", before[0], ", ", before[1], ", ", before[2], "; after: ", after[0], ", ", after[1],
            ", ", after[2]);
    CHECK(before[2] > before[0]);
    CHECK(after[0] > after[1]);
    CHECK(after[1] > after[2]);
    CHECK(after[0] > before[0]);
    // No kind is starved: a quarter of what all requests get.
    CHECK(after[2] > (after[0] + after[1] + after[2]) / 3.0 / 4.0);
}

// Load pattern: a full fleet with waiting requests at every gateway. Before, each gateway took the slot that a report
// showed free, and all but one request waited at the runner.
TEST_CASE("gateways that learn of free slots by the same report use about as many as there are") {
    constexpr unsigned free_slots_shown = 2U;
    constexpr std::size_t crowd = 46U;
    std::mt19937_64 random{20'261'205U};
    placement_options options{};
    options.m_gateway_count = crowd;
    options.m_divides_free_slots = true;
    double used{};
    constexpr unsigned reports = 400U;
    for (auto report = 0U; report < reports; ++report) {
        for (std::size_t gateway = 0U; gateway < crowd; ++gateway) {
            server_load row{};
            row.m_slots = 12U;
            row.m_quota = 12.0 / crowd;
            row.m_other_requests = 12.0 - free_slots_shown;
            row.m_last_reported = now;
            note_free_slots(row, row.m_other_requests, random());
            while (may_use_free_slot(row, options, now) && has_capacity(row, options)) {
                record_request(row, now);
                used += 1.0 / reports;
            }
        }
    }
    MESSAGE("requests for ", free_slots_shown, " free slots: ", used);
    CHECK(used > 0.8 * free_slots_shown);
    CHECK(used < 1.2 * free_slots_shown);
}

TEST_CASE("a gateway may use the slots that it has freed, and all before the first report or without a recent one") {
    server_load row{};
    row.m_slots = 12U;
    row.m_quota = 0.1;
    placement_options options{};
    options.m_gateway_count = 100.0;
    options.m_divides_free_slots = true;
    row.m_other_requests = 12.0;
    CHECK(may_use_free_slot(row, options, now));
    record_request(row, now);
    note_free_slots(row, 12.0, 0U);
    row.m_last_reported = now;
    CHECK_FALSE(may_use_free_slot(row, options, now));
    record_request_end(row, now);
    CHECK(may_use_free_slot(row, options, now));
    record_request(row, now);
    CHECK_FALSE(may_use_free_slot(row, options, now));
    CHECK(may_use_free_slot(row, options, now + 2 * stale_report_age));
    // Quotas of whole requests, and services with a single kind of route, need no division.
    options.m_gateway_count = 9.0;
    CHECK(may_use_free_slot(row, options, now));
    options = {};
    options.m_gateway_count = 100.0;
    CHECK(may_use_free_slot(row, options, now));
}

} // namespace rhubarbwharf::dispatch
