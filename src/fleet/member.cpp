#include <algorithm>

#include <rhubarbwharf/fleet/member.hpp>

namespace rhubarbwharf::fleet {

namespace {

/*! @brief Maximum number of addresses in one answer to a caller. */
constexpr std::size_t max_addresses = 64U;

[[nodiscard]] auto distance(const member& row, const std::string_view region, const std::string_view data_centre)
    -> int {
    if (row.m_data_centre == data_centre) {
        return 0;
    }
    return row.m_region == region ? 1 : 2;
}

} // namespace

auto list_gateways(const member_table& table, const std::string_view region, const std::string_view data_centre,
                   const time_point now, const allowed_regions& allowed) -> std::vector<net::endpoint> {
    struct candidate {
        int m_distance{};
        const member* m_member{};
    };

    const auto collect = [&](const auto& filter) {
        std::vector<candidate> rows{};
        for (const auto& [name, row] : table) {
            const auto& member_region = row.m_member.m_region;
            const auto is_allowed = member_region == region || allows(allowed, member_region);
            if (row.m_member.is_gateway() && !row.m_leaving && is_allowed && filter(row)) {
                rows.push_back({distance(row.m_member, region, data_centre), &row.m_member});
            }
        }
        return rows;
    };
    auto rows = collect(
        [now](const member_observation& row) { return row.m_ready && now - row.m_last_received <= heartbeat_timeout; });
    if (rows.empty()) {
        rows = collect([](const member_observation& row) { return row.m_listed; });
    }
    std::ranges::stable_sort(rows, {}, &candidate::m_distance);
    std::vector<net::endpoint> out{};
    for (const auto& row : rows) {
        const auto is_included = rows.front().m_distance == row.m_distance || out.size() < 2U;
        if (is_included && out.size() < max_addresses) {
            out.push_back(row.m_member->m_caller_address);
        }
    }
    return out;
}

auto is_watcher(const member_table& table, const member& self, const time_point now) -> bool {
    const auto self_row = table.find(self.m_instance);
    if (self_row == table.end()) {
        return true;
    }
    const auto comes_first = [&](const auto& each) {
        const auto& row = each.second;
        const auto is_live_peer = row.m_member.is_gateway() && row.m_member.m_region == self.m_region &&
                                  !row.m_leaving && now - row.m_last_received <= heartbeat_timeout;
        const auto precedes_self = row.m_reaches_store != self_row->second.m_reaches_store
                                       ? row.m_reaches_store
                                       : each.first < self.m_instance;
        const auto follows_eras = row.m_store_era != 0U || self_row->second.m_store_era == 0U;
        return is_live_peer && precedes_self && follows_eras;
    };
    return static_cast<std::size_t>(std::ranges::count_if(table, comes_first)) < watchers_per_region;
}

auto evict_expired_members(member_table& table, const std::string_view own_region, const time_point now)
    -> std::vector<std::string> {
    std::vector<std::string> evicted{};
    for (const auto& [name, row] : table) {
        const auto is_local_loader = !row.m_member.is_gateway() && row.m_member.m_region == own_region;
        if ((!row.m_listed || is_local_loader) && now - row.m_last_received > member_retention) {
            evicted.push_back(name);
        }
    }
    for (const auto& name : evicted) {
        table.erase(name);
    }
    return evicted;
}

} // namespace rhubarbwharf::fleet
