#include <doctest/doctest.h>

#include <rhubarbwharf/routing/quarantine.hpp>

namespace rhubarbwharf::routing {

namespace {

constexpr std::uint64_t request = 7U;
constexpr std::uint64_t first = 1U;
constexpr std::uint64_t second = 2U;
constexpr std::uint64_t restarted = 3U;
constexpr std::size_t max_reports = 16U;
constexpr time_point now{std::chrono::seconds{1'000}};
constexpr duration retention = std::chrono::seconds{120};

} // namespace

TEST_CASE("a process that starts learns the crashes that all others have observed, once each") {
    quarantine table{};
    record_crash(table, request, now + retention);
    record_crash(table, request, now + retention);
    merge_remote_crashes(table, request, second, 1U, now + retention);
    quarantine started{};
    const auto reports = list_crashes(table, first, now, max_reports);
    REQUIRE(reports.size() == 1U);
    CHECK(merge_report(started, reports.front(), restarted, now));
    CHECK_FALSE(merge_report(started, reports.front(), restarted, now));
    CHECK(count_crashes(started, request, now) == 3U);
    SUBCASE("its own crashes are added to those of its former incarnation") {
        CHECK(record_crash(started, request, now + retention) == 1U);
        CHECK(merge_remote_crashes(table, request, restarted, 1U, now + retention));
        CHECK(count_crashes(table, request, now) == 4U);
        CHECK(count_crashes(started, request, now) == 4U);
    }
    SUBCASE("its own count comes back without being counted twice") {
        record_crash(started, request, now + retention);
        const auto told = list_crashes(started, restarted, now, max_reports);
        CHECK_FALSE(merge_report(started, told.front(), restarted, now));
        CHECK(count_crashes(started, request, now) == 4U);
    }
}

TEST_CASE("records that are told again and again expire when the first one does") {
    quarantine table{};
    record_crash(table, request, now + retention);
    auto time = now;
    for (std::uint64_t source = first; source < first + 5U; ++source) {
        quarantine started{};
        time += std::chrono::seconds{20};
        merge_report(started, list_crashes(table, source, time, max_reports).front(), source + 1U, time);
        table = std::move(started);
    }
    CHECK(count_crashes(table, request, now + retention - std::chrono::milliseconds{1}) == 1U);
    CHECK(count_crashes(table, request, now + retention) == 0U);
    CHECK(list_crashes(table, first, now + retention * 2, max_reports).front().m_remaining == duration::zero());
}

TEST_CASE("one crash of one server counts once, whoever tells of it and however often the request ran there") {
    quarantine table{};
    CHECK(record_server_crash(table, request, first, now + retention));
    CHECK_FALSE(record_server_crash(table, request, first, now + retention));
    CHECK(count_crashes(table, request, now) == 1U);
    CHECK(record_server_crash(table, request, second, now + retention));
    CHECK(count_crashes(table, request, now) == 2U);
    quarantine started{};
    CHECK(merge_report(started, list_crashes(table, 0U, now, max_reports).front(), 0U, now));
    CHECK_FALSE(record_server_crash(started, request, second, now + retention));
    CHECK(count_crashes(started, request, now) == 2U);
}

TEST_CASE("crashes are withdrawn if the request is answered, and one crash if its server lives") {
    constexpr std::uint64_t other = 8U;
    quarantine table{};
    for (const auto server : {first, second, restarted}) {
        record_server_crash(table, request, server, now + retention);
    }
    record_server_crash(table, other, first, now + retention);
    withdraw_server_crash(table, first);
    CHECK(count_crashes(table, request, now) == 2U);
    CHECK_FALSE(table.m_rows.contains(other));
    CHECK(remove_crashes(table, request));
    CHECK_FALSE(remove_crashes(table, request));
    CHECK(count_crashes(table, request, now) == 0U);
}

TEST_CASE("the records that expire last are told if there are too many") {
    quarantine table{};
    for (std::uint64_t digest = 1U; digest <= 5U; ++digest) {
        record_crash(table, digest, now + std::chrono::seconds{digest});
    }
    const auto reports = list_crashes(table, first, now, 2U);
    REQUIRE(reports.size() == 2U);
    CHECK(reports.front().m_digest == 5U);
    CHECK(reports.back().m_digest == 4U);
}

} // namespace rhubarbwharf::routing
