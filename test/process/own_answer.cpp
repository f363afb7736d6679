#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

[[nodiscard]] auto serving_cluster() -> std::unique_ptr<test_cluster> {
    cluster_options options{};
    options.m_ledger_count = 0;
    auto cluster = std::make_unique<test_cluster>(options);
    REQUIRE(cluster->submit_ticket(0, cluster->versions()[0].m_manifest, "first").m_response.m_status == 200);
    REQUIRE(cluster->wait_until_serving(cluster->versions()[0]));
    return cluster;
}

} // namespace

TEST_SUITE("own_answer") {
    TEST_CASE("concurrent callers each get their own complete answer") {
        const auto cluster = serving_cluster();
        std::vector<std::future<call_result>> sent{};
        for (std::size_t index = 0; index < 40; ++index) {
            sent.push_back(cluster->generate(index % 2U, "question " + std::to_string(index), 30));
        }
        for (std::size_t index = 0; index < sent.size(); ++index) {
            const auto result = sent[index].get();
            const auto check = check_completion(result, "question " + std::to_string(index), 30);
            CHECK_FALSE(check.m_mixed);
            CHECK_MESSAGE(check.m_complete, result.m_response.m_body);
        }
    }

    TEST_CASE("streams that are cut between agent and engine are resumed without mixing answers") {
        const auto cluster = serving_cluster();
        for (const auto& engine : cluster->engines()) {
            cluster->set_fault(engine.m_backend_address, R"("kind":"cut","count":5,"match":"/v1/chat")");
        }
        traffic load{*cluster, {0, 1}, 4, 20};
        REQUIRE(load.wait_for_requests(40));
        const auto totals = load.stop();
        CHECK(totals.m_mixed == 0);
        CHECK(totals.m_truncated == 0);
        CHECK(totals.m_complete >= 30);
    }

    TEST_CASE("a stream that is cut at every attempt is not reported as complete") {
        const auto cluster = serving_cluster();
        for (const auto& engine : cluster->engines()) {
            cluster->set_fault(engine.m_backend_address, R"("kind":"cut","match":"/v1/chat")");
        }
        const auto result = cluster->generate(0, "question", 40).get();
        CHECK_FALSE(check_completion(result, "question", 40).m_reported_complete);
    }

    TEST_CASE("late answers are neither mixed with others nor truncated") {
        const auto cluster = serving_cluster();
        cluster->set_fault(cluster->engines()[0].m_backend_address,
                           R"("kind":"stall","count":6,"ms":1500,"match":"/v1/chat")");
        traffic load{*cluster, {0, 1}, 6, 10};
        REQUIRE(load.wait_for_requests(60));
        const auto totals = load.stop();
        CHECK(totals.m_mixed == 0);
        CHECK(totals.m_truncated == 0);
    }
}

} // namespace rhubarbwharf::process
