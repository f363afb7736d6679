#include <functional>
#include <thread>

#include <doctest/doctest.h>

#include "net/scripted_server.hpp"
#include "site.hpp"

namespace rhubarbwharf::process {

namespace {

/*! @brief Memory of the smallest machines beside backend servers. */
constexpr std::size_t machine_bytes = std::size_t{128} * 1000U * 1000U;
constexpr std::size_t request_count = 48U;

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

/*! @brief Sends a request through an entry. @param entry Index of the entry. @param number Number of the request. */
using sender = std::function<std::future<call_result>(test_cluster& cluster, std::size_t entry, std::size_t number)>;

/*! @brief Sends many requests at once to a backend server whose responses have no end, and checks that its agent keeps
 * within the memory of its machine and serves again with a sound server. */
auto check_agent_memory(const std::string& head, const sender& send) -> void {
    CAPTURE(head);
    cluster_options options{};
    options.m_engine_count = 0U;
    test_cluster cluster{options};
    REQUIRE(cluster.wait_until_ledgers_serve());
    auto& ledger = cluster.ledgers()[0U];
    ledger.m_backend_server.reset();
    {
        const threaded_server faulty{{head, "x", net::ending::never}, ledger.m_backend_address.m_port};
        std::vector<std::future<call_result>> sent{};
        for (std::size_t index = 0U; index < request_count; ++index) {
            sent.push_back(send(cluster, index % cluster.entries().size(), index));
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

} // namespace

// Each response was within its limit, but their sum took the memory of the machine, and all its requests with it.
TEST_SUITE("endless") {
    TEST_CASE("responses without an end to many non-idempotent requests leave an agent within its memory") {
        check_agent_memory("HTTP/1.1 200 OK\r\n\r\n",
                           [](test_cluster& cluster, const std::size_t entry, const std::size_t number) {
                               return cluster.send_payment(entry, "endless-" + std::to_string(number));
                           });
    }

    TEST_CASE("responses without an end to many idempotent requests leave an agent within its memory") {
        const auto look_up = [](test_cluster& cluster, const std::size_t entry, std::size_t) {
            return cluster.send_lookup(entry);
        };
        check_agent_memory("HTTP/1.1 200 OK\r\n\r\n", look_up);
        check_agent_memory("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", look_up);
    }
}

} // namespace rhubarbwharf::process
