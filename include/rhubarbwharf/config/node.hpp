#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <rhubarbwharf/config/load.hpp>

namespace rhubarbwharf::config {

/*! @brief Addresses that a gateway or loader listens on, as `ADDRESS:PORT`. */
struct node_listen_settings {
    /*! @brief Callers' HTTP listener; gateways only. */
    std::string m_callers{};
    /*! @brief HTTP listener for readiness checks; gateways only. */
    std::string m_readiness{};
    /*! @brief HTTP listener that tells callers where to connect; gateways only. */
    std::string m_directory{};
    std::string m_bus{};
    /*! @brief Weight pieces for other loaders; loaders only. */
    std::string m_bulk{};
    std::string m_metrics{};
    /*! @brief HTTP listener for processes that know no others yet; gateways only. */
    std::string m_control{};
};

/*! @brief The platform's store. */
struct store_settings {
    std::string m_address{};
    std::uint32_t m_call_ms{1'000};
    std::uint32_t m_lease_ms{20'000};
    std::uint32_t m_watch_ms{20'000};
};

/*! @brief Time limits that the deployment sets. */
struct bound_settings {
    /*! @brief Time after which a leaving backend server must get nothing new. */
    std::uint32_t m_drain_ms{2'000};
    /*! @brief Time that a process has for a planned stop. */
    std::uint32_t m_grace_ms{8'000};
    /*! @brief Time in which a named version of weights must be in force. */
    std::uint32_t m_version_ms{8'000};
    double m_retry_ratio{0.2};
    std::uint32_t m_retry_window_ms{10'000};
    /*! @brief Repeats in each window that the whole deployment has beyond the ratio. */
    double m_retry_slack{100.0};
    /*! @brief Multiple of a cold backend server's rate, and requests beyond it, that reach it in one second at most. */
    double m_cold_over{1.5};
    double m_cold_slack{5.0};
    /*! @brief Longest time for which callers may keep the addresses they were told. */
    std::uint32_t m_directory_ttl_ms{2'000};
};

/*! @brief The model runner beside a loader. */
struct runner_settings {
    std::string m_address{};
    std::string m_service{};
};

/*! @brief Extra work for slow responses. */
struct hedging_settings {
    /*! @brief Second attempts for slow responses, as a fraction of the requests; none if 0. */
    double m_max_share{0.0};
};

/*! @brief A data centre of the deployment. */
struct data_centre_settings {
    std::string m_name{};
    std::string m_region{};
};

/*! @brief All settings of one gateway or loader. */
struct node_settings {
    /*! @brief `gateway` or `loader`. */
    std::string m_role{};
    std::string m_instance{};
    std::string m_region{};
    std::string m_data_centre{};
    node_listen_settings m_listen{};
    store_settings m_store{};
    bound_settings m_bounds{};
    runner_settings m_runner{};
    hedging_settings m_hedging{};
    /*! @brief All data centres, with the regions that they stand in. */
    std::vector<data_centre_settings> m_data_centres{};
    /*! @brief Control listeners of a few gateways, which may be down. */
    std::vector<std::string> m_seeds{};
};

/**
 * @brief Reads and checks the settings of a gateway or loader.
 * @param text JSON with comments.
 * @param file Name for the faults.
 * @return The settings, or all faults.
 */
[[nodiscard]] auto parse_node(std::string_view text, std::string_view file)
    -> std::variant<node_settings, std::vector<fault>>;

/*! @brief Reads and checks a settings file. @param file Its path. @return The settings, or all faults. */
[[nodiscard]] auto load_node(std::string_view file) -> std::variant<node_settings, std::vector<fault>>;

/*! @brief Tells whether a settings file is one of a gateway or loader. @param file Its path. @return Whether it is. */
[[nodiscard]] auto is_node(std::string_view file) -> bool;

} // namespace rhubarbwharf::config
