#include <map>

#include <doctest/doctest.h>

#include <net/fixture.hpp>
#include <node/follower.hpp>
#include <node/registration.hpp>
#include <standin-site/store.hpp>

namespace rhubarbwharf::node {

namespace {

constexpr duration watch_timeout = std::chrono::milliseconds{300};
constexpr duration call_timeout = std::chrono::milliseconds{200};
/*! @brief Age of the copies from which the store is restored. */
constexpr duration copy_age = std::chrono::milliseconds{150};
constexpr duration hour = std::chrono::hours{1};

/*! @brief A stand-in store, and a follower whose callbacks record the known keys. */
struct follower_fixture {
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    standin_site::store m_platform_store{m_loop};
    adapter::store m_store{m_http, m_platform_store.listen(), call_timeout};
    std::map<std::string, std::string> m_items{};
    int m_listing_count{};
    bool m_reachable{false};
    std::shared_ptr<follower> m_follower{};

    follower_fixture() {
        follower_handlers handlers{};
        handlers.m_on_list = [this](const std::vector<adapter::key_value>& items, fleet::store_version) {
            ++m_listing_count;
            m_items.clear();
            for (const auto& each : items) {
                m_items[each.m_key] = each.m_value;
            }
        };
        handlers.m_on_change = [this](const adapter::key_value& item) {
            if (item.m_removed) {
                m_items.erase(item.m_key);
            } else {
                m_items[item.m_key] = item.m_value;
            }
        };
        handlers.m_on_reachability = [this](const bool reachable) {
            m_reachable = reachable;
        };
        m_follower = std::make_shared<follower>(m_loop, m_store, "op/", watch_timeout, duration::zero(), 7U, handlers);
        m_store.set_era_handler([this](std::uint64_t, std::uint64_t) { m_follower->relist(); });
    }

    ~follower_fixture() { m_follower->stop(); }

    follower_fixture(const follower_fixture&) = delete;
    follower_fixture(follower_fixture&&) = delete;
    auto operator=(const follower_fixture&) -> follower_fixture& = delete;
    auto operator=(follower_fixture&&) -> follower_fixture& = delete;

    [[nodiscard]] auto wait_until(const std::function<bool()>& condition) -> bool {
        return net::run_until(m_loop, condition);
    }

