#pragma once

#include <iosfwd>
#include <span>
#include <string>

#include <rhubarbwharf/command/fwd.hpp>

namespace rhubarbwharf::command {

/*! @brief Exit codes of `rhubarbwharf`. */
enum class status : int {
    done = 0,
    /*! @brief The process rejected the request for a reason other than a conflict, or is not ready. */
    refused = 1,
    /*! @brief The command line, a settings file or a ticket file is invalid. */
    usage_error = 2,
    /*! @brief A ticket with a higher number is already in force. */
    conflict = 3,
    /*! @brief The ticket was accepted but did not come into force everywhere within the wait timeout. */
    not_in_force = 4,
    /*! @brief The process did not answer. */
    unreachable = 5,
};

/**
 * @brief Parses and runs one command line.
 * @param arguments Arguments as passed to `main`, including the program name.
 * @param out Receives results.
 * @param progress Receives progress reports and error messages.
 */
[[nodiscard]] auto run(std::span<const char* const> arguments, std::ostream& out, std::ostream& progress) -> status;

} // namespace rhubarbwharf::command
