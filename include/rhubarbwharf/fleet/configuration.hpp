#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/fleet/allowed_regions.hpp>
#include <rhubarbwharf/fleet/fwd.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::fleet {

/*! @brief Whether a request may run more than once. */
enum class idempotency : std::uint8_t {
    /*! @brief It can be retried any number of times. */
    idempotent,
    /*! @brief It is retried only if it certainly did not run. */
    non_idempotent,
};

/*! @brief Part of a route's traffic that goes to one service. */
struct traffic_share {
    std::string m_service{};
    /*! @brief Relative to the other shares of the route. */
    double m_weight{1.0};
};

/*! @brief Handling of the requests of one host whose path has a common prefix. */
struct route {
    std::string m_name{};
    std::string m_host{};
    /*! @brief Prefix of the path; begins and ends with a slash. */
    std::string m_path_prefix{};
    idempotency m_idempotency{idempotency::non_idempotent};
    /*! @brief Whether answers are event streams. */
    bool m_streaming{false};
    /*! @brief Whether a stream may be resumed at another backend server. */
    bool m_resumable{false};
    /*! @brief Whether requests need no API key. */
    bool m_public{false};
    duration m_timeout{std::chrono::seconds{60}};
    /*! @brief Target for the time to the first byte. */
    duration m_first_byte_target{std::chrono::seconds{1}};
    /*! @brief Longest time between two events of a stream that still counts as on time. */
    duration m_max_event_gap{std::chrono::seconds{1}};
    /*! @brief Priority rank; 0 is sent first. */
    unsigned m_priority{};
    /*! @brief Maximum number of backend servers to which one request is sent. */
    unsigned m_max_attempts{1};
    std::vector<traffic_share> m_shares{};
    /*! @brief Regions in which its requests may be served. */
    allowed_regions m_allowed_regions{};
};

/*! @brief Performance profile and models of the runners of a service. */
struct engine_profile {
    /*! @brief Requests that run at once. */
    unsigned m_slots{1};
    /*! @brief Decoding steps in one pass over the running requests. */
    double m_steps_per_pass{1.0};
    /*! @brief Base time of a decoding step, in ms. */
    double m_step_ms{};
    /*! @brief Time that each running request adds to a step, in ms. */
    double m_step_ms_per_request{};
    /*! @brief Prompt tokens processed per ms. */
    double m_prefill_tokens_per_ms{1.0};
    /*! @brief Time per million pairs of prompt tokens, in ms. */
    double m_ms_per_million_token_pairs{};
    /*! @brief Maximum number of prompt tokens processed in one step. */
    double m_max_prefill_tokens_per_step{2048.0};
    /*! @brief Mean number of output tokens of a request. */
    double m_mean_output_tokens{100.0};
    /*! @brief Mean number of prompt tokens of a request. */
    double m_mean_prompt_tokens{1000.0};
    /*! @brief Layers of a model. */
    unsigned m_layer_count{1};
    /*! @brief Pieces of a version of the weights. */
    unsigned m_piece_count{};
    std::size_t m_piece_bytes{};
    /*! @brief Models that the runners hold. */
    std::vector<std::string> m_models{};
};

/*! @brief Server from which weights are downloaded. */
struct origin {
    net::endpoint m_address{};
    unsigned m_max_connections{8};
};

/*! @brief What a service's backend servers take while they are cold, as they are for a while after a start. */
struct warm_up_terms {
    /*! @brief Longest time for which a server is cold. */
    duration m_time{};
    /*! @brief Requests per second from all gateways together; 0 if cold servers take as many as others. */
    double m_per_s{};
};

/*! @brief Group of interchangeable backend servers. */
struct service {
    std::string m_name{};
    std::string m_health_path{};
    unsigned m_max_connections{64};
    warm_up_terms m_warm_up{};
    /*! @brief Priority ranks of the routes with keys that lead to it, each once, most urgent first; see `index_routes`.
     */
    std::vector<unsigned> m_route_priorities{};
    /*! @brief Empty for a plain service, which runs no models. */
    std::optional<engine_profile> m_engine{};
    /*! @brief Set if the service is an origin of weights. */
    std::optional<origin> m_origin{};
};

