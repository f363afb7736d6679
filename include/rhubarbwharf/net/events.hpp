#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include <rhubarbwharf/net/fwd.hpp>
#include <rhubarbwharf/net/loop.hpp>

namespace rhubarbwharf::net {

/*! @brief One field of a log line. */
struct event_field {
    std::string_view m_name{};
    std::variant<std::string_view, std::int64_t, double, bool> m_value{};
};

/**
 * @brief Structured log on standard output: one JSON object a line.
 *
 * Lines are gathered and written a few times a second without ever blocking; what a slow reader leaves no room for is
 * dropped, counted, and told by a line `log.dropped`.
 */
class event_log {
public:
    /*! @brief Makes a log. @param owner The loop; outlives the log. @param instance Name that each line carries. */
    event_log(loop& owner, std::string_view instance);
    ~event_log();

    event_log(const event_log&) = delete;
    event_log(event_log&&) = delete;
    auto operator=(const event_log&) -> event_log& = delete;
    auto operator=(event_log&&) -> event_log& = delete;

    /*! @brief Adds a line. @param event What happened, such as `request.sent`. @param fields Its inputs and outcome. */
    auto write(std::string_view event, std::initializer_list<event_field> fields) -> void;

    /*! @brief Writes out as much as the reader takes now. */
    auto flush() -> void;

    /*! @brief Returns the lines dropped so far. @return The count. */
    [[nodiscard]] auto dropped() const noexcept -> std::uint64_t { return m_dropped; }

    /*! @brief Sets where lines go, for tests. @param descriptor An open descriptor; not closed by the log. */
    auto set_descriptor(int descriptor) noexcept -> void { m_descriptor = descriptor; }

private:
    auto flush_later() -> void;

    loop& m_loop;
    std::string m_instance{};
    std::string m_text{};
    std::uint64_t m_dropped{};
    std::uint64_t m_told{};
    int m_descriptor{1};
    bool m_armed{false};
};

} // namespace rhubarbwharf::net
