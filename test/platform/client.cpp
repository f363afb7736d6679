#include <algorithm>

#include <doctest/doctest.h>

#include "platform/fake.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::platform;

namespace {

/*! @brief A client with a service of its own. */
struct pair_of_both {
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    fake m_fake{m_loop};
    client m_client{m_loop, m_http, m_fake.settings()};

    auto put(const std::string& key, const std::string& value, const revision expected) -> put_outcome {
        std::optional<put_outcome> got{};
        m_client.put(key, value, expected, 0, [&](put_outcome outcome) { got = std::move(outcome); });
        REQUIRE(net::run_until(m_loop, [&] { return got.has_value(); }));
        return *got;
    }

    auto get(const std::string& key) -> std::pair<code, key_value> {
        std::optional<std::pair<code, key_value>> got{};
        m_client.get(key, [&](const code value, key_value found) { got = {value, std::move(found)}; });
        REQUIRE(net::run_until(m_loop, [&] { return got.has_value(); }));
        return *got;
    }
};

} // namespace

TEST_CASE("a key is written once by compare-and-swap and read back alike") {
    pair_of_both both{};
    const auto made = both.put("k", "one", 0U);
    CHECK(made.m_code == code::ok);
    CHECK(made.m_current.m_modified == both.m_fake.m_revision);
    const auto again = both.put("k", "two", 0U);
    CHECK(again.m_code == code::compare_failed);
    CHECK(again.m_written == outcome::not_run);
    CHECK(again.m_current.m_value == "one");
    const auto changed = both.put("k", std::string("\0\xff", 2U), made.m_current.m_modified);
    CHECK(changed.m_code == code::ok);
    const auto [value, found] = both.get("k");
    CHECK(value == code::ok);
    CHECK(found.m_value == std::string("\0\xff", 2U));
    CHECK(found.m_modified == changed.m_current.m_modified);
    CHECK(both.get("absent").second.m_modified == 0U);
}

TEST_CASE("keys under a prefix are listed, others not") {
    pair_of_both both{};
    both.m_fake.write("a/1", "x");
    both.m_fake.write("a/2", "y");
    both.m_fake.write("b", "z");
    std::vector<key_value> keys{};
    both.m_client.list("a/", [&](const code value, std::vector<key_value> found) {
        CHECK(value == code::ok);
        keys = std::move(found);
    });
    REQUIRE(net::run_until(both.m_loop, [&] { return !keys.empty(); }));
    REQUIRE(keys.size() == 2U);
    CHECK(keys[1U].m_key == "a/2");
}

TEST_CASE("a write whose answer is lost is found by reading back, and not made twice") {
    pair_of_both both{};
    both.m_fake.m_answers_to_lose = 1;
    const auto made = both.put("k", "mine", 0U);
    CHECK(made.m_code == code::ok);
    CHECK(made.m_current.m_modified == both.m_fake.m_keys["k"].m_modified);
    CHECK(both.m_fake.m_writes == 1);
    CHECK(both.m_client.counts().m_read_backs == 1U);
}

TEST_CASE("a write that the gateway calls failed is read back, as it may have taken effect") {
    pair_of_both both{};
    both.m_fake.m_answers_to_deny = 1;
    const auto made = both.put("k", "mine", 0U);
    CHECK(made.m_code == code::ok);
    CHECK(both.m_fake.m_writes == 1);
    both.m_fake.m_answers_to_deny = 1;
    both.m_fake.m_reads_to_lose = 100;
    const auto lost = both.put("k", "again", made.m_current.m_modified);
    CHECK(lost.m_code == code::platform_unavailable);
    CHECK(lost.m_written == outcome::unknown);
}

TEST_CASE("a write that was lost before its effect is made again") {
    pair_of_both both{};
    both.m_fake.m_writes_to_lose = 1;
    const auto made = both.put("k", "mine", 0U);
    CHECK(made.m_code == code::ok);
    CHECK(both.m_fake.m_writes == 2);
    CHECK(both.m_fake.m_keys["k"].m_value == "mine");
}

TEST_CASE("a lost write that another writer has passed is unknown, never called not run") {
    pair_of_both both{};
    both.m_fake.m_answers_to_lose = 1;
    both.m_fake.m_before_loss = [&] {
        both.m_fake.write("k", "theirs");
    };
    const auto made = both.put("k", "mine", 0U);
    CHECK(made.m_code == code::platform_unavailable);
    CHECK(made.m_written == outcome::unknown);
    CHECK(made.m_current.m_value == "theirs");
}

TEST_CASE("a lost write that can't be read back is unknown") {
    pair_of_both both{};
    both.m_fake.m_answers_to_lose = 1;
    both.m_fake.m_reads_to_lose = 100;
    const auto made = both.put("k", "mine", 0U);
    CHECK(made.m_code == code::platform_unavailable);
    CHECK(made.m_written == outcome::unknown);
}

