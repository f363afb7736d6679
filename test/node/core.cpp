#include <atomic>
#include <thread>

#include <doctest/doctest.h>

#include <fleet.pb.h>
#include <net/fixture.hpp>
#include <node/core.hpp>
#include <standin-site/store.hpp>

namespace rhubarbwharf::node {

namespace {

constexpr duration hour = std::chrono::hours{1};

[[nodiscard]] auto settings_of(const std::string& role) -> config::node_settings {
    config::node_settings out{};
    out.m_role = role;
    out.m_instance = role + "-1";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

/*! @brief Finds an address of this machine that nothing listens on. */
[[nodiscard]] auto free_address(net::loop& owner) -> net::endpoint {
    net::http_server probe{owner, net::http_limits{},
                           [](const net::http_request&, const std::shared_ptr<net::responder>&) {
                           }};
    net::ensure_listening(probe);
    return net::local(probe.port());
}

[[nodiscard]] auto target(const std::uint64_t version, const time_point learned) -> fleet::weights_target {
    return {"m", version, learned, true};
}

} // namespace

TEST_CASE("each version keeps its own time limit, though a newer one is named before it ends") {
    core self{settings_of("gateway"), true};
    const auto now = steady_now();
    const auto bound = duration{std::chrono::milliseconds{self.m_settings.m_bounds.m_version_ms}};
    accept_target(self, target(2U, now), "test");
    accept_target(self, target(3U, now + bound / 2), "test");
    CHECK(wanted_version(self, "m") == 3U);
    CHECK(least_version(self, "m", now, duration::zero()) == 0U);
    CHECK(least_version(self, "m", now + bound, duration::zero()) == 2U);
    CHECK(least_version(self, "m", now + bound + bound / 2, duration::zero()) == 3U);
    CHECK(least_version(self, "other", now + hour, duration::zero()) == 0U);
}

TEST_CASE("the older version may be used for longer where no runner holds the newer one") {
    core self{settings_of("gateway"), true};
    const auto bound = duration{std::chrono::milliseconds{self.m_settings.m_bounds.m_version_ms}};
    const auto named = steady_now();
    accept_target(self, target(2U, named), "test");
    const auto between = named + bound - version_margin / 2;
    REQUIRE(version_least_margin < version_margin / 2);
    REQUIRE(version_last_call < version_least_margin);
    CHECK(least_version(self, "m", between, version_margin) == 2U);
    CHECK(least_version(self, "m", between, version_least_margin) == 0U);
    CHECK(least_version(self, "m", named + bound - version_last_call, version_least_margin) == 2U);
}

TEST_CASE("a version that a peer has known for longer counts from the peer's time") {
    core self{settings_of("gateway"), true};
    const auto now = steady_now();
    accept_target(self, target(2U, now), "store");
    accept_target(self, target(2U, now - hour), "peer");
    CHECK(least_version(self, "m", now, duration::zero()) == 2U);
}

TEST_CASE("a peer that heard a version named knows better than a listing") {
    core self{settings_of("gateway"), true};
    const auto now = steady_now();
    accept_target(self, {"m", 2U, now - hour, false}, "listing");
    CHECK(least_version(self, "m", now, duration::zero()) == 2U);
    accept_target(self, target(2U, now), "peer");
    CHECK(least_version(self, "m", now, duration::zero()) == 0U);
    accept_target(self, {"m", 2U, now - hour, false}, "listing");
    CHECK(least_version(self, "m", now, duration::zero()) == 0U);
}

TEST_CASE("a version that stood in the store before the process started is in force at once") {
    core self{settings_of("gateway"), true};
    standin_site::store registry{self.m_loop};
    self.m_store.set_address(registry.listen());
    registry.put("op/version/m", R"({"model":"m","version":2})");
    REQUIRE(start(self));
    REQUIRE(net::run_until(self.m_loop, [&] { return wanted_version(self, "m") == 2U; }));
    CHECK(least_version(self, "m", steady_now(), duration::zero()) == 2U);
    registry.put("op/version/m", R"({"model":"m","version":3})");
    REQUIRE(net::run_until(self.m_loop, [&] { return wanted_version(self, "m") == 3U; }));
    CHECK(least_version(self, "m", steady_now(), duration::zero()) == 2U);
}

TEST_CASE("a state's weights are known when its configuration comes into force") {
    core teller{settings_of("gateway"), true};
    accept_configuration(teller, R"({"version":1,"routes":[],"services":[],"limits":{},"tenants":[]})", "test");
    REQUIRE(teller.m_configuration != nullptr);
    accept_target(teller, target(3U, steady_now()), "test");
    core self{settings_of("loader"), false};
    std::uint64_t wanted{};
    self.m_handlers.m_on_configuration = [&] {
        wanted = wanted_version(self, "m");
    };
    accept_state(self, whole_state(teller, 0U, false), "test");
    CHECK(self.m_configuration != nullptr);
    CHECK(wanted == 3U);
}

TEST_CASE("a gateway that does not watch the store notices that it answers again") {
    core self{settings_of("gateway"), true};
    standin_site::store registry{self.m_loop};
    self.m_store.set_address(registry.listen());
    REQUIRE(start(self));
    REQUIRE(net::run_until(self.m_loop, [&] { return self.m_store_there; }));
    for (const auto& each : {self.m_operators, self.m_server_entries}) {
        each->pause();
    }
    self.m_watching = false;
    self.m_store_there = false;
    CHECK(net::run_until(self.m_loop, [&] { return self.m_store_there; }));
}

TEST_CASE("of two processes that start together, one hears of the other from the store") {
    core first{settings_of("gateway"), true};
    auto other = settings_of("gateway");
    other.m_instance = "gateway-2";
    core second{other, true};
    standin_site::store registry{first.m_loop};
    const auto address = registry.listen();
    first.m_store.set_address(address);
    second.m_store.set_address(address);
    first.m_self.m_bus = free_address(first.m_loop);
    second.m_self.m_bus = free_address(second.m_loop);
    REQUIRE(start(first));
    REQUIRE(start(second));
    std::atomic<bool> heard{false};
    second.m_loop.every(std::chrono::milliseconds{1}, [&] { heard = second.m_members.contains("gateway-1"); });
    std::thread beside{[&second] {
        second.m_loop.run();
    }};
    CHECK(net::run_until(first.m_loop, [&] { return heard || first.m_members.contains("gateway-2"); }));
    second.m_loop.stop();
    beside.join();
}

TEST_CASE("a process does not take its own state for a peer's") {
    auto settings = settings_of("gateway");
    settings.m_listen.m_control = "127.0.0.1:7";
    settings.m_seeds = {"127.0.0.1:7"};
    core self{settings, true};
    ask_seeds(self);
    CHECK(self.m_seed_calls == 0U);
    self.m_settings.m_seeds = {"127.0.0.1:7", "127.0.0.1:1"};
    ask_seeds(self);
    CHECK(self.m_seed_calls == 1U);
}

} // namespace rhubarbwharf::node
