#include <csignal>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

[[nodiscard]] auto single_engine_options() -> cluster_options {
    cluster_options options{};
    options.m_engine_count = 1;
    options.m_ledger_count = 0;
    return options;
}

[[nodiscard]] auto ticket_number(const call_result& result) -> std::uint64_t {
    boost::system::error_code failed{};
    const auto body = boost::json::parse(result.m_response.m_body, failed);
    const auto* number = failed || !body.is_object() ? nullptr : body.get_object().if_contains("number");
    return number == nullptr ? 0U : number->to_number<std::uint64_t>();
}

} // namespace

TEST_SUITE("tickets") {
    TEST_CASE("of two operators that submit the same number concurrently, one succeeds and the other gets a conflict") {
        test_cluster cluster{single_engine_options()};
        REQUIRE(cluster.submit_ticket(0, cluster.versions()[0].m_manifest, "base").m_response.m_status == 200);
        for (std::uint64_t number = 10; number < 20; ++number) {
            const auto name = std::to_string(number);
            auto left = std::async(std::launch::async, [&cluster, name, number] {
                return cluster.submit_ticket(0, cluster.versions()[0].m_manifest, "left-" + name, number);
            });
            const auto right = cluster.submit_ticket(1, cluster.versions()[1].m_manifest, "right-" + name, number);
            const auto other = left.get();
            const auto& winner = other.m_response.m_status == 200 ? other : right;
            const auto& loser = other.m_response.m_status == 200 ? right : other;
            CHECK_MESSAGE(winner.m_response.m_status == 200, winner.m_response.m_body);
            CHECK_MESSAGE(loser.m_response.m_status == 409, loser.m_response.m_body);
            CHECK(ticket_number(loser) == number);
        }
    }

    TEST_CASE("a ticket that is submitted again after a lost answer is accepted once") {
        test_cluster cluster{single_engine_options()};
        REQUIRE(cluster.submit_ticket(0, cluster.versions()[0].m_manifest, "base").m_response.m_status == 200);
        cluster.set_fault(cluster.platform_address(), R"("kind":"lose_answer","match":"/v3/kv/txn","count":1)");
        auto result = cluster.submit_ticket(0, cluster.versions()[1].m_manifest, "lost");
        CHECK(wait_until([&] {
            if (result.m_response.m_status != 200) {
                result = cluster.submit_ticket(1, cluster.versions()[1].m_manifest, "lost");
            }
            return result.m_response.m_status == 200;
        }));
        const auto again = cluster.submit_ticket(1, cluster.versions()[1].m_manifest, "lost");
        CHECK(again.m_response.m_status == 200);
        CHECK(ticket_number(again) == ticket_number(result));
        CHECK(cluster.wait_until_serving(cluster.versions()[1]));
    }

    TEST_CASE("an entry that restarts while the store is down obtains its state from its peers") {
        test_cluster cluster{single_engine_options()};
        REQUIRE(cluster.submit_ticket(0, cluster.versions()[0].m_manifest, "base").m_response.m_status == 200);
        REQUIRE(cluster.wait_until_serving(cluster.versions()[0]));
        cluster.set_fault(cluster.platform_address(), R"("kind":"down","ms":600000)");
        cluster.entries()[1].m_daemon->send_signal(SIGKILL);
        cluster.start_daemon(cluster.entries()[1]);
        CHECK(cluster.wait_until_serving(cluster.versions()[0]));
    }

    TEST_CASE("no version is rolled back when the store is restored from an older state") {
        test_cluster cluster{single_engine_options()};
        REQUIRE(cluster.submit_ticket(0, cluster.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(cluster.wait_until_serving(cluster.versions()[0]));
        const auto second = cluster.submit_ticket(0, cluster.versions()[1].m_manifest, "second");
        REQUIRE(cluster.wait_until_serving(cluster.versions()[1]));
        cluster.set_fault(cluster.platform_address(), R"("kind":"restore","count":1)");
        CHECK(cluster.wait_until_serving(cluster.versions()[1]));
        const auto third = cluster.submit_ticket(1, cluster.versions()[1].m_manifest, "third");
        CHECK(third.m_response.m_status == 200);
        CHECK(ticket_number(third) > ticket_number(second));
        CHECK(cluster.wait_until_serving(cluster.versions()[1]));
    }
}

} // namespace rhubarbwharf::process
