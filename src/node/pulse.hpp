#pragma once

#include <cstdint>
#include <string_view>

#include <fleet.pb.h>
#include <node/core.hpp>

namespace rhubarbwharf::node::internal {

/*! @brief Returns the sum of the versions of all weights targets. */
[[nodiscard]] auto weights_version_sum(const core& self) -> std::uint64_t;

/*! @brief Returns the version of the configuration in force; 0 without one. */
[[nodiscard]] auto configuration_version(const core& self) -> std::uint64_t;

/*! @brief Handles the heartbeat of a gateway, and requests its state if it knows something newer. */
auto on_pulse(core& self, std::string_view from, const wire::fleet::Pulse& message) -> void;

} // namespace rhubarbwharf::node::internal
