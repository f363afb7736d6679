#include <doctest/doctest.h>

#include <soak/repeats.hpp>
#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

/*! @brief Time limit of a version in the settings of the fleet. */
constexpr duration version_limit = std::chrono::milliseconds{6'000};
constexpr std::size_t gateway_count = 3U;

/*! @brief Fleet with a window of 4 s and a given slack, whose gateways may spend their whole parts of the budgets. */
class budget_fixture : public site_fixture {
public:
    explicit budget_fixture(const unsigned slack)
        : site_fixture{gateway_count}, m_bounds{0.2, static_cast<double>(slack), window} {
        for (std::size_t gateway = 0U; gateway < gateway_count; ++gateway) {
            replace_in_settings(gateway, R"("retry_slack": 30, "retry_window_ms": 1000)",
                                "\"retry_slack\": " + std::to_string(slack) + ", \"retry_window_ms\": 4000");
            restart(gateway);
        }
        for (std::size_t gateway = 0U; gateway < gateway_count; ++gateway) {
            REQUIRE(process::wait_until([&] { return has_whole_budget(gateway); }));
        }
    }

    /*! @brief Kills a gateway, starts it again and waits until it answers. */
    auto restart(const std::size_t gateway) -> void {
        m_fleet.start_daemon(gateway);
        REQUIRE(process::wait_until(
            [&] { return start_counted(standin_site::model_path, gateway).get().m_response.m_status == 200U; }));
    }

    /*! @brief Starts requests at all gateways in turn. */
    auto start_requests(const std::size_t count, const std::string_view path) -> void {
        for (std::size_t index = 0U; index < count; ++index) {
            m_running.push_back(start_counted(path, index % gateway_count));
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

    /*! @brief Finds the window with the most repeats. @param path Path of the requests that are counted. */
    [[nodiscard]] auto repeats(const std::string_view path) -> repeat_peak {
        repeat_peak out{};
        m_site.run_in_loop([&](standin_site::site& site) {
            const auto at_runners = path == standin_site::model_path;
            out = find_repeat_peak(m_sent[path], list_repeats(site.observations(), at_runners), m_bounds);
        });
        return out;
    }

private:
    static constexpr duration window = std::chrono::seconds{4};

    auto start_counted(const std::string_view path, const std::size_t gateway) -> std::future<process::call_result> {
        m_sent[path].push_back(steady_now());
        return start_request("a" + std::to_string(100U + ++m_last_attempt), path, "a", gateway);
    }

    repeat_bounds m_bounds{};
    /*! @brief When requests were sent, by path. */
    std::map<std::string_view, std::vector<time_point>> m_sent{};
    std::vector<std::future<process::call_result>> m_running{};
    std::size_t m_last_attempt{};
};

} // namespace

TEST_CASE("requests that are withdrawn from servers with an outdated version stay within the retry budget") {
    constexpr std::size_t request_count = 36U;
    constexpr duration sent_before_limit = std::chrono::milliseconds{900};
    budget_fixture fixture{3U};
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
    const auto peak = fixture.repeats(standin_site::model_path);
    CAPTURE(peak.m_repeats);
    CAPTURE(peak.m_allowed);
    CHECK_FALSE(peak.is_exceeded());
}

TEST_CASE("gateways that restart in turn among failing servers stay within the retry budget together") {
    constexpr std::size_t rounds = 5U;
    constexpr std::size_t requests_per_round = 12U;
    budget_fixture fixture{12U};
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
    const auto peak = fixture.repeats(standin_site::lookup_path);
    CAPTURE(peak.m_repeats);
    CAPTURE(peak.m_allowed);
    CHECK(peak.m_repeats > 0U);
    CHECK_FALSE(peak.is_exceeded());
}

TEST_CASE("a gateway that restarts learns from its peers what its predecessor has spent of the retry budget") {
    constexpr std::string_view inherited = R"("event":"retries.inherited")";
    budget_fixture fixture{12U};
    standin_site::server_faults faults{};
    faults.m_refuse_every = 1U;
    fixture.set_server_faults(faults);
    fixture.start_requests(gateway_count * 20U, standin_site::lookup_path);
    static_cast<void>(fixture.wait_for_requests());
    REQUIRE(fixture.repeats(standin_site::lookup_path).m_repeats > 0U);
    fixture.set_server_faults({});
    fixture.restart(0U);
    REQUIRE(process::wait_until([&] { return fixture.log_since_start(0U).find(inherited) != std::string::npos; }));
    const auto log = fixture.log_since_start(0U);
    const auto line = log.substr(log.find(inherited));
    CHECK(line.substr(0U, line.find('}')).find(R"("retries":0)") == std::string::npos);
    CHECK(fixture.has_whole_budget(0U));
}

} // namespace rhubarbwharf::soak
