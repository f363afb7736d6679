#include <rhubarbwharf/core/digest.hpp>

#include "load/answer.hpp"

namespace rhubarbwharf::load {

namespace internal {

constexpr std::string_view data_mark = "data: ";
constexpr std::string_view end_mark = "data: [DONE]";
constexpr std::string_view version_mark = "\"system_fingerprint\":\"";
constexpr std::string_view text_mark = "\"text\":\"";
constexpr std::string_view count_mark = "\"completion_tokens\":";

/*! @brief Returns what stands between a mark and the next quote, comma or brace. */
[[nodiscard]] auto after_mark(const std::string_view text, const std::string_view mark) -> std::string_view {
    const auto found = text.find(mark);
    if (found == std::string_view::npos) {
        return {};
    }
    const auto rest = text.substr(found + mark.size());
    return rest.substr(0U, rest.find_first_of(mark.ends_with('"') ? "\"" : ",}"));
}

auto note_version(answer& into, const std::string_view text) -> void {
    const auto version = after_mark(text, version_mark);
    if (version.empty()) {
        return;
    }
    if (into.m_version.empty()) {
        into.m_version = version;
    }
    into.m_mixed = into.m_mixed || into.m_version != version;
}

auto take_line(answer& into, const std::string_view line) -> std::uint32_t {
    if (line.starts_with(end_mark)) {
        into.m_whole = true;
        return 0U;
    }
    const auto text = line.starts_with(data_mark) ? after_mark(line, text_mark) : std::string_view{};
    if (text.empty()) {
        return 0U;
    }
    note_version(into, line);
    into.m_text_hash = mix(into.m_text_hash, stable_hash(text));
    ++into.m_tokens;
    return 1U;
}

} // namespace internal

auto take_events(answer& into, const std::string_view part) -> std::uint32_t {
    std::uint32_t tokens{};
    into.m_rest.append(part);
    std::size_t taken{};
    for (auto end = into.m_rest.find('\n'); end != std::string::npos; end = into.m_rest.find('\n', taken)) {
        tokens += internal::take_line(into, std::string_view{into.m_rest}.substr(taken, end - taken));
        taken = end + 1U;
    }
    into.m_rest.erase(0U, taken);
    return tokens;
}

auto take_body(answer& into, const std::string_view body) -> void {
    internal::note_version(into, body);
    const auto count = internal::after_mark(body, internal::count_mark);
    for (const auto digit : count) {
        into.m_tokens = digit >= '0' && digit <= '9' ? into.m_tokens * 10U + static_cast<std::uint32_t>(digit - '0')
                                                     : into.m_tokens;
    }
    into.m_text_hash = stable_hash(internal::after_mark(body, internal::text_mark));
    into.m_whole = !count.empty();
}

auto refusal(const std::string_view body) -> std::string {
    const auto name = internal::after_mark(body, "\"name\":\"");
    const auto outcome = internal::after_mark(body, "\"outcome\":\"");
    return name.empty() ? std::string{} : std::string{name}.append("/").append(outcome);
}

} // namespace rhubarbwharf::load
