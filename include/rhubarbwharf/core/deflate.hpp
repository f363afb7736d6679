#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbwharf {

/*! @brief Compresses bytes as a zlib stream (RFC 1950). @param bytes The bytes. @return The stream. */
[[nodiscard]] auto deflate(std::string_view bytes) -> std::string;

/**
 * @brief Restores compressed bytes.
 * @param stream A zlib stream.
 * @param max_bytes Most bytes that are restored.
 * @return The bytes; nothing if the stream is malformed, incomplete or holds more bytes.
 */
[[nodiscard]] auto inflate(std::string_view stream, std::size_t max_bytes) -> std::optional<std::string>;

} // namespace rhubarbwharf
