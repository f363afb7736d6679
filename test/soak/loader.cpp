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
    CHECK(count_fetched(fixture) == runners * pieces);
}

} // namespace rhubarbwharf::soak
