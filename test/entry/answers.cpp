#include <doctest/doctest.h>

#include "stage.hpp"

namespace rhubarbwharf::entry {

namespace {

constexpr std::string_view streamed = R"({"model":"chef","stream":true,"prompt":"a"})";
constexpr std::string_view whole = R"({"model":"chef","prompt":"a"})";

auto ask(stage& all, const std::string_view body) -> std::shared_ptr<caller> {
    return all.ask("POST", "/v1/completions", std::string{body});
}

/*! @brief The agent that got the n-th dispatch, counted from 1. */
auto receiver(stage& all, const std::size_t count) -> fake_agent& {
    REQUIRE(all.wait([&all, count] {
        std::size_t seen = 0;
        for (const auto& agent : all.m_agents) {
            seen += agent->dispatches().size();
        }
        return seen >= count;
    }));
    for (const auto& agent : all.m_agents) {
        for (const auto& dispatch : agent->dispatches()) {
            if (dispatch.attempt() == count) {
                return *agent;
            }
        }
    }
    return *all.m_agents.front();
}

} // namespace

TEST_CASE("a stream is passed on part by part and ends whole at its end mark only") {
    stage all{};
    auto& agent = all.agent("agent-1");
    const auto got = ask(all, streamed);
    receiver(all, 1);
    const auto dispatch = agent.dispatches().front();
    agent.head(dispatch, 1);
    agent.part(dispatch, 1, 0, "one ");
    agent.part(dispatch, 1, 1, "two");
    CHECK(all.wait([&got] { return got->m_body == "one two"; }));
    CHECK_FALSE(got->m_ended);
    agent.end(dispatch, 1, 2, code::ok);
    CHECK(all.wait([&got] { return got->m_ended; }));
    CHECK(got->m_whole);
    agent.end(dispatch, 1, 2, code::ok);
    CHECK(all.wait([&all] { return all.m_entry.m_counters.value("entry_late_answers_total") == 1.0; }));
}

TEST_CASE("a cut stream goes on at another backend server of the same version with the tokens it has passed on") {
    stage all{};
    all.agent("agent-1");
    all.agent("agent-2");
    const auto got = ask(all, streamed);
    auto& first = receiver(all, 1);
    const auto dispatch = first.dispatches().front();
    first.head(dispatch, 1);
    first.part(dispatch, 1, 0, "one ");
    first.end(dispatch, 1, 1, code::cut_stream);
    auto& second = receiver(all, 2);
    CHECK(&second != &first);
    const auto resumed = second.dispatches().front();
    CHECK(resumed.resume_tokens() == 1U);
    CHECK(resumed.manifest() == std::string(digest::size_bytes, 'v'));
    first.part(dispatch, 1, 1, "stale");
    second.head(resumed, 2);
    second.part(resumed, 2, 0, "two");
    second.end(resumed, 2, 1, code::ok);
    CHECK(all.wait([&got] { return got->m_ended; }));
    CHECK(got->m_whole);
    CHECK(got->m_body == "one two");
}

TEST_CASE("a gap between parts, or an end that counts other parts, is never shown as complete") {
    stage all{};
    auto& agent = all.agent("agent-1");
    all.m_entry.m_settings.m_routing.m_max_attempts = 1;
    const auto gap = ask(all, streamed);
    receiver(all, 1);
    const auto dispatch = agent.dispatches().front();
    agent.head(dispatch, 1);
    agent.part(dispatch, 1, 1, "two");
    CHECK(all.wait([&gap] { return gap->m_ended; }));
    CHECK_FALSE(gap->m_whole);
    const auto shorter = ask(all, streamed);
    REQUIRE(all.wait([&agent] { return agent.dispatches().size() == 2U; }));
    const auto next = agent.dispatches().back();
    agent.head(next, 1);
    agent.part(next, 1, 0, "one");
    agent.end(next, 1, 2, code::ok);
    CHECK(all.wait([&shorter] { return shorter->m_ended; }));
    CHECK_FALSE(shorter->m_whole);
    CHECK(agent.cancels() == 2U);
    CHECK(all.m_entry.m_counters.value("entry_part_gaps_total") == 2.0);
}

TEST_CASE("an answer from a backend server that was not asked, or for another attempt, goes to no caller") {
    stage all{};
    all.agent("agent-1");
    all.agent("agent-2");
    const auto got = ask(all, whole);
    auto& asked = receiver(all, 1);
    auto& other = asked.m_incarnation == 1U ? *all.m_agents[1] : *all.m_agents[0];
    const auto dispatch = asked.dispatches().front();
    other.head(dispatch, 1);
    other.part(dispatch, 1, 0, "foreign");
    other.end(dispatch, 1, 1, code::ok);
    asked.head(dispatch, 9);
    CHECK(all.wait([&all] { return all.m_entry.m_counters.value("entry_late_answers_total") == 4.0; }));
    CHECK_FALSE(got->m_ended);
    asked.head(dispatch, 1);
    asked.part(dispatch, 1, 0, "own");
    asked.end(dispatch, 1, 1, code::ok);
    CHECK(all.wait([&got] { return got->m_ended; }));
    CHECK(got->m_body == "own");
}

TEST_CASE("a request that crashes backend servers is held back after the second") {
    stage all{};
    all.agent("agent-1");
    all.agent("agent-2");
    all.agent("agent-3");
    const auto got = ask(all, whole);
    for (std::uint32_t attempt = 1; attempt <= routing::quarantine_crash_threshold; ++attempt) {
        auto& agent = receiver(all, attempt);
        agent.end(agent.dispatches().front(), attempt, 0, code::backend_server_failed, false, true);
    }
    CHECK(all.wait([&got] { return got->m_ended; }));
    CHECK(got->m_head.m_status == describe(code::quarantined).m_http_status);
    const auto again = ask(all, whole);
    CHECK(all.wait([&again] { return again->m_ended; }));
    CHECK(again->m_body.find("not_run") != std::string::npos);
    std::size_t sent = 0;
    for (const auto& agent : all.m_agents) {
        sent += agent->dispatches().size();
    }
    CHECK(sent == 2U);
}

TEST_CASE("a leaving backend server gets no new work") {
    stage all{};
    auto& leaving = all.agent("agent-1");
    auto& staying = all.agent("agent-2");
    wire::Envelope message{};
    message.mutable_leave()->set_grace_ms(0);
    leaving.say(message);
    leaving.report("chef", wire::PHASE_SERVING);
    REQUIRE(all.wait([&all] {
        return membership::find(all.m_entry.m_members, "agent-1")->m_status == membership::member_status::leaving;
    }));
    for (auto count = 0; count < 8; ++count) {
        ask(all, whole);
    }
    CHECK(all.wait([&staying] { return staying.dispatches().size() == 8U; }));
    CHECK(leaving.dispatches().empty());
}

} // namespace rhubarbwharf::entry
