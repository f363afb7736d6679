#pragma once

#include <memory>
#include <string>
#include <vector>

#include <process/process.hpp>
#include <soak/proxy.hpp>
#include <standin-site/site.hpp>

namespace rhubarbwharf::soak {

/*! @brief One daemon of the system, and its own way to the store. */
struct daemon {
    std::string m_name{};
    std::string m_settings_path{};
    net::endpoint m_caller_address{};
    net::endpoint m_directory_address{};
    std::unique_ptr<proxy> m_store_proxy{};
    std::unique_ptr<process::child_process> m_process{};

    [[nodiscard]] auto is_gateway() const noexcept -> bool { return m_caller_address.m_port != 0U; }
};

/*! @brief Gateways and loaders as processes of their own, before one site. */
class fleet {
public:
    /*! @brief Starts them. @param place The site; outlives the fleet. @param gateways How many gateways. */
    fleet(standin_site::site& place, std::size_t gateways);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet(fleet&&) = delete;
    auto operator=(const fleet&) -> fleet& = delete;
    auto operator=(fleet&&) -> fleet& = delete;

    /*! @brief Starts a daemon that has ended anew, with the same settings. @param index Its index. */
    auto start_daemon(std::size_t index) -> void;

    /*! @brief Sets what happens on a daemon's way to the store. @param index Its index. @param kind The harm. */
    auto set_store_link_fault(std::size_t index, link_fault kind) -> void;

    [[nodiscard]] auto daemons() -> std::vector<daemon>& { return m_daemons; }

    /*! @brief Returns what all daemons wrote. @return The lines. */
    [[nodiscard]] auto logs() const -> std::string;

private:
    auto run_in_proxy_loop(const std::function<void()>& task) -> void;
    auto add_daemon(const std::string& name, const net::endpoint& runner) -> void;

    standin_site::site& m_site;
    process::temporary_directory m_directory{};
    net::loop m_loop{};
    std::vector<daemon> m_daemons{};
    std::string m_seed_addresses{};
    std::thread m_thread{};
};

} // namespace rhubarbwharf::soak
