#include <doctest/doctest.h>

#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

constexpr std::size_t first_ledger = 3U;
constexpr std::size_t restarted_gateway = 1U;
constexpr duration copy_age = std::chrono::seconds{3};
/*! @brief Time until the platform writes again what the copy lacks. */
constexpr duration rewrite_delay = std::chrono::seconds{1};
/*! @brief Recovery of entries and application of a change, as the platform allows them. */
constexpr duration listing_bound = std::chrono::seconds{4};

[[nodiscard]] auto server_id(site_fixture& fixture, const std::size_t index) -> std::string {
    std::string out{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) { out = site.servers()[index]->id(); });
    return out;
}

/*! @brief Waits until there is a copy of the store of the required age with all that was written so far. */
auto wait_for_copy() -> void {
    std::this_thread::sleep_for(copy_age + std::chrono::milliseconds{300});
}

/*! @brief Tells whether a log has an event about a server, after a position. */
[[nodiscard]] auto logs_server(const std::string& log, const std::size_t from, const std::string& id) -> bool {
    const auto subject = "\"server\":\"" + id + "\"";
    for (auto at = log.find(subject, from); at != std::string::npos; at = log.find(subject, at + 1U)) {
        const auto line = log.substr(log.rfind('\n', at) + 1U, at - log.rfind('\n', at) - 1U);
        if (line.find("server.entry") != std::string::npos || line.find("server.told") != std::string::npos) {
            return true;
        }
    }
    return false;
}

/*! @brief Waits until every gateway routes a path. */
[[nodiscard]] auto wait_for_path(site_fixture& fixture, const std::string_view path, const std::size_t gateways)
    -> bool {
    return process::wait_until([&] {
        for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
            if (fixture.start_request("a8", path, "a", gateway).get().m_response.m_status != 200U) {
                return false;
            }
        }
        return true;
    });
}

} // namespace

TEST_CASE("a restored store takes back neither a configuration nor the replacement of a server") {
    constexpr std::size_t gateways = 3U;
    constexpr std::uint16_t no_route = 404U;
    site_fixture fixture{gateways};
    REQUIRE(wait_for_path(fixture, standin_site::lookup_path, gateways));
    wait_for_copy();
    std::uint64_t version{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        version = site.write_configuration({});
        site.restart_server(first_ledger);
    });
    const auto replacement = server_id(fixture, first_ledger);
    const auto new_path = "/version/" + std::to_string(version) + "/";
    REQUIRE(wait_for_path(fixture, new_path, gateways));
    std::vector<std::size_t> log_ends{};
    for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
        log_ends.push_back(fixture.m_fleet.daemons()[gateway].m_process->output().size());
    }
    std::uint64_t calls{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        site.key_value_store().restore(copy_age, rewrite_delay);
        calls = site.key_value_store().call_count();
    });
    const auto restored = steady_now();
    fixture.m_fleet.start_daemon(restarted_gateway);
    log_ends[restarted_gateway] = 0U;
    unsigned number{};
    unsigned failed{};
    unsigned under_former_configuration{};
    std::vector<duration> listed_after(gateways);
    while (steady_now() < restored + rewrite_delay + listing_bound) {
        for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
            const auto attempt = "b" + std::to_string(++number);
            const auto status = fixture.start_request(attempt, new_path, "b", gateway).get().m_response.m_status;
            under_former_configuration += status == no_route ? 1U : 0U;
            failed += status != 200U && gateway != restarted_gateway ? 1U : 0U;
            const auto log = fixture.m_fleet.daemons()[gateway].m_process->output();
            if (listed_after[gateway] == duration::zero() && logs_server(log, log_ends[gateway], replacement)) {
                listed_after[gateway] = steady_now() - restored;
            }
        }
    }
    CHECK(under_former_configuration == 0U);
    CHECK(failed == 0U);
    for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
        CHECK_MESSAGE(listed_after[gateway] != duration::zero(), "gateway ", gateway);
        MESSAGE("gateway ", gateway, " holds the replacement after ", listed_after[gateway].count() / 1'000, " ms");
        CHECK(fixture.start_request("c" + std::to_string(gateway), new_path, "c", gateway).get().m_response.m_status ==
              200U);
    }
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        MESSAGE("store calls since the restore: ", site.key_value_store().call_count() - calls);
        CHECK(site.observations().m_violations.m_lines == std::vector<std::string>{});
    });
    CHECK(process::wait_until([&] {
        const auto log = fixture.m_fleet.daemons()[0].m_process->output();
        const auto era = log.find("\"event\":\"store.era\"");
        return era != std::string::npos &&
               log.find("\"event\":\"member.registered\",\"era\":2", era) != std::string::npos;
    }));
}

