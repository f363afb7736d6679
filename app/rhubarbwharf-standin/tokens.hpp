#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::standin {

/*! @brief Hexadecimal digits of the content digest that a response carries in `system_fingerprint`. */
inline constexpr std::size_t fingerprint_digits = 16;

/*! @brief Number of tokens generated if the request sets no `max_tokens`. */
inline constexpr std::uint32_t default_max_tokens = 16;

/*! @brief Returns `prompt`, or the concatenated contents of all `messages`; empty if the request has neither. */
[[nodiscard]] inline auto prompt_of(const boost::json::object& request) -> std::string {
    if (const auto* prompt = request.if_contains("prompt"); prompt != nullptr && prompt->is_string()) {
        return std::string{prompt->get_string()};
    }
    std::string text{};
    const auto* messages = request.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        return text;
    }
    for (const auto& message : messages->get_array()) {
        const auto* content = message.is_object() ? message.get_object().if_contains("content") : nullptr;
        if (content != nullptr && content->is_string()) {
            text.append(content->get_string());
        }
    }
    return text;
}

/**
 * @brief Computes one token of a response; equal arguments always give the same token.
 * @param fingerprint The first `fingerprint_digits` digits of the digest of the loaded content.
 * @param index Index of the token in the response, from 0.
 * @return The token, followed by a space.
 */
[[nodiscard]] inline auto token_at(const std::string_view prompt, const std::string_view fingerprint,
                                   const std::uint64_t index) -> std::string {
    constexpr std::string_view letters = "bcdfghjklmnpqrst";
    constexpr auto length = 5;
    auto value = mix(mix(stable_hash(prompt), stable_hash(fingerprint)), index);
    std::string token{};
    for (auto position = 0; position < length; ++position) {
        token.push_back(letters[value & 0x0fU]);
        value >>= 4U;
    }
    token.push_back(' ');
    return token;
}

} // namespace rhubarbwharf::standin
