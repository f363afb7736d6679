#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <gateway/daemon.hpp>

namespace rhubarbwharf::wire::fleet {
class Blame;
class State;
} // namespace rhubarbwharf::wire::fleet

namespace rhubarbwharf::gateway {

/*! @brief Adds the requests and the parts of prompts that have ended backend servers to a state, for a gateway that
 * starts: it knows nothing of before, and would let each of them end further servers. */
auto add_crash_records(const daemon& self, wire::fleet::State& out) -> void;

/*! @brief Merges such records. @param source Sender, for the log. */
auto accept_crash_records(daemon& self, std::string_view source, const wire::fleet::State& state) -> void;

/*! @brief Attributes a crash to a request whose connection to a backend server has broken, and reports it to the other
 * gateways, unless the server is seen to live within a second. Events that the request got before do not exculpate it:
 * it may end each server at a later one. */
auto attribute_crash(daemon& self, const exchange& item, const std::shared_ptr<dispatch::server_load>& backend) -> void;

/*! @brief Withdraws what speaks against a request, here and at the other gateways, as a server has answered it from its
 * begin to its end. The rest of a stream that was resumed proves nothing of what the request did before. */
auto exculpate(daemon& self, const exchange& item) -> void;

/*! @brief Tells whether any backend server has crashed under a request lately. */
[[nodiscard]] auto has_crashed(const daemon& self, const exchange& item, time_point now) -> bool;

/*! @brief Refuses a request under which so many backend servers have crashed that it must run on no further one.
 * @return False if the request has ended. */
[[nodiscard]] auto admit_content(daemon& self, const std::shared_ptr<exchange>& item) -> bool;

/*! @brief Merges what another gateway has found out of a request. */
auto on_crash_report(daemon& self, const wire::fleet::Blame& report) -> void;

/*! @brief Sends the own records to a gateway of the region whose process is new, if this one represents the region. It
 * may have missed what was reported between a seed's answer and the time from which the others knew it. */
auto send_crash_records(daemon& self, const std::string& gateway) -> void;

} // namespace rhubarbwharf::gateway
