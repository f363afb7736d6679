#pragma once

#include <memory>

#include <agent/daemon.hpp>

namespace rhubarbwharf::agent {

/**
 * @brief Sends a request to the backend server and relays the answer.
 * @param self The agent; the gate is open and the attempt counts as running.
 * @param target The attempt.
 */
auto start_relay(daemon& self, const std::shared_ptr<relay>& target) -> void;

} // namespace rhubarbwharf::agent
