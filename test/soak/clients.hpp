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

/*! @brief Request that ended without a complete response, or too late. */
struct suspect_request {
    std::string m_attempt{};
    net::endpoint m_gateway{};
    time_point m_sent_at{};
    time_point m_ended_at{};
    bool m_is_late{false};
    /*! @brief Whether the head of a response had arrived. */
    bool m_had_head{false};
};

/*! @brief Request for a streamed answer to a prompt. */
struct sent_prompt {
    std::string m_attempt{};
    net::endpoint m_gateway{};
    time_point m_sent_at{};
    /*! @brief Parts that it shares with other requests. */
    std::vector<std::string> m_parts{};
};

/*! @brief Key of the requests with a guilty part, which sound ones have as well. */
inline constexpr char guilty_key = 'a';
/*! @brief First part of the requests with a guilty part, which sound ones have as well. */
inline constexpr std::string_view guilty_first_part = "aa01";

/*! @brief Requests of all clients by result, and violations that the clients detected. */
struct client_statistics {
    std::size_t m_sent{};
    std::size_t m_answered{};
    std::size_t m_refused{};
    std::size_t m_failed{};
    /*! @brief Failed requests that did not time out and of which bytes may have reached the gateway. */
    std::size_t m_cut{};
    /*! @brief Ids of the attempts refused with 503 or 429; those also listed below must not have run. */
    std::vector<std::string> m_refused_attempts{};
    /*! @brief Ids of the attempts that may run at most once. */
    std::vector<std::string> m_at_most_once_attempts{};
    /*! @brief Requests of which bytes may have reached the gateway and that were cut or ended too late. */
    std::vector<suspect_request> m_suspects{};
    /*! @brief All requests for streamed answers, in the order of time. */
    std::vector<sent_prompt> m_prompts{};
    standin_site::violations m_violations{};
};

/**
 * @brief Concurrent clients on one thread, which send requests of all kinds and check the responses.
 *
 * They obtain the gateway addresses from the gateways' directory; some requests use an older list of addresses, and
 * open connections are used until they close.
 */
class clients {
public:
    /**
     * @brief Starts the clients.
     * @param daemons Fleet to connect to; must outlive the clients.
     * @param seed Seed of the random requests.
     * @param count Number of clients.
     */
    clients(fleet& daemons, std::uint64_t seed, std::size_t count);
    ~clients();
    clients(const clients&) = delete;
    clients(clients&&) = delete;
    auto operator=(const clients&) -> clients& = delete;
    auto operator=(clients&&) -> clients& = delete;

    /*! @brief Lets some requests carry a part that crashes runners; none if the part is empty. */
    auto set_guilty_part(const std::string& part) -> void;

    /*! @brief Stops sending, waits for pending requests, and returns the statistics. May be called once. */
    [[nodiscard]] auto finish() -> client_statistics;

private:
    struct request_plan;

    auto resolve_addresses() -> void;
    auto send_next() -> void;
    [[nodiscard]] auto make_plan() -> request_plan;
    /*! @brief Chooses the shared parts of a prompt, and its key if it gets the guilty part. */
    auto choose_parts(request_plan& plan) -> void;
    [[nodiscard]] auto choose_gateway() -> net::endpoint;
    /*! @brief Records a request that was cut or is late. */
    auto check_end(const request_plan& plan, const net::call_end& end) -> void;
    auto check_response(const request_plan& plan, const net::call_end& end, const net::http_response& response) -> void;

    fleet& m_fleet;
    std::mt19937_64 m_random;
    /*! @brief Chooses the parts of prompts apart from the rest, so that a seed keeps its other requests. */
    std::mt19937_64 m_part_random;
    std::string m_guilty_part{};
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    std::vector<net::endpoint> m_directory_addresses{};
    std::vector<net::endpoint> m_gateway_addresses{};
    std::vector<net::endpoint> m_older_addresses{};
    client_statistics m_statistics{};
    std::uint64_t m_last_attempt_number{};
    std::size_t m_active_clients{};
    bool m_stopping{false};
    std::promise<void> m_finished{};
    std::thread m_thread{};
};

} // namespace rhubarbwharf::soak
