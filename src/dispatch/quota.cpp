#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>

#include <rhubarbwharf/dispatch/quota.hpp>

namespace rhubarbwharf::dispatch {

namespace {

/*! @brief Totals of one data centre. */
struct data_centre_totals {
    double m_slots{};
    /*! @brief Slots proportional to the demand of the gateways in this data centre. */
    double m_demanded_slots{};

    [[nodiscard]] auto local_slots() const noexcept -> double { return std::min(m_slots, m_demanded_slots); }
};

/*! @brief Hashes two names to a fraction from 0 to below 1, which is the same in every process. Added to a quota before
 * it is rounded down, so that the rounded quotas add up to about the slots. */
[[nodiscard]] auto hash_fraction(const std::string_view left, const std::string_view right) noexcept -> double {
    constexpr std::uint64_t offset = 14'695'981'039'346'656'037ULL;
    constexpr std::uint64_t prime = 1'099'511'628'211ULL;
    constexpr unsigned fraction_bits = 53U;
    auto mixed = offset;
    for (const auto text : {left, right}) {
        for (const auto character : text) {
            mixed = (mixed ^ static_cast<unsigned char>(character)) * prime;
        }
        mixed = (mixed ^ 0xffU) * prime;
    }
    mixed ^= mixed >> 29U;
    mixed *= 0xbf58476d1ce4e5b9ULL;
    return static_cast<double>(mixed >> (64U - fraction_bits)) / static_cast<double>(1ULL << fraction_bits);
}

[[nodiscard]] auto effective_demand(const quota_gateway& row) noexcept -> double {
    return std::max(min_demand_per_s * row.m_gateways, row.m_demand_per_s);
}

} // namespace

auto compute_quotas(const std::string_view self, const std::span<const quota_gateway> gateways,
                    const std::span<const quota_server> servers) -> std::vector<double> {
    std::vector<double> out(servers.size());
    double slots{};
    double demand{};
    std::map<std::string_view, data_centre_totals> data_centres{};
    for (const auto& each : servers) {
        slots += each.m_slots;
        data_centres[each.m_data_centre].m_slots += each.m_slots;
    }
    for (const auto& each : gateways) {
        demand += effective_demand(each);
    }
    const auto* const self_row = std::ranges::find(gateways, self, &quota_gateway::m_name).base();
    if (self_row == gateways.data() + gateways.size() || slots <= 0.0) {
        return out;
    }
    for (const auto& each : gateways) {
        data_centres[each.m_data_centre].m_demanded_slots += slots * effective_demand(each) / demand;
    }
    double spare_slots{};
    for (const auto& [name, data_centre] : data_centres) {
        spare_slots += data_centre.m_slots - data_centre.local_slots();
    }
    const auto& own_data_centre = data_centres[self_row->m_data_centre];
    const auto entitled_slots = slots * effective_demand(*self_row) / demand;
    const auto local_share = entitled_slots * own_data_centre.local_slots() / own_data_centre.m_demanded_slots;
    for (std::size_t index = 0U; index < servers.size(); ++index) {
        const auto& data_centre = data_centres[servers[index].m_data_centre];
        const auto is_local = servers[index].m_data_centre == self_row->m_data_centre;
        const auto from_local = is_local ? local_share / data_centre.m_slots : 0.0;
        const auto from_spare = spare_slots > 0.0 ? (entitled_slots - local_share) *
                                                        (data_centre.m_slots - data_centre.local_slots()) /
                                                        (data_centre.m_slots * spare_slots)
                                                  : 0.0;
        const auto exact_quota = servers[index].m_slots * (from_local + from_spare);
        out[index] = std::floor(exact_quota + hash_fraction(self, servers[index].m_name));
    }
    return out;
}

} // namespace rhubarbwharf::dispatch
