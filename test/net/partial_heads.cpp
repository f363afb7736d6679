#include <array>
#include <initializer_list>
#include <memory>

#include <doctest/doctest.h>

#include "net/raw.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

namespace {

namespace asio = boost::asio;

const std::string echo_header = "Attempt";
const std::string echo_value = "second";

/*! @brief Server that answers the first request on a connection with a whole response, and the second one with a part
 * of a response, after which it closes or resets the connection. */
class partial_server {
public:
    partial_server(loop& owner, std::string part, const bool resets)
        : m_acceptor{owner.context(), {asio::ip::make_address(local_address), 0U}}, m_peer{owner.context()},
          m_timer{owner.context()}, m_part{std::move(part)}, m_resets{resets} {
        m_acceptor.async_accept(m_peer, [this](const boost::system::error_code) {
            read([this] {
                asio::write(m_peer, asio::buffer(first_response));
                read([this] { answer_partly(); });
            });
        });
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

private:
    static constexpr std::string_view first_response =
        "HTTP/1.1 200 OK\r\nAttempt: first\r\nContent-Length: 2\r\n\r\nok";

    auto read(std::function<void()> next) -> void {
        m_peer.async_read_some(asio::buffer(m_space),
                               [next = std::move(next)](const boost::system::error_code failure, std::size_t) {
                                   if (!failure) {
                                       next();
                                   }
                               });
    }

    auto answer_partly() -> void {
        asio::write(m_peer, asio::buffer(m_part));
        if (!m_resets) {
            m_peer.close();
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds{2});
        m_timer.async_wait([this](const boost::system::error_code) {
            m_peer.set_option(asio::socket_base::linger{true, 0});
            m_peer.close();
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_peer;
    asio::steady_timer m_timer;
    std::array<char, 1024U> m_space{};
    std::string m_part{};
    bool m_resets{};
};

/*! @brief Returns how a call on a kept connection ends whose server sends a part of a response. */
[[nodiscard]] auto end_of_partial_response(const std::string& part, const bool resets) -> call_end {
    loop owner{};
    partial_server server{owner, part, resets};
    http_client client{owner};
    auto done = false;
    call_limits limits{};
    limits.m_echo = {echo_header, "first"};
    client.fetch(local(server.port()), {}, limits, [&](const call_end& end, const http_response&) {
        REQUIRE(end.m_code == code::ok);
        done = true;
    });
    REQUIRE(run_until(owner, [&] { return done; }));
    done = false;
    call_end out{};
    limits.m_echo = {echo_header, echo_value};
    client.fetch(local(server.port()), {}, limits, [&](const call_end& end, const http_response& got) {
        out = end;
        CHECK(got.m_status == 0U);
        done = true;
    });
    REQUIRE(run_until(owner, [&] { return done; }));
    return out;
}

} // namespace

// A head that breaks off has no framing yet, so the end of the connection must not pass for the end of its body.
TEST_CASE("a response whose head breaks off at any byte is no success") {
    const auto echo = echo_header + ": " + echo_value + "\r\n";
    const std::string skipped = "HTTP/1.1 200 OK\r\n" + echo_header + ": first\r\nContent-Length: 2\r\n\r\nok";
    for (const auto& before : {std::string{}, std::string{"HTTP/1.1 100 Continue\r\n\r\n"}, skipped}) {
        for (const auto* const framing : {"", "Content-Length: 210\r\n", "Transfer-Encoding: chunked\r\n"}) {
            for (const auto& head : {"HTTP/1.1 200 OK\r\n" + echo + framing + "\r\n",
                                     std::string{"HTTP/1.1 200 OK\r\n"} + framing + echo + "\r\n"}) {
                for (std::size_t bytes = 0U; bytes < head.size(); ++bytes) {
                    for (const auto resets : {false, true}) {
                        CAPTURE(before);
                        CAPTURE(head.substr(0U, bytes));
                        const auto end = end_of_partial_response(before + head.substr(0U, bytes), resets);
                        CHECK(end.m_code != code::ok);
                        CHECK(end.m_sent == sent::some);
                    }
                }
            }
        }
    }
}
