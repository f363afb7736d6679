#include <doctest/doctest.h>

#include "stage.hpp"

namespace rhubarbwharf::entry {

namespace {

[[nodiscard]] auto post_payment(entry_fixture& fixture) -> std::shared_ptr<received_response> {
    return fixture.send_request("POST", "/v1/services/ledger/payments", "{}",
                                {{"Idempotency-Key", "a"}, {"Idempotency-Key-Time", "1700000000000"}});
}

auto claim_shard(fake_agent& agent, const std::uint64_t fencing) -> void {
    wire::OwnedShard shard{};
    shard.set_fencing(fencing);
    agent.m_shards = {shard};
    agent.send_report("ledger", wire::PHASE_SERVING, true);
}

[[nodiscard]] auto shard_owner(const entry_fixture& fixture) -> std::string {
    const auto* const row = membership::find_shard_owner(fixture.m_entry.m_members, "ledger", shard_id{}, steady_now(),
                                                         fixture.m_entry.m_member_limits);
    return row == nullptr ? std::string{} : row->m_report.m_instance;
}

} // namespace

TEST_CASE("a non-idempotent call is sent to its shard owner once, and its outcome is unknown if the answer is lost") {
    entry_fixture fixture{};
    auto& previous_owner = fixture.add_agent("agent-1", "ledger", true);
    auto& current_owner = fixture.add_agent("agent-2", "ledger", true);
    claim_shard(previous_owner, 1);
    claim_shard(current_owner, 2);
    REQUIRE(fixture.run_until([&fixture] { return shard_owner(fixture) == "agent-2"; }));
    const auto response = post_payment(fixture);
    REQUIRE(fixture.run_until([&current_owner] { return current_owner.dispatches().size() == 1U; }));
    CHECK(current_owner.dispatches().front().non_idempotent());
    current_owner.send_end(current_owner.dispatches().front(), 1, 0, code::connection_failed);
    REQUIRE(fixture.run_until([&response] { return response->m_ended; }));
    CHECK(response->m_body.find("outcome_unknown") != std::string::npos);
    CHECK(response->m_body.find(R"("outcome":"unknown")") != std::string::npos);
    fixture.run_one_tick();
    CHECK(previous_owner.dispatches().empty());
    CHECK(current_owner.dispatches().size() == 1U);
}

TEST_CASE("a non-idempotent call that certainly did not run is retried on the new owner") {
    entry_fixture fixture{};
    auto& first = fixture.add_agent("agent-1", "ledger", true);
    auto& second = fixture.add_agent("agent-2", "ledger", true);
    claim_shard(first, 1);
    REQUIRE(fixture.run_until([&fixture] { return shard_owner(fixture) == "agent-1"; }));
    const auto response = post_payment(fixture);
    REQUIRE(fixture.run_until([&first] { return first.dispatches().size() == 1U; }));
    claim_shard(second, 2);
    REQUIRE(fixture.run_until([&fixture] { return shard_owner(fixture) == "agent-2"; }));
    first.send_end(first.dispatches().front(), 1, 0, code::not_owner, true);
    REQUIRE(fixture.run_until([&second] { return second.dispatches().size() == 1U; }));
    const auto dispatch = second.dispatches().front();
    second.send_head(dispatch, 2);
    second.send_part(dispatch, 2, 0, "paid");
    second.send_end(dispatch, 2, 1, code::ok);
    REQUIRE(fixture.run_until([&response] { return response->m_ended; }));
    CHECK(response->m_body == "paid");
}

TEST_CASE("a non-idempotent call without a shard owner, key or canonical path is refused as not run") {
    entry_fixture fixture{};
    auto& agent = fixture.add_agent("agent-1", "ledger", true);
    const auto response = post_payment(fixture);
    REQUIRE(fixture.run_until([&response] { return response->m_ended; }));
    CHECK(response->m_body.find("journal_unavailable") != std::string::npos);
    CHECK(response->m_body.find(R"("outcome":"not_run")") != std::string::npos);
    CHECK_FALSE(net::find(response->m_head.m_headers, "Retry-After").empty());
    const auto without_key = fixture.send_request("POST", "/v1/services/ledger/payments", "{}");
    REQUIRE(fixture.run_until([&without_key] { return without_key->m_ended; }));
    CHECK(without_key->m_body.find("key_missing") != std::string::npos);
    const auto percent_encoded = fixture.send_request("POST", "/v1/services/ledger/%70ayments", "{}");
    REQUIRE(fixture.run_until([&percent_encoded] { return percent_encoded->m_ended; }));
    CHECK(percent_encoded->m_body.find("bad_request") != std::string::npos);
    CHECK(agent.dispatches().empty());
}

TEST_CASE("a call that reaches its deadline is answered before its backend server responds, and is cancelled") {
    entry_fixture fixture{};
    auto& agent = fixture.add_agent("agent-1", "ledger", true);
    claim_shard(agent, 1);
    REQUIRE(fixture.run_until([&fixture] { return shard_owner(fixture) == "agent-1"; }));
    const auto response = fixture.send_request(
        "POST", "/v1/services/ledger/payments", "{}",
        {{"Idempotency-Key", "a"}, {"Idempotency-Key-Time", "1700000000000"}, {"X-Deadline-Ms", "50"}});
    REQUIRE(fixture.run_until([&response] { return response->m_ended; }));
    CHECK(response->m_body.find("outcome_unknown") != std::string::npos);
    CHECK(fixture.run_until([&agent] { return agent.cancel_count() == 1U; }));
    const auto dispatch = agent.dispatches().front();
    agent.send_end(dispatch, 1, 0, code::cancelled, true);
    CHECK(
        fixture.run_until([&fixture] { return fixture.m_entry.m_counters.value("entry_late_answers_total") == 1.0; }));
}

} // namespace rhubarbwharf::entry
