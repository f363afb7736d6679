#pragma once

#include <memory>

#include <agent/daemon.hpp>

namespace rhubarbwharf::agent {

/*! @brief Sets up the tables if the service has non-idempotent operations. @param self The agent. */
auto start_journal(daemon& self) -> void;

/*! @brief Moves the shards on. @param self The agent. */
auto tick_journal(daemon& self) -> void;

/*! @brief Returns whether the settings name the operation non-idempotent. @param self The agent. @param dispatch The
 * request. @return Whether. */
[[nodiscard]] auto is_non_idempotent(const daemon& self, const wire::Dispatch& dispatch) -> bool;

/**
 * @brief Brings a call in that runs once its claim is written.
 * @param self The agent.
 * @param target The attempt, which counts as running.
 */
auto start_claim(daemon& self, const std::shared_ptr<relay>& target) -> void;

} // namespace rhubarbwharf::agent
