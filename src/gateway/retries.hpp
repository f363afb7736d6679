#pragma once

#include <string>
#include <string_view>

#include <fleet.pb.h>
#include <gateway/daemon.hpp>

namespace rhubarbwharf::gateway {

/*! @brief Sets this gateway's part of each service's retry budget. */
auto divide_retry_budget(daemon& self) -> void;

/*! @brief Grants a request a further attempt, which counts against the budget of its service from now on.
 * @return False if the budget is exhausted; true also if the request holds a grant already. */
[[nodiscard]] auto grant_retry(daemon& self, exchange& item, dispatch::retry_cause cause) -> bool;

/*! @brief Counts an attempt that is sent now, unless it is the first one that may reach a server. It uses the grant of
 * the request, and counts without one as well. */
auto count_attempt(daemon& self, exchange& item, attempt& current) -> void;

/*! @brief Takes back the count of an attempt of which no byte was sent; the request keeps the grant for the next one.
 */
auto uncount_attempt(daemon& self, exchange& item, const attempt& unsent) -> void;

/*! @brief Takes back the grant of a request that does not use it. */
auto withdraw_grant(daemon& self, exchange& item) -> void;

/*! @brief Tells a gateway that has started what its predecessor had spent. */
auto tell_predecessor_retries(daemon& self, const std::string& gateway) -> void;

/*! @brief Accepts what a peer has spent, or what it tells of the predecessor of this process.
 * @param peer Name of the sender. @param incarnation Incarnation of the sender. */
auto on_retry_use(daemon& self, std::string_view peer, std::uint64_t incarnation, const wire::fleet::RetryUse& update)
    -> void;

} // namespace rhubarbwharf::gateway
