#include <algorithm>
#include <set>
#include <utility>

#include <rhubarbwharf/fleet/region.hpp>

namespace rhubarbwharf::fleet {

namespace {

[[nodiscard]] auto is_live_gateway(const member_observation& row, const time_point now) noexcept -> bool {
    return row.m_member.is_gateway() && !row.m_leaving && now - row.m_last_received <= heartbeat_timeout;
}

[[nodiscard]] auto takes_requests(const member_observation& row, const time_point now) noexcept -> bool {
    return is_live_gateway(row, now) && row.m_ready;
}

auto add_gateway(std::vector<data_centre_demand>& rows, const member_observation& gateway) -> void {
    const auto& data_centre = gateway.m_member.m_data_centre;
    auto found = std::ranges::find(rows, data_centre, &data_centre_demand::m_data_centre);
    if (found == rows.end()) {
        found = rows.insert(rows.end(), {data_centre, 0U, 0.0});
    }
    ++found->m_gateways;
    found->m_demand_per_s += gateway.m_demand_per_s;
}

[[nodiscard]] auto find_fresh(const region_table& regions, const std::string_view region, const time_point now)
    -> const region_status* {
    const auto found = regions.find(region);
    const auto is_fresh = found != regions.end() && now - found->second.m_measured_at <= region_status_timeout;
    return is_fresh ? &found->second : nullptr;
}

} // namespace

auto count_gateways(const member_table& table) noexcept -> std::size_t {
    return static_cast<std::size_t>(
        std::ranges::count_if(table, [](const auto& each) { return each.second.m_member.is_gateway(); }));
}

auto representatives(const member_table& table, const std::string_view region, const time_point now)
    -> std::vector<const member*> {
    std::vector<const member*> out{};
    for (const auto& [name, row] : table) {
        if (row.m_member.m_region == region && is_live_gateway(row, now)) {
            out.push_back(&row.m_member);
        }
        if (out.size() == representatives_per_region) {
            break;
        }
    }
    return out;
}

auto store_version_reader(const member_table& table, const time_point now) -> const member* {
    const member* out{nullptr};
    for (const auto& [name, row] : table) {
        const auto precedes = out == nullptr || row.m_member.m_region < out->m_region;
        if (precedes && row.m_reaches_store && is_live_gateway(row, now)) {
            out = &row.m_member;
        }
    }
    return out;
}

auto is_representative(const member_table& table, const member& self, const time_point now) -> bool {
    if (!table.contains(self.m_instance)) {
        return true;
    }
    return std::ranges::any_of(representatives(table, self.m_region, now),
                               [&self](const auto* each) { return each->m_instance == self.m_instance; });
}

auto remote_heartbeat_targets(const member_table& table, const member& self, const std::uint64_t random,
                              const time_point now) -> std::vector<std::string> {
    std::map<std::string_view, std::size_t> chosen{};
    std::vector<std::string> out{};
    std::vector<std::string_view> others{};
    for (const auto& [name, row] : table) {
        if (!row.m_member.is_gateway() || row.m_member.m_region == self.m_region) {
            continue;
        }
        auto& count = chosen[row.m_member.m_region];
        if (count < representatives_per_region && is_live_gateway(row, now)) {
            ++count;
            out.push_back(name);
        } else {
            others.push_back(name);
        }
    }
    if (!others.empty()) {
        out.emplace_back(others[random % others.size()]);
    }
    return out;
}

auto list_heard(const member_table& table, const std::string_view own_region, const time_point now)
    -> std::vector<heard_gateway> {
    std::vector<heard_gateway> out{};
    for (const auto& [name, row] : table) {
        const auto is_remote = row.m_member.m_region != own_region;
        if (is_remote && takes_requests(row, now) && now - row.m_last_heard <= heartbeat_timeout) {
            out.push_back({name, row.m_member.m_incarnation, row.m_last_heard});
        }
    }
    return out;
}

auto merge_heard(member_table& table, const heard_gateway& heard) -> bool {
    const auto found = table.find(heard.m_instance);
    if (found == table.end() || found->second.m_member.m_incarnation != heard.m_incarnation) {
        return false;
    }
    found->second.m_last_received = std::max(found->second.m_last_received, heard.m_last_heard);
    return true;
}

auto measure_region(const member_table& table, const std::string_view region, const time_point now) -> region_status {
    region_status out{};
    out.m_measured_at = now;
    for (const auto& [name, row] : table) {
        if (row.m_member.m_region == region && takes_requests(row, now)) {
            add_gateway(out.m_data_centres, row);
        }
    }
    return out;
}

auto merge_region(region_table& table, const std::string_view region, region_status status) -> void {
    auto& known = table[std::string{region}];
    if (known.m_measured_at <= status.m_measured_at) {
        known = std::move(status);
    }
}

auto list_demand(const member_table& table, const region_table& regions, const std::string_view own_region,
                 const time_point now) -> std::vector<data_centre_demand> {
    std::vector<data_centre_demand> out{};
    for (const auto& [name, status] : regions) {
        if (name != own_region && find_fresh(regions, name, now) != nullptr) {
            out.insert(out.end(), status.m_data_centres.begin(), status.m_data_centres.end());
        }
    }
    for (const auto& [name, row] : table) {
        const auto& region = row.m_member.m_region;
        const auto is_summed_up = region != own_region && find_fresh(regions, region, now) != nullptr;
        if (!is_summed_up && takes_requests(row, now)) {
            add_gateway(out, row);
        }
    }
    return out;
}

auto list_limit_gateways(const member_table& table, const std::string_view region, const bool is_only_region,
                         const time_point now) -> std::vector<std::string_view> {
    std::vector<std::string_view> out{};
    std::set<std::string_view> regions{};
    for (const auto& [name, row] : table) {
        if (row.m_member.m_region == region && takes_requests(row, now) && !is_only_region) {
            out.push_back(name);
        }
        regions.insert(row.m_member.m_region);
    }
    if (!out.empty()) {
        return out;
    }
    for (const auto each : regions) {
        for (const auto* const row : representatives(table, each, now)) {
            out.push_back(row->m_instance);
        }
    }
    return out;
}

} // namespace rhubarbwharf::fleet
