#include <rhubarbwharf/dispatch/retry_budget.hpp>

namespace rhubarbwharf::dispatch {

namespace {

auto evict_before(std::deque<time_point>& times, const time_point oldest) -> void {
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

} // namespace

auto record_request(service_retry_budget& budget, const time_point now) -> void {
    evict_before(budget.m_requests, now - budget.m_window);
    budget.m_requests.push_back(now);
}

auto try_acquire_retry(service_retry_budget& budget, const time_point now) -> bool {
    evict_before(budget.m_requests, now - budget.m_window);
    evict_before(budget.m_retries, now - budget.m_window);
    const auto earned = budget.m_retry_ratio * static_cast<double>(budget.m_requests.size());
    if (static_cast<double>(budget.m_retries.size() + 1U) >
        usable_budget_fraction * (earned + budget.m_extra_retries)) {
        return false;
    }
    budget.m_retries.push_back(now);
    return true;
}

} // namespace rhubarbwharf::dispatch
