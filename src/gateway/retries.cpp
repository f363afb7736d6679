#include <algorithm>
#include <utility>

#include <gateway/retries.hpp>
#include <rhubarbwharf/fleet/region.hpp>
#include <rhubarbwharf/fleet/stall.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

[[nodiscard]] auto budget_of(daemon& self, const exchange& item) -> dispatch::service_retry_budget& {
    return self.m_services[item.m_service->m_name].m_retry_budget;
}

[[nodiscard]] auto retry_window(const daemon& self) -> duration {
    return std::chrono::milliseconds{self.m_core.m_settings.m_bounds.m_retry_window_ms};
}

/*! @brief Returns the time for which a retry counts after it was sent. */
[[nodiscard]] auto retry_lifetime(const daemon& self) -> duration {
    return retry_window(self) + dispatch::max_arrival_delay;
}

[[nodiscard]] auto claim_of(daemon& self, const time_point now) -> dispatch::budget_claim {
    dispatch::budget_claim out{};
    out.m_slack = self.m_core.m_settings.m_bounds.m_retry_slack;
    const auto gateways = fleet::count_gateways(self.m_core.m_members);
    out.m_gateways = dispatch::note_gateways(self.m_gateway_peak, gateways, retry_window(self), now);
    out.m_age = now - self.m_core.m_started;
    out.m_knows_predecessor = self.m_knows_predecessor;
    out.m_store_silence = now - self.m_core.m_store.last_response();
    out.m_max_store_silence = fleet::member_retention;
    return out;
}

/*! @brief Checks whether this process has heard its peers for as long as retries count, so that it knows of all. */
[[nodiscard]] auto knows_all_retries(const daemon& self, const time_point now) -> bool {
    const auto lifetime = retry_lifetime(self);
    return now - self.m_core.m_started >= lifetime &&
           !fleet::has_just_stalled(self.m_core.m_stalls, now, fleet::heartbeat_timeout, lifetime);
}

/*! @brief Checks whether retries are told to all gateways, as the fleet is small, instead of to those of the region. */
[[nodiscard]] auto tells_all_gateways(const daemon& self) -> bool {
    return fleet::count_gateways(self.m_core.m_members) < fleet::min_gateways_exchanging_loads;
}

/*! @brief Tells the peers what this gateway has spent of its budgets, before a granted retry is sent: a successor of a
 * process that is killed then would not know it. */
auto announce_retries(daemon& self, const time_point now) -> void {
    wire::fleet::Frame frame{};
    for (auto& [name, service] : self.m_services) {
        if (const auto count = dispatch::count_retries(service.m_retry_budget, now); count > 0U) {
            auto* const added = frame.mutable_retry_use()->add_services();
            added->set_service(name);
            added->set_retries(static_cast<std::uint32_t>(count));
        }
    }
    if (tells_all_gateways(self)) {
        node::send_to_gateways(self.m_core, frame);
    } else {
        node::send_to_region(self.m_core, frame);
    }
}

auto accept_predecessor(daemon& self, const std::string_view peer, const wire::fleet::RetryUse& update,
                        const time_point now) -> void {
    const auto lifetime = retry_lifetime(self);
    if (now - self.m_core.m_started >= lifetime) {
        return;
    }
    std::int64_t retries{};
    for (const auto& each : update.services()) {
        auto& budget = self.m_services[each.service()].m_retry_budget;
        dispatch::inherit_retries(budget, each.retries(), now - std::chrono::milliseconds{update.age_ms()} + lifetime);
        retries += each.retries();
    }
    self.m_core.m_events.write(
        "retries.inherited",
        {{"source", peer}, {"retries", retries}, {"age_ms", static_cast<std::int64_t>(update.age_ms())}});
    self.m_knows_predecessor = true;
    divide_retry_budget(self);
}

} // namespace

} // namespace internal

auto divide_retry_budget(daemon& self) -> void {
    const auto now = steady_now();
    for (auto& [peer, services] : self.m_peer_retries) {
        std::erase_if(services, [oldest = now - internal::retry_lifetime(self)](const auto& each) {
            return each.second.m_told_at < oldest;
        });
    }
    std::erase_if(self.m_peer_retries, [](const auto& each) { return each.second.empty(); });
    const auto part = dispatch::part_of_budget(internal::claim_of(self, now), internal::retry_window(self));
    if (!self.m_core.m_configuration) {
        return;
    }
    for (const auto& service : self.m_core.m_configuration->m_services) {
        auto& budget = self.m_services[service.m_name].m_retry_budget;
        budget.m_retry_ratio = self.m_core.m_settings.m_bounds.m_retry_ratio;
        budget.m_extra_retries = part.m_extra_retries;
        budget.m_usable_fraction = part.m_usable_fraction;
        budget.m_window = internal::retry_window(self);
    }
    if (std::exchange(self.m_retry_part, part) != part) {
        self.m_core.m_events.write(
            "retries.part",
            {{"usable", part.m_usable_fraction}, {"slack", part.m_extra_retries}, {"told", self.m_knows_predecessor}});
    }
}

