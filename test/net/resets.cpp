#include <optional>

#include <doctest/doctest.h>

#include "net/fixture.hpp"
#include "net/framing.hpp"
#include "net/scripted_server.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

namespace {

/*! @brief More than the kernel holds between both ends of a connection, so that it is never written whole. */
constexpr std::size_t long_body_bytes = std::size_t{24} * 1024U * 1024U;
const std::string whole_response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

/*! @brief How a call ended, and the parts of its body, which a caller may have got by then. */
struct streamed_result {
    std::optional<call_end> m_end{};
    std::string m_body{};
};

/*! @brief Sends a request whose upload is long and returns how the call ended. @param paused Time from the first part
 * of the response for which the call is paused. */
[[nodiscard]] auto upload(loop& owner, http_client& client, const scripted_server& server,
                          const duration paused = duration::zero()) -> streamed_result {
    streamed_result out{};
    std::shared_ptr<call> running{};
    http_request request{};
    request.m_method = "POST";
    request.m_body = std::string(long_body_bytes, 'u');
    call_handlers handlers{};
    handlers.m_on_part = [&](const std::string_view part) {
        out.m_body.append(part);
        if (paused > duration::zero() && running) {
            running->pause(true);
            owner.after(paused, [&] { running->pause(false); });
        }
    };
    handlers.m_on_end = [&](const call_end& end) {
        out.m_end = end;
    };
    running = client.send(server.address(), std::move(request), {}, std::move(handlers));
    REQUIRE(run_until(owner, [&] { return out.m_end.has_value(); }));
    return out;
}

[[nodiscard]] auto upload(script lines, const duration paused = duration::zero()) -> streamed_result {
    loop owner{};
    scripted_server server{owner, std::move(lines)};
    http_client client{owner};
    return upload(owner, client, server, paused);
}

/*! @brief Beginnings of responses whose body ends with their connection. */
[[nodiscard]] auto unframed_heads() -> std::vector<std::string> {
    return {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"};
}

} // namespace

TEST_CASE("the end of the input ends a body only if the connection had not failed before") {
    namespace error = boost::asio::error;
    CHECK(internal::is_whole_at_end(error::eof, {}));
    CHECK(internal::is_whole_at_end(error::eof, error::broken_pipe));
    for (const boost::system::error_code write :
         {error::connection_reset, error::timed_out, error::host_unreachable, error::connection_aborted}) {
        CHECK_FALSE(internal::is_whole_at_end(error::eof, write));
    }
    CHECK_FALSE(internal::is_whole_at_end(error::connection_reset, {}));
    CHECK_FALSE(internal::is_whole_at_end({}, {}));
}

// The write learns of the reset first, and the read then sees an end of input like that of a whole body.
TEST_CASE("a response without a length is cut where its connection is reset within the request") {
    const std::string long_part(std::size_t{600} * 1024U, 'p');
    for (const auto& head : unframed_heads()) {
        for (const auto& part : {std::string{}, std::string{"part"}, long_part}) {
            for (const auto end : {ending::close, ending::reset}) {
                CAPTURE(head);
                CAPTURE(part.size());
                const auto got = upload({head + part, {}, end});
                CHECK(got.m_end->m_code != code::ok);
                CHECK(got.m_end->m_sent == sent::some);
            }
        }
    }
}

TEST_CASE("a response without a length is cut where its connection is reset while the call is paused") {
    for (const auto& head : unframed_heads()) {
        const auto got = upload({head + "part", {}, ending::reset}, std::chrono::milliseconds{200});
        CHECK(got.m_body == "part");
        CHECK(got.m_end->m_code == code::cut_stream);
    }
}

TEST_CASE("a response without a length is cut where a kept connection is reset within the request") {
    loop owner{};
    scripted_server server{owner, {"HTTP/1.1 200 OK\r\n\r\npart", {}, ending::reset, whole_response}};
    http_client client{owner};
    auto done = false;
    client.fetch(server.address(), {}, {}, [&](const call_end& end, const http_response& got) {
        CHECK(end.m_code == code::ok);
        CHECK(got.m_body == "whole");
        done = true;
    });
    REQUIRE(run_until(owner, [&] { return done; }));
    CHECK(upload(owner, client, server).m_end->m_code == code::cut_stream);
    CHECK(server.requests() == 1U);
}

// A server that does not need the rest of a request may answer, end its output and then drop the connection.
TEST_CASE("a response without a length is whole where its server ends its output before it resets the connection") {
    for (const auto& head : unframed_heads()) {
        for (const auto end : {ending::end_output_then_reset, ending::end_output_and_close}) {
            const auto got = upload({head + "whole", {}, end});
            CHECK(got.m_end->m_code == code::ok);
            CHECK(got.m_body == "whole");
        }
    }
}

TEST_CASE("a response with a length or chunks is whole although its connection is reset within the request") {
    for (const auto end : {ending::close, ending::reset}) {
        CHECK(upload({whole_response, {}, end}).m_end->m_code == code::ok);
        CHECK(upload({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", {}, end})
                  .m_end->m_code == code::ok);
        CHECK(upload({"HTTP/1.1 204 No Content\r\n\r\n", {}, end}).m_end->m_code == code::ok);
        CHECK(upload({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", {}, end}).m_end->m_code == code::cut_stream);
        CHECK(upload({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", {}, end}).m_end->m_code ==
              code::cut_stream);
    }
}
