#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <rhubarbwharf/core/id.hpp>

namespace rhubarbwharf::bench {

/*! @brief Rates that bulk may use, in bytes a second. */
struct rates {
    double m_origin{};
    double m_upload{};
    double m_download{};
    /*! @brief Each way of each pair of regions. */
    double m_link{};
};

/*! @brief One machine, or the origin. */
struct machine {
    std::uint32_t m_region{};
    double m_upload{};
    double m_download{};
    /*! @brief Whether its flows move at all. */
    bool m_moving{true};
    double m_upload_left{};
    double m_download_left{};
    std::uint32_t m_uploads{};
    std::uint32_t m_downloads{};
};

/*! @brief One chunk on its way. */
struct flow {
    std::uint32_t m_from{};
    std::uint32_t m_to{};
    std::uint32_t m_chunk{};
    std::uint64_t m_attempt{};
    /*! @brief Whether the receiver fetches it over a link or from the origin. */
    bool m_entry{};
    double m_bytes_left{};
    double m_rate{};
    bool m_open{true};
    /*! @brief Receivers that share the link, each with its part; 0 where nothing is set aside. */
    std::uint32_t m_width{};
    double m_most_rate{};
};

/*! @brief One direction of a pair of regions. */
struct link {
    double m_rate{};
    double m_left{};
    std::uint32_t m_flows{};
    double m_bytes{};
};

/*! @brief Machines, links and flows; the last machine is the origin. */
struct network {
    std::uint32_t m_regions{};
    std::vector<machine> m_machines{};
    std::vector<link> m_links{};
    std::vector<flow> m_flows{};
    std::vector<flow> m_done{};
};

/*! @brief Makes machines spread evenly over the regions, and the origin in region 0. */
[[nodiscard]] auto make_network(std::uint32_t instances, std::uint32_t regions, const rates& speed) -> network;

[[nodiscard]] auto link_between(network& net, std::uint32_t from, std::uint32_t to) -> link*;

/*! @brief Shares the rates out and moves all flows by a step; whole ones go to `m_done`. */
auto advance(network& net, double seconds, double chunk_bytes) -> void;

} // namespace rhubarbwharf::bench