    auto let_pass(const duration time) -> void {
        const auto end = steady_now() + time;
        REQUIRE(wait_until([end] { return steady_now() >= end; }));
    }
};

} // namespace

TEST_CASE("a follower lists in pages, then receives each change of its prefix and none of other prefixes") {
    follower_fixture fixture{};
    for (auto index = 0; index < 120; ++index) {
        fixture.m_platform_store.put("op/" + std::to_string(index), "old");
    }
    fixture.m_follower->start();
    REQUIRE(fixture.wait_until([&] { return fixture.m_items.size() == 120U; }));
    fixture.m_platform_store.put("op/7", "new");
    fixture.m_platform_store.put("other/7", "x");
    fixture.m_platform_store.remove("op/8");
    REQUIRE(fixture.wait_until([&] { return fixture.m_items["op/7"] == "new" && !fixture.m_items.contains("op/8"); }));
    CHECK(fixture.m_items.size() == 119U);
    CHECK(fixture.m_listing_count == 1);
}

TEST_CASE("a follower keeps its keys during an outage and receives the changes made meanwhile afterwards") {
    follower_fixture fixture{};
    fixture.m_platform_store.put("op/a", "1");
    fixture.m_follower->start();
    REQUIRE(fixture.wait_until([&] { return fixture.m_reachable && fixture.m_items.size() == 1U; }));
    for (const auto silent : {false, true}) {
        fixture.m_platform_store.set_faults({!silent, silent, 0U});
        REQUIRE(fixture.wait_until([&] { return !fixture.m_reachable; }));
        fixture.m_platform_store.put("op/a", silent ? "3" : "2");
        CHECK(fixture.m_items.size() == 1U);
        fixture.m_platform_store.set_faults({});
        REQUIRE(
            fixture.wait_until([&] { return fixture.m_reachable && fixture.m_items["op/a"] == (silent ? "3" : "2"); }));
    }
    CHECK(fixture.m_listing_count == 1);
}

TEST_CASE("a resumed follower has the current keys if the store has compacted its history meanwhile") {
    follower_fixture fixture{};
    fixture.m_platform_store.put("op/a", "1");
    fixture.m_follower->start();
    REQUIRE(fixture.wait_until([&] { return fixture.m_listing_count == 1; }));
    fixture.m_follower->pause();
    fixture.m_platform_store.remove("op/a");
    fixture.m_platform_store.put("op/b", "2");
    fixture.m_platform_store.compact();
    fixture.m_follower->resume({});
    REQUIRE(fixture.wait_until([&] { return fixture.m_items.contains("op/b"); }));
    CHECK_FALSE(fixture.m_items.contains("op/a"));
}

TEST_CASE("a follower lists anew in a new era and believes entries whose revision has fallen") {
    follower_fixture fixture{};
    fixture.m_platform_store.put("op/kept", "1");
    fixture.m_follower->start();
    REQUIRE(fixture.wait_until([&] { return fixture.m_listing_count == 1; }));
    fixture.let_pass(copy_age * 2);
    for (auto index = 0; index < 5; ++index) {
        fixture.m_platform_store.put("op/lost", std::to_string(index));
    }
    REQUIRE(fixture.wait_until([&] { return fixture.m_items["op/lost"] == "4"; }));
    const auto former = fixture.m_follower->version();
    fixture.m_platform_store.restore(copy_age, hour);
    fixture.m_platform_store.put("op/kept", "2");
    REQUIRE(fixture.wait_until([&] { return fixture.m_items["op/kept"] == "2"; }));
    CHECK(fixture.m_items.size() == 1U);
    CHECK(fixture.m_listing_count == 2);
    CHECK(fixture.m_follower->version() > former);
    CHECK(fixture.m_follower->version().m_revision < former.m_revision);
    fixture.m_platform_store.put("op/kept", "3");
    CHECK(fixture.wait_until([&] { return fixture.m_items["op/kept"] == "3"; }));
}

TEST_CASE("a follower misses no change if the store gives out again the revision that it watched from") {
    follower_fixture fixture{};
    fixture.m_follower->start();
    REQUIRE(fixture.wait_until([&] { return fixture.m_listing_count == 1; }));
    fixture.let_pass(copy_age * 2);
    fixture.m_platform_store.put("op/lost", "1");
    REQUIRE(fixture.wait_until([&] { return fixture.m_items.contains("op/lost"); }));
    fixture.m_platform_store.restore(copy_age, hour);
    fixture.m_platform_store.put("op/new", "1");
    fixture.m_platform_store.put("other/new", "1");
    CHECK(
        fixture.wait_until([&] { return fixture.m_items.contains("op/new") && !fixture.m_items.contains("op/lost"); }));
}

TEST_CASE("a response without an era counts for the known one, and one of a former era is ignored") {
    follower_fixture fixture{};
    auto replies = 0;
    adapter::page last{};
    const auto read = [&] {
        const auto expected = replies + 1;
        fixture.m_store.range("op/", {}, [&](adapter::page page) {
            last = std::move(page);
            ++replies;
        });
        REQUIRE(fixture.wait_until([&] { return replies == expected; }));
    };
    read();
    CHECK(last.m_version.m_era == 1U);
    fixture.m_platform_store.set_faults({false, false, 0U, true});
    read();
    CHECK(last.m_reply == adapter::reply::ok);
    CHECK(last.m_version.m_era == 1U);
    fixture.m_platform_store.set_faults({});
    fixture.m_store.note_era(2U);
    read();
    CHECK(last.m_reply == adapter::reply::unknown);
    CHECK(fixture.m_store.era() == 2U);
}

TEST_CASE("the first era is not reported as a new one, and an error reports a new one too") {
    follower_fixture fixture{};
    std::vector<std::uint64_t> eras{};
    fixture.m_store.set_era_handler([&](const std::uint64_t former, const std::uint64_t era) {
        eras.push_back(former);
        eras.push_back(era);
    });
    auto replies = 0;
    const auto renew = [&] {
        const auto expected = replies + 1;
        fixture.m_store.renew_lease(99U, [&](const adapter::lease lease) {
            CHECK(lease.m_reply == adapter::reply::missing);
            ++replies;
        });
        REQUIRE(fixture.wait_until([&] { return replies == expected; }));
    };
    renew();
    CHECK(eras.empty());
    fixture.let_pass(copy_age * 2);
    fixture.m_platform_store.restore(copy_age, hour);
    renew();
    CHECK(eras == std::vector<std::uint64_t>{1U, 2U});
}

TEST_CASE("a condition of a former era is not sent") {
    follower_fixture fixture{};
    fixture.m_store.note_era(2U);
    const auto calls = fixture.m_platform_store.call_count();
    adapter::transaction changes{};
    changes.m_compares.push_back({"op/a", {1U, 5U}});
    auto result = adapter::reply::ok;
    fixture.m_store.commit(changes, [&](const adapter::reply reply, std::uint64_t) { result = reply; });
    CHECK(result == adapter::reply::refused);
    fixture.let_pass(copy_age);
    CHECK(fixture.m_platform_store.call_count() == calls);
}

TEST_CASE("a registration takes a new lease in a new era and leaves the former id to its new owner") {
    follower_fixture fixture{};
    fixture.let_pass(copy_age * 2);
    const auto entry = std::make_shared<registration>(fixture.m_loop, fixture.m_store, "members/me", "value",
                                                      watch_timeout * 4, [] {});
    fixture.m_store.set_era_handler([&](std::uint64_t, std::uint64_t) { entry->renew_in_new_era(duration::zero()); });
    entry->start();
    REQUIRE(fixture.wait_until([&] { return fixture.m_platform_store.count("members/") == 1U; }));
    fixture.m_platform_store.restore(copy_age, hour);
    REQUIRE(fixture.m_platform_store.count("members/") == 0U);
    const auto other =
        std::make_shared<registration>(fixture.m_loop, fixture.m_store, "members/other", "value", hour, [] {});
    other->start();
    REQUIRE(fixture.wait_until([&] { return fixture.m_platform_store.count("members/") == 2U; }));
    entry->stop();
    REQUIRE(fixture.wait_until([&] { return fixture.m_platform_store.count("members/me") == 0U; }));
    fixture.let_pass(copy_age);
    CHECK(fixture.m_platform_store.count("members/other") == 1U);
}

TEST_CASE("a registration survives lost writes and expired leases, and is removed on stop") {
    follower_fixture fixture{};
    fixture.m_platform_store.set_faults({false, false, 2U});
    const auto entry = std::make_shared<registration>(fixture.m_loop, fixture.m_store, "members/me", "value",
                                                      watch_timeout * 4, [] {});
    entry->start();
    REQUIRE(fixture.wait_until([&] { return fixture.m_platform_store.count("members/") == 1U; }));
    fixture.m_platform_store.set_faults({true, false, 0U});
    REQUIRE(fixture.wait_until([&] { return fixture.m_platform_store.count("members/") == 0U; }));
    fixture.m_platform_store.set_faults({});
    REQUIRE(fixture.wait_until([&] { return fixture.m_platform_store.count("members/") == 1U; }));
    entry->stop();
    REQUIRE(fixture.wait_until([&] { return fixture.m_platform_store.count("members/") == 0U; }));
}

TEST_CASE("the time of a write is exact if a watch waited for it, else the time up to which all changes were known") {
    follower_fixture fixture{};
    fixture.m_follower->start();
    REQUIRE(fixture.wait_until([&] { return fixture.m_listing_count == 1; }));
    CHECK_FALSE(fixture.m_follower->write_time().m_is_exact);
    CHECK(fixture.m_follower->write_time().m_earliest == time_point{duration{1}});
    fixture.let_pass(watch_timeout / 2);
    const auto first = steady_now();
    fixture.m_platform_store.put("op/a", "first");
    REQUIRE(fixture.wait_until([&] { return fixture.m_items.contains("op/a"); }));
    CHECK(fixture.m_follower->write_time().m_is_exact);
    CHECK(fixture.m_follower->write_time().m_earliest >= first);
    fixture.m_platform_store.set_faults({false, true, 0U});
    REQUIRE(fixture.wait_until([&] { return !fixture.m_reachable; }));
    const auto second = steady_now();
    fixture.m_platform_store.put("op/b", "second");
    fixture.let_pass(watch_timeout);
    fixture.m_platform_store.set_faults({});
    REQUIRE(fixture.wait_until([&] { return fixture.m_items.contains("op/b"); }));
    CHECK_FALSE(fixture.m_follower->write_time().m_is_exact);
    CHECK(fixture.m_follower->write_time().m_earliest >= first);
    CHECK(fixture.m_follower->write_time().m_earliest <= second);
}

namespace {

/*! @brief A store that answers a listing at once, and holds watches. */
struct held_watch {
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    net::http_server m_platform_store;
    std::vector<std::shared_ptr<net::responder>> m_watches{};
    bool m_item_received{false};
    std::shared_ptr<follower> m_follower{};

