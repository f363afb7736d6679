#pragma once

#include <memory>

#include <agent/daemon.hpp>

namespace rhubarbwharf::agent {

/*! @brief Makes the request for the backend server. @param self The agent. @param target The attempt.
 * @return The request. */
[[nodiscard]] auto make_backend_request(const daemon& self, const relay& target) -> net::http_request;

/*! @brief Makes the limits of a call by its deadline. @param target The attempt. @return The limits. */
[[nodiscard]] auto make_call_limits(const relay& target) -> net::call_limits;

/*! @brief Gives back the room of an attempt that ended, and forgets it. @param self The agent. @param target It. */
auto end_relay(daemon& self, const relay& target) -> void;

/**
 * @brief Sends a request to the backend server and relays the answer.
 * @param self The agent; the gate is open and the attempt counts as running.
 * @param target The attempt.
 */
auto start_relay(daemon& self, const std::shared_ptr<relay>& target) -> void;

} // namespace rhubarbwharf::agent
