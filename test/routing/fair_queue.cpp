#include <array>
#include <cstdint>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/routing/fair_queue.hpp>
#include <rhubarbwharf/routing/quarantine.hpp>

namespace rhubarbwharf::routing {

TEST_CASE("for any sequence of operations the queue keeps its limit and neither loses nor duplicates a request") {
    CHECK(rc::check([] {
        fair_queue queue{};
        std::set<request_id> waiting{};
        const auto max_size = *rc::gen::inRange<std::size_t>(1, 12);
        std::uint64_t next = 0;
        const auto steps = *rc::gen::inRange(0, 80);
        for (auto step = 0; step < steps; ++step) {
            if (*rc::gen::inRange(0, 3) > 0) {
                const queued_request entry{request_id{++next}, organisation_id{*rc::gen::inRange<std::uint32_t>(0, 4)},
                                           *rc::gen::inRange<std::uint8_t>(0, 3),
                                           time_point{std::chrono::microseconds{next}}};
                const auto result = push(queue, entry, max_size);
                if (result.m_code == code::ok) {
                    waiting.insert(entry.m_request);
                }
                if (result.m_displaced) {
                    RC_ASSERT(waiting.erase(result.m_displaced->m_request) == 1U);
                    RC_ASSERT(result.m_displaced->m_organisation != entry.m_organisation);
                }
            } else if (*rc::gen::arbitrary<bool>()) {
                const auto popped = pop(queue);
                RC_ASSERT(popped.has_value() == !waiting.empty());
                if (popped) {
                    RC_ASSERT(waiting.erase(popped->m_request) == 1U);
                }
            } else {
                for (const auto& expired : expire(queue, time_point{std::chrono::microseconds{next / 2U}})) {
                    RC_ASSERT(waiting.erase(expired.m_request) == 1U);
                }
            }
            RC_ASSERT(queue.m_size == waiting.size());
            RC_ASSERT(queue.m_size <= max_size);
        }
    }));
}

TEST_CASE("organisations with waiting requests are served in proportion to their weights") {
    fair_queue queue{};
    const std::array weights{1.0, 2.0, 5.0};
    for (std::uint32_t index = 0; index < weights.size(); ++index) {
        set_weight(queue, organisation_id{index}, weights[index]);
    }
    std::uint64_t next = 0;
    std::array<int, 3> served{};
    for (auto round = 0; round < 800; ++round) {
        for (std::uint32_t index = 0; index < weights.size(); ++index) {
            const auto result = push(queue, {request_id{++next}, organisation_id{index}, 0, {}}, 30);
            CHECK(
                (result.m_code == code::ok || result.m_code == code::over_share || result.m_code == code::overloaded));
        }
        ++served[pop(queue)->m_organisation.value()];
    }
    CHECK(served[0] == doctest::Approx(100).epsilon(0.05));
    CHECK(served[1] == doctest::Approx(200).epsilon(0.05));
    CHECK(served[2] == doctest::Approx(500).epsilon(0.05));
}

TEST_CASE("an organisation that floods the queue is refused and gives way to a request of another one") {
    fair_queue queue{};
    for (std::uint64_t index = 0; index < 100; ++index) {
        const auto result = push(queue, {request_id{index}, organisation_id{0}, 0, {}}, 10);
        CHECK(result.m_code == (index < 10                          ? code::ok
                                : queue.m_organisations.size() > 1U ? code::over_share
                                                                    : code::overloaded));
    }
    const auto small = push(queue, {request_id{1000}, organisation_id{1}, 0, {}}, 10);
    CHECK(small.m_code == code::ok);
    CHECK(small.m_displaced->m_organisation == organisation_id{0});
}

TEST_CASE("requests of one organisation are sent by priority, then in order of arrival") {
    fair_queue queue{};
    CHECK(push(queue, {request_id{1}, organisation_id{0}, 0, {}}, 10).m_code == code::ok);
    CHECK(push(queue, {request_id{2}, organisation_id{0}, 5, {}}, 10).m_code == code::ok);
    CHECK(push(queue, {request_id{3}, organisation_id{0}, 5, {}}, 10).m_code == code::ok);
    CHECK(pop(queue)->m_request == request_id{2});
    CHECK(pop(queue)->m_request == request_id{3});
    CHECK(pop(queue)->m_request == request_id{1});
    CHECK_FALSE(pop(queue));
}

TEST_CASE("a request is quarantined after its second crash until the record expires") {
    quarantine table{};
    const auto until = time_point{std::chrono::seconds{10}};
    CHECK(record_crash(table, 7, until) == 1U);
    CHECK_FALSE(is_quarantined(table, 7, time_point{}));
    clear_crashes(table, 7);
    CHECK(count_crashes(table, 7, time_point{}) == 0U);
    record_crash(table, 7, until);
    CHECK(record_crash(table, 7, until) == 2U);
    clear_crashes(table, 7);
    CHECK(is_quarantined(table, 7, time_point{}));
    CHECK(merge_remote_crashes(table, 7, 100, 1, until));
    CHECK_FALSE(merge_remote_crashes(table, 7, 100, 1, until));
    CHECK(is_quarantined(table, 7, time_point{}));
    CHECK_FALSE(is_quarantined(table, 7, until));
    evict_expired(table, until);
    CHECK(table.m_rows.empty());
    CHECK(merge_remote_crashes(table, 8, 100, 2, until));
    CHECK(is_quarantined(table, 8, time_point{}));
}

TEST_CASE("crashes observed by two processes add up, and repeated reports are counted once") {
    quarantine table{};
    const auto until = time_point{std::chrono::seconds{10}};
    record_crash(table, 7, until);
    CHECK_FALSE(is_quarantined(table, 7, time_point{}));
    CHECK(merge_remote_crashes(table, 7, 100, 1, until));
    CHECK(is_quarantined(table, 7, time_point{}));
    CHECK_FALSE(merge_remote_crashes(table, 7, 100, 1, until));
    CHECK(count_crashes(table, 7, time_point{}) == 2U);
    clear_crashes(table, 7);
    CHECK(is_quarantined(table, 7, time_point{}));
}

} // namespace rhubarbwharf::routing
