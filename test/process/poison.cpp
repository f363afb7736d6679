#include <algorithm>

#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

constexpr std::size_t engine_count = 6;
constexpr std::size_t max_crashes = 2;
constexpr std::size_t attempt_count = 5;
constexpr std::size_t neighbour_tokens = 200;
constexpr std::string_view crash_marker = "fatal-marker";

[[nodiscard]] auto count_crashed(test_cluster& cluster) -> std::size_t {
    const auto has_exited = [](const node& engine) {
        return !engine.m_backend_server->is_running();
    };
    return static_cast<std::size_t>(std::ranges::count_if(cluster.engines(), has_exited));
}

} // namespace

TEST_SUITE("poison") {
    TEST_CASE("a request that crashes any engine running it crashes at most two, and concurrent requests complete") {
        cluster_options options{};
        options.m_engine_count = engine_count;
        options.m_ledger_count = 0;
        test_cluster cluster{options};
        REQUIRE(cluster.submit_ticket(0, cluster.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(cluster.wait_until_serving(cluster.versions()[0]));
        for (const auto& engine : cluster.engines()) {
            cluster.set_fault(engine.m_backend_address,
                              R"("kind":"crash_on","match":")" + std::string{crash_marker} + '"');
        }
        std::vector<std::future<call_result>> neighbours{};
        for (std::size_t index = 0; index < 2U * engine_count; ++index) {
            neighbours.push_back(cluster.generate(index % 2U, "neighbour " + std::to_string(index), neighbour_tokens));
        }
        call_result last{};
        for (std::size_t attempt = 0; attempt < attempt_count; ++attempt) {
            last = cluster.generate(attempt % 2U, crash_marker, 20).get();
            CHECK_FALSE(check_completion(last, crash_marker, 20).m_reported_complete);
        }
        CHECK_MESSAGE(last.m_response.m_body.find("quarantined") != std::string::npos, last.m_response.m_body);
        for (std::size_t index = 0; index < neighbours.size(); ++index) {
            const auto result = neighbours[index].get();
            const auto check = check_completion(result, "neighbour " + std::to_string(index), neighbour_tokens);
            CHECK_MESSAGE(check.m_complete, result.m_response.m_body);
        }
        CHECK(count_crashed(cluster) >= 1U);
        CHECK(count_crashed(cluster) <= max_crashes);
    }
}

} // namespace rhubarbwharf::process
