#include <doctest/doctest.h>

#include <gateway/daemon.hpp>
#include <net/fixture.hpp>

namespace rhubarbwharf::gateway {

namespace {

constexpr duration suspended = std::chrono::seconds{4};
constexpr duration second = std::chrono::seconds{1};

[[nodiscard]] auto settings() -> config::node_settings {
    config::node_settings out{};
    out.m_role = "gateway";
    out.m_instance = "gateway-1";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

} // namespace

TEST_CASE("the time of callers passes while the machine is suspended") {
    daemon self{settings(), {}};
    const auto now = steady_now();
    const auto item = std::make_shared<exchange>();
    item->m_id = request_id{1U};
    item->m_arrived_at = now - second;
    item->m_first_byte_deadline = now + second;
    item->m_deadline = now + 2 * suspended;
    item->m_last_event_at = now - second;
    self.m_exchanges.emplace(item->m_id, item);
    auto& queue = self.m_services["service"].m_queue;
    queue.m_waiting.push_back({item->m_id, 0U, now - second, now + second, now + 2 * suspended});
    note_suspension(self, suspended);
    CHECK(item->m_arrived_at == now - second - suspended);
    CHECK(item->m_first_byte_deadline == now + second - suspended);
    CHECK(item->m_deadline == now + suspended);
    CHECK(item->m_last_event_at == now - second);
    CHECK(queue.m_waiting.front().m_arrived == now - second - suspended);
    CHECK(queue.m_waiting.front().m_on_time_deadline == now + second - suspended);
    CHECK(queue.m_waiting.front().m_send_deadline == now + suspended);
}

TEST_CASE("a request that is read after a suspension gets the time that it asks for") {
    daemon self{settings(), {}};
    constexpr std::string_view configuration =
        R"({"version":1,"routes":[{"name":"r","host":"h.example","prefix":"/r/","service":"s","kind":"idempotent",)"
        R"("timeout-ms":8000,"max-attempts":2}],"services":[{"name":"s"}],"limits":{},"tenants":[]})";
    node::accept_configuration(self.m_core, configuration, "test");
    REQUIRE(self.m_core.m_configuration != nullptr);
    net::ensure_listening(self.m_caller_server);
    std::vector<duration> moved{};
    self.m_core.m_handlers.m_on_suspension = [&](const duration length) {
        CHECK(self.m_core.m_counters.text().find("requests_total") == std::string::npos);
        moved.push_back(length);
    };
    node::note_running(self.m_core);
    self.m_core.m_stalls.m_boot_clock_lead -= suspended;
    net::http_client caller{self.m_core.m_loop};
    net::http_request request{};
    request.m_target = "/r/x";
    request.m_host = "h.example";
    auto answered = false;
    caller.fetch(net::local(self.m_caller_server.port()), std::move(request), {},
                 [&](const net::call_end&, const net::http_response&) { answered = true; });
    REQUIRE(net::run_until(self.m_core.m_loop, [&] { return answered; }));
    CHECK(moved.size() == 1U);
}

TEST_CASE("the grace period of a stop passes while the machine is suspended, unless the loop is about to end") {
    daemon self{settings(), {}};
    const auto now = steady_now();
    self.m_leaving_since = now;
    note_suspension(self, suspended);
    CHECK(self.m_leaving_since == now - suspended);
    self.m_leaving_since = time_point::max();
    note_suspension(self, suspended);
    CHECK(self.m_leaving_since == time_point::max());
}

} // namespace rhubarbwharf::gateway
