#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <agent/gate.hpp>

namespace rhubarbwharf::agent {

/**
 * @brief Reads the state that an engine reports.
 * @param text The JSON of `GET /v1/engine/state`.
 * @return The state, or nothing if the JSON is not well formed.
 */
[[nodiscard]] auto parse_engine_state(std::string_view text) -> std::optional<engine_state>;

/**
 * @brief Writes a load order.
 * @param wanted What the engine is to load.
 * @param order Number of the order.
 * @param source URL from which the engine reads the whole content.
 * @return The JSON for `POST /v1/engine/load`.
 */
[[nodiscard]] auto make_load_order(const version& wanted, const order_number& order, std::string_view source)
    -> std::string;

} // namespace rhubarbwharf::agent
