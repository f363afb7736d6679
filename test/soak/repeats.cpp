#include <soak/repeats.hpp>

#include <algorithm>

namespace rhubarbwharf::soak {

namespace {

[[nodiscard]] auto count_between(const std::span<const time_point> times, const time_point from, const time_point until)
    -> std::size_t {
    return static_cast<std::size_t>(std::ranges::upper_bound(times, until) - std::ranges::lower_bound(times, from));
}

} // namespace

auto list_arrivals(const standin_site::site_observations& observations, const bool at_runners) -> service_arrivals {
    service_arrivals out{};
    for (const auto& [attempt, stays] : observations.m_stays) {
        auto is_first = true;
        for (const auto& each : stays) {
            if (each->m_at_runner == at_runners) {
                (is_first ? out.m_first : out.m_repeats).push_back(each->m_arrived_at);
                is_first = false;
            }
        }
    }
    std::ranges::sort(out.m_first);
    std::ranges::sort(out.m_repeats);
    return out;
}

auto find_repeat_peak(const service_arrivals& arrivals, const repeat_bounds& bounds) -> repeat_peak {
    repeat_peak out{0U, bounds.m_slack};
    for (const auto until : arrivals.m_repeats) {
        const auto from = until - bounds.m_window;
        const auto half = bounds.m_window / 2;
        const auto requests = std::max({count_between(arrivals.m_first, from, until),
                                        count_between(arrivals.m_first, from - half, until - half),
                                        count_between(arrivals.m_first, from - bounds.m_window, from)});
        const repeat_peak here{count_between(arrivals.m_repeats, from, until),
                               bounds.m_ratio * static_cast<double>(requests) + bounds.m_slack};
        if (static_cast<double>(here.m_repeats) - here.m_allowed > static_cast<double>(out.m_repeats) - out.m_allowed) {
            out = here;
        }
    }
    return out;
}

} // namespace rhubarbwharf::soak
