#include <algorithm>
#include <atomic>

#include <doctest/doctest.h>

#include <soak/limits.hpp>
#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

constexpr std::size_t gateway_count = 3U;
constexpr std::size_t caller_count = 12U;
constexpr double limit_per_s = 1.0;

/*! @brief Sends requests one after the other, to the gateways in turn, until told to stop. */
auto send_requests(site_fixture& fixture, const std::size_t caller, const std::atomic<bool>& stopped,
                   std::atomic<unsigned>& failed) -> void {
    for (unsigned number = 0U; !stopped; ++number) {
        const auto attempt = "c" + std::to_string(caller) + "-" + std::to_string(number);
        const auto gateway = (caller + number) % gateway_count;
        const auto response = fixture.start_request(attempt, standin_site::model_path, "c", gateway).get().m_response;
        constexpr std::uint16_t refused = 503U;
        if (response.m_status == refused) {
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        } else if (response.m_body != complete_stream()) {
            ++failed;
        }
    }
}

auto set_limit(site_fixture& fixture, const double per_s) -> void {
    fixture.m_site.run_in_loop([per_s](standin_site::site& site) {
        standin_site::server_faults faults{};
        faults.m_limit_per_s = per_s;
        site.servers()[0]->set_faults(faults);
    });
}

} // namespace

TEST_CASE("a server gets no more requests of all gateways together than it has named, and more once it names none") {
    site_fixture fixture{gateway_count};
    std::atomic<bool> stopped{false};
    std::atomic<unsigned> failed{};
    std::vector<std::thread> callers{};
    for (std::size_t caller = 0U; caller < caller_count; ++caller) {
        callers.emplace_back([&, caller] { send_requests(fixture, caller, stopped, failed); });
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});
    const auto named = steady_now();
    set_limit(fixture, limit_per_s);
    std::this_thread::sleep_for(limit_notice_time + 2 * limit_window);
    std::vector<time_point> arrivals{};
    std::string server{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        server = site.servers()[0]->id();
        arrivals = site.observations().m_limit_periods.front()->m_arrivals;
    });
    set_limit(fixture, 0.0);
    const auto count_arrivals = [&] {
        unsigned out{};
        fixture.m_site.run_in_loop([&](standin_site::site& site) { out = site.observations().m_arrivals[server]; });
        return out;
    };
    const auto lifted_at = count_arrivals();
    CHECK(process::wait_until([&] { return count_arrivals() > lifted_at + 100U; }));
    stopped = true;
    for (auto& each : callers) {
        each.join();
    }
    const auto seconds = std::chrono::duration<double>{limit_window}.count();
    const auto most = max_in_window(arrivals, named + limit_notice_time, [](time_point, time_point) { return false; });
    const auto counted = arrivals.end() - std::ranges::lower_bound(arrivals, named + limit_notice_time);
    MESSAGE("at most ", most, " arrivals in 4 s, ", counted, " in 8 s");
    CHECK(static_cast<double>(most) <= allowed_arrivals(limit_per_s));
    // A server in need that gets nothing is capacity lost.
    CHECK(static_cast<double>(counted) >= limit_per_s * seconds);
    CHECK(failed == 0U);
}

} // namespace rhubarbwharf::soak
