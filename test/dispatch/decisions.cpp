#include <algorithm>
#include <numeric>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/dispatch/placement.hpp>
#include <rhubarbwharf/dispatch/quota.hpp>
#include <rhubarbwharf/dispatch/retry_budget.hpp>
#include <rhubarbwharf/dispatch/wait_queue.hpp>

namespace rhubarbwharf::dispatch {

namespace {

const time_point now{std::chrono::seconds{100}};

[[nodiscard]] auto make_runner(const std::string& id, const std::uint64_t version) -> server_load {
    server_load out{};
    out.m_id = id;
    out.m_data_centre = "here";
    out.m_slots = 16U;
    out.m_quota = 16.0;
    out.m_models = {{"m", version, std::nullopt}};
    return out;
}

[[nodiscard]] auto make_engine() -> fleet::engine_profile {
    fleet::engine_profile out{};
    out.m_slots = 16U;
    out.m_steps_per_pass = 5.0;
    out.m_step_ms = 9.0;
    out.m_prefill_tokens_per_ms = 19.0;
    return out;
}

[[nodiscard]] auto pick(const std::vector<server_load>& rows, const request_requirements& required) -> std::string {
    std::vector<const server_load*> pointers{};
    pointers.reserve(rows.size());
    for (const auto& each : rows) {
        pointers.push_back(&each);
    }
    const auto engine = make_engine();
    placement_options options{};
    options.m_data_centre = "here";
    const auto found = choose_server(pointers, &engine, required, options, 7U, now);
    return found ? rows[found->m_index].m_id : std::string{};
}

[[nodiscard]] auto make_waiting(const std::uint64_t id, const unsigned priority, const duration time_left)
    -> waiting_request {
    return {request_id{id}, priority, now, now + time_left, now + std::chrono::seconds{2}};
}

constexpr duration second = std::chrono::seconds{1};
constexpr duration tenth_of_second = std::chrono::milliseconds{100};

} // namespace

TEST_CASE("placement respects the required version and skips backend servers that drain, load weights or were tried") {
    request_requirements required{};
    required.m_prompt_tokens = 500.0;
    required.m_model = "m";
    required.m_layers = 16U;
    std::vector<server_load> rows{make_runner("old", 1U), make_runner("new", 2U)};
    required.m_min_version = 2U;
    CHECK(pick(rows, required) == "new");
    rows[1].m_draining = true;
    CHECK(pick(rows, required).empty());
    rows[1].m_draining = false;
    rows[1].m_loading = true;
    CHECK(pick(rows, required).empty());
    required.m_min_version = 0U;
    CHECK(pick(rows, required) == "old");
    const std::vector<std::string> tried{"old"};
    required.m_tried_servers = tried;
    CHECK(pick(rows, required).empty());
}

TEST_CASE("a leaving backend server is not chosen, and one that wants a pause not before its end") {
    auto rows = std::vector{make_runner("leaving", 1U), make_runner("paused", 1U)};
    rows[0].m_leaving = true;
    rows[1].m_paused_until = now + second;
    CHECK(pick(rows, {}).empty());
    rows[1].m_paused_until = now;
    CHECK(pick(rows, {}) == "paused");
}

TEST_CASE("a request is told the end of the first pause only if pauses alone keep it from being sent") {
    auto row = make_runner("a", 1U);
    row.m_paused_until = now + second;
    auto other = make_runner("b", 1U);
    other.m_paused_until = now + 2 * second;
    const auto wait = [](const std::vector<server_load>& rows, const request_requirements& required) {
        std::vector<std::shared_ptr<server_load>> shared{};
        std::ranges::transform(rows, std::back_inserter(shared),
                               [](const auto& each) { return std::make_shared<server_load>(each); });
        return time_until_resumed(shared, required, now);
    };
    CHECK(wait({row, other}, {}) == second);
    const std::vector<std::string> tried{"a"};
    request_requirements retried{};
    retried.m_tried_servers = tried;
    CHECK(wait({row, other}, retried) == second);
    CHECK_FALSE(wait({row, make_runner("c", 1U)}, {}));
    auto ejected = make_runner("d", 1U);
    ejected.m_health.m_ejected_until = now + tenth_of_second;
    CHECK(wait({row, ejected}, {}) == tenth_of_second);
    CHECK_FALSE(wait({ejected}, {}));
    row.m_leaving = true;
    CHECK(wait({row, other}, {}) == 2 * second);
    CHECK_FALSE(wait({row}, {}));
}

TEST_CASE("a version counts as held if a runner has all its layers, even while that runner loads weights") {
    std::vector<std::shared_ptr<server_load>> rows{std::make_shared<server_load>(make_runner("a", 1U)),
                                                   std::make_shared<server_load>(make_runner("b", 1U))};
    request_requirements required{};
    required.m_model = "m";
    required.m_layers = 4U;
    required.m_min_version = 2U;
    CHECK_FALSE(is_version_held(rows, required));
    rows[1]->m_models = {{"m", 2U, 3U}};
    CHECK_FALSE(is_version_held(rows, required));
    rows[1]->m_models = {{"m", 2U, 4U}};
    rows[1]->m_loading = true;
    CHECK(is_version_held(rows, required));
    required.m_min_version = 1U;
    CHECK(is_version_held(rows, required));
}

TEST_CASE("placement prefers the runner with the lowest predicted time to the first byte") {
    request_requirements required{};
    required.m_prompt_tokens = 500.0;
    std::vector<server_load> rows{make_runner("full", 1U), make_runner("reading", 1U), make_runner("idle", 1U)};
    rows[0].m_own_requests = 15U;
    rows[1].m_unread_prompt_tokens = 6'000.0;
    CHECK(pick(rows, required) == "idle");
    rows[2].m_slowdown = 8.0;
    CHECK(pick(rows, required) != "idle");
    rows[2].m_slowdown = 1.0;
    rows[2].m_last_reported = now - std::chrono::seconds{3};
    rows[1].m_unread_prompt_tokens = 0.0;
    CHECK(pick(rows, required) == "reading");
}

TEST_CASE("a gateway fills its quota and takes only its share of the remaining free slots") {
    placement_options options{};
    options.m_gateway_count = 4.0;
    auto row = make_runner("a", 1U);
    row.m_quota = 4.0;
    row.m_own_requests = 3U;
    row.m_other_requests = 12.0;
    CHECK(has_capacity(row, options));
    row.m_own_requests = 4U;
    row.m_other_requests = 12.0;
    CHECK_FALSE(has_capacity(row, options));
    row.m_other_requests = 0.0;
    CHECK(has_capacity(row, options));
    row.m_own_requests = 7U;
    CHECK_FALSE(has_capacity(row, options));
    row.m_own_requests = 2U;
    row.m_other_requests = 17.0;
    CHECK_FALSE(has_capacity(row, options));
}

TEST_CASE("quotas add up to the slots, are proportional to demand and prefer slots in the same data centre") {
    const std::vector<quota_gateway> gateways{{"a", "ost", 10.0}, {"b", "ost", 30.0}, {"c", "west", 40.0}};
    std::vector<quota_server> rows{};
    for (const auto* const name : {"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"}) {
        rows.push_back({name, rows.size() < 4U ? "ost" : "west", 16.0});
    }
    const auto total = [&](const std::string_view name) {
        const auto shares = compute_quotas(name, gateways, rows);
        return std::accumulate(shares.begin(), shares.end(), 0.0);
    };
    CHECK(total("a") == doctest::Approx(16.0).epsilon(0.2));
    CHECK(total("b") == doctest::Approx(48.0).epsilon(0.1));
    CHECK(total("c") == doctest::Approx(64.0).epsilon(0.1));
    const auto remote = compute_quotas("c", gateways, rows);
    CHECK(remote[0] + remote[1] + remote[2] + remote[3] == doctest::Approx(0.0));
    CHECK(total("unknown") == doctest::Approx(0.0));
    rows.resize(4U);
    CHECK(total("c") == doctest::Approx(32.0).epsilon(0.1));
}

TEST_CASE("a region whose gateways share one row gets the same quotas as one with a row each") {
    std::vector<quota_server> rows{};
    for (const auto* const name : {"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"}) {
        rows.push_back({name, rows.size() < 4U ? "ost" : "west", 16.0});
    }
    const std::vector<quota_gateway> single{
        {"a", "ost", 10.0}, {"b", "ost", 30.0}, {"c", "west", 40.0}, {"d", "west", 20.0}};
    const std::vector<quota_gateway> shared{{{}, "west", 60.0, 2.0}, {{}, "ost", 30.0, 1.0}, {"a", "ost", 10.0}};
    CHECK(compute_quotas("a", shared, rows) == compute_quotas("a", single, rows));
    const std::vector<quota_gateway> idle{{{}, "west", 0.0, 9.0}, {"a", "ost", 0.0}};
    const auto shares = compute_quotas("a", idle, rows);
    CHECK(std::accumulate(shares.begin(), shares.end(), 0.0) == doctest::Approx(12.8).epsilon(0.3));
}

TEST_CASE("waiting requests are ordered by rank, then by whether they can be on time, then by age") {
    wait_queue queue{};
    push(queue, make_waiting(1U, 1U, -tenth_of_second));
    push(queue, make_waiting(2U, 1U, tenth_of_second));
    push(queue, make_waiting(3U, 0U, -tenth_of_second));
    const auto ordered = send_order(queue, now);
    CHECK(ordered[0].m_request == request_id{3U});
    CHECK(ordered[1].m_request == request_id{2U});
    CHECK(ordered[2].m_request == request_id{1U});
}

TEST_CASE("late requests do not delay a new request, and are refused when a new request may still wait") {
    wait_queue queue{};
    for (auto count = 0; count < 10; ++count) {
        record_sent(queue, now);
    }
    for (std::uint64_t id = 1U; id <= 20U; ++id) {
        push(queue, make_waiting(id, 1U, -tenth_of_second));
    }
    CHECK_FALSE(refusal_retry_after(queue, make_waiting(99U, 1U, second / 2), now));
    const auto late = refusal_retry_after(queue, make_waiting(99U, 1U, -tenth_of_second), now);
    REQUIRE(late);
    CHECK(*late >= second);
}

TEST_CASE("a request that would be sent too late is refused with the time until a slot is expected") {
    wait_queue queue{};
    for (auto count = 0; count < 20; ++count) {
        record_sent(queue, now);
    }
    for (std::uint64_t id = 1U; id <= 10U; ++id) {
        push(queue, make_waiting(id, 1U, second));
    }
    CHECK_FALSE(refusal_retry_after(queue, make_waiting(99U, 1U, second), now));
    const auto refused = refusal_retry_after(queue, make_waiting(99U, 1U, second / 2), now);
    REQUIRE(refused);
    CHECK(*refused > second / 4);
    CHECK(*refused < second);
}

TEST_CASE("for any sequence of operations the queue holds each request once until it is removed") {
    CHECK(rc::check([] {
        wait_queue queue{};
        std::size_t waiting_count{};
        const auto steps = *rc::gen::inRange(0, 60);
        for (std::uint64_t step = 1U; step <= static_cast<std::uint64_t>(steps); ++step) {
            if (*rc::gen::inRange(0, 3) > 0) {
                push(queue, make_waiting(step, *rc::gen::inRange(0U, 3U), duration{*rc::gen::inRange(-1'000, 1'000)}));
                ++waiting_count;
            } else if (waiting_count > 0U) {
                RC_ASSERT(erase(queue, send_order(queue, now).front().m_request));
                --waiting_count;
            }
            RC_ASSERT(send_order(queue, now).size() == waiting_count);
        }
        RC_ASSERT(expire(queue, now + std::chrono::seconds{10}).size() == waiting_count);
        RC_ASSERT(queue.m_waiting.empty());
    }));
}

TEST_CASE("retries stay within the budget of the gateway in every window") {
    CHECK(rc::check([] {
        service_retry_budget budget{};
        budget.m_extra_retries = *rc::gen::inRange(0, 20);
        std::deque<time_point> requests{};
        std::deque<time_point> retries{};
        auto at = now;
        const auto steps = *rc::gen::inRange(1, 400);
        for (auto step = 0; step < steps; ++step) {
            at += std::chrono::milliseconds{*rc::gen::inRange(0, 200)};
            if (*rc::gen::arbitrary<bool>()) {
                record_request(budget, at);
                requests.push_back(at);
            } else if (try_grant_retry(budget, at)) {
                record_retry(budget, true, at);
                retries.push_back(at);
            }
            const auto count_in_window = [&](const std::deque<time_point>& times) {
                return std::ranges::count_if(times,
                                             [&](const time_point each) { return at - each <= budget.m_window; });
            };
            const auto allowed =
                budget.m_retry_ratio * static_cast<double>(count_in_window(requests)) + budget.m_extra_retries;
            RC_ASSERT(static_cast<double>(count_in_window(retries)) <= allowed + 1.0);
        }
    }));
}

TEST_CASE("a failing backend server is ejected, probed by one request and readmitted when the probe succeeds") {
    health state{};
    for (unsigned count = 0U; count + 1U < max_consecutive_failures; ++count) {
        CHECK_FALSE(record_failure(state, 0.0, now));
    }
    CHECK(record_failure(state, 0.0, now));
    CHECK_FALSE(is_usable(state, now));
    const auto later = now + min_ejection_time;
    CHECK(is_usable(state, later));
    record_attempt(state, later);
    CHECK_FALSE(is_usable(state, later));
    record_success(state);
    CHECK(is_usable(state, later));
    record_attempt(state, later);
    CHECK(is_usable(state, later));
}

TEST_CASE("a backend server with a high failure rate is ejected, unless its peers fail as often") {
    health faulty{};
    health typical{};
    auto faulty_ejected = false;
    auto typical_ejected = false;
    for (auto round = 0; round < 60; ++round) {
        if (round % 2 == 0) {
            faulty_ejected = record_failure(faulty, 0.1, now) || faulty_ejected;
            typical_ejected = record_failure(typical, 0.5, now) || typical_ejected;
        } else {
            record_success(faulty);
            record_success(typical);
        }
    }
    CHECK(faulty_ejected);
    CHECK_FALSE(typical_ejected);
}

/*! @brief Runners of two regions: those of the own one report directly, the others by a region's report of an age. */
struct two_regions {
    std::vector<server_load> m_rows{};