    explicit held_watch(const duration watch_limit)
        : m_platform_store{
              m_loop, net::http_limits{},
              [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
                  if (request.m_target.starts_with("/api/kv-watch")) {
                      m_watches.push_back(responder);
                  } else {
                      responder->respond({200U, {}, R"({"store-revision":1,"has-more":false,"items":[]})"});
                  }
              }} {
        net::ensure_listening(m_platform_store);
        m_store.set_address(net::local(m_platform_store.port()));
        follower_handlers handlers{};
        handlers.m_on_list = [](const std::vector<adapter::key_value>&, fleet::store_version) {
        };
        handlers.m_on_change = [this](const adapter::key_value&) {
            m_item_received = true;
        };
        handlers.m_on_reachability = [](bool) {
        };
        m_follower = std::make_shared<follower>(m_loop, m_store, "op/", watch_limit, duration::zero(), 7U, handlers);
        m_follower->start();
        REQUIRE(wait_for_watches(1U));
    }

    ~held_watch() { m_follower->stop(); }

    held_watch(const held_watch&) = delete;
    held_watch(held_watch&&) = delete;
    auto operator=(const held_watch&) -> held_watch& = delete;
    auto operator=(held_watch&&) -> held_watch& = delete;

    [[nodiscard]] auto wait_for_watches(const std::size_t count) -> bool {
        return net::run_until(m_loop, [&] { return m_watches.size() >= count; });
    }

