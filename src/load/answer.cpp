#include <rhubarbwharf/core/digest.hpp>

#include "load/answer.hpp"

namespace rhubarbwharf::load {

namespace internal {

constexpr std::string_view data_prefix = "data: ";
constexpr std::string_view end_marker = "data: [DONE]";
constexpr std::string_view version_key = "\"system_fingerprint\":\"";
constexpr std::string_view text_key = "\"text\":\"";
constexpr std::string_view token_count_key = "\"completion_tokens\":";

/**
 * @brief Extracts the JSON value that follows a key, without parsing the document.
 *
 * Returns the text up to the next quote if the key ends with one, otherwise up to the next comma or brace; empty if
 * the key does not occur.
 */
[[nodiscard]] auto value_after(const std::string_view text, const std::string_view key) -> std::string_view {
    const auto position = text.find(key);
    if (position == std::string_view::npos) {
        return {};
    }
    const auto rest = text.substr(position + key.size());
    return rest.substr(0U, rest.find_first_of(key.ends_with('"') ? "\"" : ",}"));
}

auto record_version(completion& target, const std::string_view text) -> void {
    const auto version = value_after(text, version_key);
    if (version.empty()) {
        return;
    }
    if (target.m_version.empty()) {
        target.m_version = version;
    }
    target.m_is_mixed = target.m_is_mixed || target.m_version != version;
}

auto parse_line(completion& target, const std::string_view line) -> std::uint32_t {
    if (line.starts_with(end_marker)) {
        target.m_is_complete = true;
        return 0U;
    }
    const auto text = line.starts_with(data_prefix) ? value_after(line, text_key) : std::string_view{};
    if (text.empty()) {
        return 0U;
    }
    record_version(target, line);
    target.m_text_hash = mix(target.m_text_hash, stable_hash(text));
    ++target.m_tokens;
    return 1U;
}

} // namespace internal

auto parse_events(completion& target, const std::string_view part) -> std::uint32_t {
    std::uint32_t tokens{};
    target.m_buffer.append(part);
    std::size_t parsed{};
    for (auto end = target.m_buffer.find('\n'); end != std::string::npos; end = target.m_buffer.find('\n', parsed)) {
        tokens += internal::parse_line(target, std::string_view{target.m_buffer}.substr(parsed, end - parsed));
        parsed = end + 1U;
    }
    target.m_buffer.erase(0U, parsed);
    return tokens;
}

auto parse_body(completion& target, const std::string_view body) -> void {
    internal::record_version(target, body);
    const auto token_count = internal::value_after(body, internal::token_count_key);
    for (const auto character : token_count) {
        target.m_tokens = character >= '0' && character <= '9'
                              ? target.m_tokens * 10U + static_cast<std::uint32_t>(character - '0')
                              : target.m_tokens;
    }
    target.m_text_hash = stable_hash(internal::value_after(body, internal::text_key));
    target.m_is_complete = !token_count.empty();
}

auto refusal_reason(const std::string_view body) -> std::string {
    const auto name = internal::value_after(body, "\"name\":\"");
    const auto outcome = internal::value_after(body, "\"outcome\":\"");
    return name.empty() ? std::string{} : std::string{name}.append("/").append(outcome);
}

} // namespace rhubarbwharf::load
