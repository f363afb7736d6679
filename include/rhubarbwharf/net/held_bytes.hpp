#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace rhubarbwharf::net {

/*! @brief Bytes of incomplete responses that a client collects for all its calls together, and that a gateway holds
 * for all its requests. Reading one response takes up to three times its bytes for a moment, and the smallest machines
 * have 128 MB. */
inline constexpr std::size_t max_held_bytes = std::size_t{32} * 1024U * 1024U;

/*! @brief Memory that an incomplete response takes. */
struct held_response {
    /*! @brief Id of the backend server that sends it. */
    std::string_view m_server{};
    std::size_t m_bytes{};
};

/**
 * @brief Decides which response ends because all together are too large: the largest one of the server whose responses
 * take most, so that those of sound servers go on.
 * @param held The incomplete responses.
 * @param limit Bytes that all may take together.
 * @return Index of the response if the limit is exceeded.
 */
[[nodiscard]] auto find_excess(std::span<const held_response> held, std::size_t limit) -> std::optional<std::size_t>;

} // namespace rhubarbwharf::net
