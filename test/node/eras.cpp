#include <doctest/doctest.h>

#include <fleet.pb.h>
#include <net/fixture.hpp>
#include <node/core.hpp>
#include <node/wire.hpp>
#include <standin-site/store.hpp>

namespace rhubarbwharf::node {

namespace {

constexpr duration copy_age = std::chrono::milliseconds{150};
constexpr duration hour = std::chrono::hours{1};
/*! @brief Recovery of entries and application of a change, as the platform allows them. */
constexpr duration listing_bound = std::chrono::seconds{4};

[[nodiscard]] auto make_settings() -> config::node_settings {
    config::node_settings out{};
    out.m_role = "gateway";
    out.m_instance = "gateway-1";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

[[nodiscard]] auto make_configuration(const std::uint64_t version) -> std::string {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],"limits":{},"tenants":[]})";
}

[[nodiscard]] auto make_entry(const std::string& state) -> std::string {
    return R"({"service":"s","address":"127.0.0.1:9","zone":"z","slots":4,"born":7,"state":")" + state + "\"}";
}

[[nodiscard]] auto make_row(const fleet::store_version version) -> fleet::backend_server {
    fleet::backend_server out{};
    out.m_id = "a";
    out.m_started_ms = 7U;
    out.m_store_version = version;
    return out;
}

/*! @brief A core that follows a stand-in store. */
struct core_fixture {
    explicit core_fixture(const config::node_settings& settings = make_settings()) : m_core{settings, true} {
        m_core.m_store.set_address(m_store.listen());
    }

    [[nodiscard]] auto wait_until(const std::function<bool()>& condition) -> bool {
        return net::run_until(m_core.m_loop, condition);
    }

    auto let_pass(const duration time) -> void {
        const auto end = steady_now() + time;
        REQUIRE(wait_until([end] { return steady_now() >= end; }));
    }

    [[nodiscard]] auto knows(const std::string& id) const -> bool { return m_core.m_servers.m_rows.contains(id); }

    core m_core;
    standin_site::store m_store{m_core.m_loop};
};

} // namespace

TEST_CASE(
    "a configuration, a target and a server that the copy lacks or has older do not go back too early or at all") {
    core_fixture fixture{};
    fixture.m_store.put("op/config", make_configuration(1U));
    fixture.m_store.put("servers/a", make_entry("ready"));
    REQUIRE(start(fixture.m_core));
    REQUIRE(fixture.wait_until([&] { return fixture.knows("a") && fixture.m_core.m_configuration; }));
    fixture.let_pass(copy_age * 2);
    fixture.m_store.put("op/config", make_configuration(2U));
    fixture.m_store.put("op/version/m", R"({"model":"m","version":2})");
    fixture.m_store.put("servers/b", make_entry("ready"));
    REQUIRE(fixture.wait_until([&] {
        return fixture.knows("b") && fixture.m_core.m_configuration->m_version == 2U &&
               wanted_version(fixture.m_core, "m") == 2U;
    }));
    const auto limit_since = fixture.m_core.m_weights_targets.at(0).m_written_at;
    fixture.m_store.restore(copy_age, std::chrono::seconds{1});
    const auto restored = steady_now();
    REQUIRE(fixture.wait_until([&] {
        CHECK(fixture.knows("b"));
        CHECK(fixture.m_core.m_configuration->m_version == 2U);
        const auto row = fixture.m_core.m_servers.m_rows.find("b");
        return row != fixture.m_core.m_servers.m_rows.end() && row->second.m_store_version.m_era == 2U;
    }));
    CHECK(steady_now() - restored < listing_bound);
    fixture.let_pass(std::chrono::milliseconds{100});
    CHECK(wanted_version(fixture.m_core, "m") == 2U);
    CHECK(fixture.m_core.m_weights_targets.at(0).m_written_at == limit_since);
}

