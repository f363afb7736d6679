#include <array>

#include <doctest/doctest.h>

#include <rhubarbwharf/routing/prompt_parts.hpp>

namespace rhubarbwharf::routing {

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr duration moment = std::chrono::milliseconds{300};
constexpr part_id guilty{1U};
constexpr part_id companion{2U};
constexpr part_id sound{3U};

[[nodiscard]] auto server(const std::uint64_t number) -> incarnation_id {
    return incarnation_id{number};
}

/*! @brief Parts of requests with which a number of servers ended. */
auto crash_servers(part_table& table, const std::vector<part_id>& parts, const std::uint64_t first,
                   const std::uint64_t count) -> void {
    for (auto index = first; index < first + count; ++index) {
        add_crash(table, server(index), parts, start);
    }
}

[[nodiscard]] auto decision(const part_table& table, const std::vector<part_id>& parts, const time_point now)
    -> part_decision {
    return admit(table, parts, now).m_decision;
}

} // namespace

TEST_CASE("a part is suspect after two servers ended under requests that share nothing else") {
    part_table table{};
    add_crash(table, server(1U), std::array{guilty, part_id{10U}}, start);
    CHECK(decision(table, {guilty}, start) == part_decision::admit);
    add_crash(table, server(2U), std::array{guilty, part_id{11U}}, start);
    CHECK(decision(table, {guilty, part_id{12U}}, start) == part_decision::trial);
    CHECK(decision(table, {part_id{10U}}, start) == part_decision::admit);
    CHECK(decision(table, {sound}, start) == part_decision::admit);
}

TEST_CASE("one server counts once, however many gateways and requests report its end") {
    part_table table{};
    for (auto reports = 0; reports < 5; ++reports) {
        add_crash(table, server(1U), std::array{guilty}, start);
    }
    CHECK(count_crashes(table, guilty) == 1U);
}

TEST_CASE("a suspect part is tried by one request at a time and held back if its server ends") {
    part_table table{};
    crash_servers(table, {guilty}, 1U, 2U);
    begin_trial(table, std::array{guilty}, start);
    const auto refused = admit(table, std::array{guilty}, start);
    CHECK(refused.m_decision == part_decision::refuse);
    CHECK_FALSE(refused.m_is_held);
    add_crash(table, server(3U), std::array{guilty}, start + moment);
    const auto held = hold(table, std::array{guilty}, server(3U), start + moment);
    CHECK(held.m_until == start + moment + first_hold_time);
    CHECK(admit(table, std::array{guilty}, start + 2 * moment).m_is_held);
    CHECK(admit(table, std::array{guilty, sound}, start + 2 * moment).m_is_held);
    CHECK(decision(table, {sound}, start + 2 * moment) == part_decision::admit);
}

TEST_CASE("a trial without an outcome keeps others from trying for a bounded time") {
    part_table table{};
    crash_servers(table, {guilty}, 1U, 2U);
    begin_trial(table, std::array{guilty}, start);
    CHECK(decision(table, {guilty}, start + trial_timeout) == part_decision::trial);
    begin_trial(table, std::array{guilty}, start + trial_timeout);
    end_trial(table, std::array{guilty});
    CHECK(decision(table, {guilty}, start + trial_timeout) == part_decision::trial);
}

TEST_CASE("an answer anywhere clears a part, even one that is held back") {
    part_table table{};
    crash_servers(table, {guilty, sound}, 1U, 2U);
    CHECK(decision(table, {sound}, start) == part_decision::trial);
    CHECK(add_served(table, std::array{sound}, start + moment) == std::vector{sound});
    CHECK(decision(table, {sound}, start + moment) == part_decision::admit);
    CHECK(add_served(table, std::array{sound}, start + moment).empty());
    hold(table, std::array{guilty}, server(3U), start + moment);
    CHECK(add_served(table, std::array{guilty}, start + 2 * moment) == std::vector{guilty});
    CHECK(decision(table, {guilty}, start + 2 * moment) == part_decision::admit);
}

TEST_CASE("parts that were answered just before a crash are not its cause") {
    part_table table{};
    add_served(table, std::array{sound}, start - moment);
    CHECK(add_crash(table, server(1U), std::array{guilty, sound}, start) == std::vector{guilty});
    CHECK(add_crash(table, server(2U), std::array{sound}, start - moment + served_window + moment) ==
          std::vector{sound});
}

// Trials of two gateways took the same idle server. It ended, and the sound parts were held back with the guilty one,
// although they had been answered elsewhere since they became suspect.
TEST_CASE("a part that was answered since it became suspect is not held back when the server of its trial ends") {
    part_table table{};
    crash_servers(table, {sound}, 1U, 2U);
    begin_trial(table, std::array{sound}, start);
    add_served(table, std::array{sound}, start + moment);
    add_crash(table, server(3U), std::array{guilty, sound}, start + moment);
    const auto held = hold(table, std::array{sound}, server(3U), start + moment);
    CHECK(held.m_parts.empty());
    CHECK(table.m_held.empty());
    CHECK(decision(table, {sound}, start + moment) == part_decision::admit);
}

