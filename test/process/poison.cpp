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

[[nodiscard]] auto count_crashed(test_cluster& where) -> std::size_t {
    const auto is_gone = [](const node& engine) {
        return !engine.m_backend_server->is_running();
    };
    return static_cast<std::size_t>(std::ranges::count_if(where.engines(), is_gone));
}

} // namespace

TEST_SUITE("poison") {
    TEST_CASE("a request that crashes each engine that runs it brings down two at most, and its neighbours end whole") {
        cluster_options set{};
        set.m_engine_count = engine_count;
        set.m_ledger_count = 0;
        test_cluster where{set};
        REQUIRE(where.submit_ticket(0, where.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(where.wait_until_serving(where.versions()[0]));
        for (const auto& engine : where.engines()) {
            where.set_fault(engine.m_backend_address,
                            R"("kind":"crash_on","match":")" + std::string{crash_marker} + '"');
        }
        std::vector<std::future<call_result>> neighbours{};
        for (std::size_t index = 0; index < 2U * engine_count; ++index) {
            neighbours.push_back(where.generate(index % 2U, "neighbour " + std::to_string(index), neighbour_tokens));
        }
        call_result last{};
        for (std::size_t time = 0; time < attempt_count; ++time) {
            last = where.generate(time % 2U, crash_marker, 20).get();
            CHECK_FALSE(check_completion(last, crash_marker, 20).m_reported_complete);
        }
        CHECK_MESSAGE(last.m_response.m_body.find("quarantined") != std::string::npos, last.m_response.m_body);
        for (std::size_t index = 0; index < neighbours.size(); ++index) {
            const auto got = neighbours[index].get();
            const auto made = check_completion(got, "neighbour " + std::to_string(index), neighbour_tokens);
            CHECK_MESSAGE(made.m_complete, got.m_response.m_body);
        }
        CHECK(count_crashed(where) >= 1U);
        CHECK(count_crashed(where) <= max_crashes);
    }
}

} // namespace rhubarbwharf::process
