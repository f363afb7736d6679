#include <csignal>

#include <doctest/doctest.h>

#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

/*! @brief Time limit of a version in the settings of the fleet. */
constexpr duration version_limit = std::chrono::milliseconds{6'000};
constexpr duration request_interval = std::chrono::milliseconds{40};

/*! @brief Keeps the runners at their version, although a newer one is named. */
auto withhold_newer_weights(site_fixture& fixture) -> void {
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.set_origin_faults({1U, {}}); });
}

/*! @brief Names version 2. @return When it was written. */
auto name_newer_weights(site_fixture& fixture) -> time_point {
    time_point out{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        out = steady_now();
        site.set_weights_version(2U);
    });
    return out;
}

/*! @brief Sends requests to the first gateway until a time. */
auto send_until(site_fixture& fixture, const time_point end) -> void {
    std::vector<std::future<process::call_result>> running{};
    while (steady_now() < end) {
        running.push_back(fixture.start_request("a" + std::to_string(running.size()) + "-" +
                                                    std::to_string(steady_now().time_since_epoch().count()),
                                                standin_site::model_path, "a"));
        std::this_thread::sleep_for(request_interval);
    }
    for (auto& each : running) {
        each.wait();
    }
}

/*! @brief Returns how long after a time a request last began on a version. */
[[nodiscard]] auto last_begin_after(site_fixture& fixture, const std::uint64_t version, const time_point since)
    -> duration {
    time_point last{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) { last = site.observations().m_last_begin[version]; });
    return last - since;
}

auto freeze(site_fixture& fixture, const std::size_t gateway) -> void {
    fixture.m_fleet.send_signal(gateway, SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
}

} // namespace

TEST_CASE("a gateway that stood still while a version was named begins no request on the older one after its limit") {
    site_fixture fixture{1U};
    withhold_newer_weights(fixture);
    freeze(fixture, 0U);
    const auto named_at = name_newer_weights(fixture);
    std::this_thread::sleep_for(std::chrono::seconds{3});
    fixture.m_fleet.send_signal(0U, SIGCONT);
    send_until(fixture, named_at + version_limit + std::chrono::seconds{2});
    const auto last = last_begin_after(fixture, 1U, named_at);
    CAPTURE(last.count());
    CHECK(last > duration::zero());
    CHECK(last <= version_limit);
}

TEST_CASE(
    "a gateway that stood still while a version was named learns from a peer how long the older one may be used") {
    site_fixture fixture{2U};
    withhold_newer_weights(fixture);
    constexpr duration stopped_before = std::chrono::seconds{2};
    fixture.m_fleet.send_signal(0U, SIGSTOP);
    std::this_thread::sleep_for(stopped_before);
    const auto named_at = name_newer_weights(fixture);
    std::this_thread::sleep_for(std::chrono::milliseconds{800});
    fixture.m_fleet.send_signal(0U, SIGCONT);
    send_until(fixture, named_at + version_limit + std::chrono::seconds{1});
    const auto last = last_begin_after(fixture, 1U, named_at);
    CAPTURE(last.count());
    CHECK(last > version_limit - stopped_before + std::chrono::milliseconds{500});
    CHECK(last <= version_limit);
}

TEST_CASE("a request that is withdrawn from an outdated runner waits for one with the newer version") {
    constexpr duration sent_before_limit = std::chrono::milliseconds{900};
    site_fixture fixture{1U};
    withhold_newer_weights(fixture);
    const auto named_at = name_newer_weights(fixture);
    std::this_thread::sleep_for(named_at + version_limit - sent_before_limit - steady_now());
    fixture.set_server_faults(pause_before_event(1U));
    auto running = fixture.start_request("b1", standin_site::model_path, "b");
    REQUIRE(process::wait_until([&] { return fixture.count_executions("b1") == 1U; }));
    fixture.set_server_faults({});
    REQUIRE(process::wait_until(
        [&] { return fixture.m_fleet.logs().find("the version may no longer begin a request") != std::string::npos; }));
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.set_origin_faults({}); });
    const auto result = running.get();
    CHECK(result.m_response.m_status == 200U);
    CHECK(result.m_response.m_body == complete_stream());
    CHECK(last_begin_after(fixture, 1U, named_at) <= version_limit);
}

TEST_CASE("a gateway that stood still does not take itself for the only one of its region") {
    constexpr std::size_t third = 2U;
    constexpr std::string_view resumes = R"("event":"store.watch","watches":true)";
    constexpr std::string_view pauses = R"("event":"store.watch","watches":false)";
    site_fixture fixture{3U};
    REQUIRE(process::wait_until([&] { return fixture.m_fleet.logs().find(pauses) != std::string::npos; }));
    fixture.m_fleet.send_signal(third, SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds{3});
    fixture.m_fleet.send_signal(third, SIGCONT);
    REQUIRE(process::wait_until([&] { return fixture.m_fleet.logs().find("process.stalled") != std::string::npos; }));
    std::this_thread::sleep_for(std::chrono::seconds{2});
    CHECK(fixture.m_fleet.logs().find(resumes) == std::string::npos);
}

} // namespace rhubarbwharf::soak
