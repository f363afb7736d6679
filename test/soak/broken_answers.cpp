#include <doctest/doctest.h>

#include <soak/scripted_site.hpp>

namespace rhubarbwharf::soak {

namespace {

/*! @brief More than the kernel holds between a gateway and a server, so that an upload is never written whole. */
constexpr std::size_t long_body_bytes = std::size_t{24} * 1024U * 1024U;

/*! @brief Lets callers send long uploads. */
auto allow_long_bodies(scripted_site& tried) -> void {
    standin_site::configuration_options options{};
    options.m_max_body_bytes = 2U * long_body_bytes;
    tried.m_fixture.m_site.run_in_loop(
        [&](standin_site::site& site) { static_cast<void>(site.write_configuration(options)); });
}

/*! @brief Checks that a malformed plain response ends its request at once, or is replaced by that of another server,
 * and that its server does not count as one that has ended. */
auto check_malformed_plain(const std::string& response) -> void {
    CAPTURE(response);
    scripted_site tried{"book", {response, {}, ending::never}};
    const auto got = tried.send_until_reached(standin_site::ledger_path);
    CHECK(got.m_response.m_status == 502U);
    CHECK(got.m_response.m_body.find("wrong") == std::string::npos);
    CHECK(tried.m_took < early);
    REQUIRE(process::wait_until([&] {
        const auto logs = tried.m_fixture.m_fleet.logs();
        return logs.find("\"event\":\"response.malformed\"") != std::string::npos &&
               logs.find("\"reason\":\"the answer is malformed\"") != std::string::npos;
    }));
    CHECK(tried.m_fixture.m_fleet.logs().find("\"event\":\"server.crashed\"") == std::string::npos);
    scripted_site repeated{"book", {response, {}, ending::never}};
    CHECK(repeated.send_until_reached(standin_site::lookup_path).m_response.m_body.starts_with("done:"));
    CHECK(repeated.m_took < early);
}

/*! @brief Checks that a stream whose response is malformed comes from another server. */
auto check_malformed_stream(const std::string& response) -> void {
    CAPTURE(response);
    scripted_site tried{"llm", {response, {}, ending::never}};
    const auto got = tried.send_until_reached(standin_site::model_path);
    CHECK(got.m_end.m_code == code::ok);
    CHECK(got.m_response.m_body == complete_stream());
    CHECK(tried.m_took < early);
}

} // namespace

TEST_CASE("a plain response that a reset within a long upload cuts is not passed on as whole") {
    const std::string upload(long_body_bytes, 'u');
    for (const auto end : {ending::close, ending::reset}) {
        scripted_site tried{"book", {unframed_head + "part", {}, end}};
        allow_long_bodies(tried);
        const auto got = tried.send_until_reached(standin_site::ledger_path, upload);
        CHECK(got.m_response.m_status == 502U);
        CHECK(got.m_response.m_body.find("part") == std::string::npos);
    }
}

TEST_CASE("a stream that a reset within a long upload cuts is not passed on as whole") {
    const std::string upload(long_body_bytes, 'u');
    for (const auto end : {ending::close, ending::reset}) {
        scripted_site tried{"llm", {unframed_head + first_events(3U), {}, end}};
        allow_long_bodies(tried);
        standin_site::server_faults faults{};
        faults.m_resume_status = 500U;
        tried.m_fixture.set_server_faults(faults);
        const auto got = tried.send_until_reached(standin_site::model_path, upload);
        CHECK((got.m_end.m_code != code::ok || got.m_response.m_status >= 500U));
    }
}

TEST_CASE("a whole response to a long upload is passed on although its server drops the rest of the upload") {
    scripted_site tried{"book", {unframed_head + "whole", {}, ending::end_output_and_close}};
    allow_long_bodies(tried);
    const auto got = tried.send_until_reached(standin_site::ledger_path, std::string(long_body_bytes, 'u'));
    CHECK(got.m_response.m_status == 200U);
    CHECK(got.m_response.m_body == "whole");
}

TEST_CASE("a response whose head holds a blank or a control byte in the name of a field reaches no caller") {
    const auto begin = "HTTP/1.1 200 OK\r\n" + seal;
    check_malformed_plain(begin + "Content Length: 5\r\n\r\nwrong");
    check_malformed_plain(begin + "Content-Length : 5\r\n\r\nwrong");
    check_malformed_plain(begin + "Content-Length: 5\r\nA\x01: b\r\n\r\nwrong");
    check_malformed_stream(begin + "A B: c\r\n\r\n" + first_events(1U));
}

TEST_CASE("a response with an invalid status reaches no caller, and does not keep one waiting") {
    check_malformed_plain("HTTP/1.1 000 None\r\n" + seal + "Content-Length: 5\r\n\r\nwrong");
    check_malformed_plain("HTTP/1.1 600 Other\r\n" + seal + "Content-Length: 5\r\n\r\nwrong");
    check_malformed_stream("HTTP/1.1 000 None\r\n" + seal + "\r\n" + first_events(1U));
}

TEST_CASE("a response with a folded line in its head reaches no caller") {
    const auto begin = "HTTP/1.1 200 OK\r\n" + seal + "A: b\r\n ";
    check_malformed_plain(begin + "Content-Length: 5\r\n\r\nwrong");
    check_malformed_stream(begin + "C: d\r\n\r\n" + first_events(1U));
}

TEST_CASE("a response in a transfer coding other than chunks reaches no caller as the plain body") {
    const auto begin = "HTTP/1.1 200 OK\r\n" + seal + "Transfer-Encoding: gzip";
    check_malformed_plain(begin + "\r\nContent-Length: 5\r\n\r\nwrong");
    check_malformed_stream(begin + ", chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n");
}

} // namespace rhubarbwharf::soak
