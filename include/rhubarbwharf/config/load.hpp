#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <rhubarbwharf/config/settings.hpp>
#include <rhubarbwharf/core/code.hpp>

namespace rhubarbwharf::config {

/*! @brief One thing wrong with a settings file. */
struct fault {
    code m_code{code::settings_syntax};
    std::string m_file{};
    /*! @brief Line, from 1; 0 where no line can be named. */
    std::size_t m_line{};
    /*! @brief Path of the key, as in `routing.max_attempts`. */
    std::string m_key{};
    std::string m_value{};
    /*! @brief What is allowed, or the nearest known key. */
    std::string m_allowed{};
};

/**
 * @brief Writes a fault as one line that names file, line, key, value and what is allowed.
 * @param value The fault.
 * @return The line.
 */
[[nodiscard]] auto to_string(const fault& value) -> std::string;

/**
 * @brief Reads settings from text and checks every key.
 * @param text JSON with comments.
 * @param file Name for the faults.
 * @return The settings, or every fault found.
 */
[[nodiscard]] auto parse(std::string_view text, std::string_view file) -> std::variant<settings, std::vector<fault>>;

/**
 * @brief Reads settings from a file and checks every key.
 * @param file The file's path.
 * @return The settings, or every fault found.
 */
[[nodiscard]] auto load(std::string_view file) -> std::variant<settings, std::vector<fault>>;

/**
 * @brief Writes the table of all keys for docs/CONFIG.md.
 * @return The page: every key with its unit, default, range and meaning.
 */
[[nodiscard]] auto reference() -> std::string;

} // namespace rhubarbwharf::config
