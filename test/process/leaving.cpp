#include <csignal>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

/*! @brief Time for a leave announcement to reach the running entries. */
constexpr std::chrono::milliseconds notice_delay{2'000};

[[nodiscard]] auto loaded_cluster(const std::size_t engines) -> std::unique_ptr<test_cluster> {
    cluster_options options{};
    options.m_engine_count = engines;
    options.m_ledger_count = 0;
    options.m_token_ms = "20";
    auto cluster = std::make_unique<test_cluster>(options);
    REQUIRE(cluster->submit_ticket(0, cluster->versions()[0].m_manifest, "first").m_response.m_status == 200);
    REQUIRE(cluster->wait_until_serving(cluster->versions()[0]));
    return cluster;
}

[[nodiscard]] auto request_count_at(test_cluster& cluster, const node& engine) -> std::int64_t {
    const auto state =
        boost::json::parse(cluster.client().get(engine.m_backend_address, "/v1/engine/state").m_response.m_body);
    return state.as_object().at("requests").to_number<std::int64_t>();
}

auto check_all_complete(const traffic_result& totals) -> void {
    CHECK(totals.m_mixed == 0);
    CHECK(totals.m_truncated == 0);
    CHECK(totals.m_complete > 0);
    CHECK_MESSAGE(totals.m_failed == 0, totals.m_first_failure);
}

} // namespace

TEST_SUITE("leaving") {
    TEST_CASE("an agent that stops under load completes its requests and gets no new ones") {
        const auto cluster = loaded_cluster(2);
        auto& leaving = cluster->engines()[0];
        traffic load{*cluster, {0, 1}, 6, 30};
        REQUIRE(load.wait_for_requests(12));
        leaving.m_daemon->send_signal(SIGTERM);
        std::this_thread::sleep_for(notice_delay);
        const auto before = request_count_at(*cluster, leaving);
        CHECK(load.wait_for_requests(24));
        CHECK(request_count_at(*cluster, leaving) == before);
        CHECK_MESSAGE(leaving.m_daemon->wait() == 0, leaving.m_daemon->output());
        check_all_complete(load.stop());
    }

    TEST_CASE("an entry that was suspended during the leave announcement sends nothing to the agent that left") {
        const auto cluster = loaded_cluster(2);
        auto& leaving = cluster->engines()[0];
        cluster->entries()[1].m_daemon->send_signal(SIGSTOP);
        leaving.m_daemon->send_signal(SIGTERM);
        std::this_thread::sleep_for(notice_delay);
        const auto before = request_count_at(*cluster, leaving);
        cluster->entries()[1].m_daemon->send_signal(SIGCONT);
        traffic load{*cluster, {1}, 4, 10};
        CHECK(load.wait_for_requests(24));
        CHECK(request_count_at(*cluster, leaving) == before);
        check_all_complete(load.stop());
    }

    TEST_CASE("an entry that stops under load completes its requests") {
        const auto cluster = loaded_cluster(2);
        std::vector<std::future<call_result>> sent{};
        for (std::size_t index = 0; index < 12; ++index) {
            sent.push_back(cluster->generate(1, "long " + std::to_string(index), 150));
        }
        REQUIRE(wait_until([&cluster] { return request_count_at(*cluster, cluster->engines()[0]) > 1; }));
        cluster->entries()[1].m_daemon->send_signal(SIGTERM);
        for (std::size_t index = 0; index < sent.size(); ++index) {
            const auto result = sent[index].get();
            CHECK_MESSAGE(check_completion(result, "long " + std::to_string(index), 150).m_complete,
                          result.m_response.m_body);
        }
        CHECK_MESSAGE(cluster->entries()[1].m_daemon->wait() == 0, cluster->entries()[1].m_daemon->output());
    }
}

} // namespace rhubarbwharf::process
