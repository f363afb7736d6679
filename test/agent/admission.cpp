#include <doctest/doctest.h>

#include <agent/admission.hpp>

namespace rhubarbwharf::agent {

namespace {

constexpr time_point start{std::chrono::hours{1}};

[[nodiscard]] auto attempt(const std::uint64_t number, const std::uint32_t priority = 0,
                           const duration time_left = std::chrono::seconds{10}) -> waiting_attempt {
    return {{1, request_id{number}, 1}, priority, start + time_left};
}

[[nodiscard]] auto make_admission(const std::size_t capacity, const std::size_t queue) -> admission {
    admission state{};
    state.m_capacity = capacity;
    state.m_queue_limit = queue;
    return state;
}

} // namespace

TEST_CASE(
    "an attempt runs, waits or is refused depending on the capacity; a late copy of a refused attempt is refused too") {
    auto state = make_admission(1, 1);
    CHECK(try_admit(state, attempt(1), code::ok, start).m_kind == admission_result::kind::run);
    CHECK(try_admit(state, attempt(2), code::ok, start).m_kind == admission_result::kind::wait);
    const auto refused = try_admit(state, attempt(3), code::ok, start);
    CHECK(refused.m_code == code::overloaded);
    CHECK(refused.m_not_run);
    CHECK(refused.m_retry_after > duration::zero());
    release_slot(state, false);
    const auto again = try_admit(state, attempt(3), code::ok, start);
    CHECK(again.m_code == code::refused_late);
    CHECK(again.m_not_run);
    CHECK(try_admit(state, attempt(1), code::ok, start).m_kind == admission_result::kind::drop);
}

TEST_CASE("the waiting attempt with the highest priority, then the earliest deadline, starts first") {
    auto state = make_admission(1, 8);
    CHECK(try_admit(state, attempt(1), code::ok, start).m_kind == admission_result::kind::run);
    static_cast<void>(try_admit(state, attempt(2, 1, std::chrono::seconds{9}), code::ok, start));
    static_cast<void>(try_admit(state, attempt(3, 5, std::chrono::seconds{9}), code::ok, start));
    static_cast<void>(try_admit(state, attempt(4, 5, std::chrono::seconds{2}), code::ok, start));
    CHECK_FALSE(start_next(state, start));
    release_slot(state, false);
    CHECK(start_next(state, start)->m_request == request_id{4});
    release_slot(state, false);
    CHECK(start_next(state, start)->m_request == request_id{3});
}

TEST_CASE("two suspects never run at the same time, and a waiting suspect does not block other attempts") {
    auto state = make_admission(4, 8);
    auto first = attempt(1);
    auto second = attempt(2, 9);
    first.m_suspect = true;
    second.m_suspect = true;
    CHECK(try_admit(state, first, code::ok, start).m_kind == admission_result::kind::run);
    CHECK(try_admit(state, second, code::ok, start).m_kind == admission_result::kind::wait);
    CHECK(try_admit(state, attempt(3), code::ok, start).m_kind == admission_result::kind::run);
    CHECK_FALSE(start_next(state, start));
    release_slot(state, false);
    CHECK_FALSE(start_next(state, start));
    release_slot(state, true);
    CHECK(start_next(state, start)->m_request == request_id{2});
    CHECK(state.m_suspects_running == 1U);
}

TEST_CASE("a refusal that can't be recorded is not reported as not run") {
    auto state = make_admission(1, 1);
    state.m_decision_limit = 1;
    CHECK(try_admit(state, attempt(1), code::draining, start).m_not_run);
    CHECK_FALSE(try_admit(state, attempt(2), code::draining, start).m_not_run);
    static_cast<void>(expire(state, start + max_deadline));
    CHECK(try_admit(state, attempt(2), code::draining, start).m_not_run);
}

TEST_CASE("a waiting attempt is removed from the queue when its deadline passes") {
    auto state = make_admission(1, 4);
    static_cast<void>(try_admit(state, attempt(1), code::ok, start));
    static_cast<void>(try_admit(state, attempt(2, 0, std::chrono::seconds{1}), code::ok, start));
    CHECK(expire(state, start).empty());
    CHECK(expire(state, start + std::chrono::seconds{1}).size() == 1);
    CHECK(state.m_waiting.empty());
}

} // namespace rhubarbwharf::agent
