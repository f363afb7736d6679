#pragma once

#include <string>
#include <string_view>

#include "load/options.hpp"

namespace rhubarbwharf::load {

/*! @brief What is known of one answer so far. */
struct completion {
    std::uint16_t m_status{};
    std::uint32_t m_tokens{};
    /*! @brief Whether the stream's end mark, or the whole body, has come. */
    bool m_is_complete{};
    /*! @brief Whether two versions were seen in it. */
    bool m_is_mixed{};
    std::string m_version{};
    /*! @brief Hash over all text, to compare answers to the same prompt. */
    std::uint64_t m_text_hash{};
    /*! @brief Bytes of a line or body that is not whole yet. */
    std::string m_buffer{};
};

/**
 * @brief Takes a part of a stream of server-sent events.
 * @param into The answer.
 * @param part The part; may end anywhere in a line.
 * @return Tokens that the part completed.
 */
auto parse_events(completion& target, std::string_view part) -> std::uint32_t;

/**
 * @brief Takes the whole body of an answer that is not streamed.
 * @param into The answer.
 * @param body The body.
 */
auto parse_body(completion& target, std::string_view body) -> void;

/**
 * @brief Returns the result code of a refusal.
 * @param body The body, `application/problem+json`.
 * @return `NAME/OUTCOME`, or an empty text.
 */
[[nodiscard]] auto refusal_reason(std::string_view body) -> std::string;

} // namespace rhubarbwharf::load