auto grant_retry(daemon& self, exchange& item, const dispatch::retry_cause cause) -> bool {
    if (item.m_has_retry_grant) {
        return true;
    }
    const auto now = steady_now();
    auto& budget = internal::budget_of(self, item);
    const auto name = dispatch::to_string(cause);
    if (!dispatch::try_grant_retry(budget, now)) {
        if (std::exchange(item.m_is_retry_denied, true)) {
            return false;
        }
        self.m_core.m_counters.add("retries_denied_total", 1.0, name);
        self.m_core.m_events.write("retry.denied",
                                   {{"id", item.m_attempt_id},
                                    {"cause", name},
                                    {"used", static_cast<std::int64_t>(dispatch::count_retries(budget, now))},
                                    {"allowed", dispatch::count_allowed_retries(budget, now)}});
        return false;
    }
    item.m_has_retry_grant = true;
    item.m_is_retry_denied = false;
    self.m_core.m_counters.add("retries_granted_total", 1.0, name);
    internal::announce_retries(self, now);
    return true;
}

auto count_attempt(daemon& self, exchange& item, attempt& current) -> void {
    current.m_is_retry = item.m_tried_servers.size() > item.m_unsent_attempts;
    if (!current.m_is_retry) {
        return;
    }
    self.m_core.m_counters.add("retries_sent_total", 1.0, item.m_service->m_name);
    dispatch::record_retry(internal::budget_of(self, item), std::exchange(item.m_has_retry_grant, false),
                           current.m_sent_at);
}

auto uncount_attempt(daemon& self, exchange& item, const attempt& unsent) -> void {
    if (unsent.m_is_retry && !item.m_has_retry_grant) {
        item.m_has_retry_grant = dispatch::restore_grant(internal::budget_of(self, item), unsent.m_sent_at);
    }
}

auto withdraw_grant(daemon& self, exchange& item) -> void {
    if (std::exchange(item.m_has_retry_grant, false)) {
        dispatch::withdraw_grant(internal::budget_of(self, item));
    }
}

auto tell_predecessor_retries(daemon& self, const std::string& gateway) -> void {
    const auto now = steady_now();
    const auto& members = self.m_core.m_members;
    const auto row = members.find(gateway);
    const auto hears_it = row != members.end() && (internal::tells_all_gateways(self) ||
                                                   row->second.m_member.m_region == self.m_core.m_self.m_region);
    if (!hears_it || !internal::knows_all_retries(self, now)) {
        return;
    }
    wire::fleet::Frame frame{};
    auto& update = *frame.mutable_retry_use();
    update.set_instance(gateway);
    if (const auto known = self.m_peer_retries.find(gateway); known != self.m_peer_retries.end()) {
        time_point told_at{};
        for (const auto& [service, told] : known->second) {
            auto* const added = update.add_services();
            added->set_service(service);
            added->set_retries(static_cast<std::uint32_t>(told.m_count));
            told_at = std::max(told_at, told.m_told_at);
        }
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - told_at);
        update.set_age_ms(static_cast<std::uint32_t>(age.count()));
    }
    node::connect_to_gateway(self.m_core, gateway);
    node::send(self.m_core, gateway, frame);
}

auto on_retry_use(daemon& self, const std::string_view peer, const std::uint64_t incarnation,
                  const wire::fleet::RetryUse& update) -> void {
    const auto now = steady_now();
    if (!update.instance().empty()) {
        if (update.instance() == self.m_core.m_self.m_instance) {
            internal::accept_predecessor(self, peer, update, now);
        }
        return;
    }
    auto& known = self.m_peer_retries[std::string{peer}];
    for (const auto& each : update.services()) {
        dispatch::merge_told(known[each.service()], {incarnation, each.retries(), now}, internal::retry_lifetime(self));
    }
}

} // namespace rhubarbwharf::gateway
