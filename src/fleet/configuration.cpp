#include <algorithm>
#include <map>
#include <set>
#include <string_view>

#include <rhubarbwharf/fleet/configuration.hpp>

namespace rhubarbwharf::fleet {

auto replaces(const configuration& offered, const shared_configuration& present) noexcept -> bool {
    return !present || offered.m_version > present->m_version;
}

namespace {

auto index_priorities(configuration& value) -> void {
    std::map<std::string_view, std::set<unsigned>> priorities{};
    for (const auto& each : value.m_routes) {
        for (const auto& share : each.m_shares) {
            if (!each.m_public) {
                priorities[share.m_service].insert(each.m_priority);
            }
        }
    }
    for (auto& each : value.m_services) {
        const auto& found = priorities[each.m_name];
        each.m_route_priorities.assign(found.begin(), found.end());
    }
}

} // namespace

auto index_routes(configuration& value) -> void {
    value.m_routes_by_host.clear();
    for (std::size_t index = 0U; index < value.m_routes.size(); ++index) {
        value.m_routes_by_host[value.m_routes[index].m_host].push_back(index);
    }
    const auto length = [&value](const std::size_t index) {
        return value.m_routes[index].m_path_prefix.size();
    };
    for (auto& [host, indices] : value.m_routes_by_host) {
        std::ranges::stable_sort(indices, std::ranges::greater{}, length);
    }
    index_priorities(value);
}

auto urgency_of(const service& value, const route& from) noexcept -> unsigned {
    const auto is_more_urgent = [&from](const unsigned priority) {
        return priority < from.m_priority;
    };
    return static_cast<unsigned>(std::ranges::count_if(value.m_route_priorities, is_more_urgent));
}

auto find_route(const configuration& value, std::string_view host, std::string_view target) -> const route* {
    host = host.substr(0U, host.find(':'));
    target = target.substr(0U, target.find('?'));
    const auto found = value.m_routes_by_host.find(std::string{host});
    if (found == value.m_routes_by_host.end()) {
        return nullptr;
    }
    for (const auto index : found->second) {
        if (target.starts_with(value.m_routes[index].m_path_prefix)) {
            return &value.m_routes[index];
        }
    }
    return nullptr;
}

auto regions_of_host(const configuration& value, std::string_view host) -> allowed_regions {
    allowed_regions out{};
    const auto found = value.m_routes_by_host.find(std::string{host.substr(0U, host.find(':'))});
    if (found == value.m_routes_by_host.end()) {
        return out;
    }
    for (const auto index : found->second) {
        out = intersect(out, value.m_routes[index].m_allowed_regions);
    }
    return out;
}

auto list_unknown_regions(const configuration& value, const std::set<std::string_view>& known)
    -> std::vector<unknown_region> {
    std::vector<unknown_region> out{};
    const auto check = [&](const std::string_view owner, const allowed_regions& regions) {
        if (regions.m_is_restricted && regions.m_names.empty()) {
            out.push_back({owner, {}});
        }
        for (const auto& each : regions.m_names) {
            if (!known.contains(each)) {
                out.push_back({owner, each});
            }
        }
    };
    for (const auto& each : value.m_routes) {
        check(each.m_name, each.m_allowed_regions);
    }
    for (const auto& each : value.m_organisations) {
        check(each.m_name, each.m_allowed_regions);
    }
    return out;
}

auto find_service(const configuration& value, const std::string_view name) -> const service* {
    const auto found = std::ranges::find(value.m_services, name, &service::m_name);
    return found == value.m_services.end() ? nullptr : &*found;
}

auto find_origin(const configuration& value) -> const origin* {
    const auto found =
        std::ranges::find_if(value.m_services, [](const auto& each) { return each.m_origin.has_value(); });
    return found == value.m_services.end() ? nullptr : &*found->m_origin;
}

auto find_key_owner(const configuration& value, const std::string& key) -> const organisation* {
    const auto found = value.m_organisation_by_key.find(key);
    return found == value.m_organisation_by_key.end() ? nullptr : &value.m_organisations[found->second];
}

auto pick_service(const route& from, const std::uint64_t random) -> std::string_view {
    constexpr double steps = 1'048'576.0;
    double total_weight{};
    for (const auto& each : from.m_shares) {
        total_weight += each.m_weight;
    }
    auto remaining_weight = total_weight * (static_cast<double>(random % static_cast<std::uint64_t>(steps)) / steps);
    for (const auto& each : from.m_shares) {
        if (remaining_weight < each.m_weight) {
            return each.m_service;
        }
        remaining_weight -= each.m_weight;
    }
    return from.m_shares.empty() ? std::string_view{} : std::string_view{from.m_shares.back().m_service};
}

} // namespace rhubarbwharf::fleet