    auto let_pass(const duration time) -> void {
        const auto end = steady_now() + time;
        REQUIRE(net::run_until(m_loop, [end] { return steady_now() >= end; }));
    }

    auto deliver_item() -> void {
        m_watches.back()->respond(
            {200U, {}, R"({"store-revision":2,"events":[{"key":"op/a","value":"eA==","revision":2}]})"});
        REQUIRE(net::run_until(m_loop, [&] { return m_item_received; }));
    }

    adapter::store m_store{m_http, {}, call_timeout};
};

} // namespace

TEST_CASE("a change that a dead connection did not deliver counts from before the time at which it was found dead") {
    for (const auto alive_for : {watch_timeout / 2, max_dead_connection_time + watch_timeout}) {
        CAPTURE(alive_for.count());
        held_watch fixture{hour};
        const auto watched_since = steady_now();
        fixture.let_pass(alive_for);
        const auto written = steady_now();
        fixture.let_pass(watch_timeout);
        const auto found_dead = steady_now();
        fixture.m_watches.back()->abort();
        REQUIRE(fixture.wait_for_watches(2U));
        fixture.deliver_item();
        CHECK_FALSE(fixture.m_follower->write_time().m_is_exact);
        CHECK(fixture.m_follower->write_time().m_earliest <= written);
        CHECK(fixture.m_follower->write_time().m_earliest >= found_dead - max_dead_connection_time);
        CHECK((fixture.m_follower->write_time().m_earliest > watched_since) == (alive_for > max_dead_connection_time));
    }
}

TEST_CASE("a suspension moves the time back up to which a follower knows all changes") {
    constexpr duration suspended = std::chrono::seconds{5};
    held_watch fixture{hour};
    fixture.m_watches.back()->respond({503U, {}, {}});
    REQUIRE(fixture.wait_for_watches(2U));
    const auto resumed = steady_now();
    fixture.m_follower->note_suspension(suspended);
    fixture.deliver_item();
    CHECK_FALSE(fixture.m_follower->write_time().m_is_exact);
    CHECK(fixture.m_follower->write_time().m_earliest <= resumed - suspended);
}

} // namespace rhubarbwharf::node
