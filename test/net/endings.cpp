#include <algorithm>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "net/raw.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

namespace {

constexpr auto short_time = std::chrono::milliseconds{200};
constexpr auto long_time = std::chrono::minutes{10};
/*! @brief Longer than `short_time` and the interval at which a server looks for expired connections. */
constexpr auto past_short_time = std::chrono::milliseconds{700};
/*! @brief More than the kernel holds between both ends of a connection. */
constexpr std::size_t large_body_bytes = std::size_t{24} * 1024U * 1024U;

const std::string whole_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/*! @brief Server that gives each request the same body, and keeps the reason of the last close. */
struct fixed_server {
    fixed_server(const http_limits& limits, std::string body)
        : m_body{std::move(body)}, m_server{m_loop, limits,
                                            [this](const http_request&, const std::shared_ptr<responder>& answer) {
                                                ++m_requests;
                                                answer->respond({200U, {}, m_body});
                                            }} {
        m_server.on_connection_closed([this](const close_reason reason) { m_closed = reason; });
        ensure_listening(m_server);
    }

    /*! @brief Runs the loop for a time. */
    auto run_for(const duration time) -> void {
        const auto end = steady_now() + time;
        REQUIRE(run_until(m_loop, [end] { return steady_now() >= end; }));
    }

    loop m_loop{};
    std::string m_body{};
    std::size_t m_requests{};
    std::optional<close_reason> m_closed{};
    http_server m_server;
};

[[nodiscard]] auto limits_with_idle_time(const duration idle_time) -> http_limits {
    http_limits limits{};
    limits.m_idle_time = idle_time;
    return limits;
}

} // namespace

TEST_CASE("a caller that pauses for longer than the idle time still gets its whole response") {
    fixed_server tried{limits_with_idle_time(short_time), std::string(large_body_bytes, 'x')};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.send(whole_request);
    REQUIRE(run_until(tried.m_loop, [&] { return tried.m_requests == 1U; }));
    tried.run_for(past_short_time);
    CHECK_FALSE(tried.m_closed.has_value());
    peer.read();
    REQUIRE(run_until(tried.m_loop, [&] { return peer.m_ended; }));
    CHECK(peer.m_text.size() > large_body_bytes);
}

TEST_CASE("a connection whose bytes are not taken in time is closed") {
    auto limits = limits_with_idle_time(long_time);
    limits.m_write_time = short_time;
    fixed_server tried{limits, std::string(large_body_bytes, 'x')};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.send(whole_request);
    REQUIRE(run_until(tried.m_loop, [&] { return tried.m_closed.has_value(); }));
    CHECK(tried.m_closed == close_reason::slow_reader);
}

TEST_CASE("a drained server ends a connection once its response has been taken") {
    fixed_server tried{limits_with_idle_time(long_time), std::string(large_body_bytes, 'x')};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.send(whole_request);
    REQUIRE(run_until(tried.m_loop, [&] { return tried.m_requests == 1U; }));
    tried.m_server.drain();
    CHECK(tried.m_server.connections() == 1U);
    peer.read();
    CHECK(run_until(tried.m_loop, [&] { return peer.m_ended; }));
    CHECK(peer.m_text.size() > large_body_bytes);
    CHECK(run_until(tried.m_loop, [&] { return tried.m_server.connections() == 0U; }));
}

TEST_CASE("a drained server answers a request that was sent before the response was taken") {
    fixed_server tried{limits_with_idle_time(long_time), std::string(large_body_bytes, 'x')};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.send(whole_request);
    REQUIRE(run_until(tried.m_loop, [&] { return tried.m_requests == 1U; }));
    tried.m_server.drain();
    peer.send(whole_request);
    peer.read();
    CHECK(run_until(tried.m_loop, [&] { return peer.m_ended; }));
    CHECK(tried.m_requests == 2U);
    CHECK(peer.m_text.size() > 2U * large_body_bytes);
}

