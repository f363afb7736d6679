#include <algorithm>

#include <rhubarbwharf/fleet/stall.hpp>

namespace rhubarbwharf::fleet {

auto check_running(stall_record& record, const time_point now, const duration boot_clock_lead) noexcept -> stall {
    const auto is_first = record.m_checked_at == time_point{};
    const auto lead_gained = boot_clock_lead - record.m_boot_clock_lead;
    const auto suspended = is_first || lead_gained < min_stall ? duration::zero() : lead_gained;
    const auto began = record.m_checked_at - suspended;
    const auto length = is_first ? duration::zero() : now - began;
    record.m_checked_at = now;
    if (is_first || suspended > duration::zero()) {
        record.m_boot_clock_lead = boot_clock_lead;
    }
    if (length < min_stall) {
        return {};
    }
    record.m_began = began;
    record.m_ended = now;
    return {length, suspended};
}

auto arrival_of(const stall_record& record, const time_point now) noexcept -> arrival_time {
    const auto length = record.m_ended - record.m_began;
    const auto has_just_stalled = record.m_ended != time_point{} && now - record.m_ended <= length + stall_aftermath;
    return has_just_stalled ? arrival_time{record.m_began, false} : arrival_time{now, true};
}

} // namespace rhubarbwharf::fleet
