#include <doctest/doctest.h>

#include <soak/scripted_site.hpp>

namespace rhubarbwharf::soak {

namespace {

const std::string chunked_head = "HTTP/1.1 200 OK\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n";

/*! @brief Checks that a stream whose server sends a script is complete in the end, and that a limit ended the server's
 * attempt. */
auto check_endless_stream(const std::string& begin, const std::string& again, const std::string_view limit) -> void {
    scripted_site tried{"llm", {begin, again, ending::never}};
    const auto got = tried.send_until_reached(standin_site::model_path);
    CHECK(got.m_end.m_code == code::ok);
    CHECK(got.m_response.m_body.ends_with(standin_site::event_text("content", standin_site::events_per_stream)));
    tried.check_ended_early(limit);
}

/*! @brief Checks that a plain request to a server that sends a script is answered by another server. */
auto check_endless_plain(const std::string& begin, const std::string& again, const std::string_view limit) -> void {
    scripted_site tried{"book", {begin, again, ending::never}};
    CHECK(tried.send_until_reached(standin_site::lookup_path).m_response.m_status == 200U);
    tried.check_ended_early(limit);
}

} // namespace

TEST_CASE("a plain response that ends with its connection is whole") {
    scripted_site tried{"book", {unframed_head + "whole", {}, ending::close}};
    const auto got = tried.send_until_reached(standin_site::ledger_path);
    CHECK(got.m_end.m_code == code::ok);
    CHECK(got.m_response.m_status == 200U);
    CHECK(got.m_response.m_body == "whole");
}

TEST_CASE("a plain response whose connection is reset is not whole") {
    scripted_site tried{"book", {unframed_head + "part", {}, ending::reset}};
    CHECK(tried.send_until_reached(standin_site::ledger_path).m_response.m_status == 502U);
    scripted_site repeated{"book", {unframed_head + "part", {}, ending::reset}};
    const auto got = repeated.send_until_reached(standin_site::lookup_path);
    CHECK(got.m_response.m_status == 200U);
    CHECK(got.m_response.m_body.starts_with("done:"));
}

TEST_CASE("a response whose head breaks off is no success, and its stream comes from another server") {
    const auto head = "HTTP/1.1 200 OK\r\n" + seal;
    for (const auto end : {ending::close, ending::reset}) {
        scripted_site plain{"book", {head, {}, end}};
        CHECK(plain.send_until_reached(standin_site::ledger_path).m_response.m_status == 502U);
        scripted_site tried{"llm", {head, {}, end}};
        CHECK(tried.send_until_reached(standin_site::model_path).m_response.m_body == complete_stream());
    }
}

TEST_CASE("a stream that ends with its connection is whole") {
    scripted_site tried{"llm", {unframed_head + complete_stream(), {}, ending::close}};
    const auto got = tried.send_until_reached(standin_site::model_path);
    CHECK(got.m_end.m_code == code::ok);
    CHECK(got.m_response.m_body == complete_stream());
}

TEST_CASE("a stream that ends with its connection inside an event is resumed") {
    const auto event = standin_site::event_text("content", 4U);
    for (const auto length : {std::size_t{1}, event.size() / 2U, event.size() - 1U}) {
        scripted_site tried{"llm", {unframed_head + first_events(3U) + event.substr(0U, length), {}, ending::close}};
        const auto got = tried.send_until_reached(standin_site::model_path);
        CHECK(got.m_end.m_code == code::ok);
        CHECK(got.m_response.m_body == complete_stream());
    }
}

TEST_CASE("a stream whose connection is reset between events is resumed") {
    scripted_site tried{"llm", {unframed_head + first_events(3U), {}, ending::reset}};
    const auto got = tried.send_until_reached(standin_site::model_path);
    CHECK(got.m_end.m_code == code::ok);
    CHECK(got.m_response.m_body == complete_stream());
}

TEST_CASE("a stream that ends with its connection inside an event does not look whole if it can't be resumed") {
    scripted_site tried{"llm", {unframed_head + first_events(3U) + "id: 4\ndata", {}, ending::close}};
    standin_site::server_faults faults{};
    faults.m_resume_status = 500U;
    tried.m_fixture.set_server_faults(faults);
    const auto got = tried.send_until_reached(standin_site::model_path);
    CHECK(got.m_end.m_code != code::ok);
    CHECK(got.m_response.m_status == 0U);
}

// The caller must neither get the text of the error within its stream nor a stream that looks complete.
TEST_CASE("a stream that broke off holds nothing of the error with which the next server answers") {
    for (const auto status : std::initializer_list<std::uint16_t>{400U, 429U, 500U, 503U}) {
        for (const auto end : {ending::reset, ending::close}) {
            scripted_site tried{"llm", {unframed_head + first_events(3U) + "id: 4\ndata", {}, end}};
            standin_site::server_faults faults{};
            faults.m_resume_status = status;
            tried.m_fixture.set_server_faults(faults);
            const auto got = tried.send_until_reached(standin_site::model_path);
            CAPTURE(status);
            CAPTURE(got.m_response.m_body);
            CHECK(got.m_end.m_code != code::ok);
            CHECK(got.m_response.m_body == first_events(3U));
        }
    }
}

TEST_CASE("a plain response without an end is replaced by that of another server, early") {
    check_endless_plain(unframed_head, "x", "buffered_bytes");
    check_endless_plain(chunked_head, "3\r\nabc\r\n", "buffered_bytes");
    check_endless_plain(unframed_head.substr(0U, unframed_head.size() - 2U) + "Content-Length: 99999999999\r\n\r\n",
                        "x", "buffered_bytes");
}

TEST_CASE("a plain response without an end that may not be repeated ends early, and its server counts as failing") {
    scripted_site tried{"book", {unframed_head, "x", ending::never}};
    CHECK(tried.send_until_reached(standin_site::ledger_path).m_response.m_status == 502U);
    tried.check_ended_early("buffered_bytes");
    REQUIRE(process::wait_until([&] {
        static_cast<void>(tried.m_fixture.send_request("c0", standin_site::ledger_path, "c"));
        return tried.m_fixture.m_fleet.logs().find("\"event\":\"server.ejected\"") != std::string::npos;
    }));
    CHECK(tried.m_fixture.m_fleet.logs().find("\"event\":\"request.blamed\"") == std::string::npos);
}

TEST_CASE("bytes without an end before a response end the attempt early") {
    check_endless_plain("", "HTTP/1.1 100 Continue\r\n\r\n", "head_bytes");
    check_endless_plain(chunked_head + "1;a=", "x", "head_bytes");
}

TEST_CASE("an event without an end is replaced by the stream of another server, early") {
    check_endless_stream(unframed_head + "id: 1\ndata: ", "x", "event_bytes");
    check_endless_stream(chunked_head, "1\r\nx\r\n", "event_bytes");
    check_endless_stream(unframed_head + first_events(3U) + "id: 4\ndata: ", "x\n", "event_bytes");
}

TEST_CASE("comments without an end are no events") {
    check_endless_stream(unframed_head + first_events(3U), ": still here\n\n", "event_bytes");
}

TEST_CASE("a response of the store without an end ends the call early, and an endless watch lists anew") {
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n{\"store-revision\":1,\"items\":[],\"events\":[";
    const auto begin = steady_now();
    const auto got = call_store({head, "{}, ", ending::never}, {});
    CHECK(got.m_replies == std::vector<adapter::reply>{adapter::reply::unknown, adapter::reply::unknown,
                                                       adapter::reply::unknown, adapter::reply::unknown,
                                                       adapter::reply::compacted});
    CHECK(steady_now() - begin < store_call_time);
    CHECK(got.m_most_bytes <= refused_after_bytes);
}

TEST_CASE("a version of the weights is loaded after its origin has sent bytes without an end") {
    site_fixture fixture{1U};
    fixture.m_site.run_in_loop([](standin_site::site& site) {
        standin_site::origin_faults faults{};
        faults.m_endless = true;
        site.set_origin_faults(faults);
        site.set_weights_version(2U);
    });
    CHECK(process::wait_until(
        [&] { return fixture.m_fleet.logs().find("\"event\":\"response.too_large\"") != std::string::npos; }));
    fixture.m_site.run_in_loop([](standin_site::site& site) {
        CHECK(site.most_endless_bytes() <= refused_after_bytes);
        site.set_origin_faults({});
    });
    CHECK(fixture.wait_until_version_everywhere(2U));
}

// Each response was within its limit, but their sum took the memory of the machine, and all its requests with it.
TEST_CASE("many responses without an end at once leave a gateway within the memory of its machine") {
    constexpr std::size_t machine_bytes = std::size_t{160} * 1000U * 1000U;
    constexpr std::size_t request_count = 96U;
    scripted_site tried{"book", {unframed_head, "x", ending::never}, 64U};
    const auto& gateway = tried.m_fixture.m_fleet.daemons()[0U];
    // The other servers are slow, so that most requests go to this one.
    tried.m_fixture.set_server_faults(pause_before_event(1U));
    REQUIRE(process::wait_until([&] {
        std::vector<std::future<process::call_result>> calls{};
        for (std::size_t index = 0U; index < request_count; ++index) {
            calls.push_back(
                tried.m_fixture.start_request("d" + std::to_string(++tried.m_number), standin_site::ledger_path, "b"));
        }
        for (auto& each : calls) {
            each.wait();
        }
        return tried.count_requests() >= request_count / 3U;
    }));
    tried.m_fixture.set_server_faults({});
    CHECK(gateway.m_process->is_running());
    CHECK(gateway.m_process->peak_resident_bytes() < machine_bytes);
    CHECK(process::wait_until([&] {
        return tried.m_fixture.send_request("e" + std::to_string(++tried.m_number), standin_site::ledger_path, "a")
                   .m_status == 200U;
    }));
}

} // namespace rhubarbwharf::soak
