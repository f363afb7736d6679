#include <atomic>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include <fleet.pb.h>
#include <net/fixture.hpp>
#include <node/boot_clock.hpp>
#include <node/configurations.hpp>
#include <node/contact.hpp>
#include <node/core.hpp>
#include <node/local_address.hpp>
#include <node/pulse.hpp>
#include <node/slow_store.hpp>
#include <node/store_version.hpp>
#include <node/wire.hpp>
#include <platform/encode.hpp>
#include <standin-site/store.hpp>

namespace rhubarbwharf::node {

namespace {

/*! @brief Time for which an answer that keeps arriving is not requested again: a megabyte over a link of a region. */
constexpr duration arrival_time = std::chrono::milliseconds{1'300};
constexpr duration heartbeat = std::chrono::milliseconds{300};

[[nodiscard]] auto make_settings(const std::string& name, const net::endpoint& bus) -> config::node_settings {
    config::node_settings out{};
    out.m_role = "gateway";
    out.m_instance = name;
    out.m_region = "here";
    out.m_data_centre = "here-a";
    out.m_listen.m_callers = "127.0.0.1:1";
    out.m_listen.m_bus = net::to_string(bus);
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

/*! @brief Configuration with many routes, as operators write it. */
[[nodiscard]] auto make_configuration(const std::uint64_t version, const std::size_t routes) -> std::string {
    std::string out = R"({"version":)" + std::to_string(version) + R"(,"services":[],"limits":{},"routes":[)";
    std::mt19937_64 random{version};
    for (std::size_t index = 0U; index < routes; ++index) {
        const auto name = std::to_string(random());
        out.append(index == 0U ? "" : ",").append(R"({"name":"r-)").append(name).append(R"(","hostname":"h)");
        out.append(std::to_string(index % 90U)).append(R"(.example","prefix":"/)").append(name);
        out.append(R"(/","kind":"idempotent","service":"s","timeout-ms":4000,)");
        out.append(R"("target-latency-ms":400,"max-attempts":2,"priority":1})");
    }
    return out + "]}";
}

/*! @brief Gateway of a test on a thread of its own. */
struct gateway_process {
    explicit gateway_process(const config::node_settings& settings)
        : m_core{settings, true}, m_bulk_server{m_core.m_loop, net::http_limits{},
                                                [this](const net::http_request& incoming,
                                                       const std::shared_ptr<net::responder>& responder) {
                                                    ensure(answer_configuration_request(m_core, incoming, responder),
                                                           "a gateway of a test gets requests for configurations");
                                                }} {
        net::ensure_listening(m_bulk_server);
        m_core.m_self.m_bulk_address = net::local(m_bulk_server.port());
    }

    gateway_process(const gateway_process&) = delete;
    gateway_process(gateway_process&&) = delete;
    auto operator=(const gateway_process&) -> gateway_process& = delete;
    auto operator=(gateway_process&&) -> gateway_process& = delete;

    ~gateway_process() { stop(); }

    auto run() -> void {
        m_core.m_loop.every(heartbeat, [this] {
            send_pulse(m_core);
            update_store_watch(m_core);
        });
        m_core.m_handlers.m_on_configuration = [this] {
            m_version = m_core.m_configuration->m_version;
        };
        m_thread = std::thread{[this] {
            m_core.m_loop.run();
        }};
    }

    auto stop() -> void {
        m_core.m_loop.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    [[nodiscard]] auto sent(const std::string_view kind) const -> double {
        return m_core.m_counters.value("peer_bytes_sent_total", kind);
    }

    core m_core;
    net::http_server m_bulk_server;
    std::thread m_thread{};
    /*! @brief Version of the configuration in force. */
    std::atomic<std::uint64_t> m_version{};
};

/*! @brief Peer that answers requests for a configuration slowly, as over a link that others use. */
struct slow_peer {
    slow_peer(core& self, const std::string& region, const std::string& name)
        : m_core{self}, m_name{name}, m_server{self.m_loop, net::http_limits{},
                                               [this](const net::http_request&, std::shared_ptr<net::responder> to) {
                                                   to->start({200U, {}, {}});
                                                   m_responders.push_back(std::move(to));
                                               }} {
        net::ensure_listening(m_server);
        m_self.m_instance = name;
        m_self.m_region = region;
        m_self.m_data_centre = region + "-a";
        m_self.m_incarnation = 7U;
        m_self.m_caller_address = net::local(1U);
        m_self.m_bus_address = net::local(1U);
        m_self.m_bulk_address = net::local(m_server.port());
        self.m_loop.every(std::chrono::milliseconds{50}, [this] {
            for (const auto& each : m_responders) {
                each->write(".");
            }
        });
    }

    /*! @brief Sends a heartbeat that states a version of the configuration.
     * @param delivered Revision of the store up to which it has received all changes; the rest is as the core knows it.
     */
    auto beat(const std::uint64_t configuration, const std::uint64_t delivered = 0U) -> void {
        wire::fleet::Frame frame{};
        frame.set_protocol(frame_protocol_version);
        frame.set_incarnation(m_self.m_incarnation);
        auto& pulse = *frame.mutable_pulse();
        to_wire(m_self, *pulse.mutable_self());
        pulse.set_ready(true);
        pulse.set_reaches_store(true);
        pulse.set_configuration(configuration);
        pulse.set_store_era(m_core.m_store.era());
        pulse.set_delivered_revision(delivered);
        pulse.set_weights(internal::weights_version_sum(m_core));
        pulse.set_server_versions(fleet::fingerprint(m_core.m_servers));
        on_message(m_core, m_name, frame.SerializeAsString());
    }

    core& m_core;
    std::string m_name{};
    std::vector<std::shared_ptr<net::responder>> m_responders{};
    net::http_server m_server;
    fleet::member m_self{};
};

} // namespace

// A gateway asked each peer that told it of a newer configuration, every 250 ms, while the answers were still arriving:
// the links between regions were full of copies of the same configuration for ten seconds.
TEST_CASE("a configuration whose answer keeps arriving is requested once, whoever tells of it") {
    core self{make_settings("edge-here-9", free_address()), true};
    std::vector<std::unique_ptr<slow_peer>> peers{};
    for (const auto* const region : {"here", "there"}) {
        for (auto index = 1; index <= 4; ++index) {
            peers.push_back(
                std::make_unique<slow_peer>(self, region, "edge-" + std::string{region} + "-" + std::to_string(index)));
        }
    }
    for (std::size_t index = 0U; index < peers.size(); ++index) {
        const auto offset = heartbeat * static_cast<int>(index) / static_cast<int>(peers.size());
        self.m_loop.after(offset, [&self, &peer = *peers[index]] {
            peer.beat(5U);
            self.m_loop.every(heartbeat, [&peer] { peer.beat(5U); });
        });
    }
    const auto begin = steady_now();
    REQUIRE(net::run_until(self.m_loop, [&] { return steady_now() - begin > arrival_time; }));
    CHECK(self.m_counters.value("state_requests_total", "configuration") == 1.0);
}

// Both watchers sent each gateway of their region the whole configuration, and whoever came to watch as well did so
// too: thirty copies of 0.85 MB left one machine at a time, and heartbeats waited behind them.
TEST_CASE("each gateway of a region receives a large configuration once") {
    constexpr std::size_t gateways = 6U;
    constexpr std::size_t routes = 4'000U;
    net::loop store_loop{};
    standin_site::store platform_store{store_loop};
    const auto address = platform_store.listen();
    platform_store.put("op/config", make_configuration(1U, 1U));
    std::vector<std::unique_ptr<gateway_process>> processes{};
    for (std::size_t index = 0U; index < gateways; ++index) {
        auto settings = make_settings("edge-here-" + std::to_string(index + 1U), free_address());
        settings.m_store.m_address = net::to_string(address);
        processes.push_back(std::make_unique<gateway_process>(settings));
        REQUIRE(start(processes.back()->m_core));
    }
    for (const auto& each : processes) {
        each->run();
    }
    const auto all_have = [&](const std::uint64_t version) {
        return [&processes, version] {
            return std::ranges::all_of(processes, [version](const auto& each) { return each->m_version == version; });
        };
    };
    REQUIRE(net::run_until(store_loop, all_have(1U)));
    const auto settled = steady_now() + std::chrono::seconds{3};
    REQUIRE(net::run_until(store_loop, [settled] { return steady_now() > settled; }));
    const auto text = make_configuration(2U, routes);
    platform_store.put("op/config", text);
    REQUIRE(net::run_until(store_loop, all_have(2U)));
    const auto told = steady_now() + 3 * heartbeat;
    REQUIRE(net::run_until(store_loop, [told] { return steady_now() > told; }));
    double sent{};
    for (const auto& each : processes) {
        each->stop();
        sent += each->sent("state_with_configuration") + each->sent("configuration");
    }
    CHECK(sent <= static_cast<double>(gateways * text.size()));
}

// The gateway that relays may have gone before it is asked.
TEST_CASE("a configuration is requested from another gateway if the one that offered it is not known any more") {
    core self{make_settings("edge-here-9", free_address()), true};
    slow_peer peer{self, "here", "edge-here-1"};
    offer_configuration(self, "edge-here-0", 5U, fleet::offer_source::relay);
    CHECK(self.m_configuration_call == nullptr);
    peer.beat(5U);
    CHECK(self.m_configuration_call != nullptr);
}

// A loader that learned its models before the wanted versions took what its runner had staged for the wrong version.
TEST_CASE("a configuration that is requested comes with the versions that are wanted") {
    core giver{make_settings("edge-here-1", free_address()), true};
    accept_configuration(giver, make_configuration(1U, 10U), "test");
    accept_weights_target(giver, {"m", 3U, steady_now(), true}, "test");
    core self{make_settings("side-here-1", free_address()), false};
    net::http_server server{
        self.m_loop, net::http_limits{},
        [&giver](const net::http_request& incoming, const std::shared_ptr<net::responder>& responder) {
            ensure(answer_configuration_request(giver, incoming, responder), "it is for that");
        }};
    net::ensure_listening(server);
    giver.m_self.m_bulk_address = net::local(server.port());
    update_member(self, giver.m_self, false);
    std::uint64_t wanted{};
    self.m_handlers.m_on_configuration = [&] {
        wanted = wanted_version(self, "m");
    };
    offer_configuration(self, "edge-here-1", 1U, fleet::offer_source::region);
    REQUIRE(net::run_until(self.m_loop, [&] { return self.m_configuration != nullptr; }));
    CHECK(wanted == 3U);
    CHECK(self.m_configuration->m_routes.empty());
}

// What a large change takes to arrive was counted as part of the wait: a watch with a short wait was cut off after 2 s,
// and began again from the first byte.
TEST_CASE("a watch whose changes keep arriving is not cut off") {
    core self{make_settings("edge-here-1", free_address()), true};
    constexpr std::string_view page = R"({"events":[],"store-revision":7})";
    net::http_server slow_store{self.m_loop, net::http_limits{},
                                trickle(self.m_loop, page, std::chrono::milliseconds{100})};
    net::ensure_listening(slow_store);
    self.m_store.set_address(net::local(slow_store.port()));
    std::optional<adapter::page> read{};
    const auto call =
        self.m_store.watch("op/", 6U, revision_watch_timeout, [&](adapter::page answer) { read = std::move(answer); });
    REQUIRE(net::run_until(self.m_loop, [&] { return read.has_value(); }));
    CHECK(read->m_reply == adapter::reply::ok);
    CHECK(read->m_version.m_revision == 7U);
}

// A probe that waited behind a large change made other gateways watch as well, and a check of the watches read the same
// change a second time over the same link.
TEST_CASE("while a change is arriving, the store is neither doubted nor asked for that change again") {
    core self{make_settings("edge-here-1", free_address()), true};
    standin_site::store platform_store{self.m_loop};
    self.m_store.set_address(platform_store.listen());
    platform_store.put("op/config", make_configuration(1U, 1U));
    REQUIRE(start(self));
    REQUIRE(net::run_until(self.m_loop, [&] { return self.m_configuration && self.m_store_known_until; }));
    std::shared_ptr<net::responder> change{};
    unsigned watches{};
    auto arrives = true;
    net::http_server slow_store{self.m_loop, net::http_limits{},
                                [&](const net::http_request& request, std::shared_ptr<net::responder> responder) {
                                    if (request.m_target.find("kv-watch?prefix=op/") == std::string::npos) {
                                        return;
                                    }
                                    ++watches;
                                    responder->start({200U, {{"Content-Type", "application/json"}}, {}});
                                    change = change ? change : std::move(responder);
                                }};
    net::ensure_listening(slow_store);
    self.m_loop.every(std::chrono::milliseconds{50}, [&] {
        if (change && arrives) {
            change->write(" ");
        }
    });
    self.m_store.set_address(net::local(slow_store.port()));
    self.m_operator_follower->replace_watch(steady_now(), std::chrono::seconds{20});
    REQUIRE(net::run_until(self.m_loop, [&] { return self.m_operator_follower->is_receiving(steady_now()); }));
    probe_store(self, boot_now());
    const auto later = self.m_change_account.m_known.m_revision + 1U;
    note_store_version(self, {self.m_store.era(), later}, std::nullopt);
    const auto doubtful_at = steady_now() + store_doubt_time + max_delivery_time;
    REQUIRE(net::run_until(self.m_loop, [&] { return steady_now() > doubtful_at; }));
    CHECK_FALSE(self.m_store_doubted);
    CHECK(watches == 1U);
    arrives = false;
    CHECK(net::run_until(self.m_loop, [&] { return self.m_store_doubted; }));
}

// Gateways that came to watch because others were slow listed everything: each read the whole configuration over the
// link that was slow for the same reason.
TEST_CASE("a gateway that comes to watch reads only what has changed since a watcher knew everything") {
    core self{make_settings("edge-here-3", free_address()), true};
    standin_site::store platform_store{self.m_loop};
    self.m_store.set_address(platform_store.listen());
    const auto text = make_configuration(1U, 1'000U);
    const auto revision = platform_store.put("op/config", text);
    slow_peer first{self, "here", "edge-here-1"};
    slow_peer second{self, "here", "edge-here-2"};
    for (const auto* const peer : {&first, &second}) {
        platform_store.put("rhubarbwharf/members/gateways/here/" + peer->m_name, adapter::encode_member(peer->m_self));
    }
    REQUIRE(start(self));
    REQUIRE(net::run_until(self.m_loop, [&] { return !self.m_watches_store; }));
    accept_configuration(self, text, "test");
    SUBCASE("it knows what the watcher knows") {
        first.beat(1U, revision);
        REQUIRE(self.m_delivered_version.m_revision == revision);
    }
    SUBCASE("it lacks a version that the watcher knows") {
        first.beat(2U, revision);
        REQUIRE(self.m_delivered_version.m_revision == 0U);
    }
    platform_store.put("op/version/m", R"({"model":"m","version":2})");
    REQUIRE(net::run_until(self.m_loop, [&] {
        update_store_watch(self);
        return wanted_version(self, "m") == 2U;
    }));
    const auto read = self.m_counters.value("store_value_bytes_total", "op/");
    CHECK((read < static_cast<double>(text.size())) == (self.m_delivered_version.m_revision == revision));
}

} // namespace rhubarbwharf::node