TEST_CASE("a server that drained stays drained when the restored store calls it ready") {
    constexpr std::size_t gateways = 2U;
    constexpr duration notice = std::chrono::seconds{2};
    site_fixture fixture{gateways};
    REQUIRE(wait_for_path(fixture, standin_site::lookup_path, gateways));
    wait_for_copy();
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.servers()[first_ledger]->drain(); });
    std::this_thread::sleep_for(notice);
    unsigned before{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        before = site.observations().m_arrivals[site.servers()[first_ledger]->id()];
        site.key_value_store().restore(copy_age, rewrite_delay * 3);
    });
    unsigned number{};
    unsigned failed{};
    const auto end = steady_now() + rewrite_delay * 4;
    while (steady_now() < end) {
        for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
            const auto attempt = "b" + std::to_string(++number);
            const auto status =
                fixture.start_request(attempt, standin_site::lookup_path, "b", gateway).get().m_response.m_status;
            failed += status == 200U ? 0U : 1U;
        }
    }
    CHECK(failed == 0U);
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        CHECK(site.observations().m_arrivals[site.servers()[first_ledger]->id()] == before);
        CHECK(site.observations().m_violations.m_lines == std::vector<std::string>{});
    });
}

TEST_CASE("a server that drains in a new era gets no request although its revision has fallen") {
    constexpr std::size_t gateways = 2U;
    constexpr duration notice = std::chrono::seconds{2};
    constexpr duration recovery = std::chrono::seconds{3};
    site_fixture fixture{gateways};
    REQUIRE(wait_for_path(fixture, standin_site::lookup_path, gateways));
    wait_for_copy();
    fixture.m_site.run_in_loop([](standin_site::site& site) {
        for (unsigned index = 0U; index < 100U; ++index) {
            site.key_value_store().put("other/" + std::to_string(index), "x");
        }
        site.restart_server(first_ledger);
    });
    const auto replacement = server_id(fixture, first_ledger);
    for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
        REQUIRE(process::wait_until(
            [&] { return logs_server(fixture.m_fleet.daemons()[gateway].m_process->output(), 0U, replacement); }));
    }
    fixture.m_site.run_in_loop(
        [](standin_site::site& site) { site.key_value_store().restore(copy_age, rewrite_delay); });
    std::this_thread::sleep_for(recovery);
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.servers()[first_ledger]->drain(); });
    std::this_thread::sleep_for(notice);
    unsigned before{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) { before = site.observations().m_arrivals[replacement]; });
    unsigned failed{};
    for (unsigned number = 0U; number < 50U; ++number) {
        const auto attempt = "b" + std::to_string(number);
        auto answer = fixture.start_request(attempt, standin_site::lookup_path, "b", number % gateways);
        failed += answer.get().m_response.m_status == 200U ? 0U : 1U;
    }
    CHECK(failed == 0U);
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        CHECK(site.observations().m_arrivals[replacement] == before);
        CHECK(site.observations().m_violations.m_lines == std::vector<std::string>{});
    });
}

TEST_CASE("gateways register again in a new era with leases of their own, loaders write nothing") {
    constexpr std::size_t gateways = 2U;
    site_fixture fixture{gateways};
    wait_for_copy();
    const auto count = [&] {
        std::size_t members{};
        fixture.m_site.run_in_loop(
            [&](standin_site::site& site) { members = site.key_value_store().count("rhubarbwharf/members/"); });
        return members;
    };
    const auto processes = fixture.m_fleet.daemons().size();
    REQUIRE(process::wait_until([&] { return count() == gateways; }));
    fixture.m_fleet.start_daemon(0U);
    REQUIRE(wait_for_path(fixture, standin_site::lookup_path, gateways));
    fixture.m_site.run_in_loop(
        [](standin_site::site& site) { site.key_value_store().restore(copy_age, rewrite_delay); });
    const auto restored = steady_now();
    const auto count_calls = [&] {
        std::uint64_t calls{};
        fixture.m_site.run_in_loop([&](standin_site::site& site) { calls = site.key_value_store().call_count(); });
        return calls;
    };
    const auto calls = count_calls();
    const auto registered = [&] {
        const auto log = fixture.m_fleet.logs();
        std::size_t out{};
        const std::string_view event = "\"event\":\"member.registered\",\"era\":2";
        for (auto at = log.find(event); at != std::string::npos; at = log.find(event, at + 1U)) {
            ++out;
        }
        return out;
    };
    std::this_thread::sleep_for(restored + std::chrono::seconds{10} - steady_now());
    MESSAGE(processes, " processes: store calls in ten seconds: ", count_calls() - calls);
    CHECK(process::wait_until([&] { return registered() == gateways; }));
    CHECK(count() == gateways);
}

} // namespace rhubarbwharf::soak
