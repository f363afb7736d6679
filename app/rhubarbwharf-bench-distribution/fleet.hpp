#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/distribution/swarm.hpp>

#include "network.hpp"

namespace rhubarbwharf::bench {

/*! @brief Fault that is injected into a simulation run. */
enum class fault : std::uint8_t {
    none,
    kill_tenth,
    suspend_gateway,
    slow_instance,
    slow_link,
    corrupt_chunks,
    partition_region,
    change_version,
    join_late,
    replace_all,
};

[[nodiscard]] auto to_string(fault value) -> std::string_view;

/*! @brief Parameters of one simulation run. */
struct scenario {
    std::uint32_t m_instances{};
    std::uint32_t m_regions{};
    std::uint32_t m_chunks{};
    double m_chunk_bytes{};
    rates m_rates{};
    distribution::policy m_policy{};
    /*! @brief Whether planning treats all instances as one region. */
    bool m_ignore_regions{};
    fault m_fault{fault::none};
    /*! @brief Simulated time at which the fault is injected, in seconds. */
    double m_fault_start_seconds{};
    std::uint64_t m_seed{};
};

/*! @brief Results of one simulation run. */
struct measurements {
    bool m_complete{};
    /*! @brief Seconds until all counted instances were complete, and the median over these instances. */
    double m_completion_seconds{};
    double m_median_completion_seconds{};
    double m_origin_copies{};
    /*! @brief Repeated entries of a chunk into a region, as a share of all pairs of region and chunk. */
    double m_duplicate_entry_ratio{};
    double m_corrupt_chunks{};
    std::uint32_t m_kept_chunks{};
    double m_upload_utilization{};
    /*! @brief Have-maps sent per second, mean and maximum over the instances. */
    double m_mean_messages_per_second{};
    double m_max_messages_per_second{};
    double m_message_bytes{};
    /*! @brief Estimated bytes of a swarm's tables, mean and maximum over the instances. */
    double m_mean_table_bytes{};
    double m_max_table_bytes{};
    double m_plan_microseconds{};
    std::vector<double> m_link_bytes{};
    /*! @brief Seconds until each region was complete. */
    std::vector<double> m_region_completion_seconds{};
};

/*! @brief Simulates a distribution: plans every instance with the production code over a simulated network. */
[[nodiscard]] auto run(const scenario& setup) -> measurements;

} // namespace rhubarbwharf::bench
