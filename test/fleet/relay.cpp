#include <set>

#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/relay.hpp>

namespace rhubarbwharf::fleet {

namespace {

constexpr std::size_t piece_count = 48U;
constexpr std::size_t region_count = 3U;
constexpr std::size_t gateways_per_region = 3U;
constexpr time_point now{std::chrono::hours{1}};

/*! @brief Makes live gateways in three regions. */
[[nodiscard]] auto make_gateways() -> member_table {
    member_table out{};
    for (std::size_t region = 0U; region < region_count; ++region) {
        for (std::size_t index = 0U; index < gateways_per_region; ++index) {
            member_observation row{};
            row.m_member.m_instance = "gateway-" + std::to_string(region) + "-" + std::to_string(index);
            row.m_member.m_region = "region-" + std::to_string(region);
            row.m_member.m_caller_address = {"127.0.0.1", 1U};
            row.m_member.m_bulk_address = {"127.0.0.1", 2U};
            row.m_last_received = now;
            out[row.m_member.m_instance] = row;
        }
    }
    return out;
}

[[nodiscard]] auto make_part(const std::size_t index) -> weights_part {
    return {2U, index};
}

} // namespace

TEST_CASE("one gateway reads a piece from the origin, and the piece enters each region once") {
    const auto table = make_gateways();
    std::set<std::string> readers{};
    for (std::size_t index = 0U; index < piece_count; ++index) {
        std::size_t from_origin{};
        std::size_t between_regions{};
        for (const auto& [name, row] : table) {
            const auto* const upstream = find_upstream(table, row.m_member, make_part(index), now);
            if (upstream == nullptr) {
                ++from_origin;
                readers.insert(name);
                continue;
            }
            between_regions += upstream->m_region != row.m_member.m_region ? 1U : 0U;
            const auto* const next = find_upstream(table, *upstream, make_part(index), now);
            CHECK((next == nullptr || find_upstream(table, *next, make_part(index), now) == nullptr));
        }
        CHECK(from_origin == 1U);
        CHECK(between_regions == region_count - 1U);
    }
    CHECK(readers.size() == region_count * gateways_per_region);
}

// Gateways of a large region know the representatives of the others only, and those of their own region.
TEST_CASE("with a view of their region and of the representatives of others, gateways read each piece once") {
    constexpr auto large_region = 20U;
    member_table all{};
    for (std::size_t region = 0U; region < 5U; ++region) {
        for (auto index = 10U; index < 10U + large_region; ++index) {
            auto row = make_gateways().begin()->second;
            row.m_member.m_region = "region-" + std::to_string(region);
            row.m_member.m_instance = row.m_member.m_region + "-" + std::to_string(index);
            all[row.m_member.m_instance] = row;
        }
    }
    const auto view_of = [&all](const std::string& region) {
        auto view = all;
        for (auto& [name, row] : view) {
            const auto is_representative =
                name.ends_with("-10") || name.ends_with("-11") || name.ends_with("-12") || name.ends_with("-13");
            if (row.m_member.m_region != region && !is_representative) {
                row.m_last_received = now - 2 * heartbeat_timeout;
            }
        }
        return view;
    };
    for (std::size_t index = 0U; index < piece_count; ++index) {
        std::size_t from_origin{};
        std::size_t between_regions{};
        for (const auto& [name, row] : all) {
            const auto* current = &row.m_member;
            const auto* upstream = find_upstream(view_of(current->m_region), *current, make_part(index), now);
            from_origin += upstream == nullptr ? 1U : 0U;
            between_regions += upstream != nullptr && upstream->m_region != current->m_region ? 1U : 0U;
            for (auto hops = 0; upstream != nullptr; ++hops) {
                REQUIRE(hops < 4);
                current = &all.at(upstream->m_instance).m_member;
                upstream = find_upstream(view_of(current->m_region), *current, make_part(index), now);
            }
        }
        CHECK(from_origin == 1U);
        CHECK(between_regions == 4U);
    }
}

TEST_CASE("a gateway that is silent, is leaving or serves no pieces is not an upstream") {
    auto table = make_gateways();
    const auto self = table["gateway-0-0"].m_member;
    table["gateway-0-1"].m_last_received = now - 2 * heartbeat_timeout;
    table["gateway-0-2"].m_leaving = true;
    table["gateway-1-0"].m_member.m_bulk_address.m_port = 0U;
    for (std::size_t index = 0U; index < piece_count; ++index) {
        const auto* const upstream = find_upstream(table, self, make_part(index), now);
        CHECK((upstream == nullptr || upstream->m_region != self.m_region));
        CHECK((upstream == nullptr || upstream->m_instance != "gateway-1-0"));
    }
}

TEST_CASE("one gateway reads the manifest from the origin") {
    const auto table = make_gateways();
    std::size_t from_origin{};
    for (const auto& [name, row] : table) {
        from_origin += find_upstream(table, row.m_member, make_part(manifest_index), now) == nullptr ? 1U : 0U;
    }
    CHECK(from_origin == 1U);
}

} // namespace rhubarbwharf::fleet
