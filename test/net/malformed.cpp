#include <array>
#include <cctype>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <doctest/doctest.h>

#include "net/fixture.hpp"
#include "net/framing.hpp"
#include "net/scripted_server.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

namespace {

/*! @brief Longer than any call of these tests takes unless it waits for its time limit. */
constexpr auto call_time = std::chrono::seconds{4};

/*! @brief How a call ended, and its response. */
struct result {
    call_end m_end{};
    http_response m_response{};
    bool m_done{};
};

/*! @brief Returns how a call ends whose server sends given bytes and leaves the connection open. */
[[nodiscard]] auto call_with(const std::string& bytes, const ending end = ending::never) -> result {
    loop owner{};
    scripted_server server{owner, {bytes, {}, end}};
    http_client client{owner};
    call_limits limits{};
    limits.m_total_time = call_time;
    result out{};
    client.fetch(server.address(), {}, limits, [&](const call_end& ended, http_response got) {
        out = {ended, std::move(got), true};
    });
    REQUIRE(run_until(owner, [&] { return out.m_done; }));
    return out;
}

/*! @brief Checks that a malformed response ends its call at once. */
auto check_refused(const std::string& bytes) -> void {
    CAPTURE(bytes);
    const auto got = call_with(bytes);
    CHECK(got.m_end.m_code != code::ok);
    CHECK(got.m_end.m_code != code::timed_out);
    CHECK(got.m_end.m_sent == sent::some);
    CHECK(got.m_end.m_is_malformed);
    CHECK(got.m_response.m_status == 0U);
}

auto check_accepted(const std::string& bytes, const std::uint16_t status, const ending end = ending::never) -> void {
    CAPTURE(bytes);
    const auto got = call_with(bytes, end);
    CHECK(got.m_end.m_code == code::ok);
    CHECK_FALSE(got.m_end.m_is_malformed);
    CHECK(got.m_response.m_status == status);
    CHECK(got.m_response.m_body == "whole");
}

[[nodiscard]] auto with_status(const std::string& status) -> std::string {
    return "HTTP/1.1 " + status + " Reason\r\nContent-Length: 5\r\n\r\nwhole";
}

[[nodiscard]] auto with_field(const std::string& field) -> std::string {
    return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + field + "\r\n\r\nwhole";
}

} // namespace

TEST_CASE("valid statuses are 100 to 599 without a switch of protocols") {
    for (auto status = 0U; status <= 999U; ++status) {
        CHECK(internal::is_valid_status(status) == (status >= 100U && status <= 599U && status != 101U));
    }
}

TEST_CASE("a field is folded if the line behind its own begins with a blank") {
    CHECK(internal::is_folded("A: b\r\n c"));
    CHECK(internal::is_folded("A:\r\n\t\r\n"));
    CHECK_FALSE(internal::is_folded("A: b\r\nC: d\r\n e"));
    CHECK_FALSE(internal::is_folded("A: b\r\n\r\n body"));
    CHECK_FALSE(internal::is_folded("A: b\r\n"));
    CHECK_FALSE(internal::is_folded("A: b"));
}

// A status below 100 passed for an interim one, so that the caller waited for its time limit.
TEST_CASE("a response with an invalid status ends its call at once") {
    for (const auto* const status : {"000", "001", "099", "600", "999"}) {
        check_refused(with_status(status));
        check_refused("HTTP/1.1 " + std::string{status} + " Reason\r\n\r\nwhole");
        check_refused("HTTP/1.1 100 Continue\r\n\r\n" + with_status(status));
    }
    for (const auto status : {200, 299, 300, 404, 503, 599}) {
        check_accepted(with_status(std::to_string(status)), static_cast<std::uint16_t>(status));
    }
    check_accepted("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Other\r\n\r\n" + with_status("200"), 200U);
}

// No request asks for another protocol, and the bytes after such a response belong to that protocol.
TEST_CASE("a switch to another protocol ends its call at once") {
    check_refused("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n");
    check_refused("HTTP/1.1 101 Switching Protocols\r\n\r\n" + with_status("200"));
}

TEST_CASE("an invalid start line ends its call at once") {
    for (const auto* const line :
         {"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
          "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", " HTTP/1.1 200 OK", "http/1.1 200 OK",
          "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\nK"}) {
        check_refused(std::string{line} + "\r\nContent-Length: 5\r\n\r\nwhole");
    }
}

TEST_CASE("an invalid byte in the name of a field ends its call at once, at each position") {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    for (auto byte = 0U; byte < 256U; ++byte) {
        const std::string text(1U, static_cast<char>(byte));
        const auto is_token =
            byte < 128U && (std::isalnum(static_cast<int>(byte)) != 0 || marks.find(text) != std::string_view::npos);
        const auto ends_name = byte == ':';
        CAPTURE(byte);
        const std::array<std::pair<std::string, bool>, 3U> fields{{{text + "AB: x", is_token},
                                                                   {"A" + text + "B: x", is_token || ends_name},
                                                                   {"AB" + text + ": x", is_token || ends_name}}};
        for (const auto& [field, is_allowed] : fields) {
            if (is_allowed) {
                check_accepted(with_field(field), 200U);
            } else {
                check_refused(with_field(field));
            }
        }
    }
}

