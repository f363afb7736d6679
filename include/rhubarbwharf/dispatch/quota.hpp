#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace rhubarbwharf::dispatch {

/*! @brief Inputs of the quota computation for a gateway, or for several of one data centre together. */
struct quota_gateway {
    /*! @brief Name; empty for several together. */
    std::string_view m_name{};
    std::string_view m_data_centre{};
    /*! @brief Requests per second that it receives. */
    double m_demand_per_s{};
    /*! @brief Gateways that this row stands for. */
    double m_gateways{1.0};
};

/*! @brief Inputs of the quota computation for a backend server. */
struct quota_server {
    std::string_view m_name{};
    std::string_view m_data_centre{};
    double m_slots{};
};

/*! @brief Lowest demand that a gateway is counted with, in requests per second, so that a new or idle one gets a share.
 */
inline constexpr double min_demand_per_s = 1.0;

/**
 * @brief Divides the slots of a service among the gateways in proportion to their demand, preferring slots in the data
 * centre of each gateway.
 *
 * Without quotas, gateways that see the same free slot in lagging reports all fill it under overload, and the excess
 * waits at the backend server, where it can be neither reordered nor refused. A gateway observes the end of its own
 * requests immediately, so it can refill its quota without waiting for a report.
 *
 * @param self Name of the gateway whose quotas are computed.
 * @param gateways All gateways that take traffic; `self` in a row of its own, others may share one.
 * @param servers Backend servers of one service.
 * @return The quota at each backend server, in the order of `servers`: whole numbers whose sum over all gateways is
 * about the number of slots; all 0 if `self` is not among the gateways.
 */
[[nodiscard]] auto compute_quotas(std::string_view self, std::span<const quota_gateway> gateways,
                                  std::span<const quota_server> servers) -> std::vector<double>;

} // namespace rhubarbwharf::dispatch
