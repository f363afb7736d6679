#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <platform/store.hpp>
#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

namespace asio = boost::asio;

/*! @brief Bytes after which a server stops sending, so that a gateway without a limit needs no endless memory. */
constexpr std::size_t most_sent_bytes = std::size_t{128} * 1024U * 1024U;
/*! @brief Bound on what a server can send before its connection is reset: the largest limit of a gateway and what the
 * kernel holds of a connection. */
constexpr std::size_t refused_after_bytes = std::size_t{40} * 1024U * 1024U;
/*! @brief Half of the time that the callers of `site_fixture` wait. */
constexpr duration early = std::chrono::milliseconds{1'500};
const std::string seal = std::string{adapter::field::signature} + ": seal\r\n";
const std::string unframed_head = "HTTP/1.1 200 OK\r\n" + seal + "\r\n";
const std::string chunked_head = "HTTP/1.1 200 OK\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n";

enum class ending : std::uint8_t { close, reset, never };

/*! @brief What a scripted server sends on each connection once a request has come. */
struct script {
    std::string m_begin{};
    /*! @brief Sent again and again after the beginning unless it is empty. */
    std::string m_again{};
    ending m_end{ending::close};
};

/*! @brief Server whose responses are given byte by byte; all calls are made on the loop of the site. */
class scripted_server {
public:
    scripted_server(net::loop& owner, script lines)
        : m_acceptor{owner.context(), {asio::ip::make_address("127.0.0.1"), 0U}}, m_script{std::move(lines)} {
        while (!m_script.m_again.empty() && m_script.m_again.size() < least_write_bytes) {
            m_script.m_again += m_script.m_again;
        }
        accept();
    }

    [[nodiscard]] auto address() const -> net::endpoint { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    /*! @brief Counts the requests that were answered. */
    [[nodiscard]] auto requests() const noexcept -> unsigned { return m_requests; }

    /*! @brief Returns the most bytes that were sent on one connection. */
    [[nodiscard]] auto most_bytes() const noexcept -> std::size_t { return m_most_bytes; }

private:
    struct peer {
        explicit peer(asio::ip::tcp::acceptor& from) : m_socket{from.get_executor()} {}

        asio::ip::tcp::socket m_socket;
        std::array<char, 8192U> m_space{};
        std::size_t m_sent_bytes{};
    };

    static constexpr std::size_t least_write_bytes = std::size_t{32} * 1024U;

    auto accept() -> void {
        auto added = std::make_shared<peer>(m_acceptor);
        m_acceptor.async_accept(added->m_socket, [this, added](const boost::system::error_code failure) {
            if (failure) {
                return;
            }
            added->m_socket.async_read_some(asio::buffer(added->m_space),
                                            [this, added](const boost::system::error_code closed, std::size_t) {
                                                if (!closed) {
                                                    answer(added);
                                                }
                                            });
            accept();
        });
    }

    auto answer(const std::shared_ptr<peer>& to) -> void {
        ++m_requests;
        asio::async_write(to->m_socket, asio::buffer(m_script.m_begin),
                          [this, to](const boost::system::error_code failure, std::size_t) {
                              if (failure) {
                                  return;
                              }
                              if (!m_script.m_again.empty()) {
                                  repeat(to);
                              } else if (m_script.m_end == ending::reset) {
                                  reset_later(to);
                              } else if (m_script.m_end == ending::close) {
                                  to->m_socket.close();
                              }
                          });
    }

    auto repeat(const std::shared_ptr<peer>& to) -> void {
        asio::async_write(to->m_socket, asio::buffer(m_script.m_again),
                          [this, to](const boost::system::error_code failure, const std::size_t count) {
                              to->m_sent_bytes += count;
                              m_most_bytes = std::max(m_most_bytes, to->m_sent_bytes);
                              if (!failure && to->m_sent_bytes < most_sent_bytes) {
                                  repeat(to);
                              } else if (!failure) {
                                  m_held.push_back(to);
                              }
                          });
    }

    /*! @brief Resets a connection once its other end has had time to read what was sent. */
    auto reset_later(const std::shared_ptr<peer>& to) -> void {
        auto timer = std::make_shared<asio::steady_timer>(m_acceptor.get_executor(), std::chrono::milliseconds{50});
        timer->async_wait([to, timer](const boost::system::error_code) {
            to->m_socket.set_option(asio::socket_base::linger{true, 0});
            to->m_socket.close();
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    script m_script{};
    std::vector<std::shared_ptr<peer>> m_held{};
    unsigned m_requests{};
    std::size_t m_most_bytes{};
};

/*! @brief Site with one gateway in which a scripted server of a service is registered. */
class scripted_site {
public:
    scripted_site(const std::string_view service, script lines) {
        m_fixture.m_site.run_in_loop([&](standin_site::site& site) {
            m_server = std::make_unique<scripted_server>(site.loop(), std::move(lines));
            boost::json::object entry{{"service", service},
                                      {"address", net::to_string(m_server->address())},
                                      {"zone", "dc-1"},
                                      {"version", "v1"},
                                      {"slots", 4},
                                      {"state", "ready"},
                                      {"cold-remaining-ms", 0},
                                      {"born", 1},
                                      {"sequence", 0}};
            if (service == "llm") {
                entry["models"] =
                    boost::json::array{boost::json::object{{"name", standin_site::model_name}, {"version", 1}}};
                entry["layers"] = boost::json::object{{"from", 0}, {"to", 4}, {"version", 1}};
            }
            site.key_value_store().put("servers/scripted", boost::json::serialize(entry));
        });
    }

    ~scripted_site() {
        m_fixture.m_site.run_in_loop([this](standin_site::site&) { m_server.reset(); });
    }

    scripted_site(const scripted_site&) = delete;
    scripted_site(scripted_site&&) = delete;
    auto operator=(const scripted_site&) -> scripted_site& = delete;
    auto operator=(scripted_site&&) -> scripted_site& = delete;

    /*! @brief Sends requests one after the other until one of them has reached the scripted server.
     * @return The response to that one. */
    [[nodiscard]] auto send_until_reached(const std::string_view path) -> process::call_result {
        process::call_result out{};
        REQUIRE(process::wait_until([&] {
            const auto sent_at = steady_now();
            out = m_fixture.start_request("c" + std::to_string(++m_number), path, "c").get();
            m_took = steady_now() - sent_at;
            return count_requests() > 0U;
        }));
        return out;
    }

    [[nodiscard]] auto count_requests() -> unsigned {
        unsigned out{};
        m_fixture.m_site.run_in_loop([&](standin_site::site&) { out = m_server->requests(); });
        return out;
    }

    [[nodiscard]] auto most_bytes() -> std::size_t {
        std::size_t out{};
        m_fixture.m_site.run_in_loop([&](standin_site::site&) { out = m_server->most_bytes(); });
        return out;
    }

    /*! @brief Checks that the last request was ended early, for a limit that the log names. */
    auto check_ended_early(const std::string_view limit) -> void {
        CHECK(m_took < early);
        CHECK(most_bytes() <= refused_after_bytes);
        CHECK(process::wait_until([&] {
            const auto logs = m_fixture.m_fleet.logs();
            const auto at = logs.find("\"event\":\"response.too_large\"");
            return at != std::string::npos &&
                   logs.substr(at, logs.find('\n', at) - at).find('"' + std::string{limit} + '"') != std::string::npos;
        }));
    }

    site_fixture m_fixture{1U};
    std::unique_ptr<scripted_server> m_server{};
    duration m_took{};
    unsigned m_number{};
};

/*! @brief Returns the first events of a complete stream. */
[[nodiscard]] auto first_events(const unsigned count) -> std::string {
    std::string out{};
    for (unsigned index = 1U; index <= count; ++index) {
        out += standin_site::event_text("content", index);
    }
    return out;
}

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
    net::loop loop{};
    scripted_server server{loop, {head, "{}, ", ending::never}};
    net::http_client client{loop};
    constexpr duration call_time = std::chrono::seconds{4};
    adapter::store tried{client, server.address(), call_time};
    std::vector<adapter::reply> replies{};
    const auto into = [&](const auto& got) {
        replies.push_back(got.m_reply);
        loop.stop();
    };
    const auto begin = steady_now();
    tried.range("op/", {}, into);
    loop.run();
    tried.grant_lease(call_time, into);
    loop.run();
    tried.renew_lease(1U, into);
    loop.run();
    tried.commit({}, [&](const adapter::reply got, std::uint64_t) {
        replies.push_back(got);
        loop.stop();
    });
    loop.run();
    static_cast<void>(tried.watch("op/", 1U, call_time, into));
    loop.run();
    CHECK(replies == std::vector<adapter::reply>{adapter::reply::unknown, adapter::reply::unknown,
                                                 adapter::reply::unknown, adapter::reply::unknown,
                                                 adapter::reply::compacted});
    CHECK(steady_now() - begin < call_time);
    CHECK(server.most_bytes() <= refused_after_bytes);
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

} // namespace rhubarbwharf::soak
