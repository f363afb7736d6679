#include <csignal>

#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

constexpr std::size_t payment_count = 24;

[[nodiscard]] auto payment_reference(const std::size_t index) -> std::string {
    return "payment-" + std::to_string(index);
}

/*! @brief Sends all payments at once, each to one entry. */
[[nodiscard]] auto send_all_payments(test_cluster& where, const std::size_t shift = 0)
    -> std::vector<std::future<call_result>> {
    std::vector<std::future<call_result>> sent{};
    sent.reserve(payment_count);
    for (std::size_t index = 0; index < payment_count; ++index) {
        sent.push_back(where.send_payment((index + shift) % where.entries().size(), payment_reference(index)));
    }
    return sent;
}

auto collect_outcomes(std::vector<payment_outcomes>& all, std::vector<std::future<call_result>>& sent) -> void {
    for (std::size_t index = 0; index < sent.size(); ++index) {
        record_outcome(all[index], sent[index].get());
    }
}

/*! @brief Checks that a payment of which all calls so far were refused as not run did not run. */
auto check_refusals(const test_cluster& where, const std::vector<payment_outcomes>& all) -> void {
    for (std::size_t index = 0; index < all.size(); ++index) {
        const auto is_refused = all[index].m_all_have_outcome && all[index].m_accepted + all[index].m_unknown == 0U;
        CHECK_MESSAGE((!is_refused || where.count_executions(payment_reference(index)) == 0U),
                      payment_reference(index) << " was refused but ran; " << all[index].m_last_answer);
    }
}

/*! @brief Sends each payment again until it is settled, then checks its runs against all that was said. */
auto settle_and_check(test_cluster& where, std::vector<payment_outcomes>& all) -> void {
    check_refusals(where, all);
    for (std::size_t index = 0; index < all.size(); ++index) {
        CHECK_MESSAGE(retry_until_settled(where, all[index], payment_reference(index)), all[index].m_last_answer);
        CHECK_MESSAGE(is_consistent(all[index], where.count_executions(payment_reference(index))),
                      payment_reference(index) << ": " << where.count_executions(payment_reference(index)) << " runs, "
                                               << all[index].m_accepted << " accepted, " << all[index].m_unknown
                                               << " unknown; " << all[index].m_last_answer);
    }
}

/*! @brief Kills all owners at once and starts new ones, which know only what the journal holds. */
auto replace_owners(test_cluster& where) -> void {
    for (const auto& ledger : where.ledgers()) {
        ledger.m_daemon->send_signal(SIGKILL);
    }
    for (auto& ledger : where.ledgers()) {
        where.start_daemon(ledger);
    }
    REQUIRE(where.wait_until_ledgers_serve());
}

[[nodiscard]] auto total_executions(const test_cluster& where) -> std::size_t {
    std::size_t total{};
    for (std::size_t index = 0; index < payment_count; ++index) {
        total += where.count_executions(payment_reference(index));
    }
    return total;
}

[[nodiscard]] auto ledger_cluster(const std::size_t ledgers, const std::string& work_ms) -> cluster_options {
    cluster_options set{};
    set.m_engine_count = 0;
    set.m_ledger_count = ledgers;
    set.m_work_ms = work_ms;
    return set;
}

} // namespace

