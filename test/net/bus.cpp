#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

#include <doctest/doctest.h>
#include <pthread.h>

#include <rhubarbwharf/net/bus.hpp>

#include "net/raw.hpp"

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

/*! @brief Sends a signal to the thread that creates it, over and over, until it is destroyed. */
class signal_storm {
public:
    explicit signal_storm(const int signal)
        : m_thread{[this, signal, target = pthread_self()] {
              while (!m_stopped) {
                  pthread_kill(target, signal);
                  std::this_thread::sleep_for(std::chrono::microseconds{5});
              }
          }} {}

    ~signal_storm() {
        m_stopped = true;
        m_thread.join();
    }

    signal_storm(const signal_storm&) = delete;
    signal_storm(signal_storm&&) = delete;
    auto operator=(const signal_storm&) -> signal_storm& = delete;
    auto operator=(signal_storm&&) -> signal_storm& = delete;

private:
    std::atomic<bool> m_stopped{};
    std::thread m_thread;
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

TEST_CASE("a peer that is replaced gets the messages sent from then on") {
    loop owner{};
    received at_first{};
    received at_old{};
    received at_new{};
    bus first{owner, "first", {}, at_first.handler()};
    auto old = std::make_unique<bus>(owner, "second", bus_limits{}, at_old.handler());
    REQUIRE(old->listen(local(0U)) == code::ok);
    first.connect("second", local(old->port()));
    REQUIRE(first.send("second", "to the old one") == code::ok);
    REQUIRE(run_until(owner, [&] { return at_old.m_messages.size() == 1U; }));
    old.reset();
    REQUIRE(run_until(owner, [&] { return first.send("second", "to nobody") == code::connection_failed; }));
    bus replaced{owner, "second", {}, at_new.handler()};
    REQUIRE(replaced.listen(local(0U)) == code::ok);
    first.connect("second", local(replaced.port()));
    REQUIRE(first.send("second", "to the new one") == code::ok);
    REQUIRE(run_until(owner, [&] { return at_new.m_messages.size() == 1U; }));
    CHECK(at_new.m_messages[0U].second == "to the new one");
}

TEST_CASE("a peer that comes back at its address is reached again, also by the listening side") {
    loop owner{};
    received at_first{};
    received at_second{};
    auto first = std::make_unique<bus>(owner, "first", bus_limits{}, at_first.handler());
    auto second = std::make_unique<bus>(owner, "second", bus_limits{}, at_second.handler());
    REQUIRE(second->listen(local(0U)) == code::ok);
    const auto where = local(second->port());
    for (auto round = 1U; round <= 5U; ++round) {
        first->connect("second", where);
        REQUIRE(first->send("second", "hello") == code::ok);
        REQUIRE(run_until(owner, [&] { return at_second.m_messages.size() == round; }));
        REQUIRE(second->send("first", "back") == code::ok);
        REQUIRE(run_until(owner, [&] { return at_first.m_messages.size() == round; }));
        first = std::make_unique<bus>(owner, "first", bus_limits{}, at_first.handler());
    }
    first->connect("second", where);
    REQUIRE(first->send("second", "hello") == code::ok);
    second.reset();
    REQUIRE(run_until(owner, [&] { return first->send("second", "lost") == code::connection_failed; }));
    second = std::make_unique<bus>(owner, "second", bus_limits{}, at_second.handler());
    REQUIRE(run_until(owner, [&] { return second->listen(where) == code::ok; }));
    const auto before = at_second.m_messages.size();
    REQUIRE(run_until(owner, [&] { return first->send("second", "again") == code::ok; }));
    REQUIRE(run_until(owner, [&] { return at_second.m_messages.size() > before; }));
    CHECK(at_second.m_messages.back().second == "again");
}

TEST_CASE("connections by turns to the same peer neither stop the process nor lose the last one") {
    loop owner{};
    received at_first{};
    received at_second{};
    bus first{owner, "first", {}, at_first.handler()};
    bus second{owner, "second", {}, at_second.handler()};
    REQUIRE(second.listen(local(0U)) == code::ok);
    for (auto round = 0; round < 50; ++round) {
        first.connect("second", local(second.port()));
        first.disconnect("second");
        first.connect("other name", local(second.port()));
    }
    first.connect("second", local(second.port()));
    REQUIRE(first.send("second", "hello") == code::ok);
    REQUIRE(run_until(owner, [&] { return !at_second.m_messages.empty(); }));
}

TEST_CASE("foreign bytes and messages over the limit reach nobody, and others go on") {
    loop owner{};
    received at_first{};
    received at_second{};
    bus_limits limits{};
    limits.m_message_bytes = 1'000U;
    bus first{owner, "first", {}, at_first.handler()};
    bus second{owner, "second", limits, at_second.handler()};
    REQUIRE(second.listen(local(0U)) == code::ok);
    raw_connection foreign{owner, second.port()};
    foreign.read();
    foreign.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(100U, '\xff'));
    REQUIRE(run_until(owner, [&] { return foreign.m_ended; }));
    first.connect("second", local(second.port()));
    REQUIRE(first.send("second", "small") == code::ok);
    REQUIRE(run_until(owner, [&] { return at_second.m_messages.size() == 1U; }));
    REQUIRE(first.send("second", std::string(2'000U, 'x')) == code::ok);
    REQUIRE(run_until(owner, [&] {
        static_cast<void>(first.send("second", "later"));
        return at_second.m_messages.size() > 1U;
    }));
    CHECK(at_second.m_messages[1U].second == "later");
}

TEST_CASE("signals that arrive during calls neither end the process nor lose or split a message") {
    loop owner{};
    auto reloads = 0;
    owner.on_reload_signal([&reloads] { ++reloads; });
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
    constexpr auto rounds = 200U;
    constexpr auto messages_per_round = 50U;
    {
        const signal_storm storm{SIGHUP};
        for (auto round = 1U; round <= rounds; ++round) {
            for (auto index = 0U; index < messages_per_round; ++index) {
                REQUIRE(first.send("second", "there") == code::ok);
                REQUIRE(second.send("first", "back") == code::ok);
            }
            const auto expected = round * messages_per_round;
            REQUIRE(run_until(owner, [&] {
                return at_second.m_messages.size() == expected + 1U && at_first.m_messages.size() == expected;
            }));
        }
    }
    CHECK(reloads > 0);
    CHECK(std::ranges::all_of(at_first.m_messages, [](const auto& each) { return each.second == "back"; }));
}
