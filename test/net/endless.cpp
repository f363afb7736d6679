#include <array>

#include <doctest/doctest.h>

#include "net/raw.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

namespace {

namespace asio = boost::asio;

constexpr std::size_t mebibyte = std::size_t{1024} * 1024U;
constexpr std::size_t body_limit_bytes = 2U * mebibyte;
/*! @brief What the kernel holds of a connection, on both ends. */
constexpr std::size_t kernel_bytes = 24U * mebibyte;
/*! @brief Bytes after which a server stops sending, so that a client without a limit needs no endless memory. */
constexpr std::size_t most_sent_bytes = 256U * mebibyte;
constexpr auto call_time = std::chrono::seconds{8};
const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

[[nodiscard]] auto repeated(const std::string_view text) -> std::string {
    constexpr std::size_t least_bytes = std::size_t{32} * 1024U;
    std::string out{};
    while (out.size() < least_bytes) {
        out += text;
    }
    return out;
}

/*! @brief Server that answers with a beginning and then with the same bytes again and again. */
class endless_server {
public:
    endless_server(loop& owner, std::string begin, const std::string_view again)
        : m_acceptor{owner.context(), {asio::ip::make_address(local_address), 0U}}, m_peer{owner.context()},
          m_begin{std::move(begin)}, m_again{repeated(again)} {
        m_acceptor.async_accept(m_peer, [this](const boost::system::error_code) {
            m_peer.async_read_some(asio::buffer(m_space), [this](const boost::system::error_code, std::size_t) {
                asio::write(m_peer, asio::buffer(m_begin));
                send();
            });
        });
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    [[nodiscard]] auto sent_bytes() const noexcept -> std::size_t { return m_sent_bytes; }

private:
    auto send() -> void {
        asio::async_write(m_peer, asio::buffer(m_again),
                          [this](const boost::system::error_code failure, const std::size_t count) {
                              m_sent_bytes += count;
                              if (!failure && m_sent_bytes < most_sent_bytes) {
                                  send();
                              }
                          });
    }

    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_peer;
    std::array<char, 1024U> m_space{};
    std::string m_begin{};
    std::string m_again{};
    std::size_t m_sent_bytes{};
};

/*! @brief How a call to an endless server ended. */
struct endless_result {
    call_end m_end{};
    http_response m_response{};
    bool m_done{};
    std::size_t m_sent_bytes{};
};

[[nodiscard]] auto call_endless(const std::string& begin, const std::string_view again, call_limits limits = {})
    -> endless_result {
    loop owner{};
    endless_server server{owner, begin, again};
    http_client client{owner};
    endless_result out{};
    limits.m_total_time = call_time;
    limits.m_body_bytes = body_limit_bytes;
    client.fetch(local(server.port()), {}, limits, [&](const call_end& end, http_response got) {
        out.m_end = end;
        out.m_response = std::move(got);
        out.m_done = true;
    });
    REQUIRE(run_until(owner, [&] { return out.m_done; }));
    out.m_sent_bytes = server.sent_bytes();
    return out;
}

auto check_refused(const endless_result& got, const std::string_view limit, const std::size_t most_bytes) -> void {
    CHECK(got.m_end.m_code == code::too_large);
    CHECK(got.m_end.m_limit == limit);
    CHECK(got.m_end.m_sent == sent::some);
    CHECK(got.m_response.m_status == 0U);
    CHECK(got.m_sent_bytes <= most_bytes + kernel_bytes);
}

} // namespace

TEST_CASE("bytes that are no response end a call at once") {
    const auto got = call_endless("", "these bytes are no response; ");
    CHECK(got.m_end.m_code == code::connection_failed);
    CHECK(got.m_sent_bytes <= kernel_bytes);
}

TEST_CASE("a head without an end ends a call") {
    check_refused(call_endless("HTTP/1.1 200 ", "OK "), "head_bytes", call_limits{}.m_head_bytes);
    check_refused(call_endless("HTTP/1.1 200 OK\r\nA: ", "x"), "head_bytes", call_limits{}.m_head_bytes);
    check_refused(call_endless("HTTP/1.1 200 OK\r\n", "A: x\r\n"), "head_bytes", call_limits{}.m_head_bytes);
}

TEST_CASE("interim responses without an end end a call") {
    check_refused(call_endless("", "HTTP/1.1 100 Continue\r\n\r\n"), "head_bytes", call_limits{}.m_head_bytes);
    check_refused(call_endless("", "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n"), "head_bytes", call_limits{}.m_head_bytes);
}

TEST_CASE("framing of chunks without an end ends a call") {
    check_refused(call_endless(chunked_head + "1;a=", "x"), "head_bytes", call_limits{}.m_head_bytes);
    check_refused(call_endless(chunked_head, "1;a=" + std::string(1'000U, 'x') + "\r\nx\r\n"), "head_bytes",
                  2U * call_limits{}.m_head_bytes);
    check_refused(call_endless(chunked_head, "0"), "head_bytes", call_limits{}.m_head_bytes);
    check_refused(call_endless(chunked_head + "0\r\n", "A: x\r\n"), "head_bytes", call_limits{}.m_head_bytes);
}

TEST_CASE("a body without an end ends a call that collects it") {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    check_refused(call_endless(head + "Content-Length: 99999999999\r\n\r\n", "x"), "body_bytes", 0U);
    check_refused(call_endless(head + "\r\n", "x"), "body_bytes", body_limit_bytes);
    check_refused(call_endless(chunked_head, "3e8\r\n" + std::string(1'000U, 'x') + "\r\n"), "body_bytes",
                  body_limit_bytes);
    check_refused(call_endless(chunked_head + "ffffffffff\r\n", "x"), "body_bytes", 0U);
}

TEST_CASE("responses to earlier requests without an end end a call") {
    call_limits limits{};
    limits.m_echo = {"Attempt", "2"};
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n";
    check_refused(call_endless("", head + "Content-Length: 3\r\n\r\nold", limits), "head_bytes", 2U * body_limit_bytes);
    check_refused(call_endless(head + "\r\n", "x", limits), "body_bytes", body_limit_bytes);
}

TEST_CASE("bytes without an end after a whole response reach no other call") {
    loop owner{};
    endless_server server{owner, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200 OK\r\n\r\nno "};
    http_client client{owner};
    auto done = 0;
    std::string body{};
    client.fetch(local(server.port()), {}, {}, [&](const call_end& end, const http_response& got) {
        CHECK(end.m_code == code::ok);
        body = got.m_body;
        ++done;
    });
    REQUIRE(run_until(owner, [&] { return done == 1; }));
    CHECK(body == "abc");
    call_limits limits{};
    limits.m_total_time = std::chrono::milliseconds{300};
    client.fetch(local(server.port()), {}, limits, [&](const call_end& end, const http_response&) {
        CHECK(end.m_code != code::ok);
        ++done;
    });
    REQUIRE(run_until(owner, [&] { return done == 2; }));
    CHECK(server.sent_bytes() <= kernel_bytes);
}

TEST_CASE("a streamed body has no limit of its own, and its chunks may have extensions") {
    loop owner{};
    endless_server server{owner, chunked_head, "3e8;a=b\r\n" + std::string(1'000U, 'x') + "\r\n"};
    http_client client{owner};
    std::size_t got{};
    std::shared_ptr<call> running{};
    call_handlers handlers{};
    std::optional<call_end> ended{};
    handlers.m_on_part = [&](const std::string_view part) {
        got += part.size();
    };
    handlers.m_on_end = [&](const call_end& end) {
        ended = end;
    };
    running = client.send(local(server.port()), {}, {}, std::move(handlers));
    REQUIRE(run_until(owner, [&] { return got > 32U * mebibyte || ended.has_value(); }));
    CHECK_FALSE(ended.has_value());
    running->cancel();
    REQUIRE(run_until(owner, [&] { return ended.has_value(); }));
}
