#include <csignal>

#include <doctest/doctest.h>

#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

/*! @brief Time limit of a version in the settings of the fleet. */
constexpr duration version_limit = std::chrono::milliseconds{6'000};
constexpr duration time_between_versions = std::chrono::milliseconds{1'500};
/*! @brief Time after the first newer version at which a gateway starts: its peers still know the version. */
constexpr duration start_time = std::chrono::milliseconds{4'500};
constexpr duration request_interval = std::chrono::milliseconds{40};

} // namespace

TEST_CASE("a gateway that starts after two versions were named keeps the limit of the first one") {
    site_fixture fixture{2U};
    time_point named_at{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        site.set_origin_faults({1U, {}});
        named_at = steady_now();
        site.set_weights_version(2U);
    });
    std::this_thread::sleep_for(time_between_versions);
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.set_weights_version(3U); });
    std::this_thread::sleep_for(named_at + start_time - steady_now());
    fixture.m_fleet.start_daemon(0U);
    std::vector<std::future<process::call_result>> running{};
    while (steady_now() < named_at + version_limit + time_between_versions) {
        running.push_back(
            fixture.start_request("a" + std::to_string(running.size()) + "-order", standin_site::model_path, "a"));
        std::this_thread::sleep_for(request_interval);
    }
    for (auto& each : running) {
        each.wait();
    }
    duration last{};
    fixture.m_site.run_in_loop(
        [&](standin_site::site& site) { last = site.observations().m_last_begin[1U] - named_at; });
    CAPTURE(last.count());
    CHECK(last > start_time);
    CHECK(last <= version_limit);
}

} // namespace rhubarbwharf::soak
