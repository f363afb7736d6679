#include <algorithm>
#include <cstdint>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/membership/table.hpp>

namespace rhubarbwharf::membership {

namespace {

[[nodiscard]] auto make_report(const std::uint64_t incarnation, const std::uint64_t sequence,
                               const phase value = phase::serving) -> report {
    report update{};
    update.m_instance = "a";
    update.m_incarnation = incarnation;
    update.m_sequence = sequence;
    update.m_phase = value;
    update.m_group = "chef";
    return update;
}

[[nodiscard]] auto at(const std::int64_t milliseconds) -> time_point {
    return time_point{std::chrono::milliseconds{milliseconds}};
}

[[nodiscard]] auto is_available(const table& members, const time_point now) -> bool {
    return accepts_requests(*find(members, "a"), now, {});
}

} // namespace

TEST_CASE("late and duplicate reports change nothing") {
    table members{};
    CHECK(apply(members, make_report(1, 2), at(0)) == apply_result::changed);
    CHECK(apply(members, make_report(1, 2), at(1)) == apply_result::stale);
    CHECK(apply(members, make_report(1, 1, phase::failed), at(1)) == apply_result::stale);
    CHECK(apply(members, make_report(1, 3), at(2)) == apply_result::refreshed);
    CHECK(find(members, "a")->m_last_received == at(2));
}

TEST_CASE("a leaving member remains leaving until a new incarnation reports") {
    table members{};
    apply(members, make_report(1, 1), at(0));
    CHECK(is_available(members, at(0)));
    CHECK(mark_leaving(members, "a", 1));
    apply(members, make_report(1, 2), at(1));
    CHECK_FALSE(is_available(members, at(0)));
    apply(members, make_report(2, 1), at(2));
    CHECK(is_available(members, at(0)));
    CHECK(apply(members, make_report(1, 9), at(3)) == apply_result::stale);
    CHECK_FALSE(mark_leaving(members, "a", 1));
}

TEST_CASE("a silent member is suspected, and its next report makes it live again") {
    table members{};
    const liveness_timeouts timeouts{};
    apply(members, make_report(1, 1), at(0));
    CHECK(suspect_silent_members(members, at(3'000), timeouts).empty());
    CHECK(suspect_silent_members(members, at(3'001), timeouts).size() == 1U);
    CHECK(suspect_silent_members(members, at(3'002), timeouts).empty());
    CHECK_FALSE(is_available(members, at(3'002)));
    CHECK(apply(members, make_report(1, 2), at(4'000)) == apply_result::changed);
    CHECK(is_available(members, at(4'000)));
}

TEST_CASE("a member whose last message is too old accepts no requests, even if it is not marked as suspected") {
    table members{};
    apply(members, make_report(1, 1), at(0));
    CHECK(is_available(members, at(3'000)));
    CHECK_FALSE(is_available(members, at(3'001)));
    CHECK(record_message(members, "a", 1, at(60'000)));
    CHECK(is_available(members, at(60'000)));
    CHECK_FALSE(record_message(members, "a", 2, at(70'000)));
}

TEST_CASE("the owner of a shard is the member with the highest fencing number among those that accept requests") {
    table members{};
    auto first = make_report(1, 1);
    first.m_shards = {{shard_id{4}, fencing_token{7}}};
    auto second = first;
    second.m_instance = "b";
    second.m_shards = {{shard_id{4}, fencing_token{8}}};
    apply(members, first, at(0));
    apply(members, second, at(0));
    CHECK(find_shard_owner(members, "chef", shard_id{4}, at(0), {})->m_report.m_instance == "b");
    CHECK(find_shard_owner(members, "chef", shard_id{5}, at(0), {}) == nullptr);
    CHECK(find_shard_owner(members, "other", shard_id{4}, at(0), {}) == nullptr);
    mark_leaving(members, "b", 1);
    CHECK(find_shard_owner(members, "chef", shard_id{4}, at(0), {})->m_report.m_instance == "a");
}

TEST_CASE("lost, duplicate and reordered reports leave the newest report of the incarnation in the table") {
    CHECK(rc::check([] {
        const auto sequences = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
        const auto leaving_at = *rc::gen::inRange<std::size_t>(0, sequences.size() + 1U);
        table members{};
        std::uint64_t highest = 0;
        apply(members, make_report(1, 0), at(0));
        for (std::size_t index = 0; index < sequences.size(); ++index) {
            if (index == leaving_at) {
                mark_leaving(members, "a", 1);
            }
            const auto result = apply(members, make_report(1, sequences[index]), at(0));
            RC_ASSERT((result == apply_result::stale) == (sequences[index] <= highest));
            highest = std::max<std::uint64_t>(highest, sequences[index]);
            RC_ASSERT(find(members, "a")->m_report.m_sequence == highest);
            RC_ASSERT(is_available(members, at(0)) == (index < leaving_at));
        }
    }));
}

} // namespace rhubarbwharf::membership
