#include <doctest/doctest.h>

#include "stage.hpp"

namespace rhubarbwharf::entry {

namespace {

[[nodiscard]] auto pay(stage& all) -> std::shared_ptr<caller> {
    return all.ask("POST", "/v1/services/ledger/payments", "{}",
                   {{"Idempotency-Key", "a"}, {"Idempotency-Key-Time", "1700000000000"}});
}

auto own(fake_agent& agent, const std::uint64_t fencing) -> void {
    wire::OwnedShard shard{};
    shard.set_fencing(fencing);
    agent.m_shards = {shard};
    agent.report("ledger", wire::PHASE_SERVING, true);
}

[[nodiscard]] auto owner(const stage& all) -> std::string {
    const auto* const row =
        membership::find_shard_owner(all.m_entry.m_members, "ledger", shard_id{}, steady_now(), all.m_entry.m_bounds);
    return row == nullptr ? std::string{} : row->m_report.m_instance;
}

} // namespace

TEST_CASE("a non-idempotent call goes to the owner of its shard once, and its lost answer is unknown") {
    stage all{};
    auto& old = all.agent("agent-1", "ledger", true);
    auto& owning = all.agent("agent-2", "ledger", true);
    own(old, 1);
    own(owning, 2);
    REQUIRE(all.wait([&all] { return owner(all) == "agent-2"; }));
    const auto got = pay(all);
    REQUIRE(all.wait([&owning] { return owning.dispatches().size() == 1U; }));
    CHECK(owning.dispatches().front().non_idempotent());
    owning.end(owning.dispatches().front(), 1, 0, code::connection_failed);
    REQUIRE(all.wait([&got] { return got->m_ended; }));
    CHECK(got->m_body.find("outcome_unknown") != std::string::npos);
    CHECK(got->m_body.find(R"("outcome":"unknown")") != std::string::npos);
    all.settle();
    CHECK(old.dispatches().empty());
    CHECK(owning.dispatches().size() == 1U);
}

TEST_CASE("a non-idempotent call that surely did not run goes to the next owner") {
    stage all{};
    auto& first = all.agent("agent-1", "ledger", true);
    auto& second = all.agent("agent-2", "ledger", true);
    own(first, 1);
    REQUIRE(all.wait([&all] { return owner(all) == "agent-1"; }));
    const auto got = pay(all);
    REQUIRE(all.wait([&first] { return first.dispatches().size() == 1U; }));
    own(second, 2);
    REQUIRE(all.wait([&all] { return owner(all) == "agent-2"; }));
    first.end(first.dispatches().front(), 1, 0, code::not_owner, true);
    REQUIRE(all.wait([&second] { return second.dispatches().size() == 1U; }));
    const auto dispatch = second.dispatches().front();
    second.head(dispatch, 2);
    second.part(dispatch, 2, 0, "paid");
    second.end(dispatch, 2, 1, code::ok);
    REQUIRE(all.wait([&got] { return got->m_ended; }));
    CHECK(got->m_body == "paid");
}

TEST_CASE("without an owner, or without a key, a non-idempotent call is refused as not run") {
    stage all{};
    auto& agent = all.agent("agent-1", "ledger", true);
    const auto got = pay(all);
    REQUIRE(all.wait([&got] { return got->m_ended; }));
    CHECK(got->m_body.find("journal_unavailable") != std::string::npos);
    CHECK(got->m_body.find(R"("outcome":"not_run")") != std::string::npos);
    CHECK_FALSE(net::find(got->m_head.m_headers, "Retry-After").empty());
    const auto keyless = all.ask("POST", "/v1/services/ledger/payments", "{}");
    REQUIRE(all.wait([&keyless] { return keyless->m_ended; }));
    CHECK(keyless->m_body.find("key_missing") != std::string::npos);
    const auto disguised = all.ask("POST", "/v1/services/ledger/%70ayments", "{}");
    REQUIRE(all.wait([&disguised] { return disguised->m_ended; }));
    CHECK(disguised->m_body.find("bad_request") != std::string::npos);
    CHECK(agent.dispatches().empty());
}

TEST_CASE("a call given up on at its deadline is answered at once and cancelled") {
    stage all{};
    auto& agent = all.agent("agent-1", "ledger", true);
    own(agent, 1);
    REQUIRE(all.wait([&all] { return owner(all) == "agent-1"; }));
    const auto got =
        all.ask("POST", "/v1/services/ledger/payments", "{}",
                {{"Idempotency-Key", "a"}, {"Idempotency-Key-Time", "1700000000000"}, {"X-Deadline-Ms", "50"}});
    REQUIRE(all.wait([&got] { return got->m_ended; }));
    CHECK(got->m_body.find("outcome_unknown") != std::string::npos);
    CHECK(all.wait([&agent] { return agent.cancels() == 1U; }));
    const auto dispatch = agent.dispatches().front();
    agent.end(dispatch, 1, 0, code::cancelled, true);
    CHECK(all.wait([&all] { return all.m_entry.m_counters.value("entry_late_answers_total") == 1.0; }));
}

} // namespace rhubarbwharf::entry
