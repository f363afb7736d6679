#include <algorithm>
#include <csignal>

#include <doctest/doctest.h>

#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

auto name_weights(site_fixture& fixture, const std::uint64_t version) -> void {
    fixture.m_site.run_in_loop([version](standin_site::site& site) { site.set_weights_version(version); });
}

[[nodiscard]] auto is_logged(site_fixture& fixture, const std::string_view text) -> bool {
    return fixture.m_fleet.logs().find(text) != std::string::npos;
}

/*! @brief Counts the pieces that loaders have received. */
[[nodiscard]] auto count_fetched(site_fixture& fixture) -> std::size_t {
    std::istringstream logs{fixture.m_fleet.logs()};
    std::size_t out{};
    for (std::string line{}; std::getline(logs, line);) {
        const auto is_fetch = line.find("\"event\":\"piece.fetched\"") != std::string::npos;
        out += is_fetch && line.find("\"status\":200") != std::string::npos ? 1U : 0U;
    }
    return out;
}

/*! @brief Has all runners refuse reports; returns once each has done so. */
auto refuse_reports(site_fixture& fixture, const std::string& retry_after) -> void {
    standin_site::server_faults faults{};
    faults.m_report_retry_after = retry_after;
    fixture.set_server_faults(faults);
    REQUIRE(process::wait_until([&] {
        auto refused = false;
        fixture.m_site.run_in_loop([&](standin_site::site& site) {
            refused = site.observations().m_refused_reports >= site.options().m_runner_count;
        });
        return refused;
    }));
}

/*! @brief Returns the age of the server's last report when an attempt was sent; -1 if there is none. */
[[nodiscard]] auto reported_age_ms(site_fixture& fixture, const std::string& attempt) -> long {
    const std::string name = "\"report_age_ms\":";
    const auto logs = fixture.m_fleet.logs();
    const auto sent = logs.find("\"event\":\"request.sent\",\"id\":\"" + attempt + '"');
    const auto found = sent == std::string::npos ? sent : logs.find(name, sent);
    return found == std::string::npos ? -1L : std::strtol(logs.c_str() + found + name.size(), nullptr, 10);
}

auto check_violations(site_fixture& fixture) -> void {
    fixture.m_site.run_in_loop([](standin_site::site& site) {
        for (const auto& each : site.observations().m_violations.m_lines) {
            FAIL_CHECK(each);
        }
    });
}

} // namespace

TEST_CASE("no piece of a newer version is staged while a runner may still accept an order for the older one") {
    site_fixture fixture{1U};
    standin_site::server_faults faults{};
    faults.m_order_delay = std::chrono::milliseconds{2'500};
    fixture.set_server_faults(faults);
    name_weights(fixture, 2U);
    REQUIRE(process::wait_until([&] { return is_logged(fixture, "\"event\":\"load.ordered\""); }));
    name_weights(fixture, 3U);
    REQUIRE(process::wait_until([&] {
        auto handled = false;
        fixture.m_site.run_in_loop(
            [&](standin_site::site& site) { handled = site.observations().m_handled_orders != 0U; });
        return handled;
    }));
    fixture.set_server_faults({});
    CHECK(fixture.wait_until_version_everywhere(3U));
    check_violations(fixture);
}

// A loader that had just started knew of no order and overwrote the staged pieces, so that the runner loaded weights of
// two versions.
TEST_CASE("a loader that is killed and starts again stages nothing while its predecessor's order may be accepted") {
    site_fixture fixture{1U};
    standin_site::server_faults faults{};
    faults.m_order_delay = std::chrono::milliseconds{2'500};
    fixture.set_server_faults(faults);
    name_weights(fixture, 2U);
    std::size_t ordering{};
    REQUIRE(process::wait_until([&] {
        const auto& daemons = fixture.m_fleet.daemons();
        const auto found = std::ranges::find_if(daemons, [](const daemon& each) {
            return each.m_process->output().find("\"event\":\"load.ordered\"") != std::string::npos;
        });
        ordering = static_cast<std::size_t>(found - daemons.begin());
        return found != daemons.end();
    }));
    fixture.m_fleet.send_signal(ordering, SIGKILL);
    name_weights(fixture, 3U);
    fixture.m_fleet.start_daemon(ordering);
    REQUIRE(process::wait_until([&] {
        auto handled = false;
        fixture.m_site.run_in_loop(
            [&](standin_site::site& site) { handled = site.observations().m_handled_orders != 0U; });
        return handled;
    }));
    fixture.set_server_faults({});
    CHECK(fixture.wait_until_version_everywhere(3U));
    check_violations(fixture);
}

TEST_CASE("a staged piece whose read is not answered is read again, not fetched again") {
    constexpr auto runners = 3U;
    site_fixture fixture{1U};
    standin_site::server_faults faults{};
    faults.m_unanswered_reads = 1U;
    fixture.set_server_faults(faults);
    name_weights(fixture, 2U);
    CHECK(fixture.wait_until_version_everywhere(2U));
    check_violations(fixture);
    CHECK_FALSE(is_logged(fixture, "\"event\":\"piece.spoilt\""));
    const auto pieces = fixture.m_site.options().m_piece_count;
    // A daemon writes its log up to 0.1 s late; a further fetch, which would be wrong, is logged by then as well.
    CHECK(process::wait_until([&] { return count_fetched(fixture) >= runners * pieces; }));
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    CHECK(count_fetched(fixture) == runners * pieces);
}

TEST_CASE("a runner that answers its report with a pause still counts as alive, with the load that it last reported") {
    site_fixture fixture{1U};
    auto requests = 0U;
    REQUIRE(process::wait_until([&] {
        const auto attempt = "c" + std::to_string(++requests);
        return fixture.send_request(attempt, standin_site::model_path, "c").m_status == 200U &&
               reported_age_ms(fixture, attempt) >= 0;
    }));
    refuse_reports(fixture, "3");
    std::this_thread::sleep_for(std::chrono::milliseconds{1'500});
    CHECK(fixture.send_request("b1", standin_site::model_path, "b").m_status == 200U);
    REQUIRE(process::wait_until([&] { return reported_age_ms(fixture, "b1") >= 0; }));
    CHECK(reported_age_ms(fixture, "b1") < 1'000);
    CHECK_FALSE(is_logged(fixture, "\"event\":\"runner.seen\",\"alive\":false"));
    fixture.m_site.run_in_loop([](standin_site::site& site) {
        CHECK(site.observations().m_refused_reports == site.options().m_runner_count);
    });
}

TEST_CASE("a pause that can't be read is logged") {
    site_fixture fixture{1U};
    refuse_reports(fixture, "soon");
    CHECK(process::wait_until([&] { return is_logged(fixture, "\"event\":\"runner.pause_malformed\""); }));
}

} // namespace rhubarbwharf::soak
