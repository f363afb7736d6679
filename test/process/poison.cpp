#include <algorithm>

#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

constexpr std::size_t engines = 6;
constexpr std::size_t crashes_allowed = 2;
constexpr std::size_t times_sent = 5;
constexpr std::size_t neighbour_tokens = 200;
constexpr std::string_view fatal = "fatal-marker";

[[nodiscard]] auto crashed(site& where) -> std::size_t {
    const auto is_gone = [](const node& engine) {
        return !engine.m_server->is_running();
    };
    return static_cast<std::size_t>(std::ranges::count_if(where.engines(), is_gone));
}

} // namespace

TEST_SUITE("poison") {
    TEST_CASE("a request that crashes each engine that runs it brings down two at most, and its neighbours end whole") {
        site_options set{};
        set.m_engines = engines;
        set.m_ledgers = 0;
        site where{set};
        REQUIRE(where.submit(0, where.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(where.wait_serving(where.versions()[0]));
        for (const auto& engine : where.engines()) {
            where.set_fault(engine.m_backend, R"("kind":"crash_on","match":")" + std::string{fatal} + '"');
        }
        std::vector<std::future<answer>> neighbours{};
        for (std::size_t index = 0; index < 2U * engines; ++index) {
            neighbours.push_back(where.generate(index % 2U, "neighbour " + std::to_string(index), neighbour_tokens));
        }
        answer last{};
        for (std::size_t time = 0; time < times_sent; ++time) {
            last = where.generate(time % 2U, fatal, 20).get();
            CHECK_FALSE(read_generated(last, fatal, 20).m_shown_complete);
        }
        CHECK_MESSAGE(last.m_response.m_body.find("quarantined") != std::string::npos, last.m_response.m_body);
        for (std::size_t index = 0; index < neighbours.size(); ++index) {
            const auto got = neighbours[index].get();
            const auto made = read_generated(got, "neighbour " + std::to_string(index), neighbour_tokens);
            CHECK_MESSAGE(made.m_whole, got.m_response.m_body);
        }
        CHECK(crashed(where) >= 1U);
        CHECK(crashed(where) <= crashes_allowed);
    }
}

} // namespace rhubarbwharf::process
