#include <rhubarbwharf/dispatch/budget.hpp>

namespace rhubarbwharf::dispatch {

namespace {

auto forget(std::deque<time_point>& times, const time_point before) -> void {
    while (!times.empty() && times.front() < before) {
        times.pop_front();
    }
}

} // namespace

auto note_request(repeat_budget& budget, const time_point now) -> void {
    forget(budget.m_requests, now - budget.m_window);
    budget.m_requests.push_back(now);
}

auto take_repeat(repeat_budget& budget, const time_point now) -> bool {
    forget(budget.m_requests, now - budget.m_window);
    forget(budget.m_repeats, now - budget.m_window);
    const auto earned = budget.m_ratio * static_cast<double>(budget.m_requests.size());
    if (static_cast<double>(budget.m_repeats.size() + 1U) > budget_share * (earned + budget.m_slack)) {
        return false;
    }
    budget.m_repeats.push_back(now);
    return true;
}

} // namespace rhubarbwharf::dispatch
