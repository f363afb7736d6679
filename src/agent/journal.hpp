#pragma once

#include <memory>

#include <agent/daemon.hpp>

namespace rhubarbwharf::agent {

/*! @brief Initialises the shard owner; enables the journal for a plain service with non-idempotent operations. */
auto start_journal(daemon& self) -> void;

/**
 * @brief Advances the ownership of the shards and writes due records.
 *
 * Does nothing until the first list of members has arrived, or the time to wait for it has passed.
 */
auto tick_journal(daemon& self) -> void;

/*! @brief Checks whether the settings list the operation of a request as non-idempotent; false without a journal. */
[[nodiscard]] auto is_non_idempotent(const daemon& self, const wire::Dispatch& dispatch) -> bool;

/**
 * @brief Submits a call that is sent to the backend server once its claim has been written to the journal.
 * @param attempt An attempt that holds a slot.
 */
auto start_claim(daemon& self, const std::shared_ptr<relay>& attempt) -> void;

} // namespace rhubarbwharf::agent
