#pragma once

#include <string_view>

#include <fleet.pb.h>
#include <gateway/daemon.hpp>

namespace rhubarbwharf::gateway::internal {

/*! @brief Applies the load that a loader reports of the backend server beside it. Other incarnations at that address
 * have ended. */
auto on_load(daemon& self, std::string_view peer, const wire::fleet::Load& update) -> void;

/*! @brief Applies the loads of another region, unless a later report came directly, and forwards them to the own region
 * if they come from outside. */
auto on_region_loads(daemon& self, std::string_view peer, const wire::fleet::RegionLoads& update) -> void;

} // namespace rhubarbwharf::gateway::internal
