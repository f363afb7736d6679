#pragma once

#include <string>
#include <string_view>

#include <rhubarbwharf/core/result.hpp>
#include <rhubarbwharf/ticket/state.hpp>

namespace rhubarbwharf::ticket {

/**
 * @brief Reads a ticket from JSON: `{"number": 7, "submission": "...", "changes": [{"scope": "group:chef",
 * "model": "chef", "manifest": "<64 hex digits>", "adapter": "", "role": "", "traffic": true}]}`.
 * @param text The JSON.
 * @return The ticket, or `ticket_malformed` with what is wrong.
 */
[[nodiscard]] auto parse_ticket(std::string_view text) -> result<ticket>;

/*! @brief Writes a ticket as JSON. @param order The ticket. @return The JSON. */
[[nodiscard]] auto to_json(const ticket& order) -> std::string;

/**
 * @brief Reads the desired state from its JSON form in the key-value service.
 * @param text The JSON; empty stands for no state yet.
 * @return The state, or `ticket_malformed`.
 */
[[nodiscard]] auto parse_state(std::string_view text) -> result<desired_state>;

/*! @brief Writes the desired state as JSON. @param state The state. @return The JSON. */
[[nodiscard]] auto to_json(const desired_state& state) -> std::string;

} // namespace rhubarbwharf::ticket
