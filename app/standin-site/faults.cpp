#include <utility>

#include "runner.hpp"

namespace rhubarbwharf::standin_site {

auto server::set_limit(const double per_s) -> void {
    if (m_limit) {
        m_limit->m_ended_at = steady_now();
    }
    m_limit = per_s > 0.0 ? std::make_shared<limit_period>() : nullptr;
    if (m_limit) {
        m_limit->m_server = m_options.m_id;
        m_limit->m_per_s = per_s;
        m_observations.m_limit_periods.push_back(m_limit);
    }
}

auto server::set_faults(const server_faults& faults) -> void {
    if (faults.m_limit_per_s != m_faults.m_limit_per_s) {
        set_limit(faults.m_limit_per_s);
    }
    m_faults = faults;
    if (!faults.m_unresponsive) {
        for (const auto& each : std::exchange(m_unanswered, {})) {
            each->abort();
        }
    }
}

} // namespace rhubarbwharf::standin_site