TEST_CASE("requests that have arrived when the idle time ends are answered") {
    constexpr std::size_t count = 300U;
    fixed_server tried{limits_with_idle_time(short_time), "whole"};
    std::vector<std::unique_ptr<raw_connection>> peers{};
    for (std::size_t index = 0U; index < count; ++index) {
        peers.push_back(std::make_unique<raw_connection>(tried.m_loop, tried.m_server.port()));
        peers.back()->read();
    }
    REQUIRE(run_until(tried.m_loop, [&] { return tried.m_server.connections() == count; }));
    // The time ends while the loop is busy, and the requests arrive before the loop goes on.
    tried.m_loop.post([&] {
        std::this_thread::sleep_for(past_short_time);
        for (const auto& each : peers) {
            each->send(whole_request);
        }
    });
    REQUIRE(run_until(tried.m_loop,
                      [&] { return std::ranges::all_of(peers, [](const auto& each) { return each->m_ended; }); }));
    CHECK(tried.m_requests == count);
    CHECK(std::ranges::all_of(peers, [](const auto& each) { return each->has("whole"); }));
}

TEST_CASE("a longer idle time holds for connections that are idle already") {
    fixed_server tried{limits_with_idle_time(short_time), "whole"};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.read();
    peer.send(whole_request);
    REQUIRE(run_until(tried.m_loop, [&] { return peer.has("whole"); }));
    tried.m_server.set_limits(limits_with_idle_time(long_time));
    tried.run_for(past_short_time);
    CHECK_FALSE(peer.m_ended);
    CHECK(tried.m_server.connections() == 1U);
}

TEST_CASE("a shorter idle time does not hold for connections that were idle before") {
    fixed_server tried{limits_with_idle_time(long_time), "whole"};
    raw_connection idle{tried.m_loop, tried.m_server.port()};
    idle.read();
    idle.send(whole_request);
    REQUIRE(run_until(tried.m_loop, [&] { return idle.has("whole"); }));
    tried.m_server.set_limits(limits_with_idle_time(short_time));
    tried.run_for(past_short_time);
    CHECK_FALSE(idle.m_ended);
    raw_connection later{tried.m_loop, tried.m_server.port()};
    later.read();
    CHECK(run_until(tried.m_loop, [&] { return later.m_ended; }));
    CHECK(tried.m_closed == close_reason::idle);
}

TEST_CASE("a request that was read before the server began to drain is answered") {
    fixed_server tried{{}, "whole"};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.read();
    peer.send(whole_request);
    // The loop takes the connection, reads the request, drains and only then handles what was read.
    tried.m_loop.after(duration::zero(), [&] { tried.m_server.drain(); });
    REQUIRE(run_until(tried.m_loop, [&] { return peer.m_ended; }));
    CHECK(tried.m_requests == 1U);
    CHECK(peer.has("whole"));
}

TEST_CASE("requests that were sent ahead are answered by a server that retires meanwhile") {
    loop owner{};
    std::vector<std::string> targets{};
    http_server server{owner, {}, [&](const http_request& request, const std::shared_ptr<responder>& answer) {
                           targets.push_back(request.m_target);
                           answer->respond({200U, {}, "answer to " + request.m_target});
                       }};
    ensure_listening(server);
    raw_connection peer{owner, server.port()};
    peer.read();
    server.retire();
    peer.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
    REQUIRE(run_until(owner, [&] { return peer.m_ended; }));
    CHECK(targets == std::vector<std::string>{"/1", "/2", "/3"});
    CHECK(peer.has("answer to /3"));
    CHECK(peer.m_text.find("Connection: close") > peer.m_text.find("answer to /2"));
    peer.m_socket.close();
    CHECK(run_until(owner, [&] { return server.connections() == 0U; }));
}

TEST_CASE("a request that its server may have read on a kept connection is not sent anew") {
    loop owner{};
    auto requests = 0;
    http_server server{owner, {}, [&](const http_request&, const std::shared_ptr<responder>& answer) {
                           if (++requests == 2) {
                               answer->abort();
                           } else {
                               answer->respond({200U, {}, "whole"});
                           }
                       }};
    ensure_listening(server);
    http_client client{owner};
    for (const auto expected : {code::ok, code::connection_failed, code::ok}) {
        std::optional<call_end> got{};
        client.fetch(local(server.port()), {}, {}, [&](const call_end& end, const http_response&) { got = end; });
        REQUIRE(run_until(owner, [&] { return got.has_value(); }));
        CHECK(got->m_code == expected);
        CHECK(got->m_sent == sent::some);
        CHECK(server.connections() <= 1U);
    }
    CHECK(requests == 3);
}
