#pragma once

#include <memory>

#include <agent/daemon.hpp>

namespace rhubarbwharf::agent {

/**
 * @brief Builds the request for the backend server. Headers of the connection, `Authorization` and headers that the
 * agent sets itself are not copied; `X-Request-Id` is passed on, or set to the number of the request if it is missing.
 */
[[nodiscard]] auto make_backend_request(const daemon& self, const relay& attempt) -> net::http_request;

/*! @brief Returns limits that end the call at the attempt's deadline, or after 1 ms if that has passed. */
[[nodiscard]] auto make_call_limits(const relay& attempt) -> net::call_limits;

/*! @brief Releases the slot of a completed attempt and removes its relay. */
auto end_relay(daemon& self, const relay& attempt) -> void;

/**
 * @brief Sends a request to the backend server and relays the answer; non-idempotent requests go through the journal.
 * @param self The agent; its gate must be open.
 * @param attempt An attempt that holds a slot.
 */
auto start_relay(daemon& self, const std::shared_ptr<relay>& attempt) -> void;

} // namespace rhubarbwharf::agent
