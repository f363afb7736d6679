#include <algorithm>
#include <atomic>
#include <csignal>
#include <set>

#include <doctest/doctest.h>

#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

constexpr std::uint16_t ok = 200U;
constexpr std::uint16_t unavailable = 503U;
/*! @brief Time in which a change of the operators is in force everywhere. */
constexpr duration change_bound = std::chrono::seconds{3};
/*! @brief Time after which an evacuated data centre must get nothing. */
constexpr duration evacuation_bound = std::chrono::seconds{5};
constexpr std::size_t gateway_count = 4U;

[[nodiscard]] auto two_regions() -> standin_site::site_options {
    standin_site::site_options out{};
    out.m_runner_count = 4U;
    out.m_region_count = 2U;
    return out;
}

/*! @brief Counts the requests that reached the runners of a data centre after a time. */
[[nodiscard]] auto count_arrivals(site_fixture& fixture, const std::string& data_centre, const time_point since)
    -> std::ptrdiff_t {
    std::ptrdiff_t out{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        for (std::size_t index = 0U; index < site.options().m_runner_count; ++index) {
            const auto& server = *site.servers()[index];
            const auto& times = site.observations().m_arrival_times[server.id()];
            const auto is_later = [since](const time_point each) {
                return each > since;
            };
            out += server.data_centre() == data_centre ? std::ranges::count_if(times, is_later) : 0;
        }
    });
    return out;
}

/*! @brief Callers of one organisation that send requests to all gateways in turn until they are stopped. */
class callers {
public:
    callers(site_fixture& fixture, const std::string& organisation, const std::size_t count) : m_fixture{fixture} {
        for (std::size_t caller = 0U; caller < count; ++caller) {
            m_threads.emplace_back([this, organisation, caller] { send(organisation, caller); });
        }
    }

    ~callers() {
        m_stopped = true;
        for (auto& each : m_threads) {
            each.join();
        }
    }

    callers(const callers&) = delete;
    callers(callers&&) = delete;
    auto operator=(const callers&) -> callers& = delete;
    auto operator=(callers&&) -> callers& = delete;

    [[nodiscard]] auto answered() const noexcept -> unsigned { return m_answered; }

private:
    auto send(const std::string& organisation, const std::size_t caller) -> void {
        for (unsigned number = 0U; !m_stopped; ++number) {
            const auto attempt = organisation + std::to_string(caller) + "-" + std::to_string(number);
            const auto gateway = (caller + number) % gateway_count;
            const auto response =
                m_fixture.start_request(attempt, standin_site::model_path, organisation, gateway).get().m_response;
            m_answered += response.m_status == ok ? 1U : 0U;
            if (response.m_status != ok) {
                std::this_thread::sleep_for(std::chrono::milliseconds{20});
            }
        }
    }

    site_fixture& m_fixture;
    std::atomic<bool> m_stopped{false};
    std::atomic<unsigned> m_answered{};
    std::vector<std::thread> m_threads{};
};

auto write_configuration(site_fixture& fixture, const standin_site::configuration_options& options) -> void {
    fixture.m_site.run_in_loop([&](standin_site::site& site) { site.write_configuration(options); });
}

} // namespace

// Before, a request went to any region, whatever its route or organisation allowed.
TEST_CASE("requests stay in the allowed regions while the runners there end and regions are withdrawn") {
    site_fixture fixture{gateway_count, two_regions()};
    standin_site::configuration_options options{};
    options.m_model_regions = {"region-1"};
    write_configuration(fixture, options);
    std::this_thread::sleep_for(change_bound);
    const auto restricted = steady_now();
    {
        const callers busy{fixture, "b", 12U};
        std::this_thread::sleep_for(std::chrono::seconds{1});
        // Retries of what breaks off at the runners of the allowed region are due now, and only others are free.
        for (const auto index : {0U, 2U}) {
            fixture.m_site.run_in_loop([index](standin_site::site& site) { site.servers()[index]->crash({}); });
        }
        std::this_thread::sleep_for(std::chrono::seconds{2});
        CHECK(busy.answered() > 0U);
    }
    CHECK(count_arrivals(fixture, "dc-2", restricted) == 0);
    options.m_model_regions = {"region-2"};
    write_configuration(fixture, options);
    std::this_thread::sleep_for(change_bound);
    const auto moved = steady_now();
    // Another organisation, as the callers' equal requests count as those that ended the runners.
    CHECK(fixture.send_request("c-moved", standin_site::model_path, "c").m_status == ok);
    CHECK(count_arrivals(fixture, "dc-1", moved) == 0);
    CHECK(count_arrivals(fixture, "dc-2", moved) == 1);
}

