#include <array>
#include <sstream>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/command/run.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>

namespace {

namespace command = rhubarbwharf::command;
namespace net = rhubarbwharf::net;

/*! @brief Exit code and output of one command line. */
struct run_result {
    command::status m_status{};
    std::string m_out{};
    std::string m_progress{};
};

[[nodiscard]] auto run(std::vector<const char*> arguments) -> run_result {
    arguments.insert(arguments.begin(), "rhubarbwharf");
    std::ostringstream out{};
    std::ostringstream progress{};
    const auto status = command::run(arguments, out, progress);
    return {status, out.str(), progress.str()};
}

/**
 * @brief Admin listener that sends scripted responses in order and repeats the last one.
 *
 * A response with status 0 aborts the connection instead.
 */
class fake_admin {
public:
    explicit fake_admin(std::vector<net::http_response> responses) : m_responses{std::move(responses)} {
        REQUIRE(m_server.listen({"127.0.0.1", 0}) == rhubarbwharf::code::ok);
        m_thread = std::thread{[this] {
            m_loop.run();
        }};
    }

    ~fake_admin() {
        m_loop.stop();
        m_thread.join();
    }

    fake_admin(const fake_admin&) = delete;
    fake_admin(fake_admin&&) = delete;
    auto operator=(const fake_admin&) -> fake_admin& = delete;
    auto operator=(fake_admin&&) -> fake_admin& = delete;

    [[nodiscard]] auto address() const -> std::string { return "127.0.0.1:" + std::to_string(m_server.port()); }

    [[nodiscard]] auto request_bodies() const -> const std::vector<std::string>& { return m_request_bodies; }

private:
    auto respond(const net::http_request& request, net::responder& responder) -> void {
        m_request_bodies.push_back(request.m_body);
        const auto response = m_responses.front();
        if (m_responses.size() > 1U) {
            m_responses.erase(m_responses.begin());
        }
        response.m_status == 0U ? responder.abort() : responder.respond(response);
    }

    std::vector<net::http_response> m_responses;
    std::vector<std::string> m_request_bodies{};
    net::loop m_loop{};
    net::http_server m_server{
        m_loop, {}, [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            respond(request, *responder);
        }};
    std::thread m_thread{};
};

constexpr const char* ticket_file = RHUBARBWHARF_SOURCE_DIR "/config/example-ticket.json";

} // namespace

TEST_CASE("help, version and reference tables are printed to standard output") {
    CHECK(run({"--help"}).m_out.find("ticket submit") != std::string::npos);
    CHECK(run({"--version"}).m_out.starts_with("rhubarbwharf "));
    CHECK(run({"codes"}).m_out.find("303 outcome_unknown") != std::string::npos);
    CHECK(run({"reference"}).m_out.starts_with("# Settings"));
}

TEST_CASE("an invalid command line or file exits with status 2") {
    CHECK(run({}).m_status == command::status::usage_error);
    CHECK(run({"dance"}).m_status == command::status::usage_error);
    CHECK(run({"--admin", "nowhere", "status"}).m_status == command::status::usage_error);
    CHECK(run({"--output", "xml", "status"}).m_status == command::status::usage_error);
    CHECK(run({"ticket", "submit", "/nonexistent"}).m_status == command::status::usage_error);
    CHECK(run({"check-config", "/nonexistent"}).m_progress.find("settings_unreadable") != std::string::npos);
}

TEST_CASE("check-config accepts the example settings of each platform role") {
    const std::string directory{RHUBARBWHARF_SOURCE_DIR "/config/users-platform/"};
    for (const auto* const name : {"gateway.json", "loader.json"}) {
        const auto result = run({"check-config", (directory + name).c_str()});
        CHECK(result.m_status == command::status::done);
        CHECK(result.m_out.ends_with(": ok\n"));
    }
}

TEST_CASE("a submission whose response is lost is retried with the same submission id") {
    const net::http_response lost{.m_status = 0U};
    const net::http_response accepted{.m_status = 200U, .m_body = R"({"number":4,"repeated":true})"};
    const fake_admin admin{{lost, accepted}};
    const auto address = admin.address();
    const auto result = run({"--admin", address.c_str(), "--output", "json", "ticket", "submit", ticket_file});
    CHECK(result.m_status == command::status::done);
    REQUIRE(admin.request_bodies().size() == 2U);
    CHECK(admin.request_bodies()[0] == admin.request_bodies()[1]);
    CHECK(admin.request_bodies()[0].find("submission") != std::string::npos);
}

TEST_CASE("a ticket conflict has an exit code of its own and prints the response") {
    const net::http_response conflict{.m_status = 409U, .m_body = R"({"code":400,"winner":9})"};
    const fake_admin admin{{conflict}};
    const auto address = admin.address();
    const auto result = run({"--admin", address.c_str(), "ticket", "submit", ticket_file});
    CHECK(result.m_status == command::status::conflict);
    CHECK(result.m_progress.find("\"winner\":9") != std::string::npos);
}

TEST_CASE("--wait reports progress until the ticket is in force everywhere") {
    const net::http_response accepted{.m_status = 200U, .m_body = R"({"number":4})"};
    const net::http_response in_progress{.m_status = 200U,
                                         .m_body = R"({"in_force":false,"instances":3,"behind":[{"instance":"e2",)"
                                                   R"("phase":"fetching","chunks_held":3,"chunks_total":8}],)"
                                                   R"("entries_behind":[{"instance":"e3"}]})"};
    const net::http_response in_force{.m_status = 200U, .m_body = R"({"in_force":true,"instances":3,"behind":[]})"};
    const fake_admin admin{{accepted, in_progress, in_force}};
    const auto address = admin.address();
    const auto result = run({"--admin", address.c_str(), "ticket", "submit", ticket_file, "--wait"});
    CHECK(result.m_status == command::status::done);
    CHECK(result.m_progress.find("in force on 1 of 3 instances; behind: e2 (fetching 3/8), e3") != std::string::npos);
    CHECK(result.m_out == "in force everywhere\n");
}

TEST_CASE("an unreachable process exits with status 5") {
    CHECK(run({"--admin", "127.0.0.1:1", "status"}).m_status == command::status::unreachable);
}
