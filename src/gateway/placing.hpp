#pragma once

#include <optional>

#include <gateway/daemon.hpp>

namespace rhubarbwharf::gateway::internal {

/*! @brief Returns what a request requires of a backend server at a time. The result refers to the request. */
[[nodiscard]] auto requirements_of(const daemon& self, const exchange& item, time_point now)
    -> dispatch::request_requirements;

/*! @brief Returns the options by which a request is placed at a time. */
[[nodiscard]] auto placement_options_for(const daemon& self, const exchange& item, time_point now)
    -> dispatch::placement_options;

/*! @brief Returns how many slots of a server extra work must leave free: those that gateways divide when they are
 * scarce.
 */
[[nodiscard]] auto free_slots_for_extra_work(const exchange& item) noexcept -> double;

/*! @brief Chooses a backend server of the request's service. @return Its index there; nothing if none has capacity. */
[[nodiscard]] auto choose_backend(daemon& self, const exchange& item, const dispatch::placement_options& options,
                                  time_point now) -> std::optional<dispatch::choice>;

/*! @brief Chooses a backend server by the request's own options. */
[[nodiscard]] auto choose_backend(daemon& self, const exchange& item, time_point now)
    -> std::optional<dispatch::choice>;

/*! @brief Checks whether any backend server could run a request, now or once it has capacity. */
[[nodiscard]] auto has_eligible_backend(daemon& self, const exchange& item, time_point now) -> bool;

/*! @brief Tells whether only the regions in which a request may be served keep it from being sent. */
[[nodiscard]] auto lacks_allowed_region(daemon& self, const exchange& item, time_point now) -> bool;

} // namespace rhubarbwharf::gateway::internal
