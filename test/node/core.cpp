#include <doctest/doctest.h>

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

} // namespace rhubarbwharf::node
