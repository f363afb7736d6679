#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace rhubarbwharf::dispatch {

/*! @brief A gateway, as far as quotas are worked out. */
struct quota_gateway {
    std::string_view m_name{};
    std::string_view m_data_centre{};
    /*! @brief Requests a second that reach it. */
    double m_demand_per_s{};
};

/*! @brief A backend server, as far as quotas are worked out. */
struct quota_server {
    std::string_view m_name{};
    std::string_view m_data_centre{};
    double m_slots{};
};

/*! @brief Least demand that a gateway counts with, so that one that is new or idle keeps a part, in requests a second.
 */
inline constexpr double min_demand_per_s = 1.0;

/**
 * @brief Divides the slots of a service among the gateways by their demand, those of the own data centre first.
 *
 * Answers overload: gateways that all see the same free slot by reports that lag would all fill it, and what is beyond
 * it waits at the backend server, where nobody can reorder or refuse it. A gateway sees its own requests end at once,
 * so it can refill its quota without waiting for a report.
 *
 * @param self The gateway that asks.
 * @param gateways All gateways that take traffic, the one that asks included.
 * @param servers Backend servers of one service.
 * @return The quota at each backend server, whole numbers that add up to about the slots over all gateways.
 */
[[nodiscard]] auto quotas(std::string_view self, std::span<const quota_gateway> gateways,
                          std::span<const quota_server> servers) -> std::vector<double>;

} // namespace rhubarbwharf::dispatch
