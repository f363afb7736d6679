#include <csignal>

#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

constexpr std::size_t payment_count = 24;

[[nodiscard]] auto payment_reference(const std::size_t index) -> std::string {
    return "payment-" + std::to_string(index);
}

/*! @brief Starts all payments concurrently, spread over the entries. @param shift Offset of the first entry. */
[[nodiscard]] auto send_all_payments(test_cluster& cluster, const std::size_t shift = 0)
    -> std::vector<std::future<call_result>> {
    std::vector<std::future<call_result>> sent{};
    sent.reserve(payment_count);
    for (std::size_t index = 0; index < payment_count; ++index) {
        sent.push_back(cluster.send_payment((index + shift) % cluster.entries().size(), payment_reference(index)));
    }
    return sent;
}

auto collect_outcomes(std::vector<payment_outcomes>& outcomes, std::vector<std::future<call_result>>& sent) -> void {
    for (std::size_t index = 0; index < sent.size(); ++index) {
        record_outcome(outcomes[index], sent[index].get());
    }
}

/*! @brief Checks that payments whose answers all state `not_run` were not executed. */
auto check_refusals(const test_cluster& cluster, const std::vector<payment_outcomes>& outcomes) -> void {
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        const auto is_refused =
            outcomes[index].m_all_have_outcome && outcomes[index].m_accepted + outcomes[index].m_unknown == 0U;
        CHECK_MESSAGE((!is_refused || cluster.count_executions(payment_reference(index)) == 0U),
                      payment_reference(index) << " was refused, but executed; " << outcomes[index].m_last_answer);
    }
}

/*! @brief Retries each payment until it is settled, then checks its executions against the reported outcomes. */
auto settle_and_check(test_cluster& cluster, std::vector<payment_outcomes>& outcomes) -> void {
    check_refusals(cluster, outcomes);
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        CHECK_MESSAGE(retry_until_settled(cluster, outcomes[index], payment_reference(index)),
                      outcomes[index].m_last_answer);
        CHECK_MESSAGE(is_consistent(outcomes[index], cluster.count_executions(payment_reference(index))),
                      payment_reference(index)
                          << ": " << cluster.count_executions(payment_reference(index)) << " executions, "
                          << outcomes[index].m_accepted << " accepted, " << outcomes[index].m_unknown << " unknown; "
                          << outcomes[index].m_last_answer);
    }
}

/*! @brief Kills all owners at once and starts new ones, which have no state but the journal. */
auto replace_owners(test_cluster& cluster) -> void {
    for (const auto& ledger : cluster.ledgers()) {
        ledger.m_daemon->send_signal(SIGKILL);
    }
    for (auto& ledger : cluster.ledgers()) {
        cluster.start_daemon(ledger);
    }
    REQUIRE(cluster.wait_until_ledgers_serve());
}

[[nodiscard]] auto total_executions(const test_cluster& cluster) -> std::size_t {
    std::size_t total{};
    for (std::size_t index = 0; index < payment_count; ++index) {
        total += cluster.count_executions(payment_reference(index));
    }
    return total;
}

[[nodiscard]] auto ledger_cluster(const std::size_t ledgers, const std::string& work_ms) -> cluster_options {
    cluster_options options{};
    options.m_engine_count = 0;
    options.m_ledger_count = ledgers;
    options.m_work_ms = work_ms;
    return options;
}

} // namespace

