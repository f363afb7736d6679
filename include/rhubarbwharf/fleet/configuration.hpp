#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/fleet/fwd.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::fleet {

/*! @brief What may be sent again after it may have run. */
enum class repeat : std::uint8_t {
    /*! @brief Any number of times. */
    idempotent,
    /*! @brief Never. */
    non_idempotent,
};

/*! @brief Part of a route's traffic that goes to one service. */
struct share {
    std::string m_service{};
    /*! @brief Relative to the other shares of the route. */
    double m_weight{1.0};
};

/*! @brief Requests of one host whose path begins alike. */
struct route {
    std::string m_name{};
    std::string m_host{};
    /*! @brief Beginning of the path; begins and ends with a slash. */
    std::string m_prefix{};
    repeat m_repeat{repeat::non_idempotent};
    /*! @brief Whether answers are event streams. */
    bool m_streams{false};
    /*! @brief Whether a stream may go on at another backend server. */
    bool m_resumable{false};
    /*! @brief Whether requests need no key. */
    bool m_public{false};
    duration m_timeout{std::chrono::seconds{60}};
    /*! @brief Time to the first byte within which an answer is worth most. */
    duration m_target{std::chrono::seconds{1}};
    /*! @brief Longest pause between events that is still on time. */
    duration m_gap{std::chrono::seconds{1}};
    /*! @brief Rank, 0 first. */
    unsigned m_priority{};
    /*! @brief Backend servers that one request may be sent to. */
    unsigned m_attempts{1};
    std::vector<share> m_shares{};
};

/*! @brief How the model runners of a service work. */
struct engine {
    /*! @brief Requests that run at once. */
    unsigned m_slots{1};
    /*! @brief Token steps that a pass with running requests makes. */
    double m_stride{1.0};
    /*! @brief Time of a token step, in ms. */
    double m_step_ms{};
    /*! @brief Added to a step for each running request, in ms. */
    double m_request_ms{};
    /*! @brief Prompt tokens read a ms. */
    double m_read_per_ms{1.0};
    /*! @brief Time for a million pairs of prompt tokens, in ms. */
    double m_pairs_ms{};
    /*! @brief Prompt tokens read in one step at most. */
    double m_chunk{2048.0};
    /*! @brief Mean output tokens of a request. */
    double m_usual_output{100.0};
    /*! @brief Mean prompt tokens of a request. */
    double m_usual_prompt{1000.0};
    unsigned m_layers{1};
    unsigned m_pieces{};
    std::size_t m_piece_bytes{};
    /*! @brief Models that the runners hold. */
    std::vector<std::string> m_models{};
};

/*! @brief Where weights come from. */
struct origin {
    net::endpoint m_address{};
    unsigned m_connections{8};
};

/*! @brief Backend servers that take the same requests. */
struct service {
    std::string m_name{};
    std::string m_health_path{};
    unsigned m_connections{64};
    std::optional<engine> m_engine{};
    std::optional<origin> m_origin{};
};

/*! @brief Owner of keys. */
struct organisation {
    std::string m_name{};
    /*! @brief Takes precedence over the route's. */
    std::optional<unsigned> m_priority{};
};

/*! @brief One version of the operators' configuration, whole. */
struct configuration {
    std::uint64_t m_version{};
    std::vector<route> m_routes{};
    std::vector<service> m_services{};
    std::vector<organisation> m_organisations{};
    /*! @brief Whether requests need a key, but for public routes. */
    bool m_needs_key{false};
    /*! @brief Index into `m_organisations` by key. */
    std::unordered_map<std::string, std::size_t> m_keys{};
    net::http_limits m_limits{};
    /*! @brief Index into `m_routes` by host, longest prefix first. */
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes_by_host{};
    /*! @brief As the operator wrote it, for other processes. */
    std::string m_text{};
};

using shared_configuration = std::shared_ptr<const configuration>;

/*! @brief Fills `m_by_host`. @param value The configuration. */
auto index_routes(configuration& value) -> void;

/**
 * @brief Finds the route of a request: that of its host with the longest prefix that begins its path.
 * @param value The configuration.
 * @param host Value of `Host`; a port is left out of account.
 * @param target Path with query.
 * @return The route, or null.
 */
[[nodiscard]] auto find_route(const configuration& value, std::string_view host, std::string_view target)
    -> const route*;

/*! @brief Finds a service. @param value The configuration. @param name Its name. @return It, or null. */
[[nodiscard]] auto find_service(const configuration& value, std::string_view name) -> const service*;

/*! @brief Finds the first service that is an origin of weights. @param value The configuration. @return It, or null. */
[[nodiscard]] auto find_origin(const configuration& value) -> const origin*;

/*! @brief Finds the owner of a key. @param value The configuration. @param key The key. @return It, or null. */
[[nodiscard]] auto find_owner(const configuration& value, const std::string& key) -> const organisation*;

/**
 * @brief Chooses the service of one request by the weights of its route.
 * @param from The route.
 * @param random Random bits.
 * @return The service's name; empty if the route has none.
 */
[[nodiscard]] auto pick_service(const route& from, std::uint64_t random) -> std::string_view;

} // namespace rhubarbwharf::fleet
