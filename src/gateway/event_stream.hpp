#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbwharf::gateway {

/*! @brief Splits a body of server-sent events, so that only whole events are passed on. */
class event_stream {
public:
    /*! @brief Adds bytes of the body. @param bytes The bytes. */
    auto feed(std::string_view bytes) -> void;

    /*! @brief Takes all whole events. @return Their text, blank lines included; empty if none is whole. */
    [[nodiscard]] auto take() -> std::string;

    /*! @brief Tells whether part of an event is held. @return Whether so. */
    [[nodiscard]] auto has_part() const noexcept -> bool { return !m_text.empty(); }

    /*! @brief Drops part of an event, as when the stream goes on at another backend server. */
    auto drop_part() noexcept -> void { m_text.clear(); }

    /*! @brief Returns the id of the last event taken. @return The id; empty if none had one. */
    [[nodiscard]] auto last_id() const noexcept -> const std::string& { return m_last_id; }

private:
    std::string m_text{};
    std::string m_last_id{};
};

} // namespace rhubarbwharf::gateway
