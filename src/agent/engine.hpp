#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <agent/gate.hpp>

namespace rhubarbwharf::agent {

/**
 * @brief Parses the state that an engine reports.
 * @param text JSON body of the answer to `GET /v1/engine/state`.
 * @return The state, with defaults for missing or malformed members; nothing if the text is not a JSON object.
 */
[[nodiscard]] auto parse_engine_state(std::string_view text) -> std::optional<engine_state>;

/**
 * @brief Builds the body of a load order.
 * @param wanted Version that the engine has to load.
 * @param order Fencing number of the order.
 * @param source URL from which the engine reads the complete content.
 * @return JSON body for `POST /v1/engine/load`.
 */
[[nodiscard]] auto make_load_order(const version& wanted, const order_number& order, std::string_view source)
    -> std::string;

} // namespace rhubarbwharf::agent
