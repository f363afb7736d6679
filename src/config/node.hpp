#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbwharf::config::internal {

/*! @brief Kinds of JSON values. */
enum class kind : std::uint8_t { null, boolean, number, string, array, object };

/*! @brief A JSON value that knows the line it begins on. */
struct node {
    kind m_kind{kind::null};
    /*! @brief Line of the value's first letter, from 1. */
    std::size_t m_line{};
    /*! @brief The string, or the number or literal as written. */
    std::string m_text{};
    bool m_boolean{};
    double m_number{};
    /*! @brief Whether the number has no fraction and fits 64 bits without a sign. */
    bool m_is_unsigned{};
    std::uint64_t m_unsigned{};
    std::vector<node> m_elements{};
    std::vector<std::pair<std::string, node>> m_members{};
};

/*! @brief Outcome of reading a text. */
struct read_outcome {
    bool m_read{};
    node m_root{};
    /*! @brief Line of the fault, from 1. */
    std::size_t m_line{};
    std::string m_message{};
};

/**
 * @brief Reads JSON with comments.
 * @param text The text.
 * @return The value, or line and message of the fault.
 */
[[nodiscard]] auto read(std::string_view text) -> read_outcome;

} // namespace rhubarbwharf::config::internal
