#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <gateway/daemon.hpp>

namespace rhubarbwharf::wire::fleet {
class PartNews;
class State;
} // namespace rhubarbwharf::wire::fleet

namespace rhubarbwharf::gateway {

/*! @brief Deliveries of events after which a backend server has begun its answer without ending. */
inline constexpr unsigned begun_deliveries = 2U;
/*! @brief Interval at which verdicts are sent to all gateways again, for those that missed them while cut off. */
inline constexpr duration verdict_interval = std::chrono::seconds{5};

/*! @brief Returns the parts of a prompt that other requests may share: all but the last.
 * @param header Value of the header with the parts. */
[[nodiscard]] auto shared_parts(std::string_view model, std::string_view header) -> std::vector<routing::part_id>;

/*! @brief Returns the digest of a backend server's id and start. */
[[nodiscard]] auto incarnation_of(const dispatch::server_load& backend) -> routing::incarnation_id;

/*! @brief Decides whether a request may be sent now as far as its parts are concerned. Refuses it if one of them is
 * held back, or on trial with another request.
 * @return False if the request has ended. */
[[nodiscard]] auto admit_parts(daemon& self, const std::shared_ptr<exchange>& item) -> bool;

/*! @brief Checks whether a backend server has ended under one of a request's parts. */
[[nodiscard]] auto has_crashed_part(const daemon& self, const exchange& item) -> bool;

/*! @brief Records that the connection of an attempt broke after the request had been sent: its backend server may have
 * ended, under any request there that had not begun its answer. If the request was a trial, holds its parts back. */
auto on_server_crash(daemon& self, exchange& item, const attempt& ended) -> void;

/*! @brief Records that a backend server has answered, so that it has not ended. */
auto on_server_alive(daemon& self, const dispatch::server_load& backend) -> void;

/*! @brief Records that an attempt has delivered a complete answer, or events; its parts are sound once it has begun. */
auto on_delivery(daemon& self, exchange& item, attempt& current, bool is_complete) -> void;

/*! @brief Ends the trial of a request that ends without an outcome. */
auto end_trial(daemon& self, exchange& item) -> void;

/*! @brief Merges what another gateway has learned of parts. @param peer Its name, for the log. */
auto on_part_news(daemon& self, std::string_view peer, const wire::fleet::PartNews& news) -> void;

/*! @brief Sends all verdicts to a gateway. @param peer Its name; empty for all gateways. */
auto send_verdicts(daemon& self, const std::string& peer) -> void;

/*! @brief Adds the verdicts, and the last backend servers that ended with the parts of their requests, to a state for a
 * gateway that starts. */
auto add_part_records(const daemon& self, wire::fleet::State& out) -> void;

/*! @brief Evicts what has expired and sends the verdicts to all gateways now and then. */
auto refresh_parts(daemon& self, time_point now) -> void;

} // namespace rhubarbwharf::gateway
