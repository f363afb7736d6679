#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rhubarbwharf {

/*! @brief Writes bytes in base64, padded. @param bytes The bytes. @return The text. */
[[nodiscard]] auto to_base64(std::string_view bytes) -> std::string;

/*! @brief Reads padded base64. @param text The text. @return The bytes, or nothing. */
[[nodiscard]] auto from_base64(std::string_view text) -> std::optional<std::string>;

} // namespace rhubarbwharf
