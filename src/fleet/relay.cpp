#include <algorithm>
#include <iterator>
#include <set>
#include <vector>

#include <rhubarbwharf/fleet/region.hpp>
#include <rhubarbwharf/fleet/relay.hpp>

namespace rhubarbwharf::fleet {

namespace {

[[nodiscard]] auto relays_of_region(const member_table& table, const std::string_view region, const time_point now)
    -> std::vector<const member*> {
    std::vector<const member*> out{};
    for (const auto& [name, row] : table) {
        if (can_relay(row, now) && row.m_member.m_region == region) {
            out.push_back(&row.m_member);
        }
    }
    return out;
}

/*! @brief Lists the representatives of all regions that relay: the gateways that every region knows. */
[[nodiscard]] auto relays_of_all_regions(const member_table& table, const time_point now)
    -> std::vector<const member*> {
    std::set<std::string_view> regions{};
    for (const auto& [name, row] : table) {
        regions.insert(row.m_member.m_region);
    }
    std::vector<const member*> out{};
    for (const auto region : regions) {
        std::ranges::copy_if(representatives(table, region, now), std::back_inserter(out),
                             [](const auto* each) { return each->m_bulk_address.m_port != 0U; });
    }
    return out;
}

} // namespace

auto transfer_target(const std::string_view kind, const std::string_view model, const std::uint64_t version)
    -> std::string {
    return "/" + std::string{kind} + "?model=" + std::string{model} + "&version=" + std::to_string(version);
}

auto rendezvous_weight(const std::string_view instance, const std::uint64_t version, const std::size_t piece) noexcept
    -> std::uint64_t {
    constexpr std::uint64_t offset = 14'695'981'039'346'656'037ULL;
    constexpr std::uint64_t prime = 1'099'511'628'211ULL;
    constexpr std::uint64_t mixer = 0x9e3779b97f4a7c15ULL;
    constexpr unsigned half_bits = 32U;
    auto out = offset;
    for (const auto character : instance) {
        out = (out ^ static_cast<unsigned char>(character)) * prime;
    }
    out = (out ^ (version * mixer)) * prime;
    out = (out ^ (piece * mixer)) * prime;
    return out ^ (out >> half_bits);
}

auto first_in_rendezvous_order(const std::span<const member* const> members, const weights_part& part) noexcept
    -> const member* {
    const member* best{};
    std::uint64_t max_weight{};
    for (const auto* const each : members) {
        const auto value = rendezvous_weight(each->m_instance, part.m_version, part.m_index);
        if (best == nullptr || value > max_weight) {
            best = each;
            max_weight = value;
        }
    }
    return best;
}

auto can_relay(const member_observation& row, const time_point now) noexcept -> bool {
    return row.m_member.is_gateway() && row.m_member.m_bulk_address.m_port != 0U && !row.m_leaving &&
           now - row.m_last_received <= heartbeat_timeout;
}

auto find_upstream(const member_table& table, const member& self, const weights_part& part, const time_point now)
    -> const member* {
    const auto* const global = first_in_rendezvous_order(relays_of_all_regions(table, now), part);
    const auto is_self = [&self](const member* const found) {
        return found->m_instance == self.m_instance;
    };
    if (global != nullptr && global->m_region == self.m_region) {
        return is_self(global) ? nullptr : global;
    }
    const auto* const regional = first_in_rendezvous_order(relays_of_region(table, self.m_region, now), part);
    return regional == nullptr || is_self(regional) ? global : regional;
}

} // namespace rhubarbwharf::fleet
