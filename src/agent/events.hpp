#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarbwharf::agent {

/*! @brief Incremental scanner for the body of an engine's answer; splits it into complete server-sent events. */
struct event_scanner {
    /*! @brief Whether the body is a stream of server-sent events; any other body is buffered up to its end. */
    bool m_is_stream{};
    /*! @brief First 16 hexadecimal digits of the content digest of the expected version; empty to skip the check. */
    std::string m_expected_fingerprint{};
    /*! @brief Bytes received that do not yet form a complete event. */
    std::string m_rest{};
    /*! @brief Whether the body is complete: the end marker of a stream has arrived, or `finish` returned the body. */
    bool m_is_done{};
    /*! @brief Number of fingerprints seen that match the expected version. */
    std::uint32_t m_matching_fingerprints{};
    /*! @brief Whether a fingerprint of another version was seen. */
    bool m_has_other_version{};
};

/*! @brief Complete events that may be forwarded. */
struct event_batch {
    std::string m_bytes{};
    std::uint32_t m_tokens{};
};

/*! @brief Maximum size of an event, or of an answer that is not a stream, in bytes. */
inline constexpr std::size_t max_event_bytes = 4U << 20U;

/*! @brief Bytes that the incomplete answers of all attempts may take. Reading one takes three to four times its bytes,
 * as its buffer is copied while it grows, and the smallest machines of agents have 128 MB. */
inline constexpr std::size_t max_held_bytes = 16U << 20U;

/**
 * @brief Appends received bytes and returns the events that are complete.
 *
 * Each data event except the end marker counts as a token. The events are searched for fingerprints, but not parsed as
 * JSON. Neither an event with the fingerprint of another version nor any later event is returned.
 * @return The events; empty if none is complete.
 */
[[nodiscard]] auto scan(event_scanner& scanner, std::string_view bytes) -> event_batch;

/**
 * @brief Returns the buffered body at the end of an answer that is not a stream.
 * @return The body, with a token count of 0; empty for streams and for answers of another version.
 */
[[nodiscard]] auto finish(event_scanner& scanner) -> event_batch;

/*! @brief Checks whether the buffered bytes exceed the maximum size of an event; the answer must be aborted then. */
[[nodiscard]] auto is_oversize(const event_scanner& scanner) noexcept -> bool;

/*! @brief Returns the memory that the buffered bytes take, in bytes. */
[[nodiscard]] auto held_bytes(const event_scanner& scanner) noexcept -> std::size_t;

} // namespace rhubarbwharf::agent
