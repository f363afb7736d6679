#pragma once

#include <iosfwd>

#include <command/options.hpp>

namespace rhubarbwharf::command::internal {

/**
 * @brief Runs `ticket submit`, `ticket show` and `ticket list`.
 * @param command_line The parsed command line; its first word is `ticket`.
 * @param out Receives results.
 * @param progress Receives progress reports and error messages.
 */
[[nodiscard]] auto run_ticket_command(const options& command_line, std::ostream& out, std::ostream& progress) -> status;

/**
 * @brief Prints an error response and maps it to an exit code.
 * @param response The error response; its body is a problem document.
 * @param json_output Whether to print the body unchanged to `out` instead of a message to `errors`.
 * @param out Receives the JSON document.
 * @param errors Receives the message.
 * @return `conflict` for HTTP status 409, otherwise `refused`.
 */
[[nodiscard]] auto report_refusal(const net::http_response& response, bool json_output, std::ostream& out,
                                  std::ostream& errors) -> status;

} // namespace rhubarbwharf::command::internal