TEST_CASE("a control byte in the value of a field ends its call at once") {
    for (auto byte = 0U; byte < 256U; ++byte) {
        const std::string field = "A: b" + std::string(1U, static_cast<char>(byte)) + "c";
        CAPTURE(byte);
        if ((byte < 32U && byte != '\t') || byte == 127U) {
            check_refused(with_field(field));
        } else {
            check_accepted(with_field(field), 200U);
        }
    }
}

// The line was appended to the value before it, and a length in it was lost: the body then ended with the connection.
TEST_CASE("a folded line in a head ends its call at once") {
    for (const auto* const blank : {" ", "\t", "  "}) {
        const std::string line = blank;
        check_refused(with_field("A: b\r\n" + line + "c: d"));
        check_refused(with_field("A:\r\n" + line + "c: d"));
        check_refused(with_field("A: b\r\n" + line));
        check_refused(with_field("A:\r\n" + line));
        check_refused("HTTP/1.1 200 OK\r\n" + line + "A: b\r\nContent-Length: 5\r\n\r\nwhole");
        check_refused("HTTP/1.1 200 OK\r\nA: b\r\n" + line + "Content-Length: 5\r\n\r\nwhole and more");
        check_refused("HTTP/1.1 200 OK\r\nA: b\r\n" + line +
                      "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
        check_refused("HTTP/1.1 103 Early\r\nA: b\r\n" + line + "c\r\n\r\n" + with_status("200"));
    }
    check_accepted(with_field("A: b \t\r\nC:  d\t"), 200U);
    check_accepted(with_field("A:\r\nC: "), 200U);
}

TEST_CASE("a folded line or an invalid name in trailers cuts the body") {
    const std::string begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";
    check_accepted(begin + "A: b\r\nC: d\r\n\r\n", 200U);
    for (const auto* const trailers : {"A: b\r\n c\r\n\r\n", "A b: c\r\n\r\n", "A\x01: c\r\n\r\n", ": c\r\n\r\n"}) {
        check_refused(begin + trailers);
    }
}

TEST_CASE("chunks in HTTP/1.1 are the only transfer coding") {
    CHECK(internal::is_known_coding("chunked", 11));
    CHECK(internal::is_known_coding("CHUNKED", 11));
    CHECK_FALSE(internal::is_known_coding("chunked", 10));
    for (const auto* const coding : {"", "gzip", "gzip, chunked", "chunked, gzip", "chunked ", "identity"}) {
        CHECK_FALSE(internal::is_known_coding(coding, 11));
    }
}

// The coding was dropped from the head, so that the caller got coded bytes as the plain body.
TEST_CASE("a body with a transfer coding other than chunks ends its call at once") {
    const std::string whole_chunks = "\r\n5\r\nwhole\r\n0\r\n\r\n";
    const auto second_coding = "Transfer-Encoding: chunked\r\n" + whole_chunks;
    for (const auto* const coding : {"gzip", "gzip, chunked", "chunked, gzip", "identity", "xchunked", "chunked;a=b",
                                     "chunked, chunked", "\"chunked\"", "", ","}) {
        const auto field = "Transfer-Encoding: " + std::string{coding} + "\r\n";
        const auto coded = "HTTP/1.1 200 OK\r\n" + field;
        CAPTURE(coding);
        check_refused(coded + whole_chunks);
        check_refused(coded + "Content-Length: 5\r\n\r\nwhole");
        check_refused("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + field + "\r\nwhole");
        check_refused(coded + second_coding);
    }
    check_accepted("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n" + whole_chunks, 200U);
}

TEST_CASE("a call that a handler cancels before its trailers are read ends") {
    loop owner{};
    scripted_server server{
        owner,
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nA: b\r\n\r\n", {}, ending::never}};
    http_client client{owner};
    std::shared_ptr<call> running{};
    std::optional<code> ended{};
    call_handlers handlers{};
    handlers.m_on_part = [&](std::string_view) {
        running->cancel();
    };
    handlers.m_on_end = [&](const call_end& end) {
        ended = end.m_code;
    };
    running = client.send(server.address(), {}, {}, std::move(handlers));
    REQUIRE(run_until(owner, [&] { return ended.has_value(); }));
    CHECK(ended == code::cancelled);
}

TEST_CASE("a body with two framings, or one that can't be read, ends its call at once") {
    const std::string chunks = "5\r\nwhole\r\n0\r\n\r\n";
    check_refused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + chunks);
    check_refused("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    check_refused("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole");
    check_refused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    for (const auto* const length :
         {"", "-5", "+5", "0x5", "5 5", "5,", "5;", "5, 6", "99999999999999999999", "five"}) {
        check_refused("HTTP/1.1 200 OK\r\nContent-Length: " + std::string{length} + "\r\n\r\nwhole");
    }
    check_accepted("HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\nwhole", 200U);
    check_accepted("HTTP/1.0 200 OK\r\n\r\nwhole", 200U, ending::close);
}

TEST_CASE("chunks that can't be read cut the body at once") {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto* const chunks :
         {"x\r\nwhole\r\n0\r\n\r\n", "-5\r\nwhole\r\n0\r\n\r\n", "5\nwhole\r\n0\r\n\r\n", "5\r\nwholes\r\n0\r\n\r\n",
          "5\r\nwhole0\r\n\r\n", "5 whole\r\n0\r\n\r\n", "11111111111111111\r\nwhole\r\n0\r\n\r\n"}) {
        check_refused(head + chunks);
    }
}
