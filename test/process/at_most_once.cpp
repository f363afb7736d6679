#include <csignal>

#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

constexpr std::size_t payments = 24;

[[nodiscard]] auto reference(const std::size_t index) -> std::string {
    return "payment-" + std::to_string(index);
}

/*! @brief Sends all payments at once, each to one entry. */
[[nodiscard]] auto send_all(site& where, const std::size_t shift = 0) -> std::vector<std::future<answer>> {
    std::vector<std::future<answer>> sent{};
    sent.reserve(payments);
    for (std::size_t index = 0; index < payments; ++index) {
        sent.push_back(where.pay((index + shift) % where.entries().size(), reference(index)));
    }
    return sent;
}

auto collect(std::vector<settlement>& all, std::vector<std::future<answer>>& sent) -> void {
    for (std::size_t index = 0; index < sent.size(); ++index) {
        add(all[index], sent[index].get());
    }
}

/*! @brief Checks that a payment of which all calls so far were refused as not run did not run. */
auto check_refusals(const site& where, const std::vector<settlement>& all) -> void {
    for (std::size_t index = 0; index < all.size(); ++index) {
        const auto is_refused = all[index].m_clear && all[index].m_accepted + all[index].m_unknown == 0U;
        CHECK_MESSAGE((!is_refused || where.runs(reference(index)) == 0U),
                      reference(index) << " was refused but ran; " << all[index].m_last);
    }
}

/*! @brief Sends each payment again until it is settled, then checks its runs against all that was said. */
auto check_all(site& where, std::vector<settlement>& all) -> void {
    check_refusals(where, all);
    for (std::size_t index = 0; index < all.size(); ++index) {
        CHECK_MESSAGE(settle(where, all[index], reference(index)), all[index].m_last);
        CHECK_MESSAGE(agrees(all[index], where.runs(reference(index))),
                      reference(index) << ": " << where.runs(reference(index)) << " runs, " << all[index].m_accepted
                                       << " accepted, " << all[index].m_unknown << " unknown; " << all[index].m_last);
    }
}

/*! @brief Kills all owners at once and starts new ones, which know only what the journal holds. */
auto replace_owners(site& where) -> void {
    for (const auto& ledger : where.ledgers()) {
        ledger.m_daemon->send(SIGKILL);
    }
    for (auto& ledger : where.ledgers()) {
        where.start(ledger);
    }
    REQUIRE(where.wait_ledger());
}

[[nodiscard]] auto total_runs(const site& where) -> std::size_t {
    std::size_t total{};
    for (std::size_t index = 0; index < payments; ++index) {
        total += where.runs(reference(index));
    }
    return total;
}

[[nodiscard]] auto ledger_site(const std::size_t ledgers, const std::string& work_ms) -> site_options {
    site_options set{};
    set.m_engines = 0;
    set.m_ledgers = ledgers;
    set.m_work_ms = work_ms;
    return set;
}

} // namespace

TEST_SUITE("at_most_once") {
    TEST_CASE("the same key at two entries at the same moment") {
        site where{ledger_site(2, "20")};
        REQUIRE(where.wait_ledger());
        std::vector<settlement> all(payments);
        auto first = send_all(where);
        auto second = send_all(where, 1);
        collect(all, first);
        collect(all, second);
        check_all(where, all);
        CHECK(total_runs(where) == payments);
    }

    TEST_CASE("a key used again for another call is refused, and so is a call without one") {
        site where{ledger_site(1, "2")};
        REQUIRE(where.wait_ledger());
        CHECK(where.pay(0, "first", "shared-key").get().m_response.m_status == 201);
        const auto reused = where.pay(1, "second", "shared-key").get();
        CHECK(reused.m_response.m_body.find("key_reused") != std::string::npos);
        CHECK(outcome_of(reused) == "not_run");
        CHECK(where.runs("first") == 1);
        CHECK(where.runs("second") == 0);
    }

    TEST_CASE("an owner frozen past its lease, its successor, and the owner woken") {
        site where{ledger_site(2, "20")};
        REQUIRE(where.wait_ledger());
        std::vector<settlement> all(payments);
        auto sent = send_all(where);
        REQUIRE(wait_until([&where] { return total_runs(where) > 0; }));
        where.ledgers()[0].m_daemon->send(SIGSTOP);
        auto again = send_all(where, 1);
        std::this_thread::sleep_for(std::chrono::seconds{4});
        const auto later = where.pay(0, "after-takeover").get();
        where.ledgers()[0].m_daemon->send(SIGCONT);
        collect(all, sent);
        collect(all, again);
        check_all(where, all);
        replace_owners(where);
        check_all(where, all);
        settlement after{};
        add(after, later);
        CHECK(settle(where, after, "after-takeover"));
        CHECK(agrees(after, where.runs("after-takeover")));
    }

    TEST_CASE("all owners replaced at once while calls run") {
        site where{ledger_site(2, "100")};
        REQUIRE(where.wait_ledger());
        std::vector<settlement> all(payments);
        auto sent = send_all(where);
        REQUIRE(wait_until([&where] { return total_runs(where) > 3; }));
        replace_owners(where);
        collect(all, sent);
        check_all(where, all);
        replace_owners(where);
        check_all(where, all);
    }

    TEST_CASE("journal writes of which the answer is lost") {
        site where{ledger_site(2, "2")};
        REQUIRE(where.wait_ledger());
        std::vector<settlement> all(payments);
        where.set_fault(where.platform(), R"("kind":"lose_answer","match":"/v3/kv/txn","count":6)");
        auto sent = send_all(where);
        collect(all, sent);
        where.set_fault(where.platform(), R"("kind":"none")");
        check_all(where, all);
    }

    TEST_CASE("while the service is down a call is refused as not run") {
        site where{ledger_site(1, "2")};
        REQUIRE(where.wait_ledger());
        where.set_fault(where.platform(), R"("kind":"down","ms":600000)");
        std::vector<settlement> all(payments);
        auto sent = send_all(where);
        collect(all, sent);
        CHECK(total_runs(where) == 0);
        for (const auto& one : all) {
            CHECK_MESSAGE(one.m_not_run + one.m_unknown == 1, one.m_last);
        }
        where.set_fault(where.platform(), R"("kind":"none")");
        check_all(where, all);
    }

    TEST_CASE("a ledger killed while calls run") {
        site where{ledger_site(1, "400")};
        REQUIRE(where.wait_ledger());
        std::vector<settlement> all(payments);
        auto sent = send_all(where);
        REQUIRE(wait_until([&where] { return total_runs(where) > 3; }));
        where.ledgers()[0].m_server->send(SIGKILL);
        collect(all, sent);
        const auto before = total_runs(where);
        where.start_server(where.ledgers()[0]);
        check_all(where, all);
        CHECK(before > 0);
    }

    TEST_CASE("an agent killed while calls run") {
        site where{ledger_site(2, "400")};
        REQUIRE(where.wait_ledger());
        std::vector<settlement> all(payments);
        auto sent = send_all(where);
        REQUIRE(wait_until([&where] { return total_runs(where) > 3; }));
        where.ledgers()[0].m_daemon->send(SIGKILL);
        collect(all, sent);
        where.start(where.ledgers()[0]);
        check_all(where, all);
    }
}

} // namespace rhubarbwharf::process
