#include <algorithm>

#include <gateway/event_stream.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

constexpr std::string_view blank_line = "\n\n";
constexpr std::string_view blank_line_cr = "\r\n\r\n";

namespace {

/*! @brief Returns the length up to and with the last blank line, or 0. */
[[nodiscard]] auto whole_length(const std::string_view text) noexcept -> std::size_t {
    const auto plain = text.rfind(blank_line);
    const auto with_cr = text.rfind(blank_line_cr);
    const auto plain_end = plain == std::string_view::npos ? 0U : plain + blank_line.size();
    const auto cr_end = with_cr == std::string_view::npos ? 0U : with_cr + blank_line_cr.size();
    return std::max(plain_end, cr_end);
}

/*! @brief Returns the value of the last `id` line, or nothing. */
[[nodiscard]] auto last_id_of(const std::string_view text) -> std::optional<std::string> {
    std::optional<std::string> out{};
    std::size_t at{};
    while (at < text.size()) {
        const auto end = std::min(text.find('\n', at), text.size());
        auto line = text.substr(at, end - at);
        if (line.ends_with('\r')) {
            line.remove_suffix(1U);
        }
        if (line.starts_with("id:")) {
            line.remove_prefix(3U);
            line.remove_prefix(line.starts_with(' ') ? 1U : 0U);
            out = std::string{line};
        }
        at = end + 1U;
    }
    return out;
}

} // namespace

} // namespace internal

auto event_stream::feed(const std::string_view bytes) -> void {
    m_text.append(bytes);
}

auto event_stream::take() -> std::string {
    const auto length = internal::whole_length(m_text);
    auto out = m_text.substr(0U, length);
    m_text.erase(0U, length);
    if (auto id = internal::last_id_of(out)) {
        m_last_id = std::move(*id);
    }
    return out;
}

} // namespace rhubarbwharf::gateway
