#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <node/core.hpp>
#include <rhubarbwharf/fleet/configuration_offers.hpp>
#include <rhubarbwharf/net/http.hpp>

/**
 * @file
 * @brief Exchange of configurations between processes.
 *
 * Heartbeats and relays only tell versions. A process requests a newer configuration over a connection of its own, from
 * one gateway at a time, and does not request it again while the answer keeps arriving. So each process receives it
 * once, compressed, and no heartbeat waits behind it.
 */
namespace rhubarbwharf::node {

/*! @brief Notes that a gateway has a version, and requests it if it is newer and the gateway is the one to ask. */
auto offer_configuration(core& self, std::string_view gateway, std::uint64_t version, fleet::offer_source source)
    -> void;

/*! @brief Requests a newer configuration from the gateway to ask, unless a request is in progress. */
auto request_configuration(core& self) -> void;

/*! @brief Tells the gateways to which this one relays that it has a new configuration. */
auto relay_configuration(core& self) -> void;

/*! @brief Replaces the text of the configuration in a state by its compressed form, for a process that asks for it. */
auto compress_configuration(core& self, wire::fleet::State& state) -> void;

/*! @brief Returns the text of the configuration in a state. @return None if there is none, or none that can be read. */
[[nodiscard]] auto configuration_text(const wire::fleet::State& state) -> std::optional<std::string>;

/*! @brief Answers a request of another process for a configuration. The answer is a state with the weights targets and
 * evacuations, as a loader must not learn its models before the wanted versions.
 * @return False if the request is for something else; it is not answered then. */
[[nodiscard]] auto answer_configuration_request(core& self, const net::http_request& request,
                                                const std::shared_ptr<net::responder>& responder) -> bool;

namespace internal {

/*! @brief Minimum time between two requests of a loader that has a configuration: the parts that it uses seldom change.
 */
inline constexpr duration min_loader_request_interval = std::chrono::seconds{10};

/*! @brief Checks whether a process may request a newer configuration. */
[[nodiscard]] auto may_request_configuration(const core& self, time_point last_request, time_point now) -> bool;

/*! @brief Checks whether a gateway sends its configuration only as part of its state. */
[[nodiscard]] auto sends_configuration_in_state(const core& self, std::string_view gateway) -> bool;

} // namespace internal

} // namespace rhubarbwharf::node
