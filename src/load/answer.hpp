#pragma once

#include <string>
#include <string_view>

#include "load/options.hpp"

namespace rhubarbwharf::load {

/*! @brief Response to a completion request, parsed as it arrives. */
struct completion {
    /*! @brief HTTP status; 0 until the response head has arrived. */
    std::uint16_t m_status{};
    std::uint32_t m_tokens{};
    /*! @brief Whether the end marker of the stream, or a body with a token count, has been parsed. */
    bool m_is_complete{};
    /*! @brief Whether parts of the response come from different versions. */
    bool m_is_mixed{};
    /*! @brief First `system_fingerprint` of the response; empty until one has arrived. */
    std::string m_version{};
    /*! @brief Hash of the generated text, to compare completions of the same prompt. */
    std::uint64_t m_text_hash{};
    /*! @brief Bytes received but not parsed yet: a partial line of a stream, or the body so far. */
    std::string m_buffer{};
};

/**
 * @brief Parses the next part of a stream of server-sent events.
 * @param target The completion to update.
 * @param part Bytes as received; may end anywhere in a line.
 * @return Number of tokens in the lines that the part completed.
 */
auto parse_events(completion& target, std::string_view part) -> std::uint32_t;

/**
 * @brief Parses the complete body of a response that is not streamed.
 * @param target The completion to update.
 * @param body JSON body.
 */
auto parse_body(completion& target, std::string_view body) -> void;

/**
 * @brief Extracts the result code from an error response.
 * @param body Body of type `application/problem+json`.
 * @return `NAME/OUTCOME`; empty if the body holds no result code.
 */
[[nodiscard]] auto refusal_reason(std::string_view body) -> std::string;

} // namespace rhubarbwharf::load
