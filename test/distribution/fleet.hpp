#pragma once

#include <cstdint>
#include <vector>

#include <rhubarbwharf/distribution/swarm.hpp>

namespace rhubarbwharf::distribution::test {

/*! @brief Faults of one run, each a chance in a hundred. */
struct faults {
    std::uint32_t m_lost{};
    std::uint32_t m_doubled{};
    std::uint32_t m_late{};
    std::uint32_t m_corrupt{};
    std::uint32_t m_failed{};
    std::uint32_t m_restarted{};
    /*! @brief Steps after which all faults stop. */
    std::uint32_t m_until{};
};

/*! @brief Content of a chunk as a node keeps it; 0 for none. */
using content = std::uint8_t;
inline constexpr content good = 1;
inline constexpr content bad = 2;

/*! @brief Nodes that run the decisions, with messages and fetches that a fault may hit. */
struct fleet {
    fleet(std::uint32_t nodes, std::uint32_t regions, std::uint32_t chunks, std::uint64_t seed, policy rules);

    struct message {
        std::uint32_t m_from{};
        std::uint32_t m_to{};
        std::uint32_t m_due{};
        bit_set m_held{};
        std::vector<std::uint32_t> m_claims{};
    };

    struct transfer {
        std::uint32_t m_to{};
        instance_id m_source{};
        std::uint32_t m_chunk{};
        std::uint64_t m_attempt{};
        std::uint32_t m_life{};
        std::uint32_t m_due{};
        bool m_remote{};
        content m_content{};
    };

    /*! @brief Runs one step of 100 ms. @param wrong The faults. */
    auto step(const faults& wrong) -> void;

    /*! @brief Tells whether each node is whole. */
    [[nodiscard]] auto all_whole() const -> bool;

    /*! @brief Tells whether each chunk that a node holds as verified has the right content. */
    [[nodiscard]] auto all_right() const -> bool;

    std::vector<member> m_members{};
    std::vector<std::uint64_t> m_regions{};
    std::vector<swarm> m_nodes{};
    /*! @brief Counts the restarts of each node. */
    std::vector<std::uint32_t> m_lives{};
    std::vector<std::vector<content>> m_contents{};
    std::vector<message> m_messages{};
    std::vector<transfer> m_transfers{};
    /*! @brief How often each chunk entered each region whole. */
    std::vector<std::uint32_t> m_entries{};
    std::uint32_t m_chunks{};
    std::uint32_t m_now{};
    std::uint64_t m_seed{};
    std::uint64_t m_drawn{};
    std::uint32_t m_whole_reports{};
    policy m_rules{};
};

} // namespace rhubarbwharf::distribution::test
