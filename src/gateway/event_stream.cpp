#include <algorithm>
#include <utility>

#include <gateway/event_stream.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

constexpr std::string_view blank_line = "\n\n";
constexpr std::string_view blank_line_crlf = "\r\n\r\n";

namespace {

/*! @brief Returns the length of the text up to and including the last blank line; 0 if there is none. */
[[nodiscard]] auto complete_events_length(const std::string_view text) noexcept -> std::size_t {
    const auto lf = text.rfind(blank_line);
    const auto crlf = text.rfind(blank_line_crlf);
    const auto lf_end = lf == std::string_view::npos ? 0U : lf + blank_line.size();
    const auto crlf_end = crlf == std::string_view::npos ? 0U : crlf + blank_line_crlf.size();
    return std::max(lf_end, crlf_end);
}

/*! @brief Returns the value of the last `id` line, if any. */
[[nodiscard]] auto last_id_of(const std::string_view text) -> std::optional<std::string> {
    std::optional<std::string> out{};
    std::size_t position{};
    while (position < text.size()) {
        const auto end = std::min(text.find('\n', position), text.size());
        auto line = text.substr(position, end - position);
        if (line.ends_with('\r')) {
            line.remove_suffix(1U);
        }
        if (line.starts_with("id:")) {
            line.remove_prefix(3U);
            line.remove_prefix(line.starts_with(' ') ? 1U : 0U);
            out = std::string{line};
        }
        position = end + 1U;
    }
    return out;
}

} // namespace

} // namespace internal

auto event_stream::append(const std::string_view bytes) -> void {
    m_buffer.append(bytes);
}

auto event_stream::take_complete_events() -> std::string {
    const auto length = internal::complete_events_length(m_buffer);
    auto out = m_buffer.substr(0U, length);
    m_buffer.erase(0U, length);
    if (auto id = internal::last_id_of(out)) {
        m_last_event_id = std::move(*id);
    }
    return out;
}

auto event_stream::continue_with(event_stream other) -> void {
    m_buffer = std::move(other.m_buffer);
    if (!other.m_last_event_id.empty()) {
        m_last_event_id = std::move(other.m_last_event_id);
    }
}

} // namespace rhubarbwharf::gateway
