#include <doctest/doctest.h>

#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

constexpr std::size_t gateways = 2U;
constexpr std::size_t first_ledger = 3U;
constexpr duration drain_limit = std::chrono::seconds{2};

[[nodiscard]] auto odd_entries() -> std::vector<std::string> {
    const auto entry = [](const std::string& fields) {
        return R"({"service":"book","zone":"z","state":"ready",)" + fields + "}";
    };
    std::string layers{R"("address":"127.0.0.1:9","slots":4,"models":[{"name":"m","version":1}],"layers":[)"};
    for (auto index = 0; index < 40'000; ++index) {
        layers += index == 0 ? R"({"to":1})" : R"(,{"to":1})";
    }
    return {std::string(200'000U, '['),
            entry(R"("address":"127.0.0.1:9","slots":)" + std::string(100'000U, '[')),
            entry(R"("address":"127.0.0.1:9","slots":4294967296)"),
            entry(R"("address":"127.0.0.1:9","slots":1e999)"),
            entry(R"("address":"127.0.0.1:9","slots":4,"cold-remaining-ms":18446744073709551615)"),
            entry(R"("address":"127.0.0.1:65536","slots":4)"),
            entry(R"("address":"127.0.0.1:0","slots":4)"),
            entry(layers + "]"),
            std::string{"\xff\xfe\x00{", 4U}};
}

/*! @brief Counts the entries that a gateway has rejected. */
[[nodiscard]] auto count_malformed(const std::string& log) -> std::size_t {
    constexpr std::string_view event = R"("event":"server.malformed")";
    std::size_t out{};
    for (auto at = log.find(event); at != std::string::npos; at = log.find(event, at + 1U)) {
        ++out;
    }
    return out;
}

} // namespace

// One odd entry ended the processes that read the list, again and again, or kept them from following it.
TEST_CASE("gateways follow the list of servers although other writers left odd entries in it") {
    site_fixture fixture{gateways};
    fixture.m_site.run_in_loop([](standin_site::site& site) {
        auto number = 0;
        for (const auto& each : odd_entries()) {
            site.key_value_store().put("servers/odd-" + std::to_string(++number), each);
        }
        site.key_value_store().put("servers/i\r\nodd: 1", R"({"service":"book","zone":"z","state":"ready","slots":4,)"
                                                          R"("address":"127.0.0.1:9"})");
        site.servers()[first_ledger]->drain();
    });
    std::this_thread::sleep_for(drain_limit);
    unsigned before{};
    const auto count_arrivals = [&] {
        unsigned out{};
        fixture.m_site.run_in_loop([&](standin_site::site& site) {
            out = site.observations().m_arrivals[site.servers()[first_ledger]->id()];
        });
        return out;
    };
    before = count_arrivals();
    for (unsigned number = 0U; number < 20U; ++number) {
        const auto attempt = "b" + std::to_string(number);
        CHECK(fixture.start_request(attempt, standin_site::ledger_path, "b", number % gateways)
                  .get()
                  .m_response.m_status == 200U);
    }
    CHECK(count_arrivals() == before);
    for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
        const auto log = fixture.m_fleet.daemons()[gateway].m_process->output();
        // A second listing rejects them again.
        CHECK(count_malformed(log) >= odd_entries().size() + 1U);
    }
    SUBCASE("a gateway that starts reads them too") {
        fixture.m_fleet.start_daemon(0U);
        CHECK(process::wait_until(
            [&] { return fixture.send_request("a9", standin_site::ledger_path, "a").m_status == 200U; }));
    }
}

} // namespace rhubarbwharf::soak
