#pragma once

#include <string_view>

#include <boost/system/error_code.hpp>

namespace rhubarbwharf::net::internal {

/**
 * @brief Decides whether the end of a connection's input is the end of a body that has neither length nor chunks.
 *
 * The kernel reports an error of a connection once. If a write takes it, the next read sees an end of input like that
 * of a server that has closed. `broken_pipe` alone says that the server had ended its output before it dropped the
 * connection.
 *
 * @param read Failure of the read.
 * @param write Failure of the first write that failed; none if all succeeded.
 * @return Whether the body is whole.
 */
[[nodiscard]] auto is_whole_at_end(boost::system::error_code read, boost::system::error_code write) noexcept -> bool;

/**
 * @brief Checks whether a response to a request that asks for no other protocol may have a status (RFC 9110, section
 * 15).
 * @param status The status.
 * @return Whether it is one of 100 to 599, and not 101.
 */
[[nodiscard]] auto is_valid_status(unsigned status) noexcept -> bool;

/**
 * @brief Checks whether a field goes on in a further line (obsolete line folding, RFC 9112, section 5.2). The library
 * joins such lines, so that a field whose name was preceded by a blank is lost in the value before it.
 * @param rest What has arrived, from the name of the field on, with the byte behind its line at least.
 * @return Whether it does.
 */
[[nodiscard]] auto is_folded(std::string_view rest) noexcept -> bool;

/**
 * @brief Checks whether the transfer coding of a response can be undone. The field is not passed on, so that bytes in
 * any other coding would pass for the plain body.
 * @param coding Value of the field `Transfer-Encoding`.
 * @param version Version of the response, 10 or 11; chunks need 11.
 * @return Whether it is `chunked` alone.
 */
[[nodiscard]] auto is_known_coding(std::string_view coding, int version) noexcept -> bool;

} // namespace rhubarbwharf::net::internal
