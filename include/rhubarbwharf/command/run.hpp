#pragma once

#include <iosfwd>
#include <span>
#include <string>

#include <rhubarbwharf/command/fwd.hpp>

namespace rhubarbwharf::command {

/*! @brief Exit codes of `rhubarbwharf`. */
enum class status : int {
    done = 0,
    /*! @brief The process answered with a refusal other than a conflict. */
    refused = 1,
    /*! @brief The command line or a file is faulty. */
    usage_error = 2,
    /*! @brief A higher ticket is in force. */
    conflict = 3,
    /*! @brief The ticket was accepted but not in force everywhere within the time given. */
    not_in_force = 4,
    /*! @brief The process does not answer. */
    unreachable = 5,
};

/**
 * @brief Carries out one command line.
 * @param arguments The arguments, the program's name first.
 * @param out Where results go.
 * @param progress Where progress and faults go.
 * @return The exit code.
 */
[[nodiscard]] auto run(std::span<const char* const> arguments, std::ostream& out, std::ostream& progress) -> status;

} // namespace rhubarbwharf::command
