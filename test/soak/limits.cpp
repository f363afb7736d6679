#include <soak/limits.hpp>

#include <algorithm>

namespace rhubarbwharf::soak {

namespace {

/*! @brief Checks whether a gateway was disturbed between two times, or too shortly before them to know the limits. */
[[nodiscard]] auto is_disturbed(const std::vector<daemon>& daemons, const time_point from, const time_point until)
    -> bool {
    return std::ranges::any_of(daemons, [&](const daemon& each) {
        return each.is_gateway() && std::ranges::any_of(each.m_disturbances, [&](const disturbance& period) {
                   const auto ended = period.m_to == time_point::max() ? period.m_to : period.m_to + limit_notice_time;
                   return period.m_from <= until && ended >= from;
               });
    });
}

} // namespace

auto allowed_arrivals(const double per_s) -> double {
    return 1.5 * per_s * std::chrono::duration<double>{limit_window}.count() + excess_arrivals;
}

auto max_in_window(const std::span<const time_point> arrivals, const time_point from,
                   const std::function<bool(time_point, time_point)>& is_excused) -> std::size_t {
    std::size_t out{};
    auto first = std::ranges::lower_bound(arrivals, from);
    for (auto last = first; last != arrivals.end(); ++last) {
        while (*last - *first > limit_window) {
            ++first;
        }
        if (!is_excused(*first, *last)) {
            out = std::max(out, static_cast<std::size_t>(last - first) + 1U);
        }
    }
    return out;
}

auto find_exceeded_limits(const std::vector<daemon>& daemons, const standin_site::site_observations& observations)
    -> limit_report {
    limit_report out{};
    for (const auto& each : observations.m_limit_periods) {
        if (each->m_named_at == time_point::max() || each->m_ended_at - each->m_named_at < limit_notice_time) {
            continue;
        }
        ++out.m_checked;
        const auto most = max_in_window(
            each->m_arrivals, each->m_named_at + limit_notice_time,
            [&daemons](const time_point from, const time_point until) { return is_disturbed(daemons, from, until); });
        if (static_cast<double>(most) > allowed_arrivals(each->m_per_s)) {
            out.m_lines.push_back("LIMIT: " + each->m_server + " had named " + std::to_string(each->m_per_s) +
                                  " a second and got " + std::to_string(most) + " requests in 4 s");
        }
    }
    return out;
}

} // namespace rhubarbwharf::soak
