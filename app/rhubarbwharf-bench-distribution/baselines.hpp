#pragma once

#include "network.hpp"

namespace rhubarbwharf::bench {

/*! @brief Input of the analytic baselines. */
struct workload {
    double m_instances{};
    double m_regions{};
    double m_chunks{};
    double m_chunk_bytes{};
    rates m_rates{};
};

/*! @brief Lower bound on the completion time of any scheme, in seconds: the cut-set bounds of origin, machines and
 * links. */
[[nodiscard]] auto lower_bound_seconds(const workload& value) -> double;

/*! @brief Completion time in seconds if every instance downloads everything from the origin, with fluid sharing of
 * rates. */
[[nodiscard]] auto origin_only_seconds(const workload& value) -> double;

/*! @brief Completion time in seconds of one chunk-pipelined chain through all instances, region by region. */
[[nodiscard]] auto chain_seconds(const workload& value) -> double;

/*! @brief Completion time in seconds of one tree of out-degree 2 per region, with the roots fed from the origin's
 * region. */
[[nodiscard]] auto tree_seconds(const workload& value) -> double;

} // namespace rhubarbwharf::bench
