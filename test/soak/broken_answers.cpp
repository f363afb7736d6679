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

/*! @brief Returns what the store's client makes of one response to each kind of call. The write is a long one. */
[[nodiscard]] auto store_replies(const std::string& response, const ending end) -> std::vector<adapter::reply> {
    adapter::transaction changes{};
    changes.m_puts.push_back({"key", std::string(long_body_bytes, 'v')});
    return call_store({response, {}, end}, changes).m_replies;
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
        CHECK(got.m_end.m_code != code::ok);
        CHECK(got.m_response.m_body == first_events(3U));
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

// A change of the configuration or of a lease that the store has not confirmed must not count as made.
TEST_CASE("a malformed response of the store confirms nothing") {
    const std::string body = "\r\nContent-Length: 18\r\n\r\n{\"store-revision\":1}";
    const std::vector<adapter::reply> unknown(5U, adapter::reply::unknown);
    for (const auto& head :
         {"HTTP/1.1 000 None" + body, "HTTP/1.1 200 OK\r\nA B: c" + body, "HTTP/1.1 200 OK\r\nA: b\r\n c" + body,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip" + body}) {
        CAPTURE(head);
        CHECK(store_replies(head, ending::never) == unknown);
    }
}

TEST_CASE("a response of the store that a reset within a long write cuts confirms nothing") {
    const std::string response = "HTTP/1.1 200 OK\r\n\r\n{\"revision\":1}";
    for (const auto end : {ending::close, ending::reset}) {
        CHECK(store_replies(response, end)[3U] == adapter::reply::unknown);
    }
}

// Each piece has a digest, so what this guards is that a version is loaded whole in the end.
TEST_CASE("a version of the weights is loaded after its origin has sent malformed responses") {
    site_fixture fixture{1U};
    std::unique_ptr<scripted_server> origin{};
    fixture.m_site.run_in_loop([&](standin_site::site& site) {
        const auto response = "HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nwrong";
        origin = std::make_unique<scripted_server>(site.loop(), script{response, {}, ending::never});
        standin_site::configuration_options options{};
        options.m_origin_address = net::to_string(origin->address());
        static_cast<void>(site.write_configuration(options));
        site.set_weights_version(2U);
    });
    CHECK(process::wait_until(
        [&] { return fixture.m_fleet.logs().find("\"event\":\"response.malformed\"") != std::string::npos; }));
    fixture.m_site.run_in_loop([](standin_site::site& site) { static_cast<void>(site.write_configuration({})); });
    CHECK(fixture.wait_until_version_everywhere(2U));
    fixture.m_site.run_in_loop([&](standin_site::site&) { origin.reset(); });
}

} // namespace rhubarbwharf::soak
