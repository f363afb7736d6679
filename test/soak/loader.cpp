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

} // namespace rhubarbwharf::soak
