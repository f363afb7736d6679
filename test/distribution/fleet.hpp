#pragma once

#include <cstdint>
#include <vector>

#include <rhubarbwharf/distribution/swarm.hpp>

namespace rhubarbwharf::distribution::test {

/*! @brief Fault probabilities of one run, in percent per event. */
struct faults {
    std::uint32_t m_lost_percent{};
    std::uint32_t m_duplicated_percent{};
    std::uint32_t m_delayed_percent{};
    std::uint32_t m_corrupted_percent{};
    std::uint32_t m_failed_percent{};
    std::uint32_t m_restarted_percent{};
    /*! @brief Step from which on no more faults occur. */
    std::uint32_t m_end_step{};
};

/*! @brief Simulated content of a chunk; 0 if absent. */
using content = std::uint8_t;
inline constexpr content good_content = 1;
inline constexpr content bad_content = 2;

/*! @brief Simulated instances that exchange have-maps and chunks, subject to injected faults. */
struct fleet {
    fleet(std::uint32_t nodes, std::uint32_t regions, std::uint32_t chunks, std::uint64_t seed, policy rules);

    struct message {
        std::uint32_t m_from{};
        std::uint32_t m_to{};
        std::uint32_t m_due_step{};
        bit_set m_held{};
        std::vector<std::uint32_t> m_claims{};
    };

    struct transfer {
        std::uint32_t m_to{};
        instance_id m_source{};
        std::uint32_t m_chunk{};
        std::uint64_t m_attempt{};
        std::uint32_t m_incarnation{};
        std::uint32_t m_due_step{};
        bool m_remote{};
        content m_content{};
    };

    /*! @brief Simulates 100 ms. */
    auto step(const faults& injected) -> void;

    /*! @brief Checks whether every node holds every chunk. */
    [[nodiscard]] auto is_complete() const -> bool;

    /*! @brief Checks whether every chunk that a node has verified has the correct content. */
    [[nodiscard]] auto is_correct() const -> bool;

    std::vector<member> m_members{};
    std::vector<std::uint64_t> m_regions{};
    std::vector<swarm> m_nodes{};
    /*! @brief Number of restarts of each node. */
    std::vector<std::uint32_t> m_incarnations{};
    std::vector<std::vector<content>> m_contents{};
    std::vector<message> m_messages{};
    std::vector<transfer> m_transfers{};
    /*! @brief How often each chunk was completely received from outside each region, by region and chunk. */
    std::vector<std::uint32_t> m_region_arrivals{};
    std::uint32_t m_chunk_count{};
    std::uint32_t m_current_step{};
    std::uint64_t m_seed{};
    std::uint64_t m_random_count{};
    std::uint32_t m_completion_reports{};
    policy m_rules{};
};

} // namespace rhubarbwharf::distribution::test
