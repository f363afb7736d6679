#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::command::internal {

/*! @brief Admin listener that commands are sent to, and the credentials for it. */
struct admin_target {
    net::endpoint m_server{};
    /*! @brief Operator's API key; empty sends no `Authorization` header. */
    std::string m_key{};
};

/**
 * @brief Sends one request to an admin listener and blocks until the response is complete.
 * @param target The admin listener.
 * @param method HTTP method.
 * @param path Path with query.
 * @param body JSON document; empty for a request without a body.
 * @return The response of any status, or nothing if no complete response arrived within the timeout.
 */
[[nodiscard]] auto send_request(const admin_target& target, std::string_view method, std::string_view path,
                                std::string body) -> std::optional<net::http_response>;

} // namespace rhubarbwharf::command::internal
