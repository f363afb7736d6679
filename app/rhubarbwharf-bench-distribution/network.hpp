#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <rhubarbwharf/core/id.hpp>

namespace rhubarbwharf::bench {

/*! @brief Rates available to bulk transfers, in bytes per second. */
struct rates {
    double m_origin{};
    double m_upload{};
    double m_download{};
    /*! @brief Rate of each direction between two regions. */
    double m_link{};
};

/*! @brief A machine or the origin; rates in bytes per second. */
struct machine {
    std::uint32_t m_region{};
    double m_upload{};
    double m_download{};
    /*! @brief False if all flows from and to this machine are stalled. */
    bool m_transferring{true};
    double m_remaining_upload{};
    double m_remaining_download{};
    std::uint32_t m_upload_count{};
    std::uint32_t m_download_count{};
};

/*! @brief Transfer of one chunk; rates in bytes per second. */
struct flow {
    std::uint32_t m_from{};
    std::uint32_t m_to{};
    std::uint32_t m_chunk{};
    std::uint64_t m_attempt{};
    /*! @brief Whether the receiver fetches the chunk over a link between regions or from the origin. */
    bool m_region_entry{};
    double m_remaining_bytes{};
    double m_rate{};
    bool m_active{true};
    /*! @brief Number of receivers that divide the link equally; 0 if the flow has no reserved share. */
    std::uint32_t m_sharing_receivers{};
    double m_max_rate{};
};

/*! @brief One direction between two regions; rates in bytes per second. */
struct link {
    double m_rate{};
    double m_remaining_rate{};
    std::uint32_t m_flow_count{};
    double m_transferred_bytes{};
};

/*! @brief Machines, links and flows; the last machine is the origin. */
struct network {
    std::uint32_t m_regions{};
    std::vector<machine> m_machines{};
    std::vector<link> m_links{};
    std::vector<flow> m_flows{};
    std::vector<flow> m_completed{};
};

/*! @brief Creates machines spread evenly over the regions, and the origin in region 0. */
[[nodiscard]] auto make_network(std::uint32_t instances, std::uint32_t regions, const rates& bandwidth) -> network;

/*! @brief Returns the link between the regions of two machines; null if both are in one region. */
[[nodiscard]] auto link_between(network& net, std::uint32_t from, std::uint32_t to) -> link*;

/*! @brief Allocates rates and advances all flows by `seconds`; completed flows are moved to `m_completed`.
 */
auto advance(network& net, double seconds, double chunk_bytes) -> void;

} // namespace rhubarbwharf::bench
