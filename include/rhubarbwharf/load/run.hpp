#pragma once

#include <iosfwd>
#include <span>

#include <rhubarbwharf/load/fwd.hpp>

namespace rhubarbwharf::load {

/*! @brief Exit codes of `rhubarbwharf-load`. */
enum class status : int {
    done = 0,
    /*! @brief An answer was wrong: of another version than allowed, mixed, not whole though it ended, or crossed. */
    wrong_completion = 1,
    /*! @brief The command line is faulty. */
    usage_error = 2,
    /*! @brief No target gave its entries, or none answered. */
    unreachable = 3,
};

/**
 * @brief Carries out one command line.
 * @param arguments The arguments, the program's name first.
 * @param out Where the figures go, as JSON lines.
 * @param faults Where faults go.
 * @return The exit code.
 */
[[nodiscard]] auto run(std::span<const char* const> arguments, std::ostream& out, std::ostream& errors) -> status;

} // namespace rhubarbwharf::load
