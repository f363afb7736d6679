#include <algorithm>
#include <random>
#include <set>

#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/region.hpp>

namespace rhubarbwharf::fleet {

namespace {

const time_point start{std::chrono::seconds{100}};
constexpr duration heartbeat = std::chrono::milliseconds{300};

[[nodiscard]] auto make_gateway(const std::string& name, const std::string& region) -> member_observation {
    member_observation out{};
    out.m_member.m_instance = name;
    out.m_member.m_region = region;
    out.m_member.m_data_centre = region + "-a";
    out.m_member.m_incarnation = 1U;
    out.m_member.m_caller_address = {"10.0.0.1", 80U};
    out.m_member.m_bus_address = {"10.0.0.1", 81U};
    out.m_last_received = start;
    out.m_listed = true;
    return out;
}

[[nodiscard]] auto name_of(const std::string& region, const unsigned index) -> std::string {
    return region + "-" + std::to_string(10U + index);
}

[[nodiscard]] auto make_table(const std::vector<std::string>& regions, const unsigned gateways) -> member_table {
    member_table out{};
    for (const auto& region : regions) {
        for (auto index = 0U; index < gateways; ++index) {
            out[name_of(region, index)] = make_gateway(name_of(region, index), region);
        }
    }
    return out;
}

/*! @brief Gateways that exchange heartbeats as `node` does, without a network. All begin with the list of the store. */
struct fleet_simulation {
    std::vector<std::string> m_regions{};
    std::map<std::string, member_table> m_tables{};
    std::set<std::string> m_dead{};
    /*! @brief Pairs of regions, in both orders, between which nothing is delivered. */
    std::set<std::pair<std::string, std::string>> m_cut{};
    std::mt19937_64 m_random{20'261'203U};
    time_point m_now{start};
    std::size_t m_remote_frames{};
    std::size_t m_local_frames{};

    fleet_simulation(std::vector<std::string> regions, const unsigned gateways) : m_regions{std::move(regions)} {
        const auto table = make_table(m_regions, gateways);
        for (const auto& [name, row] : table) {
            m_tables[name] = table;
        }
    }

    [[nodiscard]] auto is_dead(const std::string& name) const -> bool { return m_dead.contains(name); }

    auto deliver(const std::string& from, const std::string& to, const std::vector<heard_gateway>& heard) -> void {
        const auto& sender = m_tables.at(from).at(from).m_member;
        auto& table = m_tables.at(to);
        if (is_dead(to) || m_cut.contains({sender.m_region, table.at(to).m_member.m_region})) {
            return;
        }
        auto& row = table.at(from);
        row.m_last_received = m_now;
        row.m_last_heard = m_now;
        for (const auto& each : heard) {
            REQUIRE(merge_heard(table, each));
        }
    }

    auto beat(const std::string& name) -> void {
        auto& table = m_tables.at(name);
        table.at(name).m_last_received = m_now;
        const auto self = table.at(name).m_member;
        if (is_representative(table, self, m_now)) {
            for (const auto& to : remote_heartbeat_targets(table, self, m_random(), m_now)) {
                ++m_remote_frames;
                deliver(name, to, {});
            }
        }
        const auto heard = list_heard(table, self.m_region, m_now);
        for (const auto& [to, row] : table) {
            if (row.m_member.m_region == self.m_region && to != name) {
                ++m_local_frames;
                deliver(name, to, heard);
            }
        }
    }

    auto run(const duration time) -> void {
        for (const auto end = m_now + time; m_now < end;) {
            m_now += heartbeat;
            for (const auto& [name, table] : m_tables) {
                if (!is_dead(name)) {
                    beat(name);
                }
            }
        }
    }

    auto kill(const std::string& region, const unsigned first, const unsigned count) -> void {
        for (auto index = first; index < first + count; ++index) {
            m_dead.insert(name_of(region, index));
        }
    }

    /*! @brief Names of the representatives of a region, as a gateway sees them. */
    [[nodiscard]] auto seen_by(const std::string& name, const std::string& region) const -> std::vector<std::string> {
        std::vector<std::string> out{};
        for (const auto* each : representatives(m_tables.at(name), region, m_now)) {
            out.push_back(each->m_instance);
        }
        return out;
    }

