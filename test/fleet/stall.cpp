#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/stall.hpp>

namespace rhubarbwharf::fleet {

namespace {

constexpr duration tick = std::chrono::milliseconds{20};
constexpr duration length = std::chrono::seconds{4};
constexpr time_point start{std::chrono::hours{1}};
constexpr duration lead = std::chrono::seconds{7};

} // namespace

TEST_CASE("a process that is checked at short intervals has not stood still") {
    stall_record record{};
    for (auto now = start; now < start + length; now += tick) {
        CHECK(check_running(record, now, lead).m_length == duration::zero());
        CHECK(arrival_of(record, now).m_earliest == now);
        CHECK(arrival_of(record, now).m_is_exact);
    }
}

TEST_CASE("what is handled after a stall may have arrived at its beginning") {
    stall_record record{};
    REQUIRE(check_running(record, start, lead).m_length == duration::zero());
    const auto woken = start + length;
    const auto found = check_running(record, woken, lead);
    CHECK(found.m_length == length);
    CHECK(found.m_suspended == duration::zero());
    CHECK(arrival_of(record, woken).m_earliest == start);
    CHECK_FALSE(arrival_of(record, woken).m_is_exact);
    CHECK(check_running(record, woken + tick, lead).m_length == duration::zero());
    CHECK(arrival_of(record, woken + length).m_earliest == start);
    const auto later = woken + length + stall_aftermath + tick;
    CHECK(arrival_of(record, later).m_earliest == later);
}

TEST_CASE("a suspension of the machine counts although the steady clock stood still") {
    stall_record record{};
    REQUIRE(check_running(record, start, lead).m_length == duration::zero());
    const auto found = check_running(record, start + tick, lead + length);
    CHECK(found.m_suspended == length);
    CHECK(found.m_length == length + tick);
    CHECK(arrival_of(record, start + tick).m_earliest == start - length);
    CHECK(check_running(record, start + 2 * tick, lead + length).m_length == duration::zero());
}

TEST_CASE("a boot-time clock that drifts against the steady clock is not a suspension until it adds up") {
    stall_record record{};
    REQUIRE(check_running(record, start, lead).m_length == duration::zero());
    auto now = start;
    auto drifted = lead;
    auto suspended = duration::zero();
    for (auto step = 0; step < 30; ++step) {
        now += tick;
        drifted += tick;
        suspended += check_running(record, now, drifted).m_suspended;
    }
    CHECK(suspended == 30 * tick);
}

TEST_CASE("a short stall right after a long one does not hide what arrived during the long one") {
    constexpr duration pause = 2 * min_stall;
    stall_record record{};
    REQUIRE(check_running(record, start, lead).m_length == duration::zero());
    const auto woken = start + length;
    REQUIRE(check_running(record, woken, lead).m_length == length);
    auto now = woken;
    for (auto step = 0; step < 4; ++step) {
        now += pause;
        REQUIRE(check_running(record, now, lead).m_length == pause);
        CHECK(arrival_of(record, now).m_earliest == start);
        CHECK_FALSE(arrival_of(record, now).m_is_exact);
    }
    const auto trusted_again = woken + length + stall_aftermath + 4 * pause;
    CHECK(arrival_of(record, trusted_again - tick).m_earliest == start);
    CHECK(arrival_of(record, trusted_again + tick).m_is_exact);
}

TEST_CASE("a suspension after a stall moves the beginning of the stall back") {
    stall_record record{};
    REQUIRE(check_running(record, start, lead).m_length == duration::zero());
    const auto woken = start + length;
    REQUIRE(check_running(record, woken, lead).m_length == length);
    REQUIRE(check_running(record, woken + tick, lead + length).m_suspended == length);
    CHECK(arrival_of(record, woken + tick).m_earliest == start - length);
}

TEST_CASE("short stalls in a row let arrivals count as old by a bounded time only") {
    constexpr duration pause = min_stall + tick;
    stall_record record{};
    REQUIRE(check_running(record, start, lead).m_length == duration::zero());
    auto now = start;
    while (now < start + 100 * length) {
        now += pause;
        REQUIRE(check_running(record, now, lead).m_length == pause);
        now += tick;
        REQUIRE(check_running(record, now, lead).m_length == duration::zero());
        CHECK(now - arrival_of(record, now).m_earliest <= (pause + tick) * ((pause + stall_aftermath) / tick + 1));
    }
}

TEST_CASE("a stall has just ended for the given time, if it was long enough") {
    stall_record record{};
    REQUIRE(check_running(record, start, lead).m_length == duration::zero());
    const auto woken = start + length;
    REQUIRE(check_running(record, woken, lead).m_length == length);
    CHECK(has_just_stalled(record, woken, length, tick));
    CHECK_FALSE(has_just_stalled(record, woken, length + tick, tick));
    CHECK_FALSE(has_just_stalled(record, woken + tick, length, tick));
    REQUIRE(check_running(record, woken + min_stall, lead).m_length == min_stall);
    CHECK(has_just_stalled(record, woken + min_stall, length, 2 * min_stall));
    CHECK_FALSE(has_just_stalled(record, woken + 2 * min_stall, length, 2 * min_stall));
}

} // namespace rhubarbwharf::fleet
