#pragma once

#include <optional>
#include <string_view>

#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::entry {

/**
 * @brief Reads when an idempotency key was made. The header counts first; else the key starts with 13 decimal digits
 * and `-`, milliseconds since the Unix epoch; else it is a UUID of version 7.
 * @param key The idempotency key.
 * @param header Value of `Idempotency-Key-Time`, in milliseconds since the Unix epoch; may be empty.
 * @return The time, or nothing if neither says it.
 */
[[nodiscard]] auto parse_key_time(std::string_view key, std::string_view header) -> std::optional<wall_time>;

} // namespace rhubarbwharf::entry
