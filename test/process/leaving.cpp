#include <csignal>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

constexpr std::chrono::milliseconds notice_delay{2'000};

[[nodiscard]] auto loaded_cluster(const std::size_t engines) -> std::unique_ptr<test_cluster> {
    cluster_options set{};
    set.m_engine_count = engines;
    set.m_ledger_count = 0;
    set.m_token_ms = "20";
    auto where = std::make_unique<test_cluster>(set);
    REQUIRE(where->submit_ticket(0, where->versions()[0].m_manifest, "first").m_response.m_status == 200);
    REQUIRE(where->wait_until_serving(where->versions()[0]));
    return where;
}

[[nodiscard]] auto request_count_at(test_cluster& where, const node& engine) -> std::int64_t {
    const auto state =
        boost::json::parse(where.client().get(engine.m_backend_address, "/v1/engine/state").m_response.m_body);
    return state.as_object().at("requests").to_number<std::int64_t>();
}

auto check_all_complete(const traffic_result& seen) -> void {
    CHECK(seen.m_mixed == 0);
    CHECK(seen.m_truncated == 0);
    CHECK(seen.m_complete > 0);
    CHECK_MESSAGE(seen.m_failed == 0, seen.m_first_failure);
}

} // namespace

TEST_SUITE("leaving") {
    TEST_CASE("an agent stopped under load cuts nothing off and gets no new work") {
        const auto where = loaded_cluster(2);
        auto& leaving = where->engines()[0];
        traffic load{*where, {0, 1}, 6, 30};
        REQUIRE(load.wait_for_requests(12));
        leaving.m_daemon->send_signal(SIGTERM);
        std::this_thread::sleep_for(notice_delay);
        const auto before = request_count_at(*where, leaving);
        CHECK(load.wait_for_requests(24));
        CHECK(request_count_at(*where, leaving) == before);
        CHECK(leaving.m_daemon->wait() == 0);
        check_all_complete(load.stop());
    }

    TEST_CASE("an entry that was frozen while the notice came sends nothing to the agent that left") {
        const auto where = loaded_cluster(2);
        auto& leaving = where->engines()[0];
        where->entries()[1].m_daemon->send_signal(SIGSTOP);
        leaving.m_daemon->send_signal(SIGTERM);
        std::this_thread::sleep_for(notice_delay);
        const auto before = request_count_at(*where, leaving);
        where->entries()[1].m_daemon->send_signal(SIGCONT);
        traffic load{*where, {1}, 4, 10};
        CHECK(load.wait_for_requests(24));
        CHECK(request_count_at(*where, leaving) == before);
        check_all_complete(load.stop());
    }

    TEST_CASE("an entry stopped under load cuts nothing off") {
        const auto where = loaded_cluster(2);
        std::vector<std::future<call_result>> sent{};
        for (std::size_t index = 0; index < 12; ++index) {
            sent.push_back(where->generate(1, "long " + std::to_string(index), 150));
        }
        REQUIRE(wait_until([&where] { return request_count_at(*where, where->engines()[0]) > 1; }));
        where->entries()[1].m_daemon->send_signal(SIGTERM);
        for (std::size_t index = 0; index < sent.size(); ++index) {
            const auto got = sent[index].get();
            CHECK_MESSAGE(check_completion(got, "long " + std::to_string(index), 150).m_complete,
                          got.m_response.m_body);
        }
        CHECK(where->entries()[1].m_daemon->wait() == 0);
    }
}

} // namespace rhubarbwharf::process
