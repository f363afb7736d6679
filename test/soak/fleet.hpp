#pragma once

#include <memory>
#include <string>
#include <vector>

#include <process/process.hpp>
#include <soak/proxy.hpp>
#include <standin-site/site.hpp>

namespace rhubarbwharf::soak {

/*! @brief Time in which the soak had killed or frozen a daemon, or was starting it. */
struct disturbance {
    time_point m_from{};
    time_point m_to{time_point::max()};
    bool m_is_frozen{false};
};

/*! @brief Ends the last disturbance if it lasts, and begins another one if asked to. */
auto change_state(std::vector<disturbance>& record, bool is_disturbed) -> void;

/*! @brief One daemon, with its own proxy to the store. */
struct daemon {
    std::string m_name{};
    std::string m_settings_path{};
    /*! @brief Address for callers; port 0 for a loader. */
    net::endpoint m_caller_address{};
    net::endpoint m_directory_address{};
    net::endpoint m_bus_address{};
    std::unique_ptr<proxy> m_store_proxy{};
    std::unique_ptr<process::child_process> m_process{};
    /*! @brief Size of the log when the process was last started; later processes append to it. */
    std::size_t m_log_start{};
    std::vector<disturbance> m_disturbances{};
    /*! @brief Times in which its link to the store was reset or silent. */
    std::vector<disturbance> m_cuts{};

    [[nodiscard]] auto is_gateway() const noexcept -> bool { return m_caller_address.m_port != 0U; }
};

/*! @brief Gateways and loaders as separate processes, connected to one stand-in site. */
class fleet {
public:
    /*! @brief Starts the gateways, and one loader per runner of the site. The site must outlive the fleet. */
    fleet(standin_site::site& platform, std::size_t gateways);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet(fleet&&) = delete;
    auto operator=(const fleet&) -> fleet& = delete;
    auto operator=(fleet&&) -> fleet& = delete;

    /*! @brief Restarts a daemon with its settings; kills it first if it runs. */
    auto start_daemon(std::size_t index) -> void;

    /*! @brief Sends a signal to a daemon and records the disturbance that it causes. */
    auto send_signal(std::size_t index, int signal_number) -> void;

    /*! @brief Sets the fault of the connections from a daemon to the store. */
    auto set_store_link_fault(std::size_t index, link_fault fault) -> void;

    [[nodiscard]] auto daemons() -> std::vector<daemon>& { return m_daemons; }

    /*! @brief Returns the logs of all daemons, concatenated. */
    [[nodiscard]] auto logs() const -> std::string;

private:
    /*! @brief Ends the daemons, the proxies and their thread. */
    auto stop() -> void;
    auto run_in_proxy_loop(const std::function<void()>& task) -> void;
    /*! @brief Adds a loader for the runner, or a gateway if the port of the runner is 0.
     * @param index Number of the loader or gateway, which decides where it stands. */
    auto add_daemon(const std::string& name, std::size_t index, const net::endpoint& runner) -> void;
    /*! @brief Returns all data centres as settings name them. */
    [[nodiscard]] auto data_centre_settings() const -> std::string;

    standin_site::site& m_site;
    process::temporary_directory m_directory{};
    net::loop m_loop{};
    std::vector<daemon> m_daemons{};
    std::string m_seed_addresses{};
    std::size_t m_region_count{1};
    std::thread m_thread{};
};

} // namespace rhubarbwharf::soak
