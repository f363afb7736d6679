#include <soak/repeats.hpp>

#include <algorithm>

namespace rhubarbwharf::soak {

namespace {

[[nodiscard]] auto count_between(const std::span<const time_point> times, const time_point from, const time_point until)
    -> std::size_t {
    return static_cast<std::size_t>(std::ranges::upper_bound(times, until) - std::ranges::lower_bound(times, from));
}

} // namespace

auto list_repeats(const standin_site::site_observations& observations, const bool at_runners)
    -> std::vector<time_point> {
    std::vector<time_point> out{};
    for (const auto& [attempt, stays] : observations.m_stays) {
        for (std::size_t index = 1U; index < stays.size(); ++index) {
            if (stays[index]->m_at_runner == at_runners) {
                out.push_back(stays[index]->m_arrived_at);
            }
        }
    }
    std::ranges::sort(out);
    return out;
}

auto find_repeat_peak(const std::span<const time_point> requests, const std::span<const time_point> repeats,
                      const repeat_bounds& bounds) -> repeat_peak {
    repeat_peak out{0U, bounds.m_slack};
    for (const auto until : repeats) {
        const auto from = until - bounds.m_window;
        const auto half = bounds.m_window / 2;
        const auto counted =
            std::max({count_between(requests, from, until), count_between(requests, from - half, until - half),
                      count_between(requests, from - bounds.m_window, from)});
        const repeat_peak here{count_between(repeats, from, until),
                               bounds.m_ratio * static_cast<double>(counted) + bounds.m_slack};
        if (static_cast<double>(here.m_repeats) - here.m_allowed > static_cast<double>(out.m_repeats) - out.m_allowed) {
            out = here;
        }
    }
    return out;
}

} // namespace rhubarbwharf::soak