/*! @brief Owner of API keys. */
struct organisation {
    std::string m_name{};
    /*! @brief Priority rank that overrides the one of the route. */
    std::optional<unsigned> m_priority{};
    /*! @brief Regions in which its requests may be served; those of the route bind as well. */
    allowed_regions m_allowed_regions{};
};

/*! @brief One complete version of the operators' configuration. */
struct configuration {
    std::uint64_t m_version{};
    std::vector<route> m_routes{};
    std::vector<service> m_services{};
    std::vector<organisation> m_organisations{};
    /*! @brief Whether requests need an API key, except on public routes. */
    bool m_requires_key{false};
    /*! @brief Index into `m_organisations` by API key. */
    std::unordered_map<std::string, std::size_t> m_organisation_by_key{};
    net::http_limits m_limits{};
    /*! @brief Indices into `m_routes` by host, longest prefix first. */
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes_by_host{};
    /*! @brief Original text, which is forwarded to other processes. */
    std::string m_source_text{};
};

using shared_configuration = std::shared_ptr<const configuration>;

/*! @brief Tells whether a configuration takes the place of the present one. Only a newer one does, wherever it comes
 * from.
 * @param present Null if there is none. */
[[nodiscard]] auto replaces(const configuration& offered, const shared_configuration& present) noexcept -> bool;

/*! @brief Rebuilds what is derived from `m_routes`: `m_routes_by_host`, and the `m_route_priorities` of the services.
 */
auto index_routes(configuration& value) -> void;

/**
 * @brief Finds the route of a request: the one of its host with the longest prefix of the path.
 * @param host Value of `Host`; a port is ignored.
 * @param target Path with query.
 * @return The route, owned by `value`; null if none matches.
 */
[[nodiscard]] auto find_route(const configuration& value, std::string_view host, std::string_view target)
    -> const route*;

/*! @brief Returns the regions that all restricted routes of a host allow.
 * @param host Name of the host; a port is ignored. */
[[nodiscard]] auto regions_of_host(const configuration& value, std::string_view host) -> allowed_regions;

/*! @brief Restriction of a route or an organisation that names a region which the deployment does not have. */
struct unknown_region {
    /*! @brief Name of the route or organisation. */
    std::string_view m_owner{};
    /*! @brief The region; empty if a restriction allows none, as its list could not be read. */
    std::string_view m_region{};
};

/*! @brief Lists the regions that restrictions name and the deployment does not have, and the restrictions without any.
 * @param known Regions of the deployment. @return References into `value`. */
[[nodiscard]] auto list_unknown_regions(const configuration& value, const std::set<std::string_view>& known)
    -> std::vector<unknown_region>;

/*! @brief Finds a service by name. @return The service, owned by `value`; null if there is none. */
[[nodiscard]] auto find_service(const configuration& value, std::string_view name) -> const service*;

/*! @brief Finds the first service that is an origin of weights. @return Its origin, owned by `value`; null if there is
 * none. */
[[nodiscard]] auto find_origin(const configuration& value) -> const origin*;

/*! @brief Returns how many of a service's kinds of route are more urgent than a route. */
[[nodiscard]] auto urgency_of(const service& value, const route& from) noexcept -> unsigned;

/*! @brief Finds the organisation that owns an API key. @return The organisation, owned by `value`; null if there is
 * none. */
[[nodiscard]] auto find_key_owner(const configuration& value, const std::string& key) -> const organisation*;

/**
 * @brief Chooses the service of one request by the weights of its route.
 * @param random Random bits.
 * @return The service's name, owned by `from`; empty if the route has none.
 */
[[nodiscard]] auto pick_service(const route& from, std::uint64_t random) -> std::string_view;

} // namespace rhubarbwharf::fleet
