#pragma once

#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <command/admin.hpp>
#include <rhubarbwharf/command/run.hpp>

namespace rhubarbwharf::command::internal {

/*! @brief A validated command line. */
struct options {
    admin_target m_admin{};
    /*! @brief Whether results are printed as JSON instead of text. */
    bool m_json_output{};
    /*! @brief Whether `ticket submit` blocks until the ticket is in force everywhere. */
    bool m_wait{};
    std::chrono::seconds m_wait_timeout{};
    /*! @brief The command followed by its arguments; never empty. */
    std::vector<std::string> m_command{};
};

/*! @brief Outcome of parsing a command line. */
struct parse_result {
    /*! @brief Empty if the program is to exit at once with `m_status`. */
    std::optional<options> m_options{};
    status m_status{status::done};
};

/**
 * @brief Parses a command line; handles `--help` and `--version` itself.
 * @param arguments Arguments as passed to `main`, including the program name.
 * @param out Receives the help and the version.
 * @param errors Receives error messages.
 * @return The options, or the exit code if there is nothing to run.
 */
[[nodiscard]] auto parse_options(std::span<const char* const> arguments, std::ostream& out, std::ostream& errors)
    -> parse_result;

} // namespace rhubarbwharf::command::internal
