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
        handlers.m_on_list = [this](const std::vector<adapter::key_value>& items, std::uint64_t) {
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
    }

    ~follower_fixture() { m_follower->stop(); }

    follower_fixture(const follower_fixture&) = delete;
    follower_fixture(follower_fixture&&) = delete;
    auto operator=(const follower_fixture&) -> follower_fixture& = delete;
    auto operator=(follower_fixture&&) -> follower_fixture& = delete;

    [[nodiscard]] auto wait_until(const std::function<bool()>& condition) -> bool {
        return net::run_until(m_loop, condition);
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
    fixture.m_follower->resume();
    REQUIRE(fixture.wait_until([&] { return fixture.m_items.contains("op/b"); }));
    CHECK_FALSE(fixture.m_items.contains("op/a"));
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

} // namespace rhubarbwharf::node
