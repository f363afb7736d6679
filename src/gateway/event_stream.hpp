#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbwharf::gateway {

/*! @brief Bytes that a response may contain without completing an event: those that may wait for a caller, as an event
 * is written at once. Comments do not count as events. */
inline constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024U;

/*! @brief Buffers a body of server-sent events, so that only complete events are forwarded. */
class event_stream {
public:
    /*! @brief Appends received bytes of the body. */
    auto append(std::string_view bytes) -> void;

    /*! @brief Removes all complete events from the buffer. @return Their text with the terminating blank lines; empty
     * if no event is complete. */
    [[nodiscard]] auto take_complete_events() -> std::string;

    /*! @brief Checks whether the buffer holds an incomplete event. */
    [[nodiscard]] auto has_partial_event() const noexcept -> bool { return !m_buffer.empty(); }

    /*! @brief Checks whether more than `max_event_bytes` have come since the last event was complete. */
    [[nodiscard]] auto is_event_too_large() const noexcept -> bool {
        return m_bytes_since_event + m_buffer.size() > max_event_bytes;
    }

    /*! @brief Returns the memory that the buffer takes, in bytes. */
    [[nodiscard]] auto buffered_bytes() const noexcept -> std::size_t { return m_buffer.capacity(); }

    /*! @brief Discards an incomplete event, as when the stream is resumed on another backend server. */
    auto drop_partial_event() noexcept -> void { continue_with({}); }

    /*! @brief Continues with another response to the same request: its buffer replaces this one's, and its last id too
     * if it has one. */
    auto continue_with(event_stream other) -> void;

    /*! @brief Returns the last id among the events taken; empty if none had an id. */
    [[nodiscard]] auto last_event_id() const noexcept -> const std::string& { return m_last_event_id; }

private:
    std::string m_buffer{};
    /*! @brief Bytes at the start of the buffer in which no blank line ends. */
    std::size_t m_searched_bytes{};
    /*! @brief Bytes taken since the last event that was complete. */
    std::size_t m_bytes_since_event{};
    std::string m_last_event_id{};
};

} // namespace rhubarbwharf::gateway
