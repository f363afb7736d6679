#pragma once

#include <string>
#include <string_view>

#include <config/schema.hpp>

namespace rhubarbwharf::config::internal {

/**
 * @brief Checks the form of a text.
 * @param which The form.
 * @param text The text.
 * @return Whether the text has the form.
 */
[[nodiscard]] auto has_form(form which, std::string_view text) -> bool;

/**
 * @brief Says what a form allows.
 * @param which The form.
 * @return The words for a fault and for the reference.
 */
[[nodiscard]] auto allowed(form which) noexcept -> std::string_view;

/**
 * @brief Says what a range allows.
 * @param limits The rule of the number.
 * @return As in `1 to 10 ms`.
 */
[[nodiscard]] auto allowed(const rule& limits) -> std::string;

/**
 * @brief Writes a number without needless digits.
 * @param value The number.
 * @return The text.
 */
[[nodiscard]] auto number_text(double value) -> std::string;

} // namespace rhubarbwharf::config::internal
