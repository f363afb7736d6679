#include <doctest/doctest.h>

#include <fleet.pb.h>
#include <net/fixture.hpp>
#include <node/core.hpp>
#include <node/slow_store.hpp>
#include <platform/encode.hpp>
#include <standin-site/store.hpp>

namespace rhubarbwharf::node {

namespace {

[[nodiscard]] auto make_settings(const std::string& role, const std::string& name) -> config::node_settings {
    config::node_settings out{};
    out.m_role = role;
    out.m_instance = name;
    out.m_region = "ost";
    out.m_data_centre = "ost-a";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

auto add_member(core& self, const std::string& region, const std::string& name, const bool is_gateway) -> void {
    fleet::member member{};
    member.m_instance = name;
    member.m_region = region;
    member.m_data_centre = region + "-a";
    member.m_incarnation = 7U;
    member.m_bus_address = {"127.0.0.1", 1U};
    if (is_gateway) {
        member.m_caller_address = {"127.0.0.1", 1U};
    }
    update_member(self, member, true);
}

/*! @brief Value of the entry of a gateway in the store. */
[[nodiscard]] auto gateway_entry(const std::string& region, const std::string& name) -> std::string {
    fleet::member member{};
    member.m_instance = name;
    member.m_region = region;
    member.m_data_centre = region + "-a";
    member.m_incarnation = 7U;
    member.m_caller_address = {"127.0.0.1", 1U};
    member.m_bus_address = {"127.0.0.1", 1U};
    return adapter::encode_member(member);
}

} // namespace

// Load pattern: a power cut of all, 98 gateways and 330 loaders. Each read the entries of all, so that the links
// between regions were full of them for seconds.
TEST_CASE("the state that a process gets at its start does not grow with the loaders or the other regions") {
    core self{make_settings("gateway", "edge-ost-10"), true};
    for (const auto* const region : {"mitte", "nord", "ost", "sued", "west"}) {
        for (auto index = 11; index < 31; ++index) {
            add_member(self, region, "edge-" + std::string{region} + "-" + std::to_string(index), true);
        }
        for (auto index = 100; index < 166; ++index) {
            add_member(self, region, "side-" + std::string{region} + "-" + std::to_string(index), false);
        }
    }
    const auto state = startup_state(self, "west", false);
    CHECK(state.members_size() == 20 + 4 * static_cast<int>(fleet::representatives_per_region));
    CHECK(state.servers_size() == 0);
    CHECK(startup_state(self, {}, false).members_size() == 5 * (20 + 66));
}

// Load pattern: a power cut of all, or a region's loaders replaced, where each loader took a lease, wrote an entry that
// nobody read, and renewed the lease.
TEST_CASE("a loader reads the gateways of its region, and those of all regions if it has none, and writes nothing") {
    for (const auto& [own, listed] : {std::pair{"ost", 1U}, std::pair{"nowhere", 2U}}) {
        auto settings = make_settings("loader", "side-1");
        settings.m_region = own;
        core self{settings, false};
        standin_site::store platform_store{self.m_loop};
        self.m_store.set_address(platform_store.listen());
        platform_store.put("rhubarbwharf/members/gateways/ost/edge-1", gateway_entry("ost", "edge-1"));
        platform_store.put("rhubarbwharf/members/gateways/west/edge-2", gateway_entry("west", "edge-2"));
        REQUIRE(start(self));
        REQUIRE(net::run_until(self.m_loop, [&] { return self.m_members_read; }));
        CHECK(self.m_members.contains("edge-1"));
        CHECK(self.m_members.size() == listed + 1U);
        CHECK(platform_store.call_count() == listed);
        CHECK(platform_store.count("rhubarbwharf/") == 2U);
    }
}

TEST_CASE("a gateway that starts beside two that are listed leaves the watch to them, and watches if they are silent") {
    core self{make_settings("gateway", "edge-3"), true};
    standin_site::store platform_store{self.m_loop};
    self.m_store.set_address(platform_store.listen());
    for (const auto* const name : {"edge-1", "edge-2"}) {
        platform_store.put("rhubarbwharf/members/gateways/ost/" + std::string{name}, gateway_entry("ost", name));
    }
    platform_store.put("op/version/m", R"({"model":"m","version":2})");
    REQUIRE(start(self));
    REQUIRE(net::run_until(self.m_loop, [&] { return !self.m_watches_store; }));
    REQUIRE(net::run_until(self.m_loop, [&] {
        update_store_watch(self);
        return self.m_watches_store;
    }));
    CHECK(steady_now() - self.m_started < std::chrono::seconds{3});
    REQUIRE(net::run_until(self.m_loop, [&] { return wanted_version(self, "m") == 2U; }));
    platform_store.put("op/version/m", R"({"model":"m","version":3})");
    CHECK(net::run_until(self.m_loop, [&] { return wanted_version(self, "m") == 3U; }));
}

// Load pattern: all gateways start at once and register slowly. Each watched both prefixes meanwhile, only to leave the
// watch to two of its region.
TEST_CASE("a gateway does not watch the store before it knows the others, unless that takes a second") {
    core self{make_settings("gateway", "edge-3"), true};
    standin_site::store platform_store{self.m_loop};
    self.m_store.set_address(platform_store.listen());
    standin_site::store_faults faults{};
    faults.m_lose_reply_every = 1U;
    platform_store.set_faults(faults);
    platform_store.put("op/version/m", R"({"model":"m","version":2})");
    constexpr std::uint64_t calls_without_watch = 5U;
    REQUIRE(start(self));
    const auto begin = steady_now();
    REQUIRE(net::run_until(self.m_loop, [&] { return steady_now() - begin > std::chrono::milliseconds{400}; }));
    CHECK_FALSE(self.m_members_read);
    CHECK(platform_store.call_count() == calls_without_watch);
    platform_store.put("op/version/m", R"({"model":"m","version":3})");
    CHECK(net::run_until(self.m_loop, [&] { return wanted_version(self, "m") == 3U; }));
    CHECK(steady_now() - begin < std::chrono::seconds{3});
}

// Load pattern: a power cut of all while the configuration is large. Each gateway read configuration and servers over a
// link that its region shares; no read ended within its time limit, and all were made again.
TEST_CASE("a gateway that starts beside listed watchers reads neither configuration nor servers from the store") {
    core self{make_settings("gateway", "edge-3"), true};
    standin_site::store platform_store{self.m_loop};
    self.m_store.set_address(platform_store.listen());
    for (const auto* const name : {"edge-1", "edge-2"}) {
        platform_store.put("rhubarbwharf/members/gateways/ost/" + std::string{name}, gateway_entry("ost", name));
    }
    platform_store.put("op/version/m", R"({"model":"m","version":2})");
    constexpr std::uint64_t own_entry_and_members = 4U;
    REQUIRE(start(self));
    REQUIRE(net::run_until(self.m_loop, [&] { return self.m_members_read; }));
    const auto begin = steady_now();
    REQUIRE(net::run_until(self.m_loop, [&] { return steady_now() - begin > std::chrono::milliseconds{300}; }));
    CHECK(platform_store.call_count() == own_entry_and_members);
    CHECK(wanted_version(self, "m") == 1U);
}

TEST_CASE("a page that keeps arriving is read although it takes longer than a call may") {
    core self{make_settings("gateway", "edge-1"), true};
    constexpr std::string_view page = R"({"items":[],"has-more":false,"store-revision":7})";
    net::http_server slow_store{self.m_loop, net::http_limits{},
                                trickle(self.m_loop, page, std::chrono::milliseconds{40})};
    net::ensure_listening(slow_store);
    self.m_store.set_address(net::local(slow_store.port()));
    std::optional<adapter::page> read{};
    self.m_store.range("op/", {}, [&](adapter::page answer) { read = std::move(answer); });
    REQUIRE(net::run_until(self.m_loop, [&] { return read.has_value(); }));
    CHECK(read->m_reply == adapter::reply::ok);
    CHECK(read->m_version.m_revision == 7U);
}

// Load pattern: gateways start while the store is down. Every failed read began a further sequence of retries, so that
// the calls of each gateway grew with the length of the outage.
TEST_CASE("a gateway that starts during an outage calls the store at a rate that does not grow") {
    core self{make_settings("gateway", "edge-1"), true};
    standin_site::store platform_store{self.m_loop};
    self.m_store.set_address(platform_store.listen());
    standin_site::store_faults faults{};
    faults.m_unavailable = true;
    platform_store.set_faults(faults);
    REQUIRE(start(self));
    const auto begin = steady_now();
    const auto run_for = [&](const duration time) {
        const auto calls = platform_store.call_count();
        REQUIRE(net::run_until(self.m_loop, [&] { return steady_now() - begin > time; }));
        return platform_store.call_count() - calls;
    };
    // Reads 0.4 s apart at least and each 2 s, leases 0.7 s apart.
    constexpr std::uint64_t max_calls_in_twelve_s = 12U * 10U / 4U + 12U / 2U + 12U * 10U / 7U + 1U;
    CHECK(run_for(std::chrono::seconds{12}) <= max_calls_in_twelve_s);
    platform_store.set_faults({});
    CHECK(net::run_until(self.m_loop, [&] { return self.m_members_read; }));
    CHECK(steady_now() - begin < std::chrono::seconds{15});
}

TEST_CASE("a gateway whose first entry is written in a new era of the store reads the list of gateways no further") {
    core self{make_settings("gateway", "edge-1"), true};
    standin_site::store platform_store{self.m_loop};
    self.m_store.set_address(platform_store.listen());
    self.m_store_era_since = steady_now();
    REQUIRE(start(self));
    REQUIRE(net::run_until(self.m_loop, [&] { return self.m_members_read; }));
    CHECK(steady_now() - self.m_store_era_since < std::chrono::seconds{4});
}

} // namespace rhubarbwharf::node
