#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::command::internal {

/*! @brief Where commands go, and with whose key. */
struct admin_target {
    net::endpoint m_server{};
    std::string m_key{};
};

/**
 * @brief Sends one request to an admin listener and waits for the whole answer.
 * @param target Where it goes.
 * @param method HTTP method.
 * @param path Path with query.
 * @param body JSON, or empty.
 * @return The answer, or nothing if none came whole.
 */
[[nodiscard]] auto send_request(const admin_target& target, std::string_view method, std::string_view path,
                                std::string body) -> std::optional<net::http_response>;

} // namespace rhubarbwharf::command::internal
