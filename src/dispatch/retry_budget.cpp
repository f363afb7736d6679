#include <rhubarbwharf/dispatch/retry_budget.hpp>

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

auto record_request(service_retry_budget& budget, const time_point now) -> void {
    evict_before(budget.m_requests, now - budget.m_window);
    budget.m_requests.push_back(now);
}

auto count_retries(service_retry_budget& budget, const time_point now) -> std::size_t {
    evict_before(budget.m_retries, now - budget.m_window);
    return budget.m_retries.size();
}

auto count_allowed_retries(service_retry_budget& budget, const time_point now) -> double {
    evict_before(budget.m_requests, now - budget.m_window);
    const auto earned = budget.m_retry_ratio * static_cast<double>(budget.m_requests.size());
    return usable_budget_fraction * (earned + budget.m_extra_retries);
}

auto try_acquire_retry(service_retry_budget& budget, const time_point now) -> bool {
    if (static_cast<double>(count_retries(budget, now) + 1U) > count_allowed_retries(budget, now)) {
        return false;
    }
    budget.m_retries.push_back(now);
    return true;
}

} // namespace rhubarbwharf::dispatch
