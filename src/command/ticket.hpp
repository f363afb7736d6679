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
[[nodiscard]] auto run_ticket_command(const options& command_line, std::ostream& out, std::ostream& progress) -> status;

/**
 * @brief Writes a refusal and gives its exit code.
 * @param answer The refusal, as a problem document.
 * @param json Whether to write it as it came.
 * @param out Where results go.
 * @param faults Where faults go.
 * @return `conflict` for a ticket that lost, else `refused`.
 */
[[nodiscard]] auto report_refusal(const net::http_response& response, bool json_output, std::ostream& out,
                                  std::ostream& errors) -> status;

} // namespace rhubarbwharf::command::internal
