#include <doctest/doctest.h>

#include <agent/admission.hpp>

namespace rhubarbwharf::agent {

namespace {

constexpr time_point start{std::chrono::hours{1}};

[[nodiscard]] auto attempt(const std::uint64_t number, const std::uint32_t priority = 0,
                           const duration left = std::chrono::seconds{10}) -> waiting_attempt {
    return {{1, request_id{number}, 1}, priority, start + left};
}

[[nodiscard]] auto make_admission(const std::size_t capacity, const std::size_t queue) -> admission {
    admission table{};
    table.m_capacity = capacity;
    table.m_queue_limit = queue;
    return table;
}

} // namespace

TEST_CASE("room, then the queue, then refusal at once; a late copy of the refused one is refused too") {
    auto table = make_admission(1, 1);
    CHECK(try_admit(table, attempt(1), code::ok, start).m_kind == admission_result::kind::run);
    CHECK(try_admit(table, attempt(2), code::ok, start).m_kind == admission_result::kind::wait);
    const auto refused = try_admit(table, attempt(3), code::ok, start);
    CHECK(refused.m_code == code::overloaded);
    CHECK(refused.m_not_run);
    CHECK(refused.m_retry_after > duration::zero());
    release_slot(table, false);
    const auto again = try_admit(table, attempt(3), code::ok, start);
    CHECK(again.m_code == code::refused_late);
    CHECK(again.m_not_run);
    CHECK(try_admit(table, attempt(1), code::ok, start).m_kind == admission_result::kind::drop);
}

TEST_CASE("the most urgent waiting attempt goes first") {
    auto table = make_admission(1, 8);
    CHECK(try_admit(table, attempt(1), code::ok, start).m_kind == admission_result::kind::run);
    static_cast<void>(try_admit(table, attempt(2, 1, std::chrono::seconds{9}), code::ok, start));
    static_cast<void>(try_admit(table, attempt(3, 5, std::chrono::seconds{9}), code::ok, start));
    static_cast<void>(try_admit(table, attempt(4, 5, std::chrono::seconds{2}), code::ok, start));
    CHECK_FALSE(start_next(table, start));
    release_slot(table, false);
    CHECK(start_next(table, start)->m_request == request_id{4});
    release_slot(table, false);
    CHECK(start_next(table, start)->m_request == request_id{3});
}

TEST_CASE("a suspect runs beside no other one, and holds up nothing else") {
    auto table = make_admission(4, 8);
    auto first = attempt(1);
    auto second = attempt(2, 9);
    first.m_suspect = true;
    second.m_suspect = true;
    CHECK(try_admit(table, first, code::ok, start).m_kind == admission_result::kind::run);
    CHECK(try_admit(table, second, code::ok, start).m_kind == admission_result::kind::wait);
    CHECK(try_admit(table, attempt(3), code::ok, start).m_kind == admission_result::kind::run);
    CHECK_FALSE(start_next(table, start));
    release_slot(table, false);
    CHECK_FALSE(start_next(table, start));
    release_slot(table, true);
    CHECK(start_next(table, start)->m_request == request_id{2});
    CHECK(table.m_suspects_running == 1U);
}

TEST_CASE("what can't be remembered is not called not run") {
    auto table = make_admission(1, 1);
    table.m_decision_limit = 1;
    CHECK(try_admit(table, attempt(1), code::draining, start).m_not_run);
    CHECK_FALSE(try_admit(table, attempt(2), code::draining, start).m_not_run);
    static_cast<void>(expire(table, start + max_deadline));
    CHECK(try_admit(table, attempt(2), code::draining, start).m_not_run);
}

TEST_CASE("an attempt whose deadline passes in the queue leaves it") {
    auto table = make_admission(1, 4);
    static_cast<void>(try_admit(table, attempt(1), code::ok, start));
    static_cast<void>(try_admit(table, attempt(2, 0, std::chrono::seconds{1}), code::ok, start));
    CHECK(expire(table, start).empty());
    CHECK(expire(table, start + std::chrono::seconds{1}).size() == 1);
    CHECK(table.m_waiting.empty());
}

} // namespace rhubarbwharf::agent
