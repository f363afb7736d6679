#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "net/fixture.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

namespace {

namespace asio = boost::asio;

[[nodiscard]] auto response(const std::string& status, const std::string& attempt, const std::string& body)
    -> std::string {
    const auto echo = attempt.empty() ? attempt : "Attempt: " + attempt + "\r\n";
    return "HTTP/1.1 " + status + "\r\n" + echo + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/*! @brief Server that answers the requests on all its connections with given bytes, in order. */
class scripted_server {
public:
    scripted_server(loop& owner, std::deque<std::string> answers)
        : m_acceptor{owner.context(), {asio::ip::make_address(local_address), 0U}}, m_answers{std::move(answers)} {
        accept();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_acceptor.local_endpoint().port(); }

    [[nodiscard]] auto connection_count() const -> std::size_t { return m_peers.size(); }

private:
    struct peer {
        explicit peer(asio::ip::tcp::socket socket) : m_socket{std::move(socket)} {}

        asio::ip::tcp::socket m_socket;
        std::array<char, 1024U> m_space{};
    };

    auto accept() -> void {
        m_acceptor.async_accept([this](const boost::system::error_code failure, asio::ip::tcp::socket socket) {
            if (!failure) {
                m_peers.push_back(std::make_unique<peer>(std::move(socket)));
                read(*m_peers.back());
                accept();
            }
        });
    }

    auto read(peer& from) -> void {
        from.m_socket.async_read_some(asio::buffer(from.m_space),
                                      [this, &from](const boost::system::error_code failure, std::size_t) {
                                          if (failure || m_answers.empty()) {
                                              return;
                                          }
                                          asio::write(from.m_socket, asio::buffer(m_answers.front()));
                                          m_answers.pop_front();
                                          read(from);
                                      });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::deque<std::string> m_answers{};
    std::vector<std::unique_ptr<peer>> m_peers{};
};

struct result {
    call_end m_end{};
    http_response m_response{};
};

[[nodiscard]] auto send(loop& owner, http_client& client, const std::uint16_t port, const std::string& attempt)
    -> result {
    call_limits limits{};
    limits.m_echo = {"Attempt", attempt};
    std::optional<result> out{};
    client.fetch(local(port), {}, limits, [&](const call_end& end, http_response got) { out = {end, std::move(got)}; });
    REQUIRE(run_until(owner, [&] { return out.has_value(); }));
    return *out;
}

const std::string refusal = "503 Service Unavailable";

} // namespace

// The copy of a refusal bears the id of the request that is sent again, so that the id does not tell them apart: the
// caller was told that the request had not run while it ran.
TEST_CASE("a request that was refused is not sent again on a connection where the refusal may come once more") {
    loop owner{};
    scripted_server server{owner,
                           {response(refusal, "1", "full"), response("200 OK", "2", "second"),
                            response(refusal, "1", "full") + response("200 OK", "1", "first"),
                            response("200 OK", "1", "first")}};
    http_client client{owner};
    CHECK(send(owner, client, server.port(), "1").m_response.m_status == 503U);
    CHECK(send(owner, client, server.port(), "2").m_response.m_body == "second");
    CHECK(server.connection_count() == 1U);
    static_cast<void>(send(owner, client, server.port(), "1"));
    CHECK(server.connection_count() == 2U);
}

TEST_CASE("a response without the id of its request is not believed on a connection that was used before") {
    loop owner{};
    scripted_server server{
        owner, {response("200 OK", {}, "first"), response(refusal, {}, "full"), response("200 OK", "3", "third")}};
    http_client client{owner};
    CHECK(send(owner, client, server.port(), "1").m_response.m_body == "first");
    const auto unattributed = send(owner, client, server.port(), "2");
    CHECK(unattributed.m_end.m_code == code::connection_failed);
    CHECK(unattributed.m_end.m_sent == sent::some);
    CHECK(unattributed.m_response.m_status == 0U);
    CHECK(send(owner, client, server.port(), "3").m_response.m_body == "third");
    CHECK(server.connection_count() == 2U);
}
