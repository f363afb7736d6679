#include <doctest/doctest.h>

#include <gateway/retries.hpp>

namespace rhubarbwharf::gateway {

namespace {

[[nodiscard]] auto settings() -> config::node_settings {
    config::node_settings out{};
    out.m_role = "gateway";
    out.m_instance = "gateway-1";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

/*! @brief Gateway with a request for a service, whose budget allows one retry. */
struct one_retry {
    one_retry() {
        m_service.m_name = "service";
        m_item.m_service = &m_service;
        budget().m_extra_retries = 1.0 / usable_fraction;
        budget().m_usable_fraction = usable_fraction;
    }

    [[nodiscard]] auto budget() -> dispatch::service_retry_budget& {
        return m_daemon.m_services["service"].m_retry_budget;
    }

    auto send() -> attempt {
        attempt out{};
        out.m_sent_at = steady_now();
        count_attempt(m_daemon, m_item, out);
        m_item.m_tried_servers.emplace_back("server");
        return out;
    }

    static constexpr double usable_fraction = dispatch::usable_budget_fraction;

    daemon m_daemon{settings(), {}};
    fleet::service m_service{};
    exchange m_item{};
};

} // namespace

// A way to send a request again that does not ask the budget must not be free.
TEST_CASE("an attempt after one that may have reached a server counts, whatever sends it") {
    one_retry given{};
    CHECK_FALSE(given.send().m_is_retry);
    CHECK(dispatch::count_retries(given.budget(), steady_now()) == 0U);
    CHECK(given.send().m_is_retry);
    CHECK(dispatch::count_retries(given.budget(), steady_now()) == 1U);
    CHECK_FALSE(grant_retry(given.m_daemon, given.m_item, dispatch::retry_cause::failure));
}

TEST_CASE("a retry of which no byte was sent leaves its grant to the next attempt") {
    one_retry given{};
    static_cast<void>(given.send());
    REQUIRE(grant_retry(given.m_daemon, given.m_item, dispatch::retry_cause::failure));
    const auto unsent = given.send();
    ++given.m_item.m_unsent_attempts;
    uncount_attempt(given.m_daemon, given.m_item, unsent);
    CHECK(given.m_item.m_has_retry_grant);
    static_cast<void>(given.send());
    CHECK(dispatch::count_retries(given.budget(), steady_now()) == 1U);
}

// A hedge asks at each check; a line for each would push others out of the log.
TEST_CASE("a request that is denied a retry again and again is told once") {
    one_retry given{};
    static_cast<void>(given.send());
    static_cast<void>(given.send());
    for (auto time = 0; time < 3; ++time) {
        CHECK_FALSE(grant_retry(given.m_daemon, given.m_item, dispatch::retry_cause::hedge));
    }
    const auto text = given.m_daemon.m_core.m_counters.text();
    const auto line = text.substr(text.find("retries_denied_total{"));
    CHECK(line.substr(0U, line.find('\n')).ends_with(" 1"));
}

} // namespace rhubarbwharf::gateway
