#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <rhubarbwharf/distribution/manifest.hpp>
#include <rhubarbwharf/exchange/exchange.hpp>

namespace rhubarbwharf::exchange::test {

/*! @brief Version with pseudorandom content derived from its name. */
struct test_version {
    distribution::manifest m_manifest{};
    std::string m_manifest_text{};
    digest m_manifest_digest{};
    std::string m_content{};
};

[[nodiscard]] auto make_test_version(std::string_view version, std::size_t size, std::uint32_t chunk_bytes)
    -> test_version;

/*! @brief Origin that serves manifests and ranges, optionally with corrupt content. */
struct fake_origin {
    fake_origin(net::loop& loop, std::vector<test_version> versions);

    std::vector<test_version> m_versions;
    std::uint64_t m_sent_bytes{};
    /*! @brief Number of range responses that are still to be corrupted. */
    int m_remaining_corrupt_responses{};
    net::http_server m_server;
};

/*! @brief Agent reduced to its exchange, bulk listener and bus. */
struct instance {
    instance(net::loop& loop, const config::settings& settings);

    net::counters m_counters{};
    net::http_client m_http;
    net::bus m_bus;
    /*! @brief If set, requests and bus messages are ignored and no bus messages are sent. */
    bool m_unresponsive{};
    std::vector<digest> m_completed{};
    exchange m_exchange;
    net::http_server m_server;
    peer m_peer{};
};

/*! @brief An origin and several instances per region, connected over loopback sockets. */
struct cluster {
    cluster(std::vector<test_version> versions, const std::vector<std::string>& regions, std::uint32_t per_region,
            std::function<void(config::settings&)> adjust_settings = {});

    /*! @brief Runs the loop until a condition holds. @return False if it does not hold within two minutes. */
    [[nodiscard]] auto run_until(const std::function<bool()>& condition) -> bool;

    /*! @brief Checks that each responsive instance reported a version as complete exactly once. */
    [[nodiscard]] auto all_complete(const digest& manifest) const -> bool;

    /*! @brief Adds an instance, connects it to all others and updates the list of peers of each. */
    auto emplace(const std::string& region) -> instance&;

    net::loop m_loop{};
    fake_origin m_origin;
    std::function<void(config::settings&)> m_adjust_settings;
    std::vector<std::unique_ptr<instance>> m_instances{};
    std::function<bool()> m_condition{};
    bool m_condition_met{};
};

} // namespace rhubarbwharf::exchange::test
