#pragma once

#include <string>
#include <string_view>

#include <rhubarbwharf/core/result.hpp>
#include <rhubarbwharf/ticket/state.hpp>

namespace rhubarbwharf::ticket {

/**
 * @brief Parses a ticket: `{"number": 7, "submission": "...", "changes": [{"scope": "group:chef",
 * "model": "chef", "manifest": "<64 hex digits>", "adapter": "", "role": "", "traffic": true}]}`.
 * @return The ticket, or `ticket_malformed` with a description of the first error.
 */
[[nodiscard]] auto parse_ticket(std::string_view text) -> result<ticket>;

/*! @brief Serializes a ticket in the form that `parse_ticket` reads; a zero number is omitted. */
[[nodiscard]] auto to_json(const ticket& value) -> std::string;

/**
 * @brief Parses the desired state as stored in the key-value service.
 * @param text JSON; empty text yields an empty state.
 * @return The state, or `ticket_malformed` with a description of the first error.
 */
[[nodiscard]] auto parse_state(std::string_view text) -> result<desired_state>;

/*! @brief Serializes the desired state in the form that `parse_state` reads. */
[[nodiscard]] auto to_json(const desired_state& state) -> std::string;

} // namespace rhubarbwharf::ticket
