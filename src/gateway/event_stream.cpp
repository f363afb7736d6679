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

/*! @brief What a text of whole lines contains. */
struct event_scan {
    /*! @brief Value of the last `id` line, if any. */
    std::optional<std::string> m_last_id{};
    /*! @brief Length of the text up to and including the blank line of the last event; 0 if there is none. */
    std::size_t m_events_length{};
};

/*! @brief Finds the last id and the end of the last event; a block without `id` and `data` is no event. */
[[nodiscard]] auto scan_events(const std::string_view text) -> event_scan {
    event_scan out{};
    auto in_event = false;
    std::size_t position{};
    while (position < text.size()) {
        const auto end = std::min(text.find('\n', position), text.size());
        auto line = text.substr(position, end - position);
        if (line.ends_with('\r')) {
            line.remove_suffix(1U);
        }
        position = end + 1U;
        if (line.empty() && std::exchange(in_event, false)) {
            out.m_events_length = std::min(position, text.size());
        }
        in_event = in_event || line.starts_with("id:") || line.starts_with("data");
        if (line.starts_with("id:")) {
            line.remove_prefix(3U);
            line.remove_prefix(line.starts_with(' ') ? 1U : 0U);
            out.m_last_id = std::string{line};
        }
    }
    return out;
}

} // namespace

} // namespace internal

auto event_stream::append(const std::string_view bytes) -> void {
    m_buffer.append(bytes);
}

auto event_stream::take_complete_events() -> std::string {
    const auto overlap = internal::blank_line_crlf.size() - 1U;
    const auto start = m_searched_bytes - std::min(m_searched_bytes, overlap);
    const auto found = internal::complete_events_length(std::string_view{m_buffer}.substr(start));
    const auto length = found == 0U ? 0U : start + found;
    auto out = m_buffer.substr(0U, length);
    m_buffer.erase(0U, length);
    m_searched_bytes = m_buffer.size();
    auto scan = internal::scan_events(out);
    m_bytes_since_event = out.size() - scan.m_events_length + (scan.m_events_length > 0U ? 0U : m_bytes_since_event);
    if (scan.m_last_id) {
        m_last_event_id = std::move(*scan.m_last_id);
    }
    return out;
}

auto event_stream::continue_with(event_stream other) -> void {
    m_buffer = std::move(other.m_buffer);
    m_searched_bytes = other.m_searched_bytes;
    m_bytes_since_event = other.m_bytes_since_event;
    if (!other.m_last_event_id.empty()) {
        m_last_event_id = std::move(other.m_last_event_id);
    }
}

} // namespace rhubarbwharf::gateway
