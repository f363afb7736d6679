#include <doctest/doctest.h>

#include "net/fixture.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

namespace {

struct fetched_response {
    bool m_done{};
    call_end m_end{};
    http_response m_response{};
};

auto into(fetched_response& target) -> http_client::fetched {
    return [&target](const call_end& end, http_response response) {
        target = {true, end, std::move(response)};
    };
}

auto echo(http_request request, const std::shared_ptr<responder>& answer) -> void {
    answer->respond({200U, {{"X-Target", request.m_target}}, std::move(request.m_body)});
}

} // namespace

TEST_CASE("a request gets its response over a kept connection") {
    loop owner{};
    http_server server{owner, {}, echo};
    REQUIRE(server.listen(local(0U)) == code::ok);
    http_client client{owner};
    for (const std::string body : {"first", "second", "third"}) {
        fetched_response got{};
        client.fetch(local(server.port()), {"POST", "/" + body, {}, body, {}}, {}, into(got));
        REQUIRE(run_until(owner, [&] { return got.m_done; }));
        CHECK(got.m_end.m_code == code::ok);
        CHECK(got.m_response.m_status == 200U);
        CHECK(got.m_response.m_body == body);
        CHECK(find(got.m_response.m_headers, "x-target") == "/" + body);
        CHECK(server.connections() == 1U);
    }
}

TEST_CASE("a large body goes both ways whole") {
    loop owner{};
    http_server server{owner, {}, echo};
    REQUIRE(server.listen(local(0U)) == code::ok);
    http_client client{owner};
    std::string body(3'000'000U, 'x');
    body[1'234'567U] = 'y';
    fetched_response got{};
    client.fetch(local(server.port()), {"POST", "/", {}, body, {}}, {}, into(got));
    REQUIRE(run_until(owner, [&] { return got.m_done; }));
    CHECK(got.m_end.m_code == code::ok);
    CHECK(got.m_response.m_body == body);
}

TEST_CASE("parts of a streamed response come in order and whole") {
    loop owner{};
    constexpr auto parts = 1'000;
    http_server server{owner, {}, [](const http_request&, const std::shared_ptr<responder>& answer) {
                           answer->start({200U, {{"Content-Type", "text/event-stream"}}, {}});
                           for (auto index = 0; index < parts; ++index) {
                               answer->write(std::to_string(index) + "\n");
                           }
                           answer->finish();
                       }};
    REQUIRE(server.listen(local(0U)) == code::ok);
    http_client client{owner};
    std::string expected{};
    for (auto index = 0; index < parts; ++index) {
        expected += std::to_string(index) + "\n";
    }
    fetched_response got{};
    client.fetch(local(server.port()), {}, {}, into(got));
    REQUIRE(run_until(owner, [&] { return got.m_done; }));
    CHECK(got.m_end.m_code == code::ok);
    CHECK(got.m_response.m_body == expected);
}

TEST_CASE("a stream that the server cuts is told from a whole one") {
    loop owner{};
    http_server server{owner, {}, [&owner](const http_request&, const std::shared_ptr<responder>& answer) {
                           answer->start({});
                           answer->write("half");
                           owner.after(std::chrono::milliseconds{10}, [answer] { answer->abort(); });
                       }};
    REQUIRE(server.listen(local(0U)) == code::ok);
    http_client client{owner};
    fetched_response got{};
    client.fetch(local(server.port()), {}, {}, into(got));
    REQUIRE(run_until(owner, [&] { return got.m_done; }));
    CHECK(got.m_end.m_code == code::cut_stream);
    CHECK(got.m_end.m_sent == sent::some);
    CHECK(got.m_response.m_body == "half");
}

TEST_CASE("a server that is not there has surely got nothing") {
    loop owner{};
    http_client client{owner};
    fetched_response got{};
    client.fetch(local(1U), {}, {}, into(got));
    REQUIRE(run_until(owner, [&] { return got.m_done; }));
    CHECK(got.m_end.m_code == code::connection_failed);
    CHECK(got.m_end.m_sent == sent::nothing);
}

