#include <csignal>

#include <algorithm>
#include <atomic>

#include <doctest/doctest.h>

#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

constexpr std::size_t runner_count = 2U;
/*! @brief Callers that send one request after the other: more than both runners have slots for. */
constexpr std::size_t caller_count = 16U;
constexpr duration load_time = std::chrono::seconds{6};
/*! @brief Time for which the machine of a runner stands still. */
constexpr duration standstill = std::chrono::seconds{4};
/*! @brief Time after which the caller of a stream that sends nothing leaves. */
constexpr duration caller_patience = std::chrono::seconds{2};

struct load_result {
    std::atomic<unsigned> m_whole{};
    std::atomic<unsigned> m_refused{};
    std::atomic<unsigned> m_failed{};
    std::atomic<std::int64_t> m_longest_ms{};
};

/*! @brief Sends requests one after the other until a time. */
auto send_requests(site_fixture& fixture, const std::size_t caller, const time_point until, load_result& result)
    -> void {
    for (unsigned number = 0U; steady_now() < until; ++number) {
        const auto attempt = "c" + std::to_string(caller) + "-" + std::to_string(number);
        const auto sent = steady_now();
        const auto response = fixture.start_request(attempt, standin_site::model_path, "c").get().m_response;
        constexpr std::uint16_t refused = 503U;
        if (response.m_status == refused) {
            ++result.m_refused;
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
            continue;
        }
        const auto is_whole = response.m_body == complete_stream();
        ++(is_whole ? result.m_whole : result.m_failed);
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(steady_now() - sent).count();
        auto longest = result.m_longest_ms.load();
        while (longest < took && !result.m_longest_ms.compare_exchange_weak(longest, took)) {
        }
    }
}

} // namespace

TEST_CASE("requests at a runner that stands still are answered elsewhere before their callers leave, under full load") {
    site_fixture fixture{1U, {.m_runner_count = runner_count}};
    constexpr std::size_t first_loader = 1U;
    load_result result{};
    std::vector<std::thread> callers{};
    const auto started = steady_now();
    for (std::size_t caller = 0U; caller < caller_count; ++caller) {
        callers.emplace_back([&, caller] { send_requests(fixture, caller, started + load_time, result); });
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});
    fixture.m_fleet.send_signal(first_loader, SIGSTOP);
    fixture.m_site.run_in_loop([](standin_site::site& site) { site.servers()[0]->pause(standstill); });
    for (auto& each : callers) {
        each.join();
    }
    fixture.m_fleet.send_signal(first_loader, SIGCONT);
    MESSAGE("whole ", result.m_whole.load(), ", refused ", result.m_refused.load(), ", failed ", result.m_failed.load(),
            ", longest ", result.m_longest_ms.load(), " ms");
    CHECK(result.m_whole > 0U);
    CHECK(result.m_failed == 0U);
    CHECK(std::chrono::milliseconds{result.m_longest_ms} < caller_patience);
}

} // namespace rhubarbwharf::soak
