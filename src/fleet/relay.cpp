#include <rhubarbwharf/fleet/relay.hpp>

namespace rhubarbwharf::fleet {

namespace {

/*! @brief Finds the first relaying gateway in rendezvous order of a part; an empty region stands for all regions.
 * @return The gateway, owned by `table`; null if none relays. */
[[nodiscard]] auto first_in_rendezvous_order(const member_table& table, const std::string_view region,
                                             const weights_part& part, const time_point now) -> const member* {
    const member* best{};
    std::uint64_t max_weight{};
    for (const auto& [name, row] : table) {
        if (!can_relay(row, now) || (!region.empty() && row.m_member.m_region != region)) {
            continue;
        }
        const auto value = rendezvous_weight(name, part.m_version, part.m_index);
        if (best == nullptr || value > max_weight) {
            best = &row.m_member;
            max_weight = value;
        }
    }
    return best;
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

auto can_relay(const member_observation& row, const time_point now) noexcept -> bool {
    return row.m_member.is_gateway() && row.m_member.m_bulk_address.m_port != 0U && !row.m_leaving &&
           now - row.m_last_received <= heartbeat_timeout;
}

auto find_upstream(const member_table& table, const member& self, const weights_part& part, const time_point now)
    -> const member* {
    const auto is_none_or_self = [&self](const member* const found) {
        return found == nullptr || found->m_instance == self.m_instance;
    };
    const auto* const regional = first_in_rendezvous_order(table, self.m_region, part, now);
    if (!is_none_or_self(regional)) {
        return regional;
    }
    const auto* const global = first_in_rendezvous_order(table, {}, part, now);
    return is_none_or_self(global) ? nullptr : global;
}

} // namespace rhubarbwharf::fleet
