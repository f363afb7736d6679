#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <config/reader.hpp>

namespace rhubarbwharf::config::internal {

/*! @brief Notes faults that lie between keys. */
struct cross_check {
    std::string_view m_file{};
    std::vector<fault>& m_faults;

    auto require(const bool holds, const std::string_view key, const std::string_view value,
                 const std::string_view allowed) -> void {
        if (!holds) {
            m_faults.push_back(fault{.m_code = code::settings_range,
                                     .m_file = std::string{m_file},
                                     .m_line = 0U,
                                     .m_key = std::string{key},
                                     .m_value = std::string{value},
                                     .m_allowed = std::string{allowed}});
        }
    }
};

/**
 * @brief Reads settings of any kind.
 * @tparam Settings Struct that a `visit` describes.
 * @param text JSON with comments.
 * @param file Name for the faults.
 * @param check Notes faults that lie between keys.
 * @return The settings, or every fault found.
 */
template <typename Settings, typename Check>
[[nodiscard]] auto parse_as(const std::string_view text, const std::string_view file, const Check& check)
    -> std::variant<Settings, std::vector<fault>> {
    auto read = internal::read(text);
    if (!read.m_read) {
        return std::vector{fault{.m_code = code::settings_syntax,
                                 .m_file = std::string{file},
                                 .m_line = read.m_line,
                                 .m_key = {},
                                 .m_value = {},
                                 .m_allowed = "JSON with comments: " + read.m_message}};
    }
    if (read.m_root.m_kind != kind::object) {
        return std::vector{fault{.m_code = code::settings_type,
                                 .m_file = std::string{file},
                                 .m_line = read.m_root.m_line,
                                 .m_key = {},
                                 .m_value = {},
                                 .m_allowed = "an object"}};
    }
    Settings values{};
    std::vector<fault> faults{};
    reader root{read.m_root, {}, file, faults};
    visit(root, values);
    root.finish();
    if (faults.empty()) {
        cross_check between{file, faults};
        check(between, values);
    }
    if (!faults.empty()) {
        return faults;
    }
    return values;
}

/*! @brief Reads a whole file. @param file Its path. @return Its text, or one fault. */
[[nodiscard]] inline auto read_file(const std::string_view file) -> std::variant<std::string, std::vector<fault>> {
    std::ifstream stream{std::string{file}};
    std::ostringstream text{};
    text << stream.rdbuf();
    if (!stream) {
        return std::vector{fault{.m_code = code::settings_unreadable,
                                 .m_file = std::string{file},
                                 .m_line = 0U,
                                 .m_key = {},
                                 .m_value = {},
                                 .m_allowed = "a file that can be read"}};
    }
    return text.str();
}

} // namespace rhubarbwharf::config::internal
