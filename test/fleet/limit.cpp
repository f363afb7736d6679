#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/limit.hpp>

namespace rhubarbwharf::fleet {

namespace {

const time_point now{std::chrono::hours{1}};
constexpr duration ms = std::chrono::milliseconds{1};

} // namespace

TEST_CASE("a lower limit counts at once, a higher one only from a request that was sent after the known one came") {
    limit_table table{};
    CHECK(merge_named_limit(table, "s", {7U, 5.0, now}, now - 20 * ms));
    CHECK(merge_named_limit(table, "s", {7U, 1.0, now + ms}, now - 20 * ms));
    // This response was written before the one with the lower limit, and has been overtaken.
    CHECK_FALSE(merge_named_limit(table, "s", {7U, 5.0, now + 2 * ms}, now - 10 * ms));
    CHECK_FALSE(merge_named_limit(table, "s", {7U, no_limit, now + 2 * ms}, now - 10 * ms));
    CHECK(limit_of(table, "s", 7U) == 1.0);
    CHECK(merge_named_limit(table, "s", {7U, 5.0, now + 30 * ms}, now + 10 * ms));
    CHECK(limit_of(table, "s", 7U) == 5.0);
    CHECK(merge_named_limit(table, "s", {7U, no_limit, now + 60 * ms}, now + 40 * ms));
    CHECK(limit_of(table, "s", 7U) == no_limit);
}

TEST_CASE("a server that never named a limit leaves no entry, and a new incarnation has none") {
    limit_table table{};
    CHECK_FALSE(merge_named_limit(table, "s", {7U, no_limit, now}, now));
    CHECK(table.empty());
    REQUIRE(merge_named_limit(table, "s", {7U, 1.0, now}, now));
    CHECK(limit_of(table, "s", 8U) == no_limit);
    CHECK_FALSE(merge_named_limit(table, "s", {8U, no_limit, now}, now));
    REQUIRE(merge_named_limit(table, "s", {8U, 2.0, now}, now));
    CHECK_FALSE(merge_named_limit(table, "s", {7U, 1.0, now + ms}, now + ms));
    CHECK_FALSE(merge_told_limit(table, "s", {7U, 1.0, now + ms}));
    CHECK(limit_of(table, "s", 8U) == 2.0);
}

TEST_CASE("of what peers tell the newer counts, lifted limits too") {
    limit_table table{};
    CHECK(merge_told_limit(table, "s", {7U, 1.0, now}));
    CHECK_FALSE(merge_told_limit(table, "s", {7U, 3.0, now - ms}));
    CHECK_FALSE(merge_told_limit(table, "s", {7U, 1.0, now + ms}));
    CHECK(merge_told_limit(table, "s", {7U, no_limit, now + 2 * ms}));
    CHECK_FALSE(merge_told_limit(table, "s", {7U, 1.0, now + ms}));
    CHECK(limit_of(table, "s", 7U) == no_limit);
    CHECK(is_told(table.at("s"), now + lifted_limit_memory));
    CHECK_FALSE(is_told(table.at("s"), now + 2 * lifted_limit_memory));
    CHECK(is_told({7U, 0.0, now}, now + 2 * lifted_limit_memory));
}

TEST_CASE("the table of limits is bounded") {
    constexpr auto many = 3'000;
    limit_table table{};
    for (auto index = 0; index < many; ++index) {
        merge_told_limit(table, std::to_string(index), {1U, 1.0, now + index * ms});
    }
    CHECK(table.size() < many / 2);
    CHECK(table.contains(std::to_string(many - 1)));
}

} // namespace rhubarbwharf::fleet
