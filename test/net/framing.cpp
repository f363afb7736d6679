#include <array>
#include <optional>

#include <doctest/doctest.h>

#include "net/raw.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

namespace {

/*! @brief What a call to a scripted server gave. */
struct scripted_result {
    call_end m_end{};
    http_response m_response{};
    bool m_done{false};
};

/*! @brief Sends one request to a server that answers each connection with given bytes and then closes it. */
[[nodiscard]] auto call_scripted(const std::string& bytes, const call_limits& limits) -> scripted_result {
    namespace asio = boost::asio;
    loop owner{};
    asio::ip::tcp::acceptor acceptor{owner.context(), {asio::ip::make_address(local_address), 0U}};
    asio::ip::tcp::socket peer{owner.context()};
    std::array<char, 1024U> space{};
    acceptor.async_accept(peer, [&](const boost::system::error_code) {
        peer.async_read_some(asio::buffer(space), [&](const boost::system::error_code, std::size_t) {
            asio::write(peer, asio::buffer(bytes));
            peer.close();
        });
    });
    http_client client{owner};
    scripted_result out{};
    client.fetch(local(acceptor.local_endpoint().port()), {}, limits, [&](const call_end& end, http_response got) {
        out = {end, std::move(got), true};
    });
    REQUIRE(run_until(owner, [&] { return out.m_done; }));
    return out;
}

} // namespace

TEST_CASE("a response without a length is whole where its connection ends, and cut where its length is not reached") {
    const std::string bytes{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc"};
    const auto whole = call_scripted(bytes, {});
    CHECK(whole.m_end.m_code == code::ok);
    CHECK(whole.m_response.m_body == "abc");
    const auto cut = call_scripted("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", {});
    CHECK(cut.m_end.m_code == code::cut_stream);
}

TEST_CASE("a response without a length is cut where its connection is reset") {
    namespace asio = boost::asio;
    loop owner{};
    asio::ip::tcp::acceptor acceptor{owner.context(), {asio::ip::make_address(local_address), 0U}};
    asio::ip::tcp::socket peer{owner.context()};
    acceptor.async_accept(peer, [&](const boost::system::error_code) {
        asio::write(peer, asio::buffer("HTTP/1.1 200 OK\r\n\r\nabc", 22U));
    });
    http_client client{owner};
    std::string body{};
    std::optional<call_end> ended{};
    call_handlers handlers{};
    handlers.m_on_part = [&](const std::string_view part) {
        body.append(part);
        peer.set_option(asio::socket_base::linger{true, 0});
        peer.close();
    };
    handlers.m_on_end = [&](const call_end& end) {
        ended = end;
    };
    client.send(local(acceptor.local_endpoint().port()), {}, {}, std::move(handlers));
    REQUIRE(run_until(owner, [&] { return ended.has_value(); }));
    CHECK(ended->m_code == code::cut_stream);
    CHECK(body == "abc");
}

TEST_CASE("a late response to an earlier request is skipped by its echo") {
    call_limits limits{};
    limits.m_echo = {"Attempt", "2"};
    const auto got = call_scripted("HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 3\r\n\r\nold"
                                   "HTTP/1.1 200 OK\r\nAttempt: 2\r\nContent-Length: 3\r\n\r\nnew",
                                   limits);
    CHECK(got.m_end.m_code == code::ok);
    CHECK(got.m_response.m_body == "new");
    const auto only_old = call_scripted("HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 3\r\n\r\nold", limits);
    CHECK(only_old.m_end.m_code != code::ok);
}

TEST_CASE("a client that ends its sending side counts as gone where half-closing is not allowed") {
    loop owner{};
    std::shared_ptr<responder> kept{};
    auto left = false;
    http_limits limits{};
    limits.m_half_close = false;
    http_server server{owner, limits, [&](const http_request&, const std::shared_ptr<responder>& answer) {
                           kept = answer;
                           answer->on_close([&left](close_reason) { left = true; });
                       }};
    ensure_listening(server);
    raw_connection peer{owner, server.port()};
    peer.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(run_until(owner, [&] { return kept != nullptr; }));
    peer.half_close();
    CHECK(run_until(owner, [&] { return left; }));
}
