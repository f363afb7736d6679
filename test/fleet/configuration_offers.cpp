#include <algorithm>

#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/configuration_offers.hpp>

namespace rhubarbwharf::fleet {

namespace {

constexpr time_point begin{std::chrono::hours{1}};
constexpr duration moment = std::chrono::milliseconds{1};

[[nodiscard]] auto make_region(const std::size_t gateways, const std::string& region) -> member_table {
    member_table out{};
    for (std::size_t index = 0U; index < gateways; ++index) {
        constexpr std::size_t first_number = 100U;
        std::string name{"edge-"};
        name.append(region).append("-").append(std::to_string(first_number + index));
        auto& row = out[name];
        row.m_member.m_instance = name;
        row.m_member.m_region = region;
        row.m_member.m_caller_address = {"127.0.0.1", 1U};
        row.m_last_received = begin;
    }
    return out;
}

} // namespace

// Load pattern: a configuration of a megabyte for a region, over links that its requests share.
TEST_CASE("a newer configuration is asked of the relaying gateway, then of the region, then of another one") {
    configuration_offers offers{};
    note_offer(offers, "far", 5U, offer_source::other_region, 4U, begin);
    CHECK_FALSE(choose_offer(offers, 4U, 0U, begin));
    note_offer(offers, "near", 5U, offer_source::region, 4U, begin);
    CHECK_FALSE(choose_offer(offers, 4U, 0U, begin));
    CHECK(choose_offer(offers, 4U, 0U, begin + regional_offer_delay) == "near");
    CHECK(choose_offer(offers, 4U, 0U, begin + remote_offer_delay) == "near");
    note_offer(offers, "parent", 5U, offer_source::relay, 4U, begin + moment);
    CHECK(choose_offer(offers, 4U, 0U, begin + moment) == "parent");
    note_offer(offers, "parent", 5U, offer_source::region, 4U, begin + 2 * moment);
    CHECK(choose_offer(offers, 4U, 0U, begin + 2 * moment) == "parent");
    note_failed_offer(offers, "parent", false, begin + regional_offer_delay);
    CHECK(choose_offer(offers, 4U, 0U, begin + regional_offer_delay) == "near");
    note_failed_offer(offers, "near", false, begin + regional_offer_delay);
    CHECK_FALSE(choose_offer(offers, 4U, 0U, begin + regional_offer_delay));
    CHECK(choose_offer(offers, 4U, 0U, begin + remote_offer_delay) == "far");
    CHECK(choose_offer(offers, 4U, 0U, begin + regional_offer_delay + offer_retry_delay) == "parent");
}

TEST_CASE("gateways of the same rank share the requests") {
    configuration_offers offers{};
    note_offer(offers, "a", 5U, offer_source::region, 0U, begin);
    note_offer(offers, "b", 5U, offer_source::region, 0U, begin);
    CHECK(choose_offer(offers, 0U, 0U, begin) == "a");
    CHECK(choose_offer(offers, 0U, 1U, begin) == "b");
}

TEST_CASE("an offer ends once its version is known, and one of a gateway that refuses is not taken again") {
    configuration_offers offers{};
    note_offer(offers, "a", 5U, offer_source::relay, 4U, begin);
    note_offer(offers, "b", 6U, offer_source::relay, 4U, begin);
    discard_offers(offers, 5U);
    CHECK(choose_offer(offers, 5U, 0U, begin) == "b");
    note_failed_offer(offers, "b", true, begin);
    CHECK(has_refused(offers, "b"));
    CHECK_FALSE(choose_offer(offers, 5U, 0U, begin + std::chrono::hours{1}));
    note_offer(offers, "b", 7U, offer_source::region, 5U, begin);
    CHECK_FALSE(has_refused(offers, "b"));
    note_failed_offer(offers, "b", true, begin);
    note_offer(offers, "b", 6U, offer_source::region, 6U, begin);
    CHECK_FALSE(has_refused(offers, "b"));
    discard_offers(offers, 6U);
    note_offer(offers, "a", 7U, offer_source::other_region, 6U, begin + std::chrono::hours{1});
    CHECK_FALSE(choose_offer(offers, 6U, 0U, begin + std::chrono::hours{1}));
}

// A gateway that had heard of a newer version answered 404 for a route that this version had added.
TEST_CASE("a configuration counts as outdated from the first word of a newer one until that is known, or for a while") {
    configuration_offers offers{};
    CHECK_FALSE(is_outdated(offers, 4U, begin));
    note_offer(offers, "a", 4U, offer_source::region, 4U, begin);
    CHECK_FALSE(is_outdated(offers, 4U, begin));
    note_offer(offers, "a", 5U, offer_source::other_region, 4U, begin);
    CHECK(is_outdated(offers, 4U, begin));
    CHECK_FALSE(is_outdated(offers, 5U, begin));
    CHECK_FALSE(is_outdated(offers, 4U, begin + max_outdated_time));
    // In a series of versions, one is always newer than the one in force.
    note_offer(offers, "a", 6U, offer_source::region, 4U, begin + max_outdated_time);
    CHECK(is_outdated(offers, 4U, begin + max_outdated_time + moment));
    discard_offers(offers, 6U);
    CHECK_FALSE(is_outdated(offers, 4U, begin));
}

TEST_CASE("the relays of a region of any size reach each gateway once, from few gateways each") {
    for (const std::size_t gateways : {1U, 2U, 3U, 9U, 17U, 74U, 170U}) {
        const auto table = make_region(gateways, "here");
        std::map<std::string, unsigned> reached{};
        for (const auto& [name, row] : table) {
            const auto targets = list_relay_targets(table, row.m_member, false, begin);
            CHECK(targets.size() <= relay_fanout);
            for (const auto& each : targets) {
                CHECK(each > name);
                ++reached[each];
            }
        }
        CHECK(reached.size() == gateways - std::min(gateways, watchers_per_region));
        CHECK(std::ranges::all_of(reached, [](const auto& each) { return each.second == 1U; }));
    }
}

TEST_CASE("a watcher that is no root relays to the roots, and gateways that have gone or leave are passed over") {
    auto table = make_region(8U, "here");
    table.merge(make_region(8U, "there"));
    const auto self = table.at("edge-here-107").m_member;
    CHECK(list_relay_targets(table, self, true, begin) == std::vector<std::string>{"edge-here-100", "edge-here-101"});
    table.at("edge-here-100").m_leaving = true;
    table.at("edge-here-101").m_last_received = begin - 2 * heartbeat_timeout;
    CHECK(list_relay_targets(table, self, true, begin) == std::vector<std::string>{"edge-here-102", "edge-here-103"});
    CHECK(list_relay_targets(table, table.at("edge-here-102").m_member, true, begin).front() == "edge-here-104");
}

} // namespace rhubarbwharf::fleet
