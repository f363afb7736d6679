#include <doctest/doctest.h>

#include <agent/admission.hpp>

namespace rhubarbwharf::agent {

namespace {

constexpr time_point start{std::chrono::hours{1}};

[[nodiscard]] auto attempt(const std::uint64_t number, const std::uint32_t priority = 0,
                           const duration left = std::chrono::seconds{10}) -> waiting_attempt {
    return {{1, request_id{number}, 1}, priority, start + left};
}

[[nodiscard]] auto table_of(const std::size_t capacity, const std::size_t queue) -> admission {
    admission table{};
    table.m_capacity = capacity;
    table.m_queue_limit = queue;
    return table;
}

} // namespace

TEST_CASE("room, then the queue, then refusal at once; a late copy of the refused one is refused too") {
    auto table = table_of(1, 1);
    CHECK(offer(table, attempt(1), code::ok, start).m_kind == admission_verdict::kind::run);
    CHECK(offer(table, attempt(2), code::ok, start).m_kind == admission_verdict::kind::wait);
    const auto refused = offer(table, attempt(3), code::ok, start);
    CHECK(refused.m_code == code::overloaded);
    CHECK(refused.m_not_run);
    CHECK(refused.m_retry_after > duration::zero());
    leave(table, false);
    const auto again = offer(table, attempt(3), code::ok, start);
    CHECK(again.m_code == code::refused_late);
    CHECK(again.m_not_run);
    CHECK(offer(table, attempt(1), code::ok, start).m_kind == admission_verdict::kind::drop);
}

TEST_CASE("the most urgent waiting attempt goes first") {
    auto table = table_of(1, 8);
    CHECK(offer(table, attempt(1), code::ok, start).m_kind == admission_verdict::kind::run);
    static_cast<void>(offer(table, attempt(2, 1, std::chrono::seconds{9}), code::ok, start));
    static_cast<void>(offer(table, attempt(3, 5, std::chrono::seconds{9}), code::ok, start));
    static_cast<void>(offer(table, attempt(4, 5, std::chrono::seconds{2}), code::ok, start));
    CHECK_FALSE(next(table, start));
    leave(table, false);
    CHECK(next(table, start)->m_request == request_id{4});
    leave(table, false);
    CHECK(next(table, start)->m_request == request_id{3});
}

TEST_CASE("a suspect runs beside no other one, and holds up nothing else") {
    auto table = table_of(4, 8);
    auto first = attempt(1);
    auto second = attempt(2, 9);
    first.m_suspect = true;
    second.m_suspect = true;
    CHECK(offer(table, first, code::ok, start).m_kind == admission_verdict::kind::run);
    CHECK(offer(table, second, code::ok, start).m_kind == admission_verdict::kind::wait);
    CHECK(offer(table, attempt(3), code::ok, start).m_kind == admission_verdict::kind::run);
    CHECK_FALSE(next(table, start));
    leave(table, false);
    CHECK_FALSE(next(table, start));
    leave(table, true);
    CHECK(next(table, start)->m_request == request_id{2});
    CHECK(table.m_suspects_running == 1U);
}

TEST_CASE("what can't be remembered is not called not run") {
    auto table = table_of(1, 1);
    table.m_memory_limit = 1;
    CHECK(offer(table, attempt(1), code::draining, start).m_not_run);
    CHECK_FALSE(offer(table, attempt(2), code::draining, start).m_not_run);
    static_cast<void>(expire(table, start + deadline_max));
    CHECK(offer(table, attempt(2), code::draining, start).m_not_run);
}

TEST_CASE("an attempt whose deadline passes in the queue leaves it") {
    auto table = table_of(1, 4);
    static_cast<void>(offer(table, attempt(1), code::ok, start));
    static_cast<void>(offer(table, attempt(2, 0, std::chrono::seconds{1}), code::ok, start));
    CHECK(expire(table, start).empty());
    CHECK(expire(table, start + std::chrono::seconds{1}).size() == 1);
    CHECK(table.m_waiting.empty());
}

} // namespace rhubarbwharf::agent
