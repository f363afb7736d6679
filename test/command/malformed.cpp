#include <string>
#include <thread>

#include <doctest/doctest.h>

#include "command/admin.hpp"
#include "net/scripted_server.hpp"

namespace command = rhubarbwharf::command::internal;
namespace net = rhubarbwharf::net;

namespace {

/*! @brief Tells whether the command line accepts a response. */
[[nodiscard]] auto is_accepted(const std::string& response) -> bool {
    net::loop loop{};
    net::scripted_server server{loop, {response, {}, net::ending::close}};
    const command::admin_target target{server.address(), {}};
    std::thread thread{[&loop] {
        loop.run();
    }};
    const auto got = command::send_request(target, "GET", "/dump", {});
    loop.post([&loop] { loop.stop(); });
    thread.join();
    return got.has_value();
}

} // namespace

// Operators must not take a part of a dump or of a ticket's state for the whole.
TEST_CASE("the command line accepts no malformed or cut response") {
    const std::string begin = "HTTP/1.1 200 OK";
    const std::string rest = "\r\nContent-Length: 2\r\n\r\n{}";
    CHECK(is_accepted(begin + rest));
    CHECK_FALSE(is_accepted("HTTP/1.1 000 None" + rest));
    CHECK_FALSE(is_accepted(begin + "\r\nA B: c" + rest));
    CHECK_FALSE(is_accepted(begin + "\r\nA: b\r\n c" + rest));
    CHECK_FALSE(is_accepted(begin + "\r\nTransfer-Encoding: gzip" + rest));
    CHECK_FALSE(is_accepted(begin + "\r\nContent-Length: 3\r\n\r\n{}"));
}
