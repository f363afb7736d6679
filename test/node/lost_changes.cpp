#include <array>
#include <thread>

#include <doctest/doctest.h>

#include <fleet.pb.h>
#include <net/fixture.hpp>
#include <node/boot_clock.hpp>
#include <node/contact.hpp>
#include <node/core.hpp>
#include <node/local_address.hpp>
#include <node/store_version.hpp>
#include <standin-site/store.hpp>

namespace rhubarbwharf::node {

namespace {

constexpr duration shortest_outage = min_lapse_time;
/*! @brief Time after a disturbance of the store from which the platform's time limits count. */
constexpr duration stable_window = std::chrono::milliseconds{3'000};

const std::string server_key = "servers/s1";

[[nodiscard]] auto entry(const std::string& state) -> std::string {
    return R"({"service":"s","address":"127.0.0.1:9","zone":"z","slots":4,"born":12,"state":")" + state + "\"}";
}

[[nodiscard]] auto gateway_settings() -> config::node_settings {
    config::node_settings out{};
    out.m_role = "gateway";
    out.m_instance = "gateway-1";
    out.m_region = "here";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

/*! @brief A gateway that watches a stand-in store, which lists one server. */
struct watching_gateway {
    core m_self;
    standin_site::store m_platform_store{m_self.m_loop};
    net::endpoint m_store_address{m_platform_store.listen()};

    explicit watching_gateway(const config::node_settings& settings = gateway_settings()) : m_self{settings, true} {
        m_self.m_store.set_address(m_store_address);
        m_platform_store.put(server_key, entry("ready"));
        REQUIRE(start(m_self));
        REQUIRE(wait_until([this] { return is_known() && m_self.m_registered; }));
        // The first watch begins up to a second after the listing.
        let_pass(std::chrono::milliseconds{1'500});
        m_platform_store.put(server_key, entry("ready"));
        let_pass(std::chrono::milliseconds{1'000});
    }

    [[nodiscard]] auto wait_until(const std::function<bool()>& holds) -> bool {
        return net::run_until(m_self.m_loop, holds);
    }

    auto let_pass(const duration time) -> void {
        const auto end = steady_now() + time;
        REQUIRE(wait_until([end] { return steady_now() >= end; }));
    }

    [[nodiscard]] auto is_known() const -> bool { return m_self.m_servers.m_rows.contains("s1"); }

    [[nodiscard]] auto is_draining() const -> bool {
        const auto row = m_self.m_servers.m_rows.find("s1");
        return row != m_self.m_servers.m_rows.end() && row->second.m_draining;
    }

    /*! @brief Makes the store silent for a while, in which an entry lapses and its watchers' answers are lost. */
    auto lose_entry_in_outage(const duration outage) -> void {
        standin_site::store_faults faults{};
        faults.m_unresponsive = true;
        faults.m_lose_changes = true;
        m_platform_store.set_faults(faults);
        let_pass(outage / 2);
        m_platform_store.remove(server_key);
        let_pass(outage / 2);
        m_platform_store.set_faults({});
    }
};

} // namespace

TEST_CASE("a server's draining is known although the answer to the watch before it was lost in an outage") {
    watching_gateway fixture{};
    fixture.lose_entry_in_outage(shortest_outage);
    const auto returned = steady_now();
    fixture.m_platform_store.put(server_key, entry("ready"));
    fixture.let_pass(returned + stable_window - steady_now());
    fixture.m_platform_store.put(server_key, entry("draining"));
    const auto drain_limit = std::chrono::milliseconds{fixture.m_self.m_settings.m_bounds.m_drain_ms};
    fixture.let_pass(drain_limit);
    CHECK(fixture.is_draining());
}

// The watch of the operators' keys waited for its own time limit, 20 s, so that a revoked key worked on.
TEST_CASE("a configuration whose notice was lost in an outage is applied once the store answers again") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    standin_site::store_faults faults{};
    faults.m_unresponsive = true;
    faults.m_lose_changes = true;
    fixture.m_platform_store.set_faults(faults);
    REQUIRE(self.m_configuration == nullptr);
    fixture.m_platform_store.put("op/config", R"({"version":7,"routes":[],"services":[],"limits":{},"tenants":[]})");
    fixture.let_pass(shortest_outage);
    fixture.m_platform_store.set_faults({});
    const auto returned = steady_now();
    REQUIRE(fixture.wait_until([&] { return self.m_configuration != nullptr; }));
    CHECK(self.m_configuration->m_version == 7U);
    const std::chrono::milliseconds apply_limit{2'000};
    CHECK(steady_now() - returned < apply_limit);
}

// The waiting watch was believed for 20 s: no other call was affected, so that nothing else showed that its response
// was lost.
TEST_CASE("a configuration is applied in time although only the response to the watch for it was lost") {
    constexpr std::array<duration, 2U> write_intervals{std::chrono::milliseconds{300}, std::chrono::hours{1}};
    for (const auto interval : write_intervals) {
        CAPTURE(interval.count());
        watching_gateway fixture{};
        auto& self = fixture.m_self;
        self.m_loop.every(interval, [&] { fixture.m_platform_store.put(server_key, entry("ready")); });
        fixture.let_pass(std::chrono::milliseconds{700});
        // The response to the watch is lost three times in a row, and the last time it is not.
        for (std::uint64_t version = 7U; version <= 10U; ++version) {
            CAPTURE(version);
            standin_site::store_faults faults{};
            faults.m_lose_changes = version < 10U;
            fixture.m_platform_store.set_faults(faults);
            const auto text =
                R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],"limits":{},"tenants":[]})";
            fixture.m_platform_store.put("op/config", text);
            fixture.m_platform_store.set_faults({});
            const auto acknowledged = steady_now();
            const std::chrono::milliseconds apply_limit{2'000};
            CHECK(fixture.wait_until([&] {
                return (self.m_configuration && self.m_configuration->m_version == version) ||
                       steady_now() - acknowledged > apply_limit;
            }));
            CHECK(steady_now() - acknowledged < apply_limit);
        }
    }
}

// The probes that were to reveal a lost response are serializable reads, which the platform may answer with a state
// that is seconds old.
TEST_CASE("a lost response is found in time although serializable reads are old") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    standin_site::store_faults faults{};
    faults.m_serializable_age = std::chrono::seconds{8};
    for (std::uint64_t version = 7U; version <= 9U; ++version) {
        CAPTURE(version);
        faults.m_lose_changes = true;
        fixture.m_platform_store.set_faults(faults);
        const auto text =
            R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],"limits":{},"tenants":[]})";
        fixture.m_platform_store.put("op/config", text);
        faults.m_lose_changes = false;
        fixture.m_platform_store.set_faults(faults);
        const auto lost = steady_now();
        CHECK(fixture.wait_until([&] {
            return (self.m_configuration && self.m_configuration->m_version == version) ||
                   steady_now() - lost > stable_window;
        }));
        CHECK(steady_now() - lost < stable_window);
        fixture.let_pass(std::chrono::milliseconds{370 * version});
    }
}

