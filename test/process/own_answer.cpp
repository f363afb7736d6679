#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

[[nodiscard]] auto serving_cluster() -> std::unique_ptr<test_cluster> {
    cluster_options set{};
    set.m_ledger_count = 0;
    auto where = std::make_unique<test_cluster>(set);
    REQUIRE(where->submit_ticket(0, where->versions()[0].m_manifest, "first").m_response.m_status == 200);
    REQUIRE(where->wait_until_serving(where->versions()[0]));
    return where;
}

} // namespace

TEST_SUITE("own_answer") {
    TEST_CASE("many callers at once each get their own whole answer") {
        const auto where = serving_cluster();
        std::vector<std::future<call_result>> sent{};
        for (std::size_t index = 0; index < 40; ++index) {
            sent.push_back(where->generate(index % 2U, "question " + std::to_string(index), 30));
        }
        for (std::size_t index = 0; index < sent.size(); ++index) {
            const auto got = sent[index].get();
            const auto made = check_completion(got, "question " + std::to_string(index), 30);
            CHECK_FALSE(made.m_mixed);
            CHECK_MESSAGE(made.m_complete, got.m_response.m_body);
        }
    }

    TEST_CASE("streams cut between agent and engine") {
        const auto where = serving_cluster();
        for (const auto& engine : where->engines()) {
            where->set_fault(engine.m_backend_address, R"("kind":"cut","count":5,"match":"/v1/chat")");
        }
        traffic load{*where, {0, 1}, 4, 20};
        REQUIRE(load.wait_for_requests(40));
        const auto seen = load.stop();
        CHECK(seen.m_mixed == 0);
        CHECK(seen.m_truncated == 0);
        CHECK(seen.m_complete >= 30);
    }

    TEST_CASE("a stream cut at every try is not shown as complete") {
        const auto where = serving_cluster();
        for (const auto& engine : where->engines()) {
            where->set_fault(engine.m_backend_address, R"("kind":"cut","match":"/v1/chat")");
        }
        const auto got = where->generate(0, "question", 40).get();
        CHECK_FALSE(check_completion(got, "question", 40).m_reported_complete);
    }

    TEST_CASE("answers that come late") {
        const auto where = serving_cluster();
        where->set_fault(where->engines()[0].m_backend_address,
                         R"("kind":"stall","count":6,"ms":1500,"match":"/v1/chat")");
        traffic load{*where, {0, 1}, 6, 10};
        REQUIRE(load.wait_for_requests(60));
        const auto seen = load.stop();
        CHECK(seen.m_mixed == 0);
        CHECK(seen.m_truncated == 0);
    }
}

} // namespace rhubarbwharf::process