TEST_CASE("crashes that a held part explains no longer speak against its neighbours") {
    part_table table{};
    crash_servers(table, {guilty, sound}, 1U, 2U);
    crash_servers(table, {guilty}, 3U, 1U);
    CHECK(decision(table, {sound}, start) == part_decision::trial);
    hold(table, std::array{guilty}, server(3U), start);
    CHECK(decision(table, {sound}, start) == part_decision::admit);
    CHECK(admit(table, std::array{guilty, sound}, start).m_is_held);
}

TEST_CASE("two guilty parts at the same time are both held back") {
    part_table table{};
    crash_servers(table, {guilty}, 1U, 2U);
    crash_servers(table, {companion}, 10U, 2U);
    hold(table, std::array{guilty}, server(3U), start);
    CHECK(decision(table, {companion}, start) == part_decision::trial);
    hold(table, std::array{companion}, server(12U), start);
    CHECK(admit(table, std::array{guilty}, start).m_is_held);
    CHECK(admit(table, std::array{companion}, start).m_is_held);
}

TEST_CASE("parts that always come together are held back together until a request has only some of them") {
    part_table table{};
    crash_servers(table, {guilty, companion}, 1U, 2U);
    add_crash(table, server(3U), std::array{guilty, companion}, start);
    const auto both = hold(table, std::array{guilty, companion}, server(3U), start);
    CHECK(both.m_parts == std::vector{guilty, companion});
    CHECK(admit(table, std::array{guilty, companion}, start).m_is_held);
    CHECK(decision(table, {companion}, start) == part_decision::trial);
    SUBCASE("the one is answered") {
        CHECK(add_served(table, std::array{companion}, start) == std::vector{companion});
        CHECK(decision(table, {companion}, start) == part_decision::admit);
        CHECK(admit(table, std::array{guilty}, start).m_is_held);
    }
    SUBCASE("the other's server ends") {
        add_crash(table, server(4U), std::array{guilty}, start);
        const auto one = hold(table, std::array{guilty}, server(4U), start);
        CHECK(one.m_parts == std::vector{guilty});
        CHECK(one.m_holds == 2U);
        CHECK(decision(table, {companion}, start) == part_decision::admit);
    }
}

TEST_CASE("a server that answers after it seemed to end is no evidence, and no verdict rests on it") {
    part_table table{};
    crash_servers(table, {sound}, 1U, 2U);
    add_crash(table, server(3U), std::array{sound}, start);
    hold(table, std::array{sound}, server(3U), start);
    CHECK_FALSE(remove_crash(table, server(3U), start + alive_delay / 2));
    CHECK(remove_crash(table, server(3U), start + alive_delay));
    CHECK_FALSE(remove_crash(table, server(3U), start + alive_delay));
    CHECK(decision(table, {sound}, start + alive_delay) == part_decision::trial);
    CHECK(remove_crash(table, server(2U), start + alive_delay));
    CHECK(decision(table, {sound}, start + alive_delay) == part_decision::admit);
}

TEST_CASE("a part that is held back is tried again after a pause that grows with each failure") {
    part_table table{};
    auto now = start;
    auto pause = first_hold_time;
    for (std::uint64_t round = 1U; round <= 5U; ++round) {
        add_crash(table, server(round), std::array{guilty}, now);
        const auto held = hold(table, std::array{guilty}, server(round), now);
        CHECK(held.m_until == now + pause);
        CHECK(decision(table, {guilty}, held.m_until - moment) == part_decision::refuse);
        CHECK(decision(table, {guilty}, held.m_until) == part_decision::trial);
        now = held.m_until;
        pause = std::min(pause * hold_time_factor, max_hold_time);
    }
    add_served(table, std::array{guilty}, now);
    CHECK(decision(table, {guilty}, now) == part_decision::admit);
}

TEST_CASE("a gateway takes over the verdicts of another one") {
    part_table table{};
    const held_parts verdict{{guilty}, start + moment, 1U, server(1U)};
    CHECK(merge_hold(table, verdict));
    CHECK_FALSE(merge_hold(table, verdict));
    CHECK(admit(table, std::array{guilty}, start).m_is_held);
    CHECK(decision(table, {guilty}, start + moment) == part_decision::trial);
    CHECK(merge_hold(table, {{guilty}, start + 2 * moment, 2U, server(2U)}));
    CHECK(admit(table, std::array{guilty}, start + moment).m_is_held);
    CHECK_FALSE(merge_hold(table, {{guilty, sound}, start + 2 * moment, 1U, server(3U)}));
    CHECK_FALSE(merge_hold(table, {}));
}

TEST_CASE("what is kept is bounded, and expires") {
    part_table table{};
    for (std::uint64_t index = 0U; index < 2U * max_served_parts; ++index) {
        const auto now = start + duration{static_cast<duration::rep>(index)};
        add_served(table, std::array{part_id{index}}, now);
        add_crash(table, server(index), std::array{part_id{index + 1'000'000U}}, now);
        hold(table, std::array{part_id{index + 1'000'000U}}, server(index), now);
    }
    CHECK(table.m_served.size() == max_served_parts);
    CHECK(table.m_crashes.size() == max_crash_records);
    CHECK(table.m_held.size() == max_held_parts);
    evict_expired(table, start + std::chrono::hours{1});
    CHECK(table.m_served.empty());
    CHECK(table.m_crashes.empty());
    CHECK(table.m_held.empty());
    CHECK(table.m_counts.empty());
}

} // namespace rhubarbwharf::routing