TEST_SUITE("at_most_once") {
    TEST_CASE("the same key at two entries at the same moment") {
        test_cluster where{ledger_cluster(2, "20")};
        REQUIRE(where.wait_until_ledgers_serve());
        std::vector<payment_outcomes> all(payment_count);
        auto first = send_all_payments(where);
        auto second = send_all_payments(where, 1);
        collect_outcomes(all, first);
        collect_outcomes(all, second);
        settle_and_check(where, all);
        CHECK(total_executions(where) == payment_count);
    }

    TEST_CASE("a key used again for another call is refused, and so is a call without one") {
        test_cluster where{ledger_cluster(1, "2")};
        REQUIRE(where.wait_until_ledgers_serve());
        CHECK(where.send_payment(0, "first", "shared-key").get().m_response.m_status == 201);
        const auto reused = where.send_payment(1, "second", "shared-key").get();
        CHECK(reused.m_response.m_body.find("key_reused") != std::string::npos);
        CHECK(outcome_of(reused) == "not_run");
        CHECK(where.count_executions("first") == 1);
        CHECK(where.count_executions("second") == 0);
    }

    TEST_CASE("an owner frozen past its lease, its successor, and the owner woken") {
        test_cluster where{ledger_cluster(2, "20")};
        REQUIRE(where.wait_until_ledgers_serve());
        std::vector<payment_outcomes> all(payment_count);
        auto sent = send_all_payments(where);
        REQUIRE(wait_until([&where] { return total_executions(where) > 0; }));
        where.ledgers()[0].m_daemon->send_signal(SIGSTOP);
        auto again = send_all_payments(where, 1);
        std::this_thread::sleep_for(std::chrono::seconds{4});
        const auto later = where.send_payment(0, "after-takeover").get();
        where.ledgers()[0].m_daemon->send_signal(SIGCONT);
        collect_outcomes(all, sent);
        collect_outcomes(all, again);
        settle_and_check(where, all);
        replace_owners(where);
        settle_and_check(where, all);
        payment_outcomes after{};
        record_outcome(after, later);
        CHECK(retry_until_settled(where, after, "after-takeover"));
        CHECK(is_consistent(after, where.count_executions("after-takeover")));
    }

    TEST_CASE("all owners replaced at once while calls run") {
        test_cluster where{ledger_cluster(2, "100")};
        REQUIRE(where.wait_until_ledgers_serve());
        std::vector<payment_outcomes> all(payment_count);
        auto sent = send_all_payments(where);
        REQUIRE(wait_until([&where] { return total_executions(where) > 3; }));
        replace_owners(where);
        collect_outcomes(all, sent);
        settle_and_check(where, all);
        replace_owners(where);
        settle_and_check(where, all);
    }

    TEST_CASE("journal writes of which the answer is lost") {
        test_cluster where{ledger_cluster(2, "2")};
        REQUIRE(where.wait_until_ledgers_serve());
        std::vector<payment_outcomes> all(payment_count);
        where.set_fault(where.platform_address(), R"("kind":"lose_answer","match":"/v3/kv/txn","count":6)");
        auto sent = send_all_payments(where);
        collect_outcomes(all, sent);
        where.set_fault(where.platform_address(), R"("kind":"none")");
        settle_and_check(where, all);
    }

    TEST_CASE("while the service is down a call is refused as not run") {
        test_cluster where{ledger_cluster(1, "2")};
        REQUIRE(where.wait_until_ledgers_serve());
        where.set_fault(where.platform_address(), R"("kind":"down","ms":600000)");
        std::vector<payment_outcomes> all(payment_count);
        auto sent = send_all_payments(where);
        collect_outcomes(all, sent);
        CHECK(total_executions(where) == 0);
        for (const auto& one : all) {
            CHECK_MESSAGE(one.m_not_run + one.m_unknown == 1, one.m_last_answer);
        }
        where.set_fault(where.platform_address(), R"("kind":"none")");
        settle_and_check(where, all);
    }

    TEST_CASE("a ledger killed while calls run") {
        test_cluster where{ledger_cluster(1, "400")};
        REQUIRE(where.wait_until_ledgers_serve());
        std::vector<payment_outcomes> all(payment_count);
        auto sent = send_all_payments(where);
        REQUIRE(wait_until([&where] { return total_executions(where) > 3; }));
        where.ledgers()[0].m_backend_server->send_signal(SIGKILL);
        collect_outcomes(all, sent);
        const auto before = total_executions(where);
        where.start_backend_server(where.ledgers()[0]);
        settle_and_check(where, all);
        CHECK(before > 0);
    }

    TEST_CASE("an agent killed while calls run") {
        test_cluster where{ledger_cluster(2, "400")};
        REQUIRE(where.wait_until_ledgers_serve());
        std::vector<payment_outcomes> all(payment_count);
        auto sent = send_all_payments(where);
        REQUIRE(wait_until([&where] { return total_executions(where) > 3; }));
        where.ledgers()[0].m_daemon->send_signal(SIGKILL);
        collect_outcomes(all, sent);
        where.start_daemon(where.ledgers()[0]);
        settle_and_check(where, all);
    }
}

} // namespace rhubarbwharf::process
