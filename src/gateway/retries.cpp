#include <algorithm>

#include <gateway/retries.hpp>

namespace rhubarbwharf::gateway {

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

auto grant_retry(daemon& self, const exchange& item, const dispatch::retry_cause cause) -> bool {
    const auto now = steady_now();
    auto& budget = self.m_services[item.m_service->m_name].m_retry_budget;
    const auto name = dispatch::to_string(cause);
    if (dispatch::try_acquire_retry(budget, now)) {
        self.m_core.m_counters.add("retries_granted_total", 1.0, name);
        return true;
    }
    self.m_core.m_counters.add("retries_denied_total", 1.0, name);
    self.m_core.m_events.write("retry.denied",
                               {{"id", item.m_attempt_id},
                                {"cause", name},
                                {"used", static_cast<std::int64_t>(dispatch::count_retries(budget, now))},
                                {"allowed", dispatch::count_allowed_retries(budget, now)}});
    return false;
}

auto note_retry(daemon& self, const exchange& item) -> void {
    if (item.m_tried_servers.size() > item.m_unsent_attempts) {
        self.m_core.m_counters.add("retries_sent_total", 1.0, item.m_service->m_name);
    }
}

} // namespace rhubarbwharf::gateway