// The account of changes was settled when the checks were sent. With their responses lost, the change stayed unknown.
TEST_CASE("a change is found in time although the first check of the watches is not answered either") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    standin_site::store_faults faults{};
    faults.m_lose_changes = true;
    fixture.m_platform_store.set_faults(faults);
    const auto revision = fixture.m_platform_store.put(
        "op/config", R"({"version":7,"routes":[],"services":[],"limits":{},"tenants":[]})");
    faults = {};
    faults.m_unavailable = true;
    fixture.m_platform_store.set_faults(faults);
    note_store_version(self, {self.m_store.era(), revision}, std::nullopt);
    REQUIRE(fixture.wait_until([&] { return self.m_counters.value("store_watch_checks_failed_total") > 0.0; }));
    CHECK(self.m_configuration == nullptr);
    fixture.m_platform_store.set_faults({});
    const auto returned = steady_now();
    REQUIRE(fixture.wait_until([&] { return self.m_configuration != nullptr; }));
    CHECK(steady_now() - returned < std::chrono::milliseconds{2'000});
}

TEST_CASE("a watcher that can't check its watches tells its peers that it does not reach the store") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    REQUIRE(fixture.wait_until([&] { return self.m_store_known_until.has_value(); }));
    CHECK_FALSE(self.m_store_doubted);
    self.m_store_known_until = *self.m_store_known_until - max_store_knowledge_age;
    self.m_change_account = {};
    self.m_watch_check_active = true;
    CHECK(fixture.wait_until([&] { return self.m_store_doubted; }));
    self.m_watch_check_active = false;
    CHECK(fixture.wait_until([&] { return !self.m_store_doubted; }));
}

TEST_CASE("a watcher reads the store's version itself if it would be too old before the next probe") {
    CHECK_FALSE(must_read_version(max_version_age - store_probe_interval));
    CHECK(must_read_version(max_version_age - store_probe_interval + duration{1}));
}

