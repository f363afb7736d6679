#pragma once

#include <iosfwd>

#include <command/options.hpp>

namespace rhubarbwharf::command::internal {

/**
 * @brief Carries out `ticket submit`, `ticket show` and `ticket list`.
 * @param given The command line.
 * @param out Where results go.
 * @param progress Where progress and faults go.
 * @return The exit code.
 */
[[nodiscard]] auto ticket(const options& given, std::ostream& out, std::ostream& progress) -> status;

/**
 * @brief Writes a refusal and gives its exit code.
 * @param answer The refusal, as a problem document.
 * @param json Whether to write it as it came.
 * @param out Where results go.
 * @param faults Where faults go.
 * @return `conflict` for a ticket that lost, else `refused`.
 */
[[nodiscard]] auto refuse(const net::http_response& answer, bool json, std::ostream& out, std::ostream& faults)
    -> status;

} // namespace rhubarbwharf::command::internal