TEST_CASE("a response that does not come ends at its time, and its connection is not used again") {
    loop owner{};
    std::vector<std::shared_ptr<responder>> waiting{};
    http_server server{owner, {}, [&](const http_request&, std::shared_ptr<responder> answer) {
                           waiting.push_back(std::move(answer));
                       }};
    REQUIRE(server.listen(local(0U)) == code::ok);
    http_client client{owner};
    fetched_response late{};
    call_limits limits{};
    limits.m_total_time = std::chrono::milliseconds{100};
    client.fetch(local(server.port()), {"GET", "/late", {}, {}, {}}, limits, into(late));
    REQUIRE(run_until(owner, [&] { return late.m_done; }));
    CHECK(late.m_end.m_code == code::timed_out);
    CHECK(late.m_end.m_sent == sent::some);
    waiting.at(0U)->respond({200U, {}, "late"});
    fetched_response next{};
    client.fetch(local(server.port()), {"GET", "/next", {}, {}, {}}, {}, into(next));
    REQUIRE(run_until(owner, [&] { return waiting.size() == 2U; }));
    waiting.at(1U)->respond({200U, {}, "next"});
    REQUIRE(run_until(owner, [&] { return next.m_done; }));
    CHECK(next.m_response.m_body == "next");
}

TEST_CASE("a cancelled call ends once, and the server learns of it") {
    loop owner{};
    auto closed = false;
    std::vector<std::shared_ptr<responder>> waiting{};
    http_server server{owner, {}, [&](const http_request&, std::shared_ptr<responder> answer) {
                           answer->on_close([&](close_reason) { closed = true; });
                           waiting.push_back(std::move(answer));
                       }};
    REQUIRE(server.listen(local(0U)) == code::ok);
    http_client client{owner};
    auto ends = 0;
    call_end last{};
    call_handlers handlers{};
    handlers.m_on_end = [&](const call_end& end) {
        ++ends;
        last = end;
    };
    const auto running = client.send(local(server.port()), {}, {}, handlers);
    REQUIRE(run_until(owner, [&] { return waiting.size() == 1U; }));
    running->cancel();
    running->cancel();
    CHECK(ends == 0);
    REQUIRE(run_until(owner, [&] { return closed; }));
    CHECK(ends == 1);
    CHECK(last.m_code == code::cancelled);
    CHECK(last.m_sent == sent::some);
}

TEST_CASE("a request that nobody answers gets status 500") {
    loop owner{};
    http_server server{owner, {}, [](const http_request&, const std::shared_ptr<responder>&) {
                       }};
    REQUIRE(server.listen(local(0U)) == code::ok);
    http_client client{owner};
    fetched_response got{};
    client.fetch(local(server.port()), {}, {}, into(got));
    REQUIRE(run_until(owner, [&] { return got.m_done; }));
    CHECK(got.m_response.m_status == 500U);
}

TEST_CASE("a drained server ends idle connections and finishes the request in progress") {
    loop owner{};
    std::shared_ptr<responder> waiting{};
    http_server server{owner, {}, [&](const http_request& request, std::shared_ptr<responder> answer) {
                           if (request.m_target == "/slow") {
                               waiting = std::move(answer);
                           } else {
                               answer->respond({});
                           }
                       }};
    REQUIRE(server.listen(local(0U)) == code::ok);
    http_client client{owner};
    fetched_response slow{};
    client.fetch(local(server.port()), {"GET", "/slow", {}, {}, {}}, {}, into(slow));
    REQUIRE(run_until(owner, [&] { return waiting != nullptr; }));
    fetched_response quick{};
    client.fetch(local(server.port()), {"GET", "/quick", {}, {}, {}}, {}, into(quick));
    REQUIRE(run_until(owner, [&] { return quick.m_done; }));
    CHECK(server.connections() == 2U);
    server.drain();
    REQUIRE(run_until(owner, [&] { return server.connections() == 1U; }));
    waiting->respond({200U, {}, "whole"});
    REQUIRE(run_until(owner, [&] { return slow.m_done && server.connections() == 0U; }));
    CHECK(slow.m_end.m_code == code::ok);
    CHECK(slow.m_response.m_body == "whole");
    fetched_response refused{};
    client.fetch(local(server.port()), {}, {}, into(refused));
    REQUIRE(run_until(owner, [&] { return refused.m_done; }));
    CHECK(refused.m_end.m_sent == sent::nothing);
}
