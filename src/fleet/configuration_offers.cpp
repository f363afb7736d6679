#include <algorithm>

#include <rhubarbwharf/fleet/configuration_offers.hpp>

namespace rhubarbwharf::fleet {

namespace {

[[nodiscard]] auto delay_of(const offer_source source, const std::uint64_t known) noexcept -> duration {
    switch (source) {
    case offer_source::relay:
        return duration::zero();
    case offer_source::region:
        return known == 0U ? duration::zero() : regional_offer_delay;
    default:
        return remote_offer_delay;
    }
}

[[nodiscard]] auto may_ask(const configuration_offer& offer, const time_point now) noexcept -> bool {
    return !offer.m_failed_at || now - *offer.m_failed_at >= offer_retry_delay;
}

} // namespace

auto note_offer(configuration_offers& offers, const std::string_view gateway, const std::uint64_t version,
                const offer_source source, const std::uint64_t known, const time_point now) -> void {
    if (version <= known) {
        if (const auto found = offers.m_by_gateway.find(gateway); found != offers.m_by_gateway.end()) {
            offers.m_by_gateway.erase(found);
        }
        return;
    }
    offers.m_since = offers.m_since ? offers.m_since : now;
    auto& offer = offers.m_by_gateway[std::string{gateway}];
    offer.m_source = offer.m_version == 0U ? source : std::min(offer.m_source, source);
    if (version > offer.m_version) {
        offer.m_version = version;
        offer.m_told_at = now;
        offer.m_refused = false;
    }
}

auto note_failed_offer(configuration_offers& offers, const std::string_view gateway, const bool refused,
                       const time_point now) -> void {
    if (const auto found = offers.m_by_gateway.find(gateway); found != offers.m_by_gateway.end()) {
        found->second.m_failed_at = now;
        found->second.m_refused = refused;
    }
}

auto discard_offers(configuration_offers& offers, const std::uint64_t known) -> void {
    std::erase_if(offers.m_by_gateway, [known](const auto& each) { return each.second.m_version <= known; });
    if (offers.m_by_gateway.empty()) {
        offers.m_since.reset();
    }
}

auto choose_offer(const configuration_offers& offers, const std::uint64_t known, const std::uint64_t random,
                  const time_point now) -> std::optional<std::string> {
    std::vector<std::string_view> best{};
    auto best_source = offer_source::other_region;
    for (const auto& [gateway, offer] : offers.m_by_gateway) {
        const auto is_due = offers.m_since && now - *offers.m_since >= delay_of(offer.m_source, known);
        if (!is_due || !may_ask(offer, now) || offer.m_refused || offer.m_source > best_source) {
            continue;
        }
        if (offer.m_source < best_source) {
            best.clear();
            best_source = offer.m_source;
        }
        best.push_back(gateway);
    }
    return best.empty() ? std::nullopt : std::optional{std::string{best[random % best.size()]}};
}

auto is_outdated(const configuration_offers& offers, const std::uint64_t known, const time_point now) noexcept -> bool {
    return std::ranges::any_of(offers.m_by_gateway, [known, now](const auto& each) {
        return each.second.m_version > known && now - each.second.m_told_at < max_outdated_time;
    });
}

auto has_refused(const configuration_offers& offers, const std::string_view gateway) -> bool {
    const auto found = offers.m_by_gateway.find(gateway);
    return found != offers.m_by_gateway.end() && found->second.m_refused;
}

auto list_relay_targets(const member_table& table, const member& self, const bool is_watcher, const time_point now)
    -> std::vector<std::string> {
    std::vector<std::string_view> names{};
    for (const auto& [name, row] : table) {
        const auto is_self = name == self.m_instance;
        const auto is_live = is_self || now - row.m_last_received <= heartbeat_timeout;
        if (row.m_member.is_gateway() && row.m_member.m_region == self.m_region && is_live && !row.m_leaving) {
            names.push_back(name);
        }
    }
    const auto own = std::ranges::find(names, self.m_instance);
    if (own == names.end()) {
        return {};
    }
    const auto position = static_cast<std::size_t>(own - names.begin());
    std::vector<std::string> out{};
    for (std::size_t index = 0U; index < names.size(); ++index) {
        const auto is_root = index < watchers_per_region;
        const auto is_child = !is_root && (index - watchers_per_region) / relay_fanout == position;
        const auto needs_relay = is_root && is_watcher && position >= watchers_per_region;
        if (is_child || needs_relay) {
            out.emplace_back(names[index]);
        }
    }
    return out;
}

} // namespace rhubarbwharf::fleet
