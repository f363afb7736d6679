#pragma once

#include <cstdint>
#include <vector>

#include <rhubarbwharf/distribution/swarm.hpp>

namespace rhubarbwharf::distribution::test {

/*! @brief Faults of one run, each a chance in a hundred. */
struct faults {
    std::uint32_t m_lost_percent{};
    std::uint32_t m_duplicated_percent{};
    std::uint32_t m_delayed_percent{};
    std::uint32_t m_corrupted_percent{};
    std::uint32_t m_failed_percent{};
    std::uint32_t m_restarted_percent{};
    /*! @brief Steps after which all faults stop. */
    std::uint32_t m_end_step{};
};

/*! @brief Content of a chunk as a node keeps it; 0 for none. */
using content = std::uint8_t;
inline constexpr content good_content = 1;
inline constexpr content bad_content = 2;

/*! @brief Nodes that run the decisions, with messages and fetches that a fault may hit. */
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

    /*! @brief Runs one step of 100 ms. @param wrong The faults. */
    auto step(const faults& wrong) -> void;

    /*! @brief Tells whether each node is whole. */
    [[nodiscard]] auto is_complete() const -> bool;

    /*! @brief Tells whether each chunk that a node holds as verified has the right content. */
    [[nodiscard]] auto is_correct() const -> bool;

    std::vector<member> m_members{};
    std::vector<std::uint64_t> m_regions{};
    std::vector<swarm> m_nodes{};
    /*! @brief Counts the restarts of each node. */
    std::vector<std::uint32_t> m_incarnations{};
    std::vector<std::vector<content>> m_contents{};
    std::vector<message> m_messages{};
    std::vector<transfer> m_transfers{};
    /*! @brief How often each chunk entered each region whole. */
    std::vector<std::uint32_t> m_region_arrivals{};
    std::uint32_t m_chunks{};
    std::uint32_t m_current_step{};
    std::uint64_t m_seed{};
    std::uint64_t m_random_count{};
    std::uint32_t m_completion_reports{};
    policy m_rules{};
};

} // namespace rhubarbwharf::distribution::test