// Where route and organisation name different regions, a request was sent to either.
TEST_CASE("a request that no region may serve is refused at once with a time to return, and others are served") {
    site_fixture fixture{gateway_count, two_regions()};
    standin_site::configuration_options options{};
    options.m_model_regions = {"region-1"};
    options.m_organisation_regions = {"region-2", "region-9"};
    write_configuration(fixture, options);
    std::this_thread::sleep_for(change_bound);
    const auto begun = steady_now();
    const auto refused = fixture.send_request("a-none", standin_site::model_path, "a");
    CHECK(refused.m_status == unavailable);
    CHECK(net::find(refused.m_headers, "Retry-After") != "");
    CHECK(steady_now() - begun < std::chrono::milliseconds{500});
    CHECK(fixture.count_executions("a-none") == 0U);
    CHECK(fixture.send_request("b-route", standin_site::model_path, "b").m_status == ok);
}

// Before, the operators' key had no effect.
TEST_CASE(
    "an evacuated data centre gets nothing until it is taken back, also from gateways that the store turns away") {
    site_fixture fixture{gateway_count, two_regions()};
    const callers busy{fixture, "b", 16U};
    // One gateway of each region does not reach the store, and another one starts while it does not answer at all.
    for (const auto index : {2U, 3U}) {
        fixture.m_fleet.set_store_link_fault(index, link_fault::reset);
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.set_evacuated("dc-2", true); });
    const auto evacuated = steady_now();
    std::this_thread::sleep_for(change_bound);
    fixture.m_site.run_in_loop([](standin_site::site& site) {
        standin_site::store_faults faults{};
        faults.m_unavailable = true;
        site.key_value_store().set_faults(faults);
    });
    fixture.m_fleet.send_signal(1U, SIGKILL);
    REQUIRE(process::wait_until([&] { return !fixture.m_fleet.daemons()[1U].m_process->is_running(); }));
    fixture.m_fleet.start_daemon(1U);
    std::this_thread::sleep_for(evacuation_bound);
    CHECK(count_arrivals(fixture, "dc-2", evacuated + evacuation_bound) == 0);
    const auto answered = busy.answered();
    CHECK(process::wait_until([&] { return busy.answered() > answered + 20U; }));
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.key_value_store().set_faults({}); });
    std::this_thread::sleep_for(std::chrono::seconds{2});
    CHECK(count_arrivals(fixture, "dc-2", evacuated + evacuation_bound) == 0);
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.set_evacuated("dc-2", false); });
    const auto taken_back = steady_now();
    CHECK(process::wait_until([&] { return count_arrivals(fixture, "dc-2", taken_back) > 20; }));
}

// Before, all gateways filled a server at once when it returned cold and empty.
TEST_CASE("a server that turns cold gets no more requests of all gateways in a second than it bears") {
    constexpr double cold_per_s = 4.0;
    constexpr double allowed_in_second = 1.5 * cold_per_s + 5.0;
    site_fixture fixture{gateway_count, two_regions()};
    standin_site::configuration_options options{};
    options.m_cold_per_s = cold_per_s;
    write_configuration(fixture, options);
    std::this_thread::sleep_for(change_bound);
    const callers busy{fixture, "b", 24U};
    std::this_thread::sleep_for(std::chrono::seconds{1});
    std::vector<time_point> arrivals{};
    const auto turned = steady_now();
    fixture.m_site.run_in_loop([](standin_site::site& site) {
        for (const auto index : {0U, 2U}) {
            site.servers()[index]->turn_cold(standin_site::cold_time);
        }
    });
    std::this_thread::sleep_for(standin_site::cold_time);
    fixture.m_site.run_in_loop(
        [&](standin_site::site& site) { arrivals = site.observations().m_arrival_times[site.servers()[0]->id()]; });
    // The entry reaches all gateways within half a second, the time for which changes of servers are gathered.
    constexpr duration notice_time = std::chrono::milliseconds{700};
    std::size_t most{};
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto is_judged = *first > turned + notice_time && *first < turned + standin_site::cold_time;
        const auto last = std::upper_bound(first, arrivals.end(), *first + std::chrono::seconds{1});
        most = is_judged ? std::max(most, static_cast<std::size_t>(last - first)) : most;
    }
    MESSAGE("at most ", most, " arrivals in a second");
    CHECK(static_cast<double>(most) <= allowed_in_second);
    CHECK(most > 0U);
}

} // namespace rhubarbwharf::soak
