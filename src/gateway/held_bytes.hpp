#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace rhubarbwharf::gateway {

/*! @brief Bytes of incomplete responses that a gateway holds for all requests together. Reading one response takes up
 * to three times its bytes for a moment, and the smallest machines of gateways have 160 MB. */
inline constexpr std::size_t max_held_bytes = std::size_t{32} * 1024U * 1024U;

/**
 * @brief Decides which response ends because all together are too large.
 * @param held Bytes held of each response.
 * @param limit Bytes that all may hold together.
 * @return Index of the largest one if the limit is exceeded, so that a faulty server's response ends and not the
 * others.
 */
[[nodiscard]] auto find_excess(std::span<const std::size_t> held, std::size_t limit) noexcept
    -> std::optional<std::size_t>;

} // namespace rhubarbwharf::gateway
