#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <soak/fleet.hpp>

namespace rhubarbwharf::soak {

/*! @brief What callers have seen. */
struct client_statistics {
    std::size_t m_sent{};
    std::size_t m_answered{};
    std::size_t m_refused{};
    std::size_t m_failed{};
    /*! @brief Connections that ended without a complete answer. */
    std::size_t m_cut{};
    /*! @brief Attempts that were refused as not run, by id. */
    std::vector<std::string> m_refused_attempts{};
    /*! @brief Attempts of requests that may run once at most. */
    std::vector<std::string> m_at_most_once_attempts{};
    standin_site::violations m_violations{};
};

/*! @brief Callers on a thread of their own that ask where to connect, send requests of all kinds, and check answers. */
class clients {
public:
    clients(fleet& before, std::uint64_t seed, std::size_t count);
    ~clients();
    clients(const clients&) = delete;
    clients(clients&&) = delete;
    auto operator=(const clients&) -> clients& = delete;
    auto operator=(clients&&) -> clients& = delete;

    /*! @brief Sends no more, waits for what is under way, and returns what was seen. @return The tally. */
    [[nodiscard]] auto finish() -> client_statistics;

private:
    struct request_plan;

    auto resolve_addresses() -> void;
    auto send_next() -> void;
    auto check_response(const request_plan& plan, const net::call_end& end, const net::http_response& got) -> void;

    fleet& m_fleet;
    std::mt19937_64 m_random;
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    std::vector<net::endpoint> m_directory_addresses{};
    std::vector<net::endpoint> m_gateway_addresses{};
    client_statistics m_statistics{};
    std::uint64_t m_last_attempt_number{};
    std::size_t m_active_clients{};
    bool m_stopping{false};
    std::promise<void> m_finished{};
    std::thread m_thread{};
};

} // namespace rhubarbwharf::soak
