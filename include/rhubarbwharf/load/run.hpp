#pragma once

#include <iosfwd>
#include <span>

#include <rhubarbwharf/load/fwd.hpp>

namespace rhubarbwharf::load {

/*! @brief Exit codes of `rhubarbwharf-load`. */
enum class status : int {
    done = 0,
    /*! @brief A completion was wrong: incomplete although the response ended normally, from a version that is not
     * allowed, from more than one version, or different from an earlier completion of the same prompt by the same
     * version. */
    wrong_completion = 1,
    /*! @brief The command line is invalid. */
    usage_error = 2,
    /*! @brief The only target did not answer the query for its entries, or no pair of requests was measured. */
    unreachable = 3,
};

/**
 * @brief Parses and runs one command line.
 * @param arguments Arguments as passed to `main`, including the program name.
 * @param out Receives the measurements as JSON lines.
 * @param errors Receives error messages.
 */
[[nodiscard]] auto run(std::span<const char* const> arguments, std::ostream& out, std::ostream& errors) -> status;

} // namespace rhubarbwharf::load
