#include <algorithm>
#include <cstdint>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/routing/backend_choice.hpp>

namespace rhubarbwharf::routing {

TEST_CASE("a backend server with capacity is chosen whenever there is one") {
    CHECK(rc::check([] {
        const auto count = *rc::gen::inRange<std::uint32_t>(0, 20);
        std::vector<candidate> rows{};
        for (std::uint32_t index = 0; index < count; ++index) {
            rows.push_back({instance_id{index}, *rc::gen::inRange<std::uint32_t>(0, 12),
                            *rc::gen::inRange<std::uint32_t>(0, 10),
                            static_cast<double>(*rc::gen::inRange(0, 40)) / 10.0, *rc::gen::arbitrary<bool>()});
        }
        const choice_options options{};
        const auto chosen =
            choose_backend(rows, *rc::gen::inRange<std::uint64_t>(0, 3), *rc::gen::arbitrary<std::uint64_t>(), options);
        const auto is_any_available =
            std::ranges::any_of(rows, [&options](const auto& row) { return has_capacity(row, options); });
        RC_ASSERT(chosen.has_value() == is_any_available);
        if (chosen) {
            RC_ASSERT(has_capacity(rows[*chosen], options));
        }
    }));
}

TEST_CASE("a prefix holder is preferred only within the bounded load") {
    std::vector<candidate> rows{{instance_id{0}, 2, 8, 0.1, true}, {instance_id{1}, 2, 8, 0.1, false}};
    CHECK(choose_backend(rows, 0, 1, {}).has_value());
    rows[0].m_load = 3;
    rows[1].m_load = 3;
    for (std::uint64_t random = 0; random < 4; ++random) {
        CHECK(rows[*choose_backend(rows, 77, random, {})].m_instance.value() <= 1U);
    }
    rows[0].m_load = 7;
    rows[1].m_load = 0;
    CHECK(choose_backend(rows, 77, 0, {}) == 1U);
}

TEST_CASE("a slow backend server is not chosen while others have capacity") {
    std::vector<candidate> rows{};
    for (std::uint32_t index = 0; index < 4; ++index) {
        rows.push_back({instance_id{index}, 1, 8, index == 2 ? 2.0 : 0.1, false});
    }
    for (std::uint64_t random = 0; random < 64; ++random) {
        CHECK(choose_backend(rows, 0, random << 30U | random, {}) != 2U);
    }
    for (auto& row : rows) {
        row.m_load = row.m_instance.value() == 2 ? 1 : 8;
    }
    CHECK(choose_backend(rows, 0, 5, {}) == 2U);
}

TEST_CASE("the load estimate follows the requests of this process between reports") {
    backend_state row{};
    row.m_in_flight = 2;
    apply_load_report(row, 5, 8);
    CHECK(estimate_load(row) == 5U);
    row.m_in_flight = 4;
    CHECK(estimate_load(row) == 7U);
    row.m_in_flight = 0;
    CHECK(estimate_load(row) == 3U);
    apply_load_report(row, 0, 8);
    row.m_in_flight = 1;
    CHECK(estimate_load(row) == 1U);
}

TEST_CASE("a breaker opens after consecutive failures, allows one probe and closes on success") {
    breaker state{};
    const auto now = time_point{std::chrono::seconds{10}};
    for (std::uint32_t count = 0; count < breaker_failure_threshold; ++count) {
        CHECK(allows_request(state, now));
        record_attempt(state);
        record_failure(state, now);
    }
    CHECK_FALSE(allows_request(state, now));
    const auto later = now + min_breaker_open_time;
    CHECK(allows_request(state, later));
    record_attempt(state);
    CHECK_FALSE(allows_request(state, later));
    record_failure(state, later);
    CHECK_FALSE(allows_request(state, later + min_breaker_open_time));
    CHECK(allows_request(state, later + 2 * min_breaker_open_time));
    record_attempt(state);
    record_success(state);
    CHECK(allows_request(state, later));
    trip(state, later);
    CHECK_FALSE(allows_request(state, later));
}

} // namespace rhubarbwharf::routing
