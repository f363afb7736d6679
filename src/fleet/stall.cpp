#include <algorithm>

#include <rhubarbwharf/fleet/stall.hpp>

namespace rhubarbwharf::fleet {

auto check_running(stall_record& record, const time_point now, const duration boot_clock_lead) -> stall {
    const auto is_first = record.m_checked_at == time_point{};
    const auto lead_gained = boot_clock_lead - record.m_boot_clock_lead;
    const auto suspended = is_first || lead_gained < min_stall ? duration::zero() : lead_gained;
    const auto checked_before = record.m_checked_at;
    const auto began = checked_before - suspended;
    const auto length = is_first ? duration::zero() : now - began;
    record.m_checked_at = now;
    if (is_first || suspended > duration::zero()) {
        record.m_boot_clock_lead = boot_clock_lead;
    }
    if (length < min_stall) {
        return {};
    }
    std::erase_if(record.m_periods, [&](const auto& each) { return each.m_handled_until < checked_before; });
    for (auto& each : record.m_periods) {
        each.m_began -= suspended;
        each.m_ended -= suspended;
        each.m_handled_until += now - checked_before;
    }
    record.m_periods.push_back({began, now, now + length + stall_aftermath});
    return {length, suspended};
}

auto arrival_of(const stall_record& record, const time_point now) noexcept -> arrival_time {
    arrival_time out{now, true};
    for (const auto& each : record.m_periods) {
        if (now <= each.m_handled_until) {
            out = {std::min(out.m_earliest, each.m_began), false};
        }
    }
    return out;
}

auto has_just_stalled(const stall_record& record, const time_point now, const duration length,
                      const duration within) noexcept -> bool {
    return std::ranges::any_of(record.m_periods, [&](const auto& each) {
        return each.m_ended - each.m_began >= length && now - each.m_ended < within;
    });
}

} // namespace rhubarbwharf::fleet
