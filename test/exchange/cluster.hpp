#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <rhubarbwharf/distribution/manifest.hpp>
#include <rhubarbwharf/exchange/exchange.hpp>

namespace rhubarbwharf::exchange::test {

/*! @brief A version made from a seed. */
struct content {
    distribution::manifest m_manifest{};
    std::string m_text{};
    digest m_name{};
    std::string m_bytes{};
};

[[nodiscard]] auto make_content(std::string_view version, std::size_t size, std::uint32_t chunk_bytes) -> content;

/*! @brief Origin that answers manifests and ranges; may corrupt some answers. */
struct fake_origin {
    fake_origin(net::loop& owner, std::vector<content> versions);

    std::vector<content> m_versions;
    std::uint64_t m_bytes{};
    /*! @brief Answers that are still to be corrupted. */
    int m_corrupt{};
    net::http_server m_server;
};

/*! @brief One agent's share: an exchange with its listener and its bus. */
struct instance {
    instance(net::loop& owner, const config::settings& settings);

    net::counters m_counts{};
    net::http_client m_http;
    net::bus m_bus;
    /*! @brief Whether the listener answers at all. */
    bool m_frozen{};
    std::vector<digest> m_whole{};
    exchange m_exchange;
    net::http_server m_server;
    peer m_peer{};
};

/*! @brief A loop, an origin and some instances in each region, all over sockets of this machine. */
struct cluster {
    cluster(std::vector<content> versions, const std::vector<std::string>& regions, std::uint32_t per_region,
            std::function<void(config::settings&)> adjust = {});

    /*! @brief Runs the loop until a condition holds. @return False if it did not within a generous time. */
    [[nodiscard]] auto run_until(const std::function<bool()>& condition) -> bool;

    /*! @brief Tells whether all instances but the frozen ones hold a version whole. */
    [[nodiscard]] auto all_whole(const digest& name) const -> bool;

    /*! @brief Adds one instance and tells all the others. */
    auto emplace(const std::string& region) -> instance&;

    net::loop m_loop{};
    fake_origin m_origin;
    std::function<void(config::settings&)> m_adjust;
    std::vector<std::unique_ptr<instance>> m_instances{};
    std::function<bool()> m_condition{};
    bool m_held{};
};

} // namespace rhubarbwharf::exchange::test
