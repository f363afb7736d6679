#pragma once

#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <command/admin.hpp>
#include <rhubarbwharf/command/run.hpp>

namespace rhubarbwharf::command::internal {

/*! @brief A command line, read and checked. */
struct options {
    admin_target m_admin{};
    bool m_json_output{};
    bool m_wait{};
    std::chrono::seconds m_wait_timeout{};
    /*! @brief The command and its arguments. */
    std::vector<std::string> m_command{};
};

/*! @brief A command line read, or the exit code with which the program ends at once. */
struct parse_result {
    std::optional<options> m_options{};
    status m_status{status::done};
};

/**
 * @brief Reads a command line; `--help` and `--version` are answered here.
 * @param arguments The arguments, the program's name first.
 * @param out Where help goes.
 * @param faults Where faults go.
 * @return The options, or an exit code.
 */
[[nodiscard]] auto parse_options(std::span<const char* const> arguments, std::ostream& out, std::ostream& errors)
    -> parse_result;

} // namespace rhubarbwharf::command::internal
