#include <map>

#include <doctest/doctest.h>

#include <net/fixture.hpp>
#include <node/follower.hpp>
#include <node/registration.hpp>
#include <standin-site/store.hpp>

namespace rhubarbwharf::node {

namespace {

constexpr duration wait = std::chrono::milliseconds{300};
constexpr duration call_time = std::chrono::milliseconds{200};

/*! @brief A stand-in store, and a follower that keeps what it is told. */
struct followed {
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    standin_site::store m_registry{m_loop};
    adapter::store m_store{m_http, m_registry.listen(), call_time};
    std::map<std::string, std::string> m_known{};
    int m_lists{};
    bool m_there{false};
    std::shared_ptr<follower> m_follower{};

    followed() {
        follower_handlers handlers{};
        handlers.m_on_list = [this](const std::vector<adapter::item>& rows, std::uint64_t) {
            ++m_lists;
            m_known.clear();
            for (const auto& each : rows) {
                m_known[each.m_key] = each.m_value;
            }
        };
        handlers.m_on_change = [this](const adapter::item& got) {
            if (got.m_removed) {
                m_known.erase(got.m_key);
            } else {
                m_known[got.m_key] = got.m_value;
            }
        };
        handlers.m_on_contact = [this](const bool there) {
            m_there = there;
        };
        m_follower = std::make_shared<follower>(m_loop, m_store, "op/", wait, duration::zero(), 7U, handlers);
    }

    ~followed() { m_follower->stop(); }

    followed(const followed&) = delete;
    followed(followed&&) = delete;
    auto operator=(const followed&) -> followed& = delete;
    auto operator=(followed&&) -> followed& = delete;

    [[nodiscard]] auto until(const std::function<bool()>& holds) -> bool { return net::run_until(m_loop, holds); }
};

} // namespace

TEST_CASE("a follower lists in pages, then hears each change and nothing of other prefixes") {
    followed all{};
    for (auto index = 0; index < 120; ++index) {
        all.m_registry.put("op/" + std::to_string(index), "old");
    }
    all.m_follower->start();
    REQUIRE(all.until([&] { return all.m_known.size() == 120U; }));
    all.m_registry.put("op/7", "new");
    all.m_registry.put("other/7", "x");
    all.m_registry.remove("op/8");
    REQUIRE(all.until([&] { return all.m_known["op/7"] == "new" && !all.m_known.contains("op/8"); }));
    CHECK(all.m_known.size() == 119U);
    CHECK(all.m_lists == 1);
}

TEST_CASE("an outage makes a follower forget nothing, and what was written meanwhile is heard after it") {
    followed all{};
    all.m_registry.put("op/a", "1");
    all.m_follower->start();
    REQUIRE(all.until([&] { return all.m_there && all.m_known.size() == 1U; }));
    for (const auto silent : {false, true}) {
        all.m_registry.set_faults({!silent, silent, 0U});
        REQUIRE(all.until([&] { return !all.m_there; }));
        all.m_registry.put("op/a", silent ? "3" : "2");
        CHECK(all.m_known.size() == 1U);
        all.m_registry.set_faults({});
        REQUIRE(all.until([&] { return all.m_there && all.m_known["op/a"] == (silent ? "3" : "2"); }));
    }
    CHECK(all.m_lists == 1);
}

TEST_CASE("a lost history makes a follower list anew") {
    followed all{};
    all.m_registry.put("op/a", "1");
    all.m_follower->start();
    REQUIRE(all.until([&] { return all.m_lists == 1; }));
    all.m_follower->pause();
    all.m_registry.remove("op/a");
    all.m_registry.put("op/b", "2");
    all.m_registry.compact();
    all.m_follower->resume();
    REQUIRE(all.until([&] { return all.m_known.contains("op/b"); }));
    CHECK_FALSE(all.m_known.contains("op/a"));
}

TEST_CASE("a registration survives lost writes and lapsed leases, and ends with its process") {
    followed all{};
    all.m_registry.set_faults({false, false, 2U});
    const auto mine = std::make_shared<registration>(all.m_loop, all.m_store, "members/me", "value", wait * 4, [] {});
    mine->start();
    REQUIRE(all.until([&] { return all.m_registry.count("members/") == 1U; }));
    all.m_registry.set_faults({true, false, 0U});
    REQUIRE(all.until([&] { return all.m_registry.count("members/") == 0U; }));
    all.m_registry.set_faults({});
    REQUIRE(all.until([&] { return all.m_registry.count("members/") == 1U; }));
    mine->stop();
    REQUIRE(all.until([&] { return all.m_registry.count("members/") == 0U; }));
}

} // namespace rhubarbwharf::node
