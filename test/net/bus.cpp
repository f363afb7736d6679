#include <doctest/doctest.h>

#include <rhubarbwharf/net/bus.hpp>

#include "net/fixture.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

namespace {

struct received {
    std::vector<std::pair<std::string, std::string>> m_messages{};

    auto handler() -> bus::handler {
        return [this](const std::string_view peer, const std::string_view bytes) {
            m_messages.emplace_back(peer, bytes);
        };
    }
};

} // namespace

TEST_CASE("messages go over the own connection and back over it, in order") {
    loop owner{};
    received at_first{};
    received at_second{};
    bus first{owner, "first", {}, at_first.handler()};
    bus second{owner, "second", {}, at_second.handler()};
    REQUIRE(second.listen(local(0U)) == code::ok);
    first.connect("second", local(second.port()));
    constexpr auto messages = 50U;
    for (auto index = 0U; index < messages; ++index) {
        REQUIRE(first.send("second", std::to_string(index)) == code::ok);
    }
    REQUIRE(run_until(owner, [&] { return at_second.m_messages.size() == messages; }));
    for (auto index = 0U; index < messages; ++index) {
        CHECK(at_second.m_messages[index].first == "first");
        CHECK(at_second.m_messages[index].second == std::to_string(index));
    }
    REQUIRE(second.send("first", "back") == code::ok);
    REQUIRE(run_until(owner, [&] { return at_first.m_messages.size() == 1U; }));
    CHECK(at_first.m_messages[0U].first == "second");
    CHECK(first.received_bytes() == 4U);
}

TEST_CASE("a message to a peer that nobody knows is not sent") {
    loop owner{};
    received at_first{};
    bus first{owner, "first", {}, at_first.handler()};
    CHECK(first.send("nobody", "text") == code::connection_failed);
    CHECK(first.sent_bytes() == 0U);
}

TEST_CASE("many messages come without a stall, whoever sends") {
    loop owner{};
    received at_first{};
    received at_second{};
    bus_limits limits{};
    limits.m_queue_messages = 100'000;
    bus first{owner, "first", limits, at_first.handler()};
    bus second{owner, "second", limits, at_second.handler()};
    REQUIRE(second.listen(local(0U)) == code::ok);
    first.connect("second", local(second.port()));
    REQUIRE(first.send("second", "hello") == code::ok);
    REQUIRE(run_until(owner, [&] { return at_second.m_messages.size() == 1U; }));
    constexpr auto messages = 5'000U;
    for (auto index = 0U; index < messages; ++index) {
        REQUIRE(first.send("second", "there") == code::ok);
        REQUIRE(second.send("first", "back") == code::ok);
    }
    REQUIRE(run_until(
        owner, [&] { return at_second.m_messages.size() == messages + 1U && at_first.m_messages.size() == messages; }));
}
