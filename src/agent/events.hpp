#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarbwharf::agent {

/*! @brief Body of an engine's answer as it comes in, cut at the ends of whole server-sent events. */
struct event_scanner {
    /*! @brief Whether the body is a stream of server-sent events; else it is held back until its end. */
    bool m_is_stream{};
    /*! @brief First 16 hexadecimal digits of the content that the answer must come from; empty for none. */
    std::string m_expected_fingerprint{};
    /*! @brief Bytes after the last whole event. */
    std::string m_rest{};
    /*! @brief Whether the end mark of a stream has come. */
    bool m_is_done{};
    /*! @brief Marks of the right version that have come. */
    std::uint32_t m_matching_fingerprints{};
    /*! @brief Whether a mark of another version has come. */
    bool m_has_other_version{};
};

/*! @brief Whole events that may be passed on. */
struct event_batch {
    std::string m_bytes{};
    std::uint32_t m_tokens{};
};

/*! @brief Largest event, or largest answer that is no stream, in bytes. */
inline constexpr std::size_t max_event_bytes = 4U << 20U;

/**
 * @brief Takes bytes in and gives out the whole events, with their count of tokens (events of data but the end mark).
 * Nothing is parsed as JSON. From an event of another version on nothing is given out.
 * @param scanner The scanner.
 * @param bytes The bytes.
 * @return The events; empty if none is whole yet.
 */
[[nodiscard]] auto scan(event_scanner& scanner, std::string_view bytes) -> event_batch;

/**
 * @brief Gives out what is held back at the end of an answer that is no stream.
 * @param scanner The scanner.
 * @return The rest.
 */
[[nodiscard]] auto finish(event_scanner& scanner) -> event_batch;

/**
 * @brief Returns whether more is held back than an event may have.
 * @param scanner The scanner.
 * @return Whether the answer must be ended.
 */
[[nodiscard]] auto is_oversize(const event_scanner& scanner) noexcept -> bool;

} // namespace rhubarbwharf::agent