TEST_SUITE("at_most_once") {
    TEST_CASE("a payment that is sent to two entries at the same time runs once") {
        test_cluster cluster{ledger_cluster(2, "20")};
        REQUIRE(cluster.wait_until_ledgers_serve());
        std::vector<payment_outcomes> outcomes(payment_count);
        auto first = send_all_payments(cluster);
        auto second = send_all_payments(cluster, 1);
        collect_outcomes(outcomes, first);
        collect_outcomes(outcomes, second);
        settle_and_check(cluster, outcomes);
        CHECK(total_executions(cluster) == payment_count);
    }

    TEST_CASE("a key that is used again for another call is refused") {
        test_cluster cluster{ledger_cluster(1, "2")};
        REQUIRE(cluster.wait_until_ledgers_serve());
        CHECK(cluster.send_payment(0, "first", "shared-key").get().m_response.m_status == 201);
        const auto reused = cluster.send_payment(1, "second", "shared-key").get();
        CHECK(reused.m_response.m_body.find("key_reused") != std::string::npos);
        CHECK(outcome_of(reused) == "not_run");
        CHECK(cluster.count_executions("first") == 1);
        CHECK(cluster.count_executions("second") == 0);
    }

    TEST_CASE("payments run at most once when an owner is suspended past its lease and resumed after the takeover") {
        test_cluster cluster{ledger_cluster(2, "20")};
        REQUIRE(cluster.wait_until_ledgers_serve());
        std::vector<payment_outcomes> outcomes(payment_count);
        auto sent = send_all_payments(cluster);
        REQUIRE(wait_until([&cluster] { return total_executions(cluster) > 0; }));
        cluster.ledgers()[0].m_daemon->send_signal(SIGSTOP);
        auto again = send_all_payments(cluster, 1);
        std::this_thread::sleep_for(std::chrono::seconds{4});
        const auto later = cluster.send_payment(0, "after-takeover").get();
        cluster.ledgers()[0].m_daemon->send_signal(SIGCONT);
        collect_outcomes(outcomes, sent);
        collect_outcomes(outcomes, again);
        settle_and_check(cluster, outcomes);
        replace_owners(cluster);
        settle_and_check(cluster, outcomes);
        payment_outcomes after{};
        record_outcome(after, later);
        CHECK(retry_until_settled(cluster, after, "after-takeover"));
        CHECK(is_consistent(after, cluster.count_executions("after-takeover")));
    }

    TEST_CASE("payments run at most once when all owners are replaced at once while calls run") {
        test_cluster cluster{ledger_cluster(2, "100")};
        REQUIRE(cluster.wait_until_ledgers_serve());
        std::vector<payment_outcomes> outcomes(payment_count);
        auto sent = send_all_payments(cluster);
        REQUIRE(wait_until([&cluster] { return total_executions(cluster) > 3; }));
        replace_owners(cluster);
        collect_outcomes(outcomes, sent);
        settle_and_check(cluster, outcomes);
        replace_owners(cluster);
        settle_and_check(cluster, outcomes);
    }

    TEST_CASE("payments run at most once when answers to journal writes are lost") {
        test_cluster cluster{ledger_cluster(2, "2")};
        REQUIRE(cluster.wait_until_ledgers_serve());
        std::vector<payment_outcomes> outcomes(payment_count);
        cluster.set_fault(cluster.platform_address(), R"("kind":"lose_answer","match":"/v3/kv/txn","count":6)");
        auto sent = send_all_payments(cluster);
        collect_outcomes(outcomes, sent);
        cluster.set_fault(cluster.platform_address(), R"("kind":"none")");
        settle_and_check(cluster, outcomes);
    }

    TEST_CASE("no call runs while the store is down, and each answer states the outcome not_run or unknown") {
        test_cluster cluster{ledger_cluster(1, "2")};
        REQUIRE(cluster.wait_until_ledgers_serve());
        cluster.set_fault(cluster.platform_address(), R"("kind":"down","ms":600000)");
        std::vector<payment_outcomes> outcomes(payment_count);
        auto sent = send_all_payments(cluster);
        collect_outcomes(outcomes, sent);
        CHECK(total_executions(cluster) == 0);
        for (const auto& each : outcomes) {
            CHECK_MESSAGE(each.m_not_run + each.m_unknown == 1, each.m_last_answer);
        }
        cluster.set_fault(cluster.platform_address(), R"("kind":"none")");
        settle_and_check(cluster, outcomes);
    }

    TEST_CASE("payments run at most once when a ledger is killed while calls run") {
        test_cluster cluster{ledger_cluster(1, "400")};
        REQUIRE(cluster.wait_until_ledgers_serve());
        std::vector<payment_outcomes> outcomes(payment_count);
        auto sent = send_all_payments(cluster);
        REQUIRE(wait_until([&cluster] { return total_executions(cluster) > 3; }));
        cluster.ledgers()[0].m_backend_server->send_signal(SIGKILL);
        collect_outcomes(outcomes, sent);
        const auto before = total_executions(cluster);
        cluster.start_backend_server(cluster.ledgers()[0]);
        settle_and_check(cluster, outcomes);
        CHECK(before > 0);
    }

    TEST_CASE("payments run at most once when an agent is killed while calls run") {
        test_cluster cluster{ledger_cluster(2, "400")};
        REQUIRE(cluster.wait_until_ledgers_serve());
        std::vector<payment_outcomes> outcomes(payment_count);
        auto sent = send_all_payments(cluster);
        REQUIRE(wait_until([&cluster] { return total_executions(cluster) > 3; }));
        cluster.ledgers()[0].m_daemon->send_signal(SIGKILL);
        collect_outcomes(outcomes, sent);
        cluster.start_daemon(cluster.ledgers()[0]);
        settle_and_check(cluster, outcomes);
    }
}

} // namespace rhubarbwharf::process
