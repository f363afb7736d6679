#include <doctest/doctest.h>

#include <rhubarbwharf/dispatch/placement.hpp>
#include <rhubarbwharf/fleet/limit.hpp>

namespace rhubarbwharf::dispatch {

namespace {

constexpr time_point now{std::chrono::hours{1}};
constexpr duration second = std::chrono::seconds{1};
const fleet::warm_up_terms terms{3 * second, 26.0};

} // namespace

TEST_CASE("a server is cold for the time that it states, and for the longest one if it may have started unseen") {
    warm_up state{};
    CHECK(cold_rate(state, terms, now) == fleet::no_limit);
    note_stated_warm_up(state, terms, second, now);
    CHECK(cold_rate(state, terms, now + second / 2) == 26.0);
    CHECK(cold_rate(state, terms, now + second) == fleet::no_limit);
    note_stated_warm_up(state, terms, 100 * second, now);
    CHECK(cold_rate(state, terms, now + 3 * second) == fleet::no_limit);
    note_possible_start(state, terms, now + 5 * second);
    CHECK(cold_rate(state, terms, now + 7 * second) == 26.0);
    CHECK(cold_rate(state, terms, now + 8 * second) == fleet::no_limit);
}

TEST_CASE("an entry that no longer states a warm-up does not shorten what is assumed") {
    warm_up state{};
    note_possible_start(state, terms, now);
    note_stated_warm_up(state, terms, duration::zero(), now + second);
    CHECK(cold_rate(state, terms, now + 2 * second) == 26.0);
}

TEST_CASE("a server that was out of sight counts as cold when it reports again, and only then") {
    warm_up state{};
    note_sight(state, terms, false, now);
    CHECK(cold_rate(state, terms, now) == fleet::no_limit);
    note_sight(state, terms, true, now);
    note_sight(state, terms, true, now + 10 * second);
    CHECK(cold_rate(state, terms, now + 10 * second) == fleet::no_limit);
    note_sight(state, terms, false, now + 20 * second);
    CHECK(cold_rate(state, terms, now + 22 * second) == 26.0);
    note_sight(state, terms, false, now + 22 * second);
    CHECK(cold_rate(state, terms, now + 23 * second) == fleet::no_limit);
}

TEST_CASE("servers of a service without a rate for cold ones are never cold") {
    warm_up state{};
    note_possible_start(state, {3 * second, 0.0}, now);
    CHECK(cold_rate(state, {3 * second, 0.0}, now) == fleet::no_limit);
}

TEST_CASE("servers outside the allowed regions, or in an evacuated data centre, are not eligible") {
    server_load row{};
    row.m_region = "ost";
    CHECK(is_eligible(row, {}, now));
    const auto west = fleet::restrict_to({"west"});
    request_requirements required{};
    required.m_allowed_regions = &west;
    CHECK_FALSE(is_eligible(row, required, now));
    row.m_region = "west";
    CHECK(is_eligible(row, required, now));
    row.m_evacuated = true;
    CHECK_FALSE(is_eligible(row, required, now));
    CHECK_FALSE(is_eligible(row, {}, now));
}

} // namespace rhubarbwharf::dispatch