    two_regions(const double local_requests, const duration relayed_age) {
        for (auto index = 0; index < 28; ++index) {
            auto row = make_runner("local-" + std::to_string(index), 1U);
            row.m_slots = 8U;
            row.m_quota = 1.0;
            row.m_other_requests = local_requests;
            row.m_last_reported = now;
            row.m_last_heard = now;
            m_rows.push_back(row);
        }
        for (auto index = 0; index < 110; ++index) {
            auto row = m_rows.front();
            row.m_id = "remote-" + std::to_string(index);
            row.m_data_centre = "there";
            row.m_other_requests = 0.0;
            row.m_last_reported = now - relayed_age;
            row.m_last_heard = {};
            m_rows.push_back(row);
        }
    }

    /*! @brief Fraction of many requests that leave the region. */
    [[nodiscard]] auto leaving_fraction() const -> double {
        std::vector<const server_load*> pointers{};
        for (const auto& each : m_rows) {
            pointers.push_back(&each);
        }
        auto engine = make_engine();
        engine.m_slots = 8U;
        placement_options options{};
        options.m_data_centre = "here";
        options.m_gateway_count = 98.0;
        options.m_quota_only_slots = 8.0 * quota_only_fraction;
        constexpr auto requests = 500U;
        auto leaving = 0U;
        for (auto index = 0U; index < requests; ++index) {
            const auto found = choose_server(pointers, &engine, {900.0, "m", 1U, 0U, 0U, {}}, options,
                                             0x9e37'79b9'7f4a'7c15ULL * (index + 1U), now);
            REQUIRE(found);
            leaving += m_rows[found->m_index].m_data_centre == "there" ? 1U : 0U;
        }
        return static_cast<double>(leaving) / requests;
    }
};

// Load pattern: 98 gateways in five regions at half load. Loads of other regions arrive 0.6 s late, in which a runner
// gets as many requests as it has free slots; all gateways chose the same few that seemed idle, which then refused.
TEST_CASE("requests stay in their region while it has free slots, though others seem idle by older reports") {
    CHECK(two_regions{3.0, std::chrono::milliseconds{600}}.leaving_fraction() < 0.02);
}

TEST_CASE("requests leave a region whose runners are full") {
    CHECK(two_regions{8.0, std::chrono::milliseconds{600}}.leaving_fraction() == doctest::Approx(1.0));
}

TEST_CASE("runners of other regions are chosen as before where they report directly") {
    two_regions fleet{3.0, duration::zero()};
    for (auto& row : fleet.m_rows) {
        row.m_last_heard = now;
    }
    CHECK(fleet.leaving_fraction() > 0.5);
}

// Load pattern: 20 gateways before 28 runners of 8 slots, three quarters taken. A gateway's quota is one slot at two
// fifths of the runners; the others had free slots that nobody used while requests waited.
TEST_CASE("a free slot of a small runner is not left to the quotas of others") {
    placement_options options{};
    options.m_gateway_count = 98.0;
    options.m_quota_only_slots = 8.0 * quota_only_fraction;
    auto row = make_runner("a", 1U);
    row.m_slots = 8U;
    row.m_quota = 0.0;
    row.m_other_requests = 6.0;
    CHECK(has_capacity(row, options));
    row.m_other_requests = 7.0;
    CHECK_FALSE(has_capacity(row, options));
}

} // namespace rhubarbwharf::dispatch
