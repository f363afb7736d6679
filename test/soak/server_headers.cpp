#include <doctest/doctest.h>

#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

constexpr std::size_t first_ledger = 3U;

/*! @brief Sends requests through all gateways for a while. @return The number that got no 200. */
[[nodiscard]] auto count_failures(site_fixture& fixture, const std::string_view path, const std::size_t gateways,
                                  const duration length) -> unsigned {
    unsigned failed{};
    unsigned number{};
    const auto end = steady_now() + length;
    while (steady_now() < end) {
        for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
            const auto attempt = "b" + std::to_string(++number);
            failed += fixture.start_request(attempt, path, "b", gateway).get().m_response.m_status == 200U ? 0U : 1U;
        }
    }
    return failed;
}

/*! @brief Waits until every gateway serves requests. */
auto wait_for_gateways(site_fixture& fixture, const std::size_t gateways) -> void {
    for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
        REQUIRE(process::wait_until([&] {
            return fixture.start_request("a7", standin_site::lookup_path, "a", gateway).get().m_response.m_status ==
                   200U;
        }));
    }
}

} // namespace

TEST_CASE("a server that only its responses call leaving gets no request from any gateway") {
    constexpr std::size_t gateways = 2U;
    constexpr duration notice = std::chrono::seconds{1};
    site_fixture fixture{gateways};
    wait_for_gateways(fixture, gateways);
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.servers()[first_ledger]->announce_leaving(); });
    CHECK(count_failures(fixture, standin_site::lookup_path, gateways, std::chrono::milliseconds{500}) == 0U);
    const auto announced = steady_now();
    std::this_thread::sleep_for(notice);
    CHECK(count_failures(fixture, standin_site::lookup_path, gateways, std::chrono::seconds{1}) == 0U);
    fixture.m_site.run_in_loop([announced, notice](standin_site::site& site) {
        CHECK(site.observations().m_last_arrival_when_leaving != time_point{});
        CHECK(site.observations().m_last_arrival_when_leaving < announced + notice);
    });
}

TEST_CASE("a new incarnation of a server that was leaving gets requests again") {
    site_fixture fixture{1U};
    for (auto index = first_ledger; index < first_ledger + 2U; ++index) {
        fixture.m_site.run_in_loop([index](standin_site::site& site) { site.servers()[index]->announce_leaving(); });
    }
    REQUIRE(process::wait_until(
        [&] { return fixture.send_request("b1", standin_site::lookup_path, "b").m_status == 503U; }));
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.restart_server(first_ledger); });
    CHECK(process::wait_until(
        [&] { return fixture.send_request("b2", standin_site::lookup_path, "b").m_status == 200U; }));
}

TEST_CASE("a runner that says it is leaving gets no load order") {
    site_fixture fixture{1U};
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.servers()[0]->announce_leaving(); });
    REQUIRE(process::wait_until(
        [&] { return fixture.m_fleet.logs().find("\"event\":\"server.leaving\"") != std::string::npos; }));
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.set_weights_version(2U); });
    const auto loaded = [&](const std::size_t index) {
        std::uint64_t version{};
        fixture.m_site.run_in_loop([&](standin_site::site& site) { version = site.servers()[index]->version(); });
        return version == 2U;
    };
    CHECK(process::wait_until([&] { return loaded(1U) && loaded(2U); }));
    std::this_thread::sleep_for(std::chrono::seconds{1});
    CHECK_FALSE(loaded(0U));
}

TEST_CASE("a server that asks for a pause gets no request before its end, while others serve") {
    site_fixture fixture{1U};
    fixture.m_site.run_in_loop([](standin_site::site& site) {
        standin_site::server_faults faults{};
        faults.m_refuse_every = 1U;
        faults.m_retry_after = std::chrono::milliseconds{1'500};
        site.servers()[first_ledger]->set_faults(faults);
    });
    CHECK(count_failures(fixture, standin_site::lookup_path, 1U, std::chrono::seconds{4}) == 0U);
    fixture.m_site.run_in_loop([](standin_site::site& site) { CHECK(site.observations().m_arrivals_in_pause == 0U); });
    CHECK(fixture.m_fleet.logs().find("\"event\":\"server.paused\"") != std::string::npos);
    CHECK(fixture.m_fleet.logs().find("\"event\":\"server.ejected\"") == std::string::npos);
}

TEST_CASE("callers are refused at once, with the end of the pause, while every server has asked for one") {
    site_fixture fixture{1U};
    standin_site::server_faults faults{};
    faults.m_refuse_every = 1U;
    faults.m_retry_after = std::chrono::milliseconds{800};
    fixture.set_server_faults(faults);
    REQUIRE(fixture.send_request("b1", standin_site::lookup_path, "b").m_status == 503U);
    fixture.set_server_faults({});
    const auto sent = steady_now();
    const auto refused = fixture.send_request("b2", standin_site::lookup_path, "b");
    CHECK(refused.m_status == 503U);
    CHECK(steady_now() - sent < std::chrono::milliseconds{100});
    const auto seconds = std::stod(std::string{net::find(refused.m_headers, "Retry-After")});
    CHECK(seconds > 0.5);
    CHECK(seconds <= 1.0);
    std::this_thread::sleep_for(std::chrono::duration<double>{seconds});
    CHECK(fixture.send_request("b3", standin_site::lookup_path, "b").m_status == 200U);
    CHECK(fixture.count_executions("b2") == 0U);
}

} // namespace rhubarbwharf::soak
