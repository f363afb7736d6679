#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/distribution/swarm.hpp>

#include "network.hpp"

namespace rhubarbwharf::bench {

/*! @brief What goes wrong in a run. */
enum class trouble : std::uint8_t {
    none,
    kill_tenth,
    freeze_gateway,
    slow_instance,
    slow_link,
    corrupt_chunks,
    cut_region,
    change_version,
    join_late,
    replace_all,
};

[[nodiscard]] auto to_string(trouble value) -> std::string_view;

/*! @brief One run. */
struct scenario {
    std::uint32_t m_instances{};
    std::uint32_t m_regions{};
    std::uint32_t m_chunks{};
    double m_chunk_bytes{};
    rates m_rates{};
    distribution::policy m_policy{};
    /*! @brief Whether decisions take all instances for one region. */
    bool m_blind{};
    trouble m_trouble{trouble::none};
    /*! @brief When the trouble begins, in seconds. */
    double m_trouble_at{};
    std::uint64_t m_seed{};
};

/*! @brief What a run gave. */
struct figures {
    bool m_whole{};
    /*! @brief Seconds until all live instances were whole, and half of them. */
    double m_seconds{};
    double m_median_seconds{};
    double m_origin_copies{};
    /*! @brief Chunks that entered a region beyond the first time, as a share of all. */
    double m_double_entries{};
    double m_corrupt{};
    std::uint32_t m_kept{};
    double m_upload_use{};
    /*! @brief Have-maps a second, mean and largest over the instances. */
    double m_messages{};
    double m_most_messages{};
    double m_message_bytes{};
    /*! @brief Bytes of the tables, mean and largest over the instances. */
    double m_table_bytes{};
    double m_most_table_bytes{};
    double m_plan_microseconds{};
    std::vector<double> m_link_bytes{};
    /*! @brief Seconds until each region was whole. */
    std::vector<double> m_region_seconds{};
};

/*! @brief Runs the decisions of every instance over the fake links. */
[[nodiscard]] auto run(const scenario& wanted) -> figures;

} // namespace rhubarbwharf::bench
