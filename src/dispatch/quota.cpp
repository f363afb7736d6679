#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>

#include <rhubarbwharf/dispatch/quota.hpp>

namespace rhubarbwharf::dispatch {

namespace {

/*! @brief Slots and demand of one data centre. */
struct place_sum {
    double m_slots{};
    /*! @brief Slots that its gateways' demand is worth. */
    double m_wanted{};

    [[nodiscard]] auto local() const noexcept -> double { return std::min(m_slots, m_wanted); }
};

/*! @brief Mixes two names into a fraction from 0 to below 1, the same in every process. */
[[nodiscard]] auto fraction_of(const std::string_view left, const std::string_view right) noexcept -> double {
    constexpr std::uint64_t offset = 14'695'981'039'346'656'037ULL;
    constexpr std::uint64_t prime = 1'099'511'628'211ULL;
    constexpr unsigned fraction_bits = 53U;
    auto mixed = offset;
    for (const auto text : {left, right}) {
        for (const auto letter : text) {
            mixed = (mixed ^ static_cast<unsigned char>(letter)) * prime;
        }
        mixed = (mixed ^ 0xffU) * prime;
    }
    mixed ^= mixed >> 29U;
    mixed *= 0xbf58476d1ce4e5b9ULL;
    return static_cast<double>(mixed >> (64U - fraction_bits)) / static_cast<double>(1ULL << fraction_bits);
}

[[nodiscard]] auto demand_of(const quota_gateway& row) noexcept -> double {
    return std::max(least_demand, row.m_demand);
}

} // namespace

auto quotas(const std::string_view self, const std::span<const quota_gateway> gateways,
            const std::span<const quota_server> servers) -> std::vector<double> {
    std::vector<double> out(servers.size());
    double slots{};
    double demand{};
    std::map<std::string_view, place_sum> places{};
    for (const auto& each : servers) {
        slots += each.m_slots;
        places[each.m_data_centre].m_slots += each.m_slots;
    }
    for (const auto& each : gateways) {
        demand += demand_of(each);
    }
    const auto* const own = std::ranges::find(gateways, self, &quota_gateway::m_name).base();
    if (own == gateways.data() + gateways.size() || slots <= 0.0) {
        return out;
    }
    for (const auto& each : gateways) {
        places[each.m_data_centre].m_wanted += slots * demand_of(each) / demand;
    }
    double left{};
    for (const auto& [name, place] : places) {
        left += place.m_slots - place.local();
    }
    const auto& home = places[own->m_data_centre];
    const auto entitled = slots * demand_of(*own) / demand;
    const auto near = entitled * home.local() / home.m_wanted;
    for (std::size_t index = 0U; index < servers.size(); ++index) {
        const auto& place = places[servers[index].m_data_centre];
        const auto is_near = servers[index].m_data_centre == own->m_data_centre;
        const auto of_near = is_near ? near / place.m_slots : 0.0;
        const auto of_left =
            left > 0.0 ? (entitled - near) * (place.m_slots - place.local()) / (place.m_slots * left) : 0.0;
        const auto exact = servers[index].m_slots * (of_near + of_left);
        out[index] = std::floor(exact + fraction_of(self, servers[index].m_name));
    }
    return out;
}

} // namespace rhubarbwharf::dispatch
