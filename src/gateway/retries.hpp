#pragma once

#include <gateway/daemon.hpp>

namespace rhubarbwharf::gateway {

/*! @brief Sets this gateway's part of each service's retry budget; the gateways share the slack equally. */
auto divide_retry_budget(daemon& self) -> void;

/*! @brief Grants a request a further attempt, which counts against the budget of its service.
 * @return False if the budget is exhausted. */
[[nodiscard]] auto grant_retry(daemon& self, const exchange& item, dispatch::retry_cause cause) -> bool;

/*! @brief Counts and logs an attempt after one that may have reached a server. */
auto note_retry(daemon& self, const exchange& item) -> void;

} // namespace rhubarbwharf::gateway