TEST_CASE("a server that the new era lacks stays for the recovery window and is removed then") {
    core_fixture fixture{};
    REQUIRE(start(fixture.m_core));
    fixture.let_pass(std::chrono::milliseconds{2'500});
    fixture.m_store.put("servers/b", make_entry("ready"));
    REQUIRE(fixture.wait_until([&] { return fixture.knows("b"); }));
    fixture.m_store.restore(copy_age, hour);
    const auto restored = steady_now();
    REQUIRE(fixture.wait_until([&] { return !fixture.knows("b"); }));
    CHECK(steady_now() - restored > std::chrono::seconds{2});
    CHECK(steady_now() - restored < listing_bound);
}

TEST_CASE("a server that was removed in the former era is held for the recovery window, unless it is written again") {
    core_fixture fixture{};
    fixture.m_store.put("servers/a", make_entry("ready"));
    fixture.m_store.put("servers/b", make_entry("ready"));
    REQUIRE(start(fixture.m_core));
    REQUIRE(fixture.wait_until([&] { return fixture.knows("a") && fixture.knows("b"); }));
    // Removals are read one batch delay apart, so that the copy has to be older than that.
    constexpr duration older_copy = std::chrono::seconds{1};
    fixture.let_pass(older_copy + copy_age);
    fixture.m_store.remove("servers/a");
    fixture.m_store.remove("servers/b");
    REQUIRE(fixture.wait_until([&] { return !fixture.knows("a") && !fixture.knows("b"); }));
    fixture.m_store.restore(older_copy, hour);
    const auto restored = steady_now();
    REQUIRE(fixture.wait_until([&] { return fixture.m_core.m_held_servers.size() == 2U; }));
    CHECK_FALSE(fixture.knows("a"));
    fixture.m_store.put("servers/b", make_entry("ready"));
    REQUIRE(fixture.wait_until([&] { return fixture.knows("b"); }));
    CHECK(steady_now() - restored < std::chrono::seconds{2});
    REQUIRE(fixture.wait_until([&] { return fixture.knows("a"); }));
    CHECK(steady_now() - restored > std::chrono::seconds{2});
    CHECK(steady_now() - restored < listing_bound);
}

TEST_CASE("an entry of a peer reveals a new era, and is held if the server was removed in the former one") {
    core_fixture fixture{};
    fixture.m_store.put("servers/a", make_entry("ready"));
    REQUIRE(start(fixture.m_core));
    REQUIRE(fixture.wait_until([&] { return fixture.knows("a"); }));
    fixture.m_store.remove("servers/a");
    REQUIRE(fixture.wait_until([&] { return !fixture.knows("a"); }));
    wire::fleet::State state{};
    to_wire(make_row({2U, 3U}), *state.add_servers());
    accept_state(fixture.m_core, state, "peer");
    CHECK_FALSE(fixture.knows("a"));
    CHECK(fixture.m_core.m_held_servers.contains("a"));
    CHECK(fixture.m_core.m_store.era() == 2U);
}

TEST_CASE("an incarnation that was draining counts as leaving when a new era calls it ready") {
    core self{make_settings(), true};
    auto row = make_row({1U, 9U});
    row.m_draining = true;
    REQUIRE(offer_server(self, row, true));
    CHECK(offer_server(self, make_row({2U, 3U}), false));
    CHECK(fleet::is_leaving(self.m_leaving_servers, "a", 7U));
}

TEST_CASE("a process holds the store's configuration at the start until a seed has answered or the time has passed") {
    auto settings = make_settings();
    settings.m_seeds = {"127.0.0.1:1"};
    core self{settings, true};
    self.m_held_operator_items.push_back({{"op/config", make_configuration(1U), {}, 0U, false}, {}});
    wire::fleet::State state{};
    state.set_configuration(make_configuration(2U));
    accept_state(self, state, "seed");
    REQUIRE(self.m_configuration);
    CHECK(self.m_configuration->m_version == 2U);
    CHECK(self.m_applies_operator_items);
    CHECK(self.m_held_operator_items.empty());
    core_fixture unanswered{settings};
    unanswered.m_store.put("op/config", make_configuration(1U));
    REQUIRE(start(unanswered.m_core));
    CHECK(unanswered.wait_until([&] { return unanswered.m_core.m_configuration != nullptr; }));
}

TEST_CASE("what a process without eras says does not count once an era is known, and counts before") {
    core self{make_settings(), true};
    wire::fleet::State state{};
    to_wire(make_row({0U, 9U}), *state.add_servers());
    accept_state(self, state, "peer");
    CHECK(self.m_servers.m_rows.contains("a"));
    self.m_store.note_era(1U);
    state.mutable_servers(0)->set_removed(true);
    state.mutable_servers(0)->set_revision(10U);
    accept_state(self, state, "peer");
    CHECK(self.m_servers.m_rows.contains("a"));
}

TEST_CASE("the era of an entry reaches a peer") {
    wire::fleet::Server message{};
    to_wire(make_row({3U, 9U}), message);
    CHECK(from_wire(message).m_store_version == fleet::store_version{3U, 9U});
}

} // namespace rhubarbwharf::node
