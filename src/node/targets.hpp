#pragma once

#include <optional>
#include <string_view>

#include <node/core.hpp>

namespace rhubarbwharf::node {

/*! @brief Merges the weights targets of a peer's state. @param source Sender. @param requested_at When the state was
 * requested, of the boot-time clock; none if it came unasked. */
auto accept_targets(core& self, const wire::fleet::State& state, std::string_view source,
                    std::optional<time_point> requested_at) -> void;

/*! @brief Adds the own weights targets to a state for a peer. */
auto add_targets(const core& self, wire::fleet::State& out) -> void;

/*! @brief Returns what a peer requests of the own state. */
[[nodiscard]] auto answer_to(const core& self, const wire::fleet::Pull& request) -> wire::fleet::State;

/*! @brief Counts a request to a gateway for the times of writes. @param region Region of the gateway.
 * @return Whether to send it: this process knows of a write whose time no independent gateway has confirmed yet. */
[[nodiscard]] auto request_confirmation(core& self, std::string_view region, time_point now) -> bool;

/*! @brief Checks whether a gateway learns of writes independently of this process: a loader's gateways do, and those of
 * other regions, or of the own one if there are no others. */
[[nodiscard]] auto is_independent(const core& self, std::string_view region, time_point now) -> bool;

} // namespace rhubarbwharf::node
