#include <algorithm>
#include <utility>

#include <gateway/retries.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

[[nodiscard]] auto budget_of(daemon& self, const exchange& item) -> dispatch::service_retry_budget& {
    return self.m_services[item.m_service->m_name].m_retry_budget;
}

} // namespace

} // namespace internal

auto divide_retry_budget(daemon& self) -> void {
    if (!self.m_core.m_configuration) {
        return;
    }
    const auto& configuration = *self.m_core.m_configuration;
    const auto gateways = static_cast<double>(
        std::max<std::ptrdiff_t>(1, std::ranges::count_if(self.m_core.m_members, [](const auto& each) {
                                     return each.second.m_member.is_gateway();
                                 })));
    const auto& bounds = self.m_core.m_settings.m_bounds;
    for (const auto& service : configuration.m_services) {
        auto& budget = self.m_services[service.m_name].m_retry_budget;
        budget.m_retry_ratio = bounds.m_retry_ratio;
        budget.m_extra_retries = bounds.m_retry_slack / gateways;
        budget.m_window = std::chrono::milliseconds{bounds.m_retry_window_ms};
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
        self.m_core.m_counters.add("retries_denied_total", 1.0, name);
        self.m_core.m_events.write("retry.denied",
                                   {{"id", item.m_attempt_id},
                                    {"cause", name},
                                    {"used", static_cast<std::int64_t>(dispatch::count_retries(budget, now))},
                                    {"allowed", dispatch::count_allowed_retries(budget, now)}});
        return false;
    }
    item.m_has_retry_grant = true;
    self.m_core.m_counters.add("retries_granted_total", 1.0, name);
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

} // namespace rhubarbwharf::gateway
