#pragma once

#include <optional>
#include <string_view>

#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::entry {

/**
 * @brief Determines when an idempotency key was created. A non-empty header takes precedence. Otherwise the key must
 * start with 13 decimal digits (milliseconds since the Unix epoch) and `-`, or be a version 7 UUID.
 * @param header Value of `Idempotency-Key-Time`, in milliseconds since the Unix epoch; may be empty.
 * @return The creation time; empty if the header is malformed, or if it is empty and the key contains no time.
 */
[[nodiscard]] auto parse_key_time(std::string_view key, std::string_view header) -> std::optional<wall_time>;

} // namespace rhubarbwharf::entry
