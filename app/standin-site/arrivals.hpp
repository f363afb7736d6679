#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::standin_site {

/*! @brief How the stay of a request at a server ended. */
enum class stay_end : std::uint8_t {
    /*! @brief Not ended: the server still holds the request. */
    held,
    /*! @brief The server refused the request without executing it. */
    refused,
    answered,
    /*! @brief The server closed the connection before its response was complete. */
    broke_off,
    /*! @brief The gateway closed the connection before the response was complete. */
    gateway_left,
};

[[nodiscard]] auto to_string(stay_end value) noexcept -> std::string_view;

/*! @brief Stay of one request at one server. */
struct arrival {
    std::string m_server{};
    /*! @brief Whether the server is a model runner. */
    bool m_at_runner{false};
    time_point m_arrived_at{};
    time_point m_ended_at{time_point::max()};
    stay_end m_end{stay_end::held};

    /*! @brief Records the end of the stay unless it has ended already. */
    auto end(stay_end value) -> void;
};

/*! @brief Begin of a streamed answer at a runner, while its gateway still waited for it. */
struct version_begin {
    time_point m_at{};
    std::string m_attempt{};
    std::string m_server{};
    std::uint64_t m_version{};
    /*! @brief Whether the answer continues one of which some events were sent. */
    bool m_is_resumed{};
};

/*! @brief Stays of each request at servers in the order of arrival, by attempt id. */
using arrivals = std::map<std::string, std::vector<std::shared_ptr<arrival>>>;

/**
 * @brief Makes a responder that forwards to another one and records how the stay of the request ends.
 * @param target Responder of the request.
 * @param stay Record of the stay.
 * @param server_alive False once the server is destroyed, which counts as broken off by the server.
 * @param attempt Id of the request, which every response repeats.
 */
[[nodiscard]] auto record_stay(std::shared_ptr<net::responder> target, std::shared_ptr<arrival> stay,
                               std::shared_ptr<bool> server_alive, std::string attempt)
    -> std::shared_ptr<net::responder>;

} // namespace rhubarbwharf::standin_site
