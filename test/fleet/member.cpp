#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/member.hpp>

namespace rhubarbwharf::fleet {

namespace {

const time_point now{std::chrono::seconds{100}};

[[nodiscard]] auto make_gateway(const std::string& name, const std::string& region, const std::string& data_centre,
                                const std::uint16_t port) -> member_observation {
    member_observation out{};
    out.m_member.m_instance = name;
    out.m_member.m_region = region;
    out.m_member.m_data_centre = data_centre;
    out.m_member.m_caller_address = {"10.0.0.1", port};
    out.m_last_received = now;
    out.m_listed = true;
    return out;
}

[[nodiscard]] auto make_three_gateways() -> member_table {
    return {{"a", make_gateway("a", "ost", "ost-a", 1U)},
            {"b", make_gateway("b", "ost", "ost-a", 2U)},
            {"c", make_gateway("c", "west", "west-a", 3U)}};
}

[[nodiscard]] auto ports(const std::vector<net::endpoint>& rows) -> std::vector<unsigned> {
    std::vector<unsigned> out{};
    out.reserve(rows.size());
    for (const auto& each : rows) {
        out.push_back(each.m_port);
    }
    return out;
}

} // namespace

TEST_CASE("callers are sent to live gateways of their own data centre first") {
    auto table = make_three_gateways();
    CHECK(ports(list_gateways(table, "ost", "ost-a", now)) == std::vector{1U, 2U});
    table.at("a").m_leaving = true;
    CHECK(ports(list_gateways(table, "ost", "ost-a", now)) == std::vector{2U, 3U});
    table.at("b").m_last_received = now - std::chrono::seconds{3};
    CHECK(ports(list_gateways(table, "ost", "ost-a", now)) == std::vector{3U});
}

TEST_CASE("callers of restricted routes are sent to gateways of their own region and of allowed ones only") {
    auto table = make_three_gateways();
    const auto west = restrict_to({"west"});
    CHECK(ports(list_gateways(table, "ost", "ost-a", now, west)) == std::vector{1U, 2U});
    CHECK(ports(list_gateways(table, "sued", "sued-a", now, west)) == std::vector{3U});
    table.at("a").m_leaving = true;
    CHECK(ports(list_gateways(table, "ost", "ost-a", now, restrict_to({"sued"}))) == std::vector{2U});
    CHECK(list_gateways(table, "sued", "sued-a", now, restrict_to({"sued"})).empty());
    CHECK(list_gateways(table, "sued", "sued-a", now, restrict_to({})).empty());
}

// A gateway that is killed stays listed until its lease ends, for longer than callers may be sent to it.
TEST_CASE("a gateway that ended is not named beside a live one, although the store still lists it") {
    auto table = make_three_gateways();
    table.at("a").m_last_received = now - std::chrono::seconds{7};
    CHECK(ports(list_gateways(table, "ost", "ost-a", now)) == std::vector{2U, 3U});
    table.at("b").m_last_received = now - std::chrono::seconds{7};
    CHECK(ports(list_gateways(table, "ost", "ost-a", now)) == std::vector{3U});
}

TEST_CASE("without live gateways callers are sent to the listed ones") {
    auto table = make_three_gateways();
    for (auto& [name, row] : table) {
        row.m_last_received = now - std::chrono::seconds{10};
    }
    CHECK(list_gateways(table, "ost", "ost-a", now).size() == 2U);
    for (auto& [name, row] : table) {
        row.m_listed = false;
    }
    CHECK(list_gateways(table, "ost", "ost-a", now).empty());
}

TEST_CASE("two gateways per region watch the store, those that reach it before the others") {
    auto table = make_three_gateways();
    table["d"] = make_gateway("d", "ost", "ost-a", 4U);
    const auto watches = [&](const std::string& name) {
        return is_watcher(table, table.at(name).m_member, now);
    };
    CHECK(watches("a"));
    CHECK(watches("b"));
    CHECK_FALSE(watches("d"));
    CHECK(watches("c"));
    table.at("a").m_reaches_store = false;
    CHECK_FALSE(watches("a"));
    CHECK(watches("d"));
    table.at("b").m_last_received = now - std::chrono::seconds{5};
    CHECK(watches("a"));
}

TEST_CASE("silent members that the store does not list are evicted") {
    auto table = make_three_gateways();
    table.at("a").m_last_received = now - std::chrono::seconds{60};
    table.at("b").m_last_received = now - std::chrono::seconds{60};
    table.at("b").m_listed = false;
    CHECK(evict_expired_members(table, "ost", now) == std::vector<std::string>{"b"});
}

} // namespace rhubarbwharf::fleet
