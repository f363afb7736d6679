#include <algorithm>

#include <doctest/doctest.h>

#include "stage.hpp"

namespace rhubarbwharf::entry {

namespace {

constexpr std::string_view streaming_body = R"({"model":"chef","stream":true,"prompt":"a"})";
constexpr std::string_view buffered_body = R"({"model":"chef","prompt":"a"})";

auto post_completion(entry_fixture& fixture, const std::string_view body) -> std::shared_ptr<received_response> {
    return fixture.send_request("POST", "/v1/completions", std::string{body});
}

/*! @brief Waits until `number` dispatches have been received and returns the agent with attempt `number`, counted from
 * 1. */
auto dispatch_receiver(entry_fixture& fixture, const std::size_t number) -> fake_agent& {
    REQUIRE(fixture.run_until([&fixture, number] {
        std::size_t dispatch_count = 0;
        for (const auto& agent : fixture.m_agents) {
            dispatch_count += agent->dispatches().size();
        }
        return dispatch_count >= number;
    }));
    for (const auto& agent : fixture.m_agents) {
        for (const auto& dispatch : agent->dispatches()) {
            if (dispatch.attempt() == number) {
                return *agent;
            }
        }
    }
    return *fixture.m_agents.front();
}

} // namespace

TEST_CASE("stream parts are forwarded as they arrive, and the stream is complete only after its end message") {
    entry_fixture fixture{};
    auto& agent = fixture.add_agent("agent-1");
    const auto response = post_completion(fixture, streaming_body);
    dispatch_receiver(fixture, 1);
    const auto dispatch = agent.dispatches().front();
    agent.send_head(dispatch, 1);
    agent.send_part(dispatch, 1, 0, "one ");
    agent.send_part(dispatch, 1, 1, "two");
    CHECK(fixture.run_until([&response] { return response->m_body == "one two"; }));
    CHECK_FALSE(response->m_ended);
    agent.send_end(dispatch, 1, 2, code::ok);
    CHECK(fixture.run_until([&response] { return response->m_ended; }));
    CHECK(response->m_complete);
    agent.send_end(dispatch, 1, 2, code::ok);
    CHECK(
        fixture.run_until([&fixture] { return fixture.m_entry.m_counters.value("entry_late_answers_total") == 1.0; }));
}

TEST_CASE("a cut stream is resumed on another backend server of the same version after the tokens already forwarded") {
    entry_fixture fixture{};
    fixture.add_agent("agent-1");
    fixture.add_agent("agent-2");
    const auto response = post_completion(fixture, streaming_body);
    auto& first = dispatch_receiver(fixture, 1);
    const auto dispatch = first.dispatches().front();
    first.send_head(dispatch, 1);
    first.send_part(dispatch, 1, 0, "one ");
    first.send_end(dispatch, 1, 1, code::cut_stream);
    auto& second = dispatch_receiver(fixture, 2);
    CHECK(&second != &first);
    const auto resumed = second.dispatches().front();
    CHECK(resumed.resume_tokens() == 1U);
    CHECK(resumed.manifest() == std::string(digest::size_bytes, 'v'));
    first.send_part(dispatch, 1, 1, "stale");
    second.send_head(resumed, 2);
    second.send_part(resumed, 2, 0, "two");
    second.send_end(resumed, 2, 1, code::ok);
    CHECK(fixture.run_until([&response] { return response->m_ended; }));
    CHECK(response->m_complete);
    CHECK(response->m_body == "one two");
}

TEST_CASE("a response with a gap between its parts or a wrong part count is not reported as complete") {
    entry_fixture fixture{};
    auto& agent = fixture.add_agent("agent-1");
    fixture.m_entry.m_settings.m_routing.m_max_attempts = 1;
    const auto gapped_response = post_completion(fixture, streaming_body);
    dispatch_receiver(fixture, 1);
    const auto dispatch = agent.dispatches().front();
    agent.send_head(dispatch, 1);
    agent.send_part(dispatch, 1, 1, "two");
    CHECK(fixture.run_until([&gapped_response] { return gapped_response->m_ended; }));
    CHECK_FALSE(gapped_response->m_complete);
    const auto truncated_response = post_completion(fixture, streaming_body);
    REQUIRE(fixture.run_until([&agent] { return agent.dispatches().size() == 2U; }));
    const auto next_dispatch = agent.dispatches().back();
    agent.send_head(next_dispatch, 1);
    agent.send_part(next_dispatch, 1, 0, "one");
    agent.send_end(next_dispatch, 1, 2, code::ok);
    CHECK(fixture.run_until([&truncated_response] { return truncated_response->m_ended; }));
    CHECK_FALSE(truncated_response->m_complete);
    CHECK(agent.cancel_count() == 2U);
    CHECK(fixture.m_entry.m_counters.value("entry_part_gaps_total") == 2.0);
}

TEST_CASE("an answer from another backend server or for another attempt is not forwarded to the caller") {
    entry_fixture fixture{};
    fixture.add_agent("agent-1");
    fixture.add_agent("agent-2");
    const auto response = post_completion(fixture, buffered_body);
    auto& assigned = dispatch_receiver(fixture, 1);
    auto& other = assigned.m_incarnation == 1U ? *fixture.m_agents[1] : *fixture.m_agents[0];
    const auto dispatch = assigned.dispatches().front();
    other.send_head(dispatch, 1);
    other.send_part(dispatch, 1, 0, "foreign");
    other.send_end(dispatch, 1, 1, code::ok);
    assigned.send_head(dispatch, 9);
    CHECK(
        fixture.run_until([&fixture] { return fixture.m_entry.m_counters.value("entry_late_answers_total") == 4.0; }));
    CHECK_FALSE(response->m_ended);
    assigned.send_head(dispatch, 1);
    assigned.send_part(dispatch, 1, 0, "own");
    assigned.send_end(dispatch, 1, 1, code::ok);
    CHECK(fixture.run_until([&response] { return response->m_ended; }));
    CHECK(response->m_body == "own");
}

TEST_CASE("a request is quarantined after it has crashed two backend servers") {
    entry_fixture fixture{};
    fixture.add_agent("agent-1");
    fixture.add_agent("agent-2");
    fixture.add_agent("agent-3");
    const auto response = post_completion(fixture, buffered_body);
    for (std::uint32_t attempt = 1; attempt <= routing::quarantine_crash_threshold; ++attempt) {
        auto& agent = dispatch_receiver(fixture, attempt);
        agent.send_end(agent.dispatches().front(), attempt, 0, code::backend_server_failed, false, true);
    }
    CHECK(fixture.run_until([&response] { return response->m_ended; }));
    CHECK(response->m_head.m_status == describe(code::quarantined).m_http_status);
    const auto second_response = post_completion(fixture, buffered_body);
    CHECK(fixture.run_until([&second_response] { return second_response->m_ended; }));
    CHECK(second_response->m_body.find("not_run") != std::string::npos);
    std::size_t sent = 0;
    for (const auto& agent : fixture.m_agents) {
        sent += agent->dispatches().size();
    }
    CHECK(sent == 2U);
}

TEST_CASE(
    "a request that crashed a backend server ends once the other entries know of it, or soon if they are silent") {
    for (const auto acknowledges : {true, false}) {
        CAPTURE(acknowledges);
        entry_fixture fixture{};
        fixture.add_agent("agent-1");
        auto& other = fixture.add_agent("entry-2", "other");
        fixture.m_entry.m_peers["entry-2"].m_last_received = steady_now();
        const auto response = post_completion(fixture, buffered_body);
        auto& agent = dispatch_receiver(fixture, 1);
        agent.send_end(agent.dispatches().back(), 1, 0, code::backend_server_failed, false, true);
        const auto notice = [&other]() -> const wire::Envelope* {
            const auto found = std::ranges::find_if(other.m_received, &wire::Envelope::has_quarantine);
            return found == other.m_received.end() ? nullptr : &*found;
        };
        REQUIRE(fixture.run_until([&] { return notice() != nullptr; }));
        const auto noticed = steady_now();
        CHECK_FALSE(response->m_ended);
        CHECK(fixture.m_entry.m_requests.begin()->second->m_progress.m_attempts == 1U);
        if (acknowledges) {
            wire::Envelope message{};
            message.mutable_quarantine_ack()->set_number(notice()->quarantine().number());
            other.send(message);
        }
        CHECK(fixture.run_until([&] { return fixture.m_entry.m_crash_notices.empty(); }));
        CHECK(steady_now() - noticed < std::chrono::seconds{1});
        CHECK((fixture.m_entry.m_counters.value("entry_crash_notices_unacknowledged_total") == 0.0) == acknowledges);
    }
}

TEST_CASE("a leaving backend server gets no new requests") {
    entry_fixture fixture{};
    auto& leaving = fixture.add_agent("agent-1");
    auto& staying = fixture.add_agent("agent-2");
    wire::Envelope message{};
    message.mutable_leave()->set_grace_ms(0);
    leaving.send(message);
    leaving.send_report("chef", wire::PHASE_SERVING);
    REQUIRE(fixture.run_until([&fixture] {
        return membership::find(fixture.m_entry.m_members, "agent-1")->m_status == membership::member_status::leaving;
    }));
    for (auto count = 0; count < 8; ++count) {
        post_completion(fixture, buffered_body);
    }
    CHECK(fixture.run_until([&staying] { return staying.dispatches().size() == 8U; }));
    CHECK(leaving.dispatches().empty());
}

} // namespace rhubarbwharf::entry
