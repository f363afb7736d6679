#include <thread>

#include <doctest/doctest.h>

#include "net/scripted_server.hpp"
#include "site.hpp"

namespace rhubarbwharf::process {

namespace {

/*! @brief Memory of the smallest machines beside backend servers. */
constexpr std::size_t machine_bytes = std::size_t{128} * 1000U * 1000U;
constexpr std::size_t payment_count = 24U;

/*! @brief Scripted server with a thread of its own. */
class threaded_server {
public:
    threaded_server(net::script lines, const std::uint16_t port) : m_server{m_loop, std::move(lines), port} {
        m_thread = std::thread{[this] {
            m_loop.run();
        }};
    }

    ~threaded_server() {
        m_loop.stop();
        m_thread.join();
    }

    threaded_server(const threaded_server&) = delete;
    threaded_server(threaded_server&&) = delete;
    auto operator=(const threaded_server&) -> threaded_server& = delete;
    auto operator=(threaded_server&&) -> threaded_server& = delete;

private:
    net::loop m_loop{};
    net::scripted_server m_server;
    std::thread m_thread{};
};

} // namespace

TEST_SUITE("endless") {
    // Each response was within its limit, but their sum took the memory of the machine, and all its requests with it.
    TEST_CASE("many responses without an end at once leave an agent within the memory of its machine") {
        cluster_options options{};
        options.m_engine_count = 0U;
        test_cluster cluster{options};
        REQUIRE(cluster.wait_until_ledgers_serve());
        auto& ledger = cluster.ledgers()[0U];
        ledger.m_backend_server.reset();
        {
            const threaded_server faulty{{"HTTP/1.1 200 OK\r\n\r\n", "x", net::ending::never},
                                         ledger.m_backend_address.m_port};
            std::vector<std::future<call_result>> sent{};
            for (std::size_t index = 0U; index < payment_count; ++index) {
                sent.push_back(
                    cluster.send_payment(index % cluster.entries().size(), "endless-" + std::to_string(index)));
            }
            for (auto& each : sent) {
                CHECK(each.get().m_response.m_status != 200U);
            }
        }
        CHECK(ledger.m_daemon->is_running());
        CHECK(ledger.m_daemon->peak_resident_bytes() < machine_bytes);
        cluster.start_backend_server(ledger);
        CHECK(cluster.wait_until_ledgers_serve());
    }
}

} // namespace rhubarbwharf::process