    /*! @brief Checks that all live gateways see the same live representatives of each region. */
    [[nodiscard]] auto has_one_view() const -> bool {
        for (const auto& region : m_regions) {
            std::set<std::vector<std::string>> views{};
            for (const auto& [name, table] : m_tables) {
                if (!is_dead(name)) {
                    views.insert(seen_by(name, region));
                }
            }
            const auto is_live = [this](const std::string& each) {
                return !is_dead(each);
            };
            if (views.size() != 1U || !std::ranges::all_of(*views.begin(), is_live)) {
                return false;
            }
        }
        return true;
    }
};

const std::vector<std::string> five_regions{"mitte", "nord", "ost", "sued", "west"};

} // namespace

TEST_CASE("the first four live gateways by name represent a region") {
    auto table = make_table({"ost", "west"}, 6U);
    CHECK(is_representative(table, table.at("ost-13").m_member, start));
    CHECK_FALSE(is_representative(table, table.at("ost-14").m_member, start));
    table.at("ost-10").m_leaving = true;
    CHECK(is_representative(table, table.at("ost-14").m_member, start));
    table.at("ost-11").m_last_received = start - std::chrono::seconds{3};
    CHECK(is_representative(table, table.at("ost-15").m_member, start));
    table.erase("ost-15");
    CHECK(is_representative(table, make_gateway("ost-15", "ost").m_member, start));
}

TEST_CASE("a region of up to four gateways sends its heartbeats to all gateways of such regions") {
    const auto table = make_table({"ost", "sued", "west"}, 3U);
    auto targets = remote_heartbeat_targets(table, table.at("ost-10").m_member, 7U, start);
    std::ranges::sort(targets);
    CHECK(targets == std::vector<std::string>{"sued-10", "sued-11", "sued-12", "west-10", "west-11", "west-12"});
}

TEST_CASE("heartbeats between regions do not grow with the regions") {
    for (const auto gateways : {20U, 75U}) {
        fleet_simulation fleet{five_regions, gateways};
        fleet.run(std::chrono::seconds{3});
        constexpr auto beats = 10U;
        constexpr auto representatives = 20U;
        constexpr auto targets_of_each = 17U;
        CHECK(fleet.m_remote_frames <= beats * representatives * targets_of_each);
        CHECK(fleet.has_one_view());
    }
}

TEST_CASE("all gateways agree after all representatives of a region have ended at once") {
    fleet_simulation fleet{five_regions, 20U};
    fleet.run(std::chrono::seconds{2});
    fleet.kill("ost", 0U, 4U);
    fleet.run(std::chrono::seconds{5});
    CHECK(fleet.has_one_view());
    CHECK(fleet.seen_by("west-20", "ost") == std::vector<std::string>{"ost-14", "ost-15", "ost-16", "ost-17"});
}

TEST_CASE("all gateways agree after the representatives of every region have ended at once") {
    fleet_simulation fleet{five_regions, 20U};
    fleet.run(std::chrono::seconds{2});
    for (const auto& region : five_regions) {
        fleet.kill(region, 0U, 4U);
    }
    fleet.run(std::chrono::seconds{8});
    CHECK(fleet.has_one_view());
}

TEST_CASE("regions that were cut off from each other for long find each other again, whoever ended meanwhile") {
    fleet_simulation fleet{five_regions, 20U};
    fleet.run(std::chrono::seconds{2});
    for (const auto& region : five_regions) {
        if (region != "ost") {
            fleet.m_cut.insert({"ost", region});
            fleet.m_cut.insert({region, "ost"});
        }
    }
    fleet.run(std::chrono::seconds{30});
    CHECK(fleet.seen_by("west-10", "ost").empty());
    fleet.kill("ost", 0U, 12U);
    fleet.kill("west", 0U, 12U);
    fleet.run(std::chrono::seconds{5});
    fleet.m_cut.clear();
    fleet.run(std::chrono::seconds{8});
    CHECK(fleet.has_one_view());
    CHECK(fleet.seen_by("west-29", "ost").size() == representatives_per_region);
}

TEST_CASE("a region that has lost all of its gateways is seen by none") {
    fleet_simulation fleet{five_regions, 20U};
    fleet.run(std::chrono::seconds{2});
    fleet.kill("sued", 0U, 20U);
    fleet.run(std::chrono::seconds{4});
    CHECK(fleet.has_one_view());
    CHECK(fleet.seen_by("mitte-20", "sued").empty());
}

TEST_CASE("what a gateway heard of another region by hearsay is not passed on as heard") {
    auto table = make_table({"ost", "west"}, 3U);
    CHECK(list_heard(table, "ost", start).empty());
    REQUIRE(merge_heard(table, {"west-10", 1U, start}));
    CHECK(list_heard(table, "ost", start).empty());
    CHECK_FALSE(merge_heard(table, {"west-10", 2U, start}));
    CHECK_FALSE(merge_heard(table, {"west-19", 1U, start}));
    table.at("west-10").m_last_heard = start;
    CHECK(list_heard(table, "ost", start).size() == 1U);
}

TEST_CASE("demand is that of each region's status, or of the gateways heard where a region has sent none") {
    auto table = make_table({"ost", "west"}, 3U);
    for (auto& [name, row] : table) {
        row.m_demand_per_s = 10.0;
    }
    region_table regions{};
    const auto demand_of = [&](const std::string& data_centre, const time_point now) {
        const auto rows = list_demand(table, regions, "ost", now);
        const auto found = std::ranges::find(rows, data_centre, &data_centre_demand::m_data_centre);
        return found == rows.end() ? 0.0 : found->m_demand_per_s;
    };
    CHECK(demand_of("ost-a", start) == doctest::Approx(30.0));
    CHECK(demand_of("west-a", start) == doctest::Approx(30.0));
    merge_region(regions, "west", {{{"west-a", 20U, 500.0}}, start});
    CHECK(demand_of("west-a", start) == doctest::Approx(500.0));
    merge_region(regions, "west", {{{"west-a", 20U, 400.0}}, start - heartbeat});
    CHECK(demand_of("west-a", start) == doctest::Approx(500.0));
    table.at("west-10").m_last_received = start + region_status_timeout + heartbeat;
    CHECK(demand_of("west-a", start + region_status_timeout + heartbeat) == doctest::Approx(10.0));
    table.at("ost-11").m_ready = false;
    CHECK(measure_region(table, "ost", start).m_data_centres.front().m_gateways == 2U);
}

TEST_CASE("gateways of all regions divide the limit of a server among the same ones") {
    constexpr auto gateways = 15U;
    const std::vector<std::string> regions{"a", "b", "c"};
    std::map<std::string, member_table> views{};
    for (const auto& own : regions) {
        auto& view = views[own];
        view = make_table(regions, gateways);
        for (auto& [name, row] : view) {
            // Of the other regions, only the representatives are heard.
            const auto is_heard = row.m_member.m_region == own ||
                                  name < name_of(row.m_member.m_region, unsigned{representatives_per_region});
            row.m_last_received = is_heard ? start : start - 2 * heartbeat_timeout;
        }
    }
    const auto all = list_limit_gateways(views["a"], "a", true, start);
    CHECK(all.size() == regions.size() * representatives_per_region);
    CHECK(all == list_limit_gateways(views["b"], "a", true, start));
    const auto local = list_limit_gateways(views["a"], "a", false, start);
    CHECK(local.size() == gateways);
    // A gateway of another region never lists itself, so it holds no share.
    const auto remote = list_limit_gateways(views["b"], "a", false, start);
    CHECK(std::ranges::none_of(remote, [](const std::string_view name) { return name.starts_with("b"); }));
    CHECK(all == list_limit_gateways(views["b"], "unknown", false, start));
}

// With a reader in each region, the reads of the store's version grew with the regions.
TEST_CASE(
    "all regions find the same gateway that reads the store's version, and the next one if it does not reach it") {
    member_table table{};
    for (const auto* const name : {"a-1", "b-1", "b-2"}) {
        table[name] = make_gateway(name, name[0] == 'a' ? "west" : "ost");
        table[name].m_reaches_store = true;
    }
    REQUIRE(store_version_reader(table, start) != nullptr);
    CHECK(store_version_reader(table, start)->m_instance == "b-1");
    table["b-1"].m_reaches_store = false;
    CHECK(store_version_reader(table, start)->m_instance == "b-2");
    table["b-2"].m_leaving = true;
    CHECK(store_version_reader(table, start)->m_instance == "a-1");
    CHECK(store_version_reader(table, start + heartbeat_timeout + duration{1}) == nullptr);
}

} // namespace rhubarbwharf::fleet
