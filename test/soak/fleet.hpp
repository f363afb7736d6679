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
    std::string m_settings{};
    net::endpoint m_callers{};
    net::endpoint m_directory{};
    std::unique_ptr<proxy> m_store{};
    std::unique_ptr<process::child> m_process{};

    [[nodiscard]] auto is_gateway() const noexcept -> bool { return m_callers.m_port != 0U; }
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
    auto start(std::size_t index) -> void;

    /*! @brief Sets what happens on a daemon's way to the store. @param index Its index. @param kind The harm. */
    auto harm_store(std::size_t index, harm kind) -> void;

    [[nodiscard]] auto daemons() -> std::vector<daemon>& { return m_daemons; }

    /*! @brief Returns what all daemons wrote. @return The lines. */
    [[nodiscard]] auto logs() const -> std::string;

private:
    auto on_proxies(const std::function<void()>& task) -> void;
    auto add(const std::string& name, const net::endpoint& runner) -> void;

    standin_site::site& m_site;
    process::folder m_folder{};
    net::loop m_loop{};
    std::vector<daemon> m_daemons{};
    std::string m_seeds{};
    std::thread m_thread{};
};

} // namespace rhubarbwharf::soak