// With one read of the version for each watcher, the reads grew with the regions.
TEST_CASE("a watcher asks the gateway that reads the store's version, and reads it itself without an answer") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    auto answers = true;
    auto age_ms = 0U;
    net::bus reader{self.m_loop, "gateway-0", net::bus_limits{},
                    [&](const std::string_view, const std::string_view bytes) {
                        wire::fleet::Frame asked{};
                        REQUIRE(asked.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
                        if (!asked.has_store_version_request() || !answers) {
                            return;
                        }
                        wire::fleet::Frame frame{};
                        frame.set_protocol(frame_protocol_version);
                        auto& answer = *frame.mutable_store_version();
                        answer.set_answers(asked.store_version_request().number());
                        answer.set_era(self.m_store.era());
                        answer.set_revision(self.m_server_follower->version().m_revision);
                        answer.set_age_ms(age_ms);
                        on_message(self, "gateway-0", frame.SerializeAsString());
                    }};
    REQUIRE(reader.listen({"127.0.0.1", 0U}) == code::ok);
    fleet::member member{};
    member.m_instance = "gateway-0";
    member.m_region = "elsewhere";
    member.m_incarnation = 7U;
    member.m_caller_address = net::local(9U);
    member.m_bus_address = net::local(reader.port());
    update_member(self, member, true);
    self.m_loop.every(std::chrono::milliseconds{100}, [&] {
        auto& row = self.m_members["gateway-0"];
        row.m_last_received = steady_now();
        row.m_reaches_store = true;
    });
    fixture.let_pass(std::chrono::milliseconds{2'500});
    CHECK_FALSE(is_version_reader(self));
    const auto reads = [&self] {
        return self.m_counters.value("store_version_reads_total");
    };
    const auto before = reads();
    fixture.let_pass(std::chrono::milliseconds{3'500});
    CHECK(reads() == before);
    REQUIRE(self.m_store_known_until.has_value());
    CHECK(boot_now() - *self.m_store_known_until < max_version_age);
    SUBCASE("without an answer") {
        answers = false;
    }
    SUBCASE("if the answer is too old") {
        age_ms = 1'500U;
    }
    const auto since = steady_now();
    REQUIRE(fixture.wait_until([&] { return reads() > before; }));
    CHECK(steady_now() - since < 2 * store_probe_interval);
}

// All gateways come to watch while the store answers nobody. Each read the version each second, at ten times the cost
// of its probe.
TEST_CASE("no version is read while the store does not answer, and again once it does") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    const auto reads = [&self] {
        return self.m_counters.value("store_version_reads_total");
    };
    REQUIRE(fixture.wait_until([&] { return reads() > 0.0; }));
    standin_site::store_faults faults{};
    faults.m_unresponsive = true;
    fixture.m_platform_store.set_faults(faults);
    fixture.let_pass(std::chrono::milliseconds{2'500});
    CHECK_FALSE(is_version_reader(self));
    const auto before = reads();
    fixture.let_pass(std::chrono::milliseconds{3'500});
    CHECK(reads() == before);
    fixture.m_platform_store.set_faults({});
    const auto returned = steady_now();
    REQUIRE(fixture.wait_until([&] { return reads() > before; }));
    CHECK(steady_now() - returned < 2 * store_probe_interval);
}

TEST_CASE("an answer to an earlier request for the store's version says nothing, as its age is not known") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    const auto known = self.m_told_version;
    REQUIRE(known.has_value());
    wire::fleet::StoreVersion answer{};
    answer.set_answers(self.m_version_requests - 1U);
    answer.set_era(self.m_store.era());
    answer.set_revision(known->m_version.m_revision);
    internal::on_store_version(self, answer);
    CHECK(self.m_told_version->m_as_of == known->m_as_of);
}

TEST_CASE("a server's draining is known in time although only the response to the watch for it was lost") {
    watching_gateway fixture{};
    standin_site::store_faults faults{};
    faults.m_lose_changes = true;
    fixture.m_platform_store.set_faults(faults);
    fixture.m_platform_store.put(server_key, entry("draining"));
    fixture.m_platform_store.set_faults({});
    fixture.let_pass(std::chrono::milliseconds{fixture.m_self.m_settings.m_bounds.m_drain_ms});
    CHECK(fixture.is_draining());
}

// A gateway that asks the reader of the version just before each of its reads got versions that were a second old, so
// that a drained server whose notice was lost everywhere got requests for 2.6 s.
TEST_CASE("a lost response is found in time by a gateway that does not read the store's version itself") {
    auto settings = gateway_settings();
    settings.m_listen.m_bus = net::to_string(free_address());
    settings.m_listen.m_callers = "127.0.0.1:1";
    watching_gateway fixture{settings};
    auto& self = fixture.m_self;
    settings.m_instance = "gateway-0";
    settings.m_region = "elsewhere";
    settings.m_listen.m_bus = net::to_string(free_address());
    core reader{settings, true};
    reader.m_store.set_address(fixture.m_store_address);
    update_member(reader, self.m_self, true);
    update_member(self, reader.m_self, true);
    self.m_loop.every(std::chrono::milliseconds{100},
                      [&] { self.m_members["gateway-0"].m_last_received = steady_now(); });
    reader.m_loop.every(std::chrono::milliseconds{100},
                        [&] { reader.m_members["gateway-0"].m_last_received = steady_now(); });
    constexpr auto phase = std::chrono::milliseconds{50};
    REQUIRE(fixture.wait_until([&] { return (steady_now() - self.m_started) % store_probe_interval < phase; }));
    fixture.let_pass(phase);
    REQUIRE(start(reader));
    std::thread reader_thread{[&reader] {
        reader.m_loop.run();
    }};
    fixture.let_pass(std::chrono::seconds{4});
    CHECK_FALSE(is_version_reader(self));
    const auto own_reads = self.m_counters.value("store_version_reads_total");
    standin_site::store_faults faults{};
    faults.m_serializable_age = std::chrono::seconds{8};
    duration longest{};
    for (auto offset = duration::zero(); offset < store_probe_interval; offset += store_probe_interval / 8) {
        fixture.m_platform_store.put(server_key, entry("ready"));
        REQUIRE(fixture.wait_until([&] { return fixture.is_known() && !fixture.is_draining(); }));
        fixture.let_pass(2 * store_probe_interval + offset);
        faults.m_lose_changes = true;
        fixture.m_platform_store.set_faults(faults);
        fixture.m_platform_store.put(server_key, entry("draining"));
        faults.m_lose_changes = false;
        fixture.m_platform_store.set_faults(faults);
        const auto acknowledged = steady_now();
        REQUIRE(fixture.wait_until([&] { return fixture.is_draining(); }));
        longest = std::max(longest, steady_now() - acknowledged);
    }
    reader.m_loop.stop();
    reader_thread.join();
    MESSAGE("longest time in ms: ", std::chrono::duration_cast<std::chrono::milliseconds>(longest).count());
    CHECK(self.m_counters.value("store_version_reads_total") == own_reads);
    CHECK(longest < std::chrono::milliseconds{self.m_settings.m_bounds.m_drain_ms});
}

TEST_CASE("watches cost no further call while they deliver all changes") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    self.m_loop.every(std::chrono::milliseconds{300},
                      [&] { fixture.m_platform_store.put(server_key, entry("ready")); });
    fixture.let_pass(std::chrono::milliseconds{2'000});
    const auto checks = self.m_counters.value("store_watch_checks_total");
    fixture.let_pass(std::chrono::milliseconds{4'000});
    CHECK(self.m_counters.value("store_watch_checks_total") == checks);
    fixture.m_platform_store.put("other/key", "value");
    fixture.let_pass(std::chrono::milliseconds{2'000});
    CHECK(self.m_counters.value("store_watch_checks_total") == checks + 1.0);
}

TEST_CASE("a server whose entry lapsed in an outage stays in use until it can have written it again") {
    watching_gateway fixture{};
    fixture.lose_entry_in_outage(shortest_outage);
    REQUIRE(fixture.wait_until([&] { return fixture.m_self.m_pending_removals.contains("s1"); }));
    CHECK(fixture.is_known());
    fixture.m_platform_store.put(server_key, entry("ready"));
    REQUIRE(fixture.wait_until([&] { return !fixture.m_self.m_pending_removals.contains("s1"); }));
    fixture.let_pass(stable_window);
    CHECK(fixture.is_known());
}

TEST_CASE("a change that only this watcher has lost is read once a gateway of another region tells its version") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    standin_site::store_faults faults{};
    faults.m_lose_changes = true;
    fixture.m_platform_store.set_faults(faults);
    const auto revision = fixture.m_platform_store.put(server_key, entry("draining"));
    fixture.m_platform_store.set_faults({});
    wire::fleet::Frame frame{};
    frame.set_protocol(frame_protocol_version);
    auto& pulse = *frame.mutable_pulse();
    pulse.mutable_self()->set_instance("gateway-9");
    pulse.mutable_self()->set_region("there");
    pulse.mutable_self()->set_callers("127.0.0.1:9");
    pulse.set_store_era(self.m_store.era());
    pulse.set_server_revision(revision);
    const auto bytes = frame.SerializeAsString();
    on_message(self, "gateway-9", bytes);
    self.m_loop.every(std::chrono::milliseconds{300}, [&] { on_message(self, "gateway-9", bytes); });
    const auto drain_limit = std::chrono::milliseconds{self.m_settings.m_bounds.m_drain_ms};
    const auto told_at = steady_now();
    CHECK(fixture.wait_until([&] { return fixture.is_draining(); }));
    CHECK(steady_now() - told_at < drain_limit);
}

TEST_CASE("one call without a response neither hands the watch over nor holds removals, and reads nothing again") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    const auto reachable_since = self.m_store_reachable_since;
    standin_site::store_faults faults{};
    faults.m_unresponsive = true;
    fixture.m_platform_store.set_faults(faults);
    const auto silent_since = steady_now();
    REQUIRE(fixture.wait_until([&] { return self.m_store_unanswered_at > silent_since; }));
    CHECK(self.m_store_reachable);
    const auto calls = fixture.m_platform_store.call_count();
    fixture.m_platform_store.set_faults({});
    fixture.let_pass(std::chrono::milliseconds{200});
    // Two probes, and one watch in place of the former one.
    CHECK(fixture.m_platform_store.call_count() - calls <= 3U);
    CHECK(self.m_store_reachable);
    CHECK(self.m_store_reachable_since == reachable_since);
    fixture.m_platform_store.remove(server_key);
    const auto removed = steady_now();
    CHECK(fixture.wait_until([&] { return !fixture.is_known(); }));
    CHECK(steady_now() - removed < std::chrono::milliseconds{self.m_settings.m_bounds.m_drain_ms});
}

// Any failed watch counted as an outage in which entries lapse, so that removals were held for 2.3 s after each.
TEST_CASE("a server that is removed after the watches were cut gets no requests after the time limit") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    for (const auto cut_for : {std::chrono::milliseconds{0}, std::chrono::milliseconds{600}}) {
        CAPTURE(cut_for.count());
        fixture.m_platform_store.put(server_key, entry("ready"));
        REQUIRE(fixture.wait_until([&] { return fixture.is_known(); }));
        fixture.let_pass(std::chrono::milliseconds{3'000});
        standin_site::store_faults faults{};
        faults.m_unavailable = true;
        fixture.m_platform_store.set_faults(faults);
        self.m_operator_follower->replace_watch(steady_now(), revision_watch_timeout);
        self.m_server_follower->replace_watch(steady_now(), revision_watch_timeout);
        REQUIRE(fixture.wait_until([&] { return !self.m_store_reachable; }));
        fixture.let_pass(cut_for);
        fixture.m_platform_store.set_faults({});
        REQUIRE(fixture.wait_until([&] { return self.m_store_reachable; }));
        fixture.m_platform_store.remove(server_key);
        const auto removed = steady_now();
        REQUIRE(fixture.wait_until([&] { return !fixture.is_known(); }));
        CHECK(steady_now() - removed < std::chrono::milliseconds{self.m_settings.m_bounds.m_drain_ms});
    }
}

TEST_CASE("a peer that has listed a later revision makes a watcher ask once, not until a server changes") {
    watching_gateway fixture{};
    auto& self = fixture.m_self;
    const auto revision = fixture.m_platform_store.put("other/key", "value");
    wire::fleet::Frame frame{};
    frame.set_protocol(frame_protocol_version);
    auto& pulse = *frame.mutable_pulse();
    pulse.mutable_self()->set_instance("gateway-9");
    pulse.mutable_self()->set_region("there");
    pulse.mutable_self()->set_callers("127.0.0.1:9");
    pulse.set_store_era(self.m_store.era());
    pulse.set_server_revision(revision);
    self.m_loop.every(std::chrono::milliseconds{300},
                      [&, bytes = frame.SerializeAsString()] { on_message(self, "gateway-9", bytes); });
    fixture.let_pass(stable_window);
    // None if the check of a watch that waits has read the revision before.
    const auto replaced = self.m_counters.value("store_watches_replaced_total", "servers/");
    CHECK(replaced <= 1.0);
    CHECK(self.m_server_follower->version().m_revision >= revision);
    fixture.let_pass(stable_window);
    CHECK(self.m_counters.value("store_watches_replaced_total", "servers/") == replaced);
}

} // namespace rhubarbwharf::node
