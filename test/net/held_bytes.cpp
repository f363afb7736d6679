#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/net/held_bytes.hpp>

#include "net/fixture.hpp"
#include "net/scripted_server.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

TEST_CASE("no response ends while all together are within the limit") {
    CHECK_FALSE(find_excess({}, 0U).has_value());
    CHECK_FALSE(find_excess(std::vector<held_response>{{"a", 40U}, {"b", 60U}}, 100U).has_value());
}

TEST_CASE("the largest response ends once all together exceed the limit") {
    CHECK(find_excess(std::vector<held_response>{{"a", 10U}, {"a", 60U}, {"a", 31U}}, 100U) == 1U);
    CHECK(find_excess(std::vector<held_response>{{"a", 101U}}, 100U) == 0U);
}

// A sound response that is large must not end because a faulty server fills the memory with many smaller ones.
TEST_CASE("a response of the server whose responses take most ends, though another one is larger") {
    const std::vector<held_response> held{{"sound", 50U}, {"faulty", 20U}, {"faulty", 25U}, {"faulty", 20U}};
    CHECK(find_excess(held, 100U) == 2U);
}

// Each body was within its limit, but their sum took the memory of the process.
TEST_CASE("endless bodies end once all that are collected exceed the limit, and one of another server goes on") {
    constexpr std::size_t sound_bytes = std::size_t{4} * 1024U * 1024U;
    constexpr std::size_t call_count = 8U;
    loop owner{};
    scripted_server faulty{owner, {"HTTP/1.1 200 OK\r\n\r\n", "x", ending::never}};
    scripted_server sound{owner,
                          {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(sound_bytes + 1U) + "\r\n\r\n" +
                               std::string(sound_bytes, 's'),
                           {},
                           ending::never}};
    http_client client{owner};
    auto is_sound_ended = false;
    const auto running = client.fetch(sound.address(), {}, {}, [&](const call_end& end, const http_response&) {
        is_sound_ended = true;
        CHECK(end.m_code == code::cancelled);
    });
    std::size_t ended{};
    for (std::size_t index = 0U; index < call_count; ++index) {
        client.fetch(faulty.address(), {}, {}, [&](const call_end& end, const http_response& got) {
            CHECK(end.m_code == code::too_large);
            CHECK(end.m_limit == "held_bytes");
            CHECK(end.m_sent == sent::some);
            CHECK(got.m_status == 0U);
            ++ended;
        });
    }
    REQUIRE(run_until(owner, [&] { return ended == call_count; }));
    CHECK_FALSE(is_sound_ended);
    running->cancel();
    CHECK(run_until(owner, [&] { return is_sound_ended; }));
}

// What ended calls had collected must not count against later ones.
TEST_CASE("bodies that are collected one after the other are not limited together") {
    constexpr std::size_t body_bytes = std::size_t{12} * 1024U * 1024U;
    loop owner{};
    scripted_server server{
        owner, {"HTTP/1.1 200 OK\r\n\r\n" + std::string(body_bytes, 's'), {}, ending::end_output_and_close}};
    http_client client{owner};
    for (auto call = 0; call < 4; ++call) {
        std::optional<call_end> ended{};
        client.fetch(server.address(), {}, {}, [&](const call_end& end, const http_response& got) {
            ended = end;
            CHECK(got.m_body.size() == body_bytes);
        });
        REQUIRE(run_until(owner, [&] { return ended.has_value(); }));
        CHECK(ended->m_code == code::ok);
    }
}
