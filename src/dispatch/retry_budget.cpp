#include <rhubarbwharf/dispatch/retry_budget.hpp>

#include <algorithm>

namespace rhubarbwharf::dispatch {

namespace {

auto evict_before(std::deque<time_point>& times, const time_point oldest) -> void {
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

} // namespace

auto to_string(const retry_cause value) noexcept -> std::string_view {
    switch (value) {
    case retry_cause::failure:
        return "failure";
    case retry_cause::resumption:
        return "resumption";
    case retry_cause::hedge:
        return "hedge";
    case retry_cause::withdrawal:
        break;
    }
    return "withdrawal";
}

auto part_of_budget(const budget_claim& claim, const duration window) noexcept -> budget_part {
    const auto is_old = claim.m_age >= window + max_arrival_delay;
    if (!is_old && !claim.m_knows_predecessor) {
        return {1.0 - usable_budget_fraction, 0.0};
    }
    if (claim.m_store_silence > claim.m_max_store_silence) {
        return {usable_budget_fraction, 0.0};
    }
    return {usable_budget_fraction, claim.m_slack / static_cast<double>(std::max<std::size_t>(1U, claim.m_gateways))};
}

auto note_gateways(gateway_peak& peak, const std::size_t gateways, const duration window, const time_point now)
    -> std::size_t {
    auto& samples = peak.m_samples;
    while (!samples.empty() && samples.back().m_gateways <= gateways) {
        samples.pop_back();
    }
    samples.push_back({now, gateways});
    while (samples.front().m_at < now - window - max_arrival_delay) {
        samples.pop_front();
    }
    return samples.front().m_gateways;
}

auto merge_told(told_retries& known, const told_retries& update, const duration lifetime) noexcept -> void {
    const auto is_other_process = known.m_incarnation != update.m_incarnation;
    const auto still_counts = update.m_told_at - known.m_told_at < lifetime;
    if (!is_other_process || !still_counts || update.m_count >= known.m_count) {
        known = update;
    }
}

auto record_request(service_retry_budget& budget, const time_point now) -> void {
    evict_before(budget.m_requests, now - budget.m_window);
    budget.m_requests.push_back(now);
}

auto count_retries(service_retry_budget& budget, const time_point now) -> std::size_t {
    evict_before(budget.m_retries, now - budget.m_window - max_arrival_delay);
    const auto inherited = now < budget.m_inherited.m_until ? budget.m_inherited.m_count : 0U;
    return budget.m_retries.size() + budget.m_granted + inherited;
}

auto count_allowed_retries(service_retry_budget& budget, const time_point now) -> double {
    evict_before(budget.m_requests, now - budget.m_window);
    const auto earned = budget.m_retry_ratio * static_cast<double>(budget.m_requests.size());
    return budget.m_usable_fraction * (earned + budget.m_extra_retries);
}

auto try_grant_retry(service_retry_budget& budget, const time_point now) -> bool {
    if (static_cast<double>(count_retries(budget, now) + 1U) > count_allowed_retries(budget, now)) {
        return false;
    }
    ++budget.m_granted;
    return true;
}

auto record_retry(service_retry_budget& budget, const bool granted, const time_point now) -> void {
    if (granted) {
        withdraw_grant(budget);
    }
    budget.m_retries.push_back(now);
}

auto withdraw_grant(service_retry_budget& budget) noexcept -> void {
    budget.m_granted -= std::min<std::size_t>(1U, budget.m_granted);
}

auto restore_grant(service_retry_budget& budget, const time_point sent_at) -> bool {
    const auto found = std::ranges::lower_bound(budget.m_retries, sent_at);
    if (found == budget.m_retries.end() || *found != sent_at) {
        return false;
    }
    budget.m_retries.erase(found);
    ++budget.m_granted;
    return true;
}

auto inherit_retries(service_retry_budget& budget, const std::size_t count, const time_point until) -> void {
    budget.m_inherited.m_count = std::max(budget.m_inherited.m_count, count);
    budget.m_inherited.m_until = std::max<time_point>(budget.m_inherited.m_until, until);
}

} // namespace rhubarbwharf::dispatch