TEST_CASE("without a service nothing is written, and reads fail") {
    net::loop owner{};
    net::http_client http{owner};
    client_settings settings{};
    settings.m_servers = {net::local(1U)};
    client tried{owner, http, settings};
    std::optional<put_outcome> got{};
    tried.put("k", "v", 0U, 0, [&](put_outcome outcome) { got = std::move(outcome); });
    CHECK_FALSE(got);
    REQUIRE(net::run_until(owner, [&] { return got.has_value(); }));
    CHECK(got->m_code == code::platform_unavailable);
    CHECK(got->m_written == outcome::not_run);
    std::optional<code> read{};
    tried.get("k", [&](const code value, const key_value&) { read = value; });
    REQUIRE(net::run_until(owner, [&] { return read.has_value(); }));
    CHECK(*read == code::platform_unavailable);
}

TEST_CASE("the next server is asked where one does not answer") {
    pair_of_both both{};
    auto settings = both.m_fake.settings();
    settings.m_servers.insert(settings.m_servers.begin(), net::local(1U));
    for (const auto seed : {1U, 2U, 3U, 4U}) {
        settings.m_seed = seed;
        client tried{both.m_loop, both.m_http, settings};
        std::optional<put_outcome> got{};
        tried.put("k" + std::to_string(seed), "v", 0U, 0, [&](put_outcome outcome) { got = std::move(outcome); });
        REQUIRE(net::run_until(both.m_loop, [&] { return got.has_value(); }));
        CHECK(got->m_code == code::ok);
    }
}

TEST_CASE("calls over the set rate are refused as not run") {
    pair_of_both both{};
    auto settings = both.m_fake.settings();
    settings.m_writes_per_second = 1.0;
    settings.m_call_time = std::chrono::milliseconds{500};
    client tried{both.m_loop, both.m_http, settings};
    std::vector<put_outcome> got{};
    for (const std::string key : {"a", "b"}) {
        tried.put(key, "v", 0U, 0, [&](const put_outcome& outcome) { got.push_back(outcome); });
    }
    REQUIRE(net::run_until(both.m_loop, [&] { return got.size() == 2U; }));
    const auto refused = std::ranges::count(got, code::rate_limited, &put_outcome::m_code);
    CHECK(refused == 1);
    CHECK(std::ranges::find(got, code::rate_limited, &put_outcome::m_code)->m_written == outcome::not_run);
}

TEST_CASE("a watch tells what stands, each change, and after a cut what it missed") {
    pair_of_both both{};
    both.m_fake.write("w/a", "1");
    std::map<std::string, key_value> seen{};
    both.m_client.watch("w/", true, [&](const key_value& change) { seen[change.m_key] = change; });
    REQUIRE(net::run_until(both.m_loop, [&] { return both.m_fake.m_watchers.size() == 1U; }));
    CHECK(seen["w/a"].m_value == "1");
    both.m_fake.write("w/a", "2");
    REQUIRE(net::run_until(both.m_loop, [&] { return seen["w/a"].m_value == "2"; }));
    both.m_fake.cut_watches();
    both.m_fake.m_reads_to_lose = 3;
    both.m_fake.m_keys.erase("w/a");
    both.m_fake.write("w/b", "3");
    REQUIRE(net::run_until(both.m_loop, [&] { return both.m_fake.m_watchers.size() == 1U; }));
    CHECK(seen["w/b"].m_value == "3");
    CHECK(seen["w/a"].m_modified == 0U);
    both.m_fake.write("w/b", "4");
    REQUIRE(net::run_until(both.m_loop, [&] { return seen["w/b"].m_value == "4"; }));
}

TEST_CASE("a lease is taken, renewed, given back, and then lost") {
    pair_of_both both{};
    lease_number lease{};
    both.m_client.grant(std::chrono::seconds{10}, [&](const code, const lease_number given) { lease = given; });
    REQUIRE(net::run_until(both.m_loop, [&] { return lease != 0; }));
    std::optional<code> renewed{};
    both.m_client.keep_alive(lease, [&](const code value) { renewed = value; });
    REQUIRE(net::run_until(both.m_loop, [&] { return renewed.has_value(); }));
    CHECK(*renewed == code::ok);
    std::optional<code> revoked{};
    both.m_client.revoke(lease, [&](const code value) { revoked = value; });
    REQUIRE(net::run_until(both.m_loop, [&] { return revoked.has_value(); }));
    CHECK(*revoked == code::ok);
    renewed.reset();
    both.m_client.keep_alive(lease, [&](const code value) { renewed = value; });
    REQUIRE(net::run_until(both.m_loop, [&] { return renewed.has_value(); }));
    CHECK(*renewed == code::lease_lost);
}
