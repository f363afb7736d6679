#include <doctest/doctest.h>

#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

constexpr std::size_t first_ledger = 3U;
constexpr std::size_t gateways = 4U;
/*! @brief Gateways that rely on the watchers, which are the first two of a region by name. */
constexpr std::size_t first_relying = 2U;
/*! @brief Time after the store has accepted that a server drains within which the last request may reach it. */
constexpr duration drain_limit = std::chrono::seconds{2};

[[nodiscard]] auto is_logged(site_fixture& fixture, const std::size_t gateway, const std::string_view text) -> bool {
    return fixture.m_fleet.daemons()[gateway].m_process->output().find(text) != std::string::npos;
}

[[nodiscard]] auto count_arrivals(site_fixture& fixture, const std::size_t server) -> unsigned {
    unsigned out{};
    fixture.m_site.run_in_loop(
        [&](standin_site::site& site) { out = site.observations().m_arrivals[site.servers()[server]->id()]; });
    return out;
}

/*! @brief Waits until the first two gateways alone watch the store. */
auto wait_for_watchers(site_fixture& fixture) -> void {
    for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
        REQUIRE(process::wait_until([&] {
            return fixture.start_request("a7", standin_site::lookup_path, "a", gateway).get().m_response.m_status ==
                   200U;
        }));
    }
    for (auto gateway = first_relying; gateway < gateways; ++gateway) {
        REQUIRE(process::wait_until(
            [&] { return is_logged(fixture, gateway, R"("event":"store.watch","watches":false)"); }));
    }
    std::this_thread::sleep_for(drain_limit);
}

} // namespace

// The watchers reported that they reached the store until their watch had failed, seconds later, and the others sent
// requests to the drained server until then.
TEST_CASE("gateways that rely on watchers learn that a server drains although the store does not answer the watchers") {
    site_fixture fixture{gateways};
    wait_for_watchers(fixture);
    for (std::size_t gateway = 0U; gateway < first_relying; ++gateway) {
        fixture.m_fleet.set_store_link_fault(gateway, link_fault::drop_responses);
    }
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.servers()[first_ledger]->drain(); });
    std::this_thread::sleep_for(drain_limit);
    const auto before = count_arrivals(fixture, first_ledger);
    unsigned failed{};
    for (unsigned number = 0U; number < 40U; ++number) {
        const auto gateway = first_relying + number % (gateways - first_relying);
        const auto status = fixture.start_request("b" + std::to_string(number), standin_site::ledger_path, "b", gateway)
                                .get()
                                .m_response.m_status;
        failed += status == 200U ? 0U : 1U;
    }
    CHECK(count_arrivals(fixture, first_ledger) == before);
    CHECK(failed == 0U);
}

// A verdict on the store that stays would have the whole region list and watch it for good.
TEST_CASE("watchers that the store answers again watch for their region as before") {
    site_fixture fixture{gateways};
    wait_for_watchers(fixture);
    for (std::size_t gateway = 0U; gateway < first_relying; ++gateway) {
        fixture.m_fleet.set_store_link_fault(gateway, link_fault::drop_responses);
    }
    REQUIRE(process::wait_until(
        [&] { return is_logged(fixture, first_relying, R"("event":"store.watch","watches":true)"); }));
    for (std::size_t gateway = 0U; gateway < first_relying; ++gateway) {
        fixture.m_fleet.set_store_link_fault(gateway, link_fault::none);
    }
    for (std::size_t gateway = 0U; gateway < first_relying; ++gateway) {
        CHECK(process::wait_until([&] {
            const auto log = fixture.m_fleet.daemons()[gateway].m_process->output();
            const auto withdrawn = log.find(R"("event":"store.doubted","doubted":false)");
            return withdrawn != std::string::npos &&
                   log.find(R"("event":"store.watch","watches":true)", withdrawn) != std::string::npos;
        }));
    }
    for (auto gateway = first_relying; gateway < gateways; ++gateway) {
        CHECK(process::wait_until([&] {
            const auto log = fixture.m_fleet.daemons()[gateway].m_process->output();
            const auto begun = log.find(R"("event":"store.watch","watches":true)");
            return begun == std::string::npos ||
                   log.find(R"("event":"store.watch","watches":false)", begun) != std::string::npos;
        }));
    }
}

} // namespace rhubarbwharf::soak
