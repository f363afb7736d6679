#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "net/raw.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

namespace {

/*! @brief Server that counts requests and echoes their bodies. */
struct counted_server {
    explicit counted_server(const http_limits& limits = {})
        : m_server{m_loop, limits, [this](const http_request& request, const std::shared_ptr<responder>& answer) {
                       ++m_requests;
                       answer->respond({200U, {}, "got:" + request.m_body});
                   }} {
        ensure_listening(m_server);
    }

    loop m_loop{};
    int m_requests{};
    http_server m_server;
};

[[nodiscard]] auto short_limits() -> http_limits {
    http_limits limits{};
    limits.m_header_bytes = 512U;
    limits.m_body_bytes = 64U;
    return limits;
}

const std::string whole_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("bad requests get a numbered refusal and are not handled") {
    struct bad_case {
        std::string m_text{};
        std::string m_code{};
    };

    const std::vector<bad_case> cases{
        {"GET / HTTP/1.1\r\nX: " + std::string(1'000U, 'x') + "\r\n\r\n", "\"code\":103"},
        {"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", "\"code\":103"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + std::string(65U, 'x') + "\r\n0\r\n\r\n",
         "\"code\":103"},
        {"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "\"code\":100"},
        {"\x16\x03\x01 nonsense\r\n\r\n", "\"code\":100"},
        {"GET /\r\n\r\n", "\"code\":100"},
    };
    for (const auto& each : cases) {
        counted_server tried{short_limits()};
        raw_connection peer{tried.m_loop, tried.m_server.port()};
        peer.read();
        peer.send(each.m_text);
        REQUIRE(run_until(tried.m_loop, [&] { return peer.m_ended; }));
        CHECK(peer.has(each.m_code));
        CHECK(peer.has("application/problem+json"));
        CHECK(peer.has("\"outcome\":\"not_run\""));
        CHECK(tried.m_requests == 0);
    }
}

TEST_CASE("a slow sender is refused at its time") {
    auto limits = short_limits();
    limits.m_request_time = std::chrono::milliseconds{200};
    counted_server tried{limits};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.read();
    peer.send("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nha");
    REQUIRE(run_until(tried.m_loop, [&] { return peer.m_ended; }));
    CHECK(peer.has("408"));
    CHECK(peer.has("\"code\":106"));
    CHECK(tried.m_requests == 0);
}

TEST_CASE("an idle connection is closed at its time") {
    auto limits = short_limits();
    limits.m_idle_time = std::chrono::milliseconds{200};
    counted_server tried{limits};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.read();
    peer.send(whole_request);
    REQUIRE(run_until(tried.m_loop, [&] { return peer.m_ended; }));
    CHECK(peer.has("got:"));
    CHECK(tried.m_server.connections() == 0U);
}

TEST_CASE("a half-closed client still gets its answer") {
    counted_server tried{};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.read();
    peer.send(whole_request);
    peer.half_close();
    REQUIRE(run_until(tried.m_loop, [&] { return peer.m_ended; }));
    CHECK(peer.has("got:"));
    CHECK(tried.m_server.connections() == 0U);
}

TEST_CASE("a client that half-closes within its request is refused") {
    counted_server tried{};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.read();
    peer.send("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nha");
    peer.half_close();
    REQUIRE(run_until(tried.m_loop, [&] { return peer.m_ended; }));
    CHECK(peer.has("\"code\":100"));
    CHECK(tried.m_requests == 0);
}

TEST_CASE("requests sent at once are answered in order") {
    counted_server tried{};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.read();
    std::string text{};
    for (auto index = 0; index < 200; ++index) {
        text += "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n" + std::to_string(100 + index);
    }
    peer.send(text);
    REQUIRE(run_until(tried.m_loop, [&] { return peer.has("got:299"); }));
    std::size_t last{};
    for (auto index = 0; index < 200; ++index) {
        const auto at = peer.m_text.find("got:" + std::to_string(100 + index));
        REQUIRE(at != std::string::npos);
        CHECK(at >= last);
        last = at;
    }
}

TEST_CASE("a client that waits for leave to send its body gets it") {
    counted_server tried{};
    raw_connection peer{tried.m_loop, tried.m_server.port()};
    peer.read();
    peer.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    REQUIRE(run_until(tried.m_loop, [&] { return peer.has("100 Continue"); }));
    peer.send("ok");
    REQUIRE(run_until(tried.m_loop, [&] { return peer.has("got:ok"); }));
}

TEST_CASE("a connection over the limit is refused, and taken once there is room") {
    auto limits = short_limits();
    limits.m_connections = 1U;
    counted_server tried{limits};
    auto first = std::make_unique<raw_connection>(tried.m_loop, tried.m_server.port());
    REQUIRE(run_until(tried.m_loop, [&] { return tried.m_server.connections() == 1U; }));
    raw_connection second{tried.m_loop, tried.m_server.port()};
    second.read();
    REQUIRE(run_until(tried.m_loop, [&] { return second.m_ended; }));
    CHECK(second.has("\"code\":202"));
    CHECK(second.has("Retry-After: 1"));
    first->m_socket.close();
    REQUIRE(run_until(tried.m_loop, [&] { return tried.m_server.connections() == 0U; }));
    raw_connection third{tried.m_loop, tried.m_server.port()};
    third.read();
    third.send(whole_request);
    REQUIRE(run_until(tried.m_loop, [&] { return third.has("got:"); }));
}

TEST_CASE("a reader that does not read is cut off, and the server holds no more than the limit") {
    loop owner{};
    http_limits limits{};
    limits.m_send_queue_bytes = 100'000U;
    std::shared_ptr<responder> answer{};
    auto closed = false;
    http_server server{owner, limits, [&](const http_request&, std::shared_ptr<responder> made) {
                           answer = std::move(made);
                           answer->on_close(
                               [&](const close_reason reason) { closed = reason == close_reason::queue_full; });
                           answer->start({});
                       }};
    ensure_listening(server);
    raw_connection peer{owner, server.port()};
    peer.send(whole_request);
    std::size_t most{};
    const std::string part(10'000U, 'x');
    REQUIRE(run_until(owner, [&] {
        if (answer) {
            answer->write(part);
            most = std::max(most, answer->pending());
        }
        return closed;
    }));
    CHECK(most <= limits.m_send_queue_bytes);
    CHECK(server.connections() == 0U);
}

TEST_CASE("a paused call holds its sender back, and loses nothing") {
    loop owner{};
    std::shared_ptr<responder> answer{};
    http_server server{owner, {}, [&](const http_request&, std::shared_ptr<responder> made) {
                           answer = std::move(made);
                           answer->start({});
                       }};
    ensure_listening(server);
    http_client client{owner};
    std::size_t got{};
    auto ended = false;
    call_handlers handlers{};
    handlers.m_on_part = [&](const std::string_view part) {
        got += part.size();
    };
    handlers.m_on_end = [&](const call_end& end) {
        ended = end.m_code == code::ok;
    };
    const auto running = client.send(local(server.port()), {}, {}, handlers);
    REQUIRE(run_until(owner, [&] { return answer != nullptr; }));
    running->pause(true);
    std::size_t sent_bytes{};
    const std::string part(50'000U, 'x');
    REQUIRE(run_until(owner, [&] {
        answer->write(part);
        sent_bytes += part.size();
        return answer->pending() > 500'000U;
    }));
    CHECK(got < sent_bytes);
    answer->finish();
    running->pause(false);
    REQUIRE(run_until(owner, [&] { return ended; }));
    CHECK(got == sent_bytes);
}

TEST_CASE("crossed answers reach their own requests") {
    const auto holds = rc::check([] {
        const auto order = *rc::gen::container<std::vector<std::uint8_t>>(16U, rc::gen::arbitrary<std::uint8_t>());
        loop owner{};
        std::vector<std::pair<std::string, std::shared_ptr<responder>>> waiting{};
        http_server server{owner, {}, [&](http_request request, std::shared_ptr<responder> answer) {
                               waiting.emplace_back(std::move(request.m_body), std::move(answer));
                           }};
        ensure_listening(server);
        http_client client{owner};
        auto right = 0U;
        for (std::size_t index = 0U; index < order.size(); ++index) {
            const auto body = std::to_string(index);
            client.fetch(local(server.port()), {"POST", "/", {}, body, {}}, {},
                         [&right, body](const call_end& end, const http_response& response) {
                             right += end.m_code == code::ok && response.m_body == body ? 1U : 0U;
                         });
        }
        RC_ASSERT(run_until(owner, [&] { return waiting.size() == order.size(); }));
        for (const auto pick : order) {
            const auto at = waiting.begin() + static_cast<std::ptrdiff_t>(pick % waiting.size());
            at->second->respond({200U, {}, at->first});
            waiting.erase(at);
        }
        RC_ASSERT(run_until(owner, [&] { return right == order.size(); }));
    });
    CHECK(holds);
}
