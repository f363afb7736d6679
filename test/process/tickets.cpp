#include <csignal>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

[[nodiscard]] auto single_engine_options() -> cluster_options {
    cluster_options set{};
    set.m_engine_count = 1;
    set.m_ledger_count = 0;
    return set;
}

[[nodiscard]] auto ticket_number(const call_result& got) -> std::uint64_t {
    boost::system::error_code failed{};
    const auto body = boost::json::parse(got.m_response.m_body, failed);
    const auto* number = failed || !body.is_object() ? nullptr : body.get_object().if_contains("number");
    return number == nullptr ? 0U : number->to_number<std::uint64_t>();
}

} // namespace

TEST_SUITE("tickets") {
    TEST_CASE("two operators race with the same number") {
        test_cluster where{single_engine_options()};
        REQUIRE(where.submit_ticket(0, where.versions()[0].m_manifest, "base").m_response.m_status == 200);
        for (std::uint64_t number = 10; number < 20; ++number) {
            const auto name = std::to_string(number);
            auto left = std::async(std::launch::async, [&where, name, number] {
                return where.submit_ticket(0, where.versions()[0].m_manifest, "left-" + name, number);
            });
            const auto right = where.submit_ticket(1, where.versions()[1].m_manifest, "right-" + name, number);
            const auto other = left.get();
            const auto& winner = other.m_response.m_status == 200 ? other : right;
            const auto& loser = other.m_response.m_status == 200 ? right : other;
            CHECK_MESSAGE(winner.m_response.m_status == 200, winner.m_response.m_body);
            CHECK_MESSAGE(loser.m_response.m_status == 409, loser.m_response.m_body);
            CHECK(ticket_number(loser) == number);
        }
    }

    TEST_CASE("a ticket of which the answer was lost is accepted once") {
        test_cluster where{single_engine_options()};
        REQUIRE(where.submit_ticket(0, where.versions()[0].m_manifest, "base").m_response.m_status == 200);
        where.set_fault(where.platform_address(), R"("kind":"lose_answer","match":"/v3/kv/txn","count":1)");
        auto got = where.submit_ticket(0, where.versions()[1].m_manifest, "lost");
        CHECK(wait_until([&] {
            if (got.m_response.m_status != 200) {
                got = where.submit_ticket(1, where.versions()[1].m_manifest, "lost");
            }
            return got.m_response.m_status == 200;
        }));
        const auto again = where.submit_ticket(1, where.versions()[1].m_manifest, "lost");
        CHECK(again.m_response.m_status == 200);
        CHECK(ticket_number(again) == ticket_number(got));
        CHECK(where.wait_until_serving(where.versions()[1]));
    }

    TEST_CASE("an entry replaced while the service is down learns from its peers") {
        test_cluster where{single_engine_options()};
        REQUIRE(where.submit_ticket(0, where.versions()[0].m_manifest, "base").m_response.m_status == 200);
        REQUIRE(where.wait_until_serving(where.versions()[0]));
        where.set_fault(where.platform_address(), R"("kind":"down","ms":600000)");
        where.entries()[1].m_daemon->send_signal(SIGKILL);
        where.start_daemon(where.entries()[1]);
        CHECK(where.wait_until_serving(where.versions()[0]));
    }

    TEST_CASE("nothing reverts when the service is restored from an older state") {
        test_cluster where{single_engine_options()};
        REQUIRE(where.submit_ticket(0, where.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(where.wait_until_serving(where.versions()[0]));
        const auto second = where.submit_ticket(0, where.versions()[1].m_manifest, "second");
        REQUIRE(where.wait_until_serving(where.versions()[1]));
        where.set_fault(where.platform_address(), R"("kind":"restore","count":1)");
        CHECK(where.wait_until_serving(where.versions()[1]));
        const auto third = where.submit_ticket(1, where.versions()[1].m_manifest, "third");
        CHECK(third.m_response.m_status == 200);
        CHECK(ticket_number(third) > ticket_number(second));
        CHECK(where.wait_until_serving(where.versions()[1]));
    }
}

} // namespace rhubarbwharf::process
