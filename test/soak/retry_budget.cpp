#include <csignal>

#include <doctest/doctest.h>

#include <soak/repeats.hpp>
#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

/*! @brief Time limit of a version in the settings of the fleet. */
constexpr duration version_limit = std::chrono::milliseconds{6'000};
constexpr repeat_bounds bounds{0.2, 12.0, std::chrono::seconds{4}};
constexpr std::size_t gateway_count = 3U;

/*! @brief Fleet whose settings have the bounds above. */
class budget_fixture : public site_fixture {
public:
    budget_fixture() : site_fixture{gateway_count, {}} {
        for (std::size_t gateway = 0U; gateway < gateway_count; ++gateway) {
            replace_in_settings(gateway, R"("retry_slack": 30, "retry_window_ms": 1000)",
                                R"("retry_slack": 12, "retry_window_ms": 4000)");
            restart(gateway);
        }
        for (std::size_t gateway = 0U; gateway < gateway_count; ++gateway) {
            REQUIRE(process::wait_until([&] { return has_whole_budget(gateway); }));
        }
    }

    /*! @brief Kills a gateway, starts it again and waits until it answers. */
    auto restart(const std::size_t gateway) -> void {
        m_fleet.start_daemon(gateway);
        REQUIRE(process::wait_until([&] {
            return start_request(next_attempt(), standin_site::lookup_path, "a", gateway).get().m_response.m_status ==
                   200U;
        }));
        REQUIRE(process::wait_until([&] {
            return start_request(next_attempt(), standin_site::model_path, "a", gateway).get().m_response.m_status ==
                   200U;
        }));
    }

    /*! @brief Starts requests at all gateways in turn. */
    auto start_requests(const std::size_t count, const std::string_view path) -> void {
        for (std::size_t index = 0U; index < count; ++index) {
            m_running.push_back(start_request(next_attempt(), path, "a", index % gateway_count));
        }
    }

    /*! @brief Waits for the requests that were started. @return How many were answered with success. */
    auto wait_for_requests() -> std::size_t {
        std::size_t out{};
        for (auto& each : std::exchange(m_running, {})) {
            out += each.get().m_response.m_status == 200U ? 1U : 0U;
        }
        return out;
    }

    [[nodiscard]] auto repeats(const bool at_runners) -> repeat_peak {
        repeat_peak out{};
        m_site.run_in_loop([&](standin_site::site& site) {
            out = find_repeat_peak(list_arrivals(site.observations(), at_runners), bounds);
        });
        return out;
    }

private:
    [[nodiscard]] auto next_attempt() -> std::string { return "a" + std::to_string(100U + ++m_last_attempt); }

    std::vector<std::future<process::call_result>> m_running{};
    std::size_t m_last_attempt{};
};

} // namespace

TEST_CASE("requests that are withdrawn from servers with an outdated version stay within the retry budget") {
    constexpr std::size_t request_count = 36U;
    constexpr duration sent_before_limit = std::chrono::milliseconds{900};
    budget_fixture fixture{};
    time_point named_at{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        site.set_origin_faults({1U, {}});
        named_at = steady_now();
        site.set_weights_version(2U);
    });
    std::this_thread::sleep_for(named_at + version_limit - sent_before_limit - steady_now());
    fixture.set_server_faults(pause_before_event(1U));
    fixture.start_requests(request_count, standin_site::model_path);
    REQUIRE(process::wait_until(
        [&] { return fixture.m_fleet.logs().find("the version may no longer begin a request") != std::string::npos; }));
    fixture.set_server_faults({});
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.set_origin_faults({}); });
    static_cast<void>(fixture.wait_for_requests());
    const auto peak = fixture.repeats(true);
    CAPTURE(peak.m_repeats);
    CAPTURE(peak.m_allowed);
    CHECK_FALSE(peak.is_exceeded());
}

TEST_CASE("gateways that restart in turn among failing servers stay within the retry budget together") {
    constexpr std::size_t rounds = 4U;
    constexpr std::size_t requests_per_round = 90U;
    budget_fixture fixture{};
    standin_site::server_faults faults{};
    faults.m_refuse_every = 1U;
    fixture.set_server_faults(faults);
    for (std::size_t round = 0U; round < rounds; ++round) {
        fixture.start_requests(requests_per_round, standin_site::lookup_path);
        static_cast<void>(fixture.wait_for_requests());
        fixture.set_server_faults({});
        for (std::size_t gateway = 0U; gateway < gateway_count; ++gateway) {
            fixture.restart(gateway);
        }
        fixture.set_server_faults(faults);
    }
    const auto peak = fixture.repeats(false);
    CAPTURE(peak.m_repeats);
    CAPTURE(peak.m_allowed);
    CHECK(peak.m_repeats > 0U);
    CHECK_FALSE(peak.is_exceeded());
}

TEST_CASE("a gateway that restarts learns from its peers what its predecessor has spent of the retry budget") {
    constexpr std::string_view inherited = R"("event":"retries.inherited")";
    budget_fixture fixture{};
    standin_site::server_faults faults{};
    faults.m_refuse_every = 1U;
    fixture.set_server_faults(faults);
    fixture.start_requests(gateway_count * 20U, standin_site::lookup_path);
    static_cast<void>(fixture.wait_for_requests());
    REQUIRE(fixture.repeats(false).m_repeats > 0U);
    fixture.set_server_faults({});
    fixture.restart(0U);
    const auto& gateway = *fixture.m_fleet.daemons()[0].m_process;
    REQUIRE(process::wait_until([&] { return gateway.output().find(inherited) != std::string::npos; }));
    const auto log = gateway.output();
    const auto line = log.substr(log.find(inherited));
    CHECK(line.substr(0U, line.find('}')).find(R"("retries":0)") == std::string::npos);
    CHECK(fixture.has_whole_budget(0U));
}

} // namespace rhubarbwharf::soak
