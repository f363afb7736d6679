#include <atomic>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

constexpr std::size_t caller_count = 4U;
constexpr duration load_time = std::chrono::seconds{5};

} // namespace

// Callers ask for the same thing again and again, and servers that live lose the answers of some of these requests.
TEST_CASE("a request is not held back because servers that live have lost its answers") {
    site_fixture fixture{1U};
    standin_site::server_faults faults{};
    faults.m_lose_reply_every = 5U;
    fixture.set_server_faults(faults);
    std::atomic<unsigned> refused{};
    std::atomic<unsigned> answered{};
    std::vector<std::thread> callers{};
    for (std::size_t caller = 0U; caller < caller_count; ++caller) {
        callers.emplace_back([&, caller, until = steady_now() + load_time] {
            for (unsigned number = 0U; steady_now() < until; ++number) {
                const auto attempt = "c" + std::to_string(caller) + "-" + std::to_string(number);
                const auto response = fixture.start_request(attempt, standin_site::lookup_path, "c").get().m_response;
                refused += response.m_status == 503U ? 1U : 0U;
                answered += response.m_status == 200U ? 1U : 0U;
                std::this_thread::sleep_for(std::chrono::milliseconds{20});
            }
        });
    }
    for (auto& each : callers) {
        each.join();
    }
    MESSAGE("answered ", answered.load(), ", refused ", refused.load());
    CHECK(answered > 10U * refused);
    CHECK(fixture.m_fleet.logs().find("quarantined") == std::string::npos);
}

} // namespace rhubarbwharf::soak
