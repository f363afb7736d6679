#include <algorithm>

#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::net {

namespace internal {

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr std::uint8_t first_printable = 0x20U;

[[nodiscard]] auto lower(const char letter) noexcept -> char {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

[[nodiscard]] auto same_letter(const char left, const char right) noexcept -> bool {
    return lower(left) == lower(right);
}

auto append_escaped(std::string& out, const char letter) -> void {
    const auto byte = static_cast<std::uint8_t>(letter);
    if (letter == '"' || letter == '\\') {
        out.push_back('\\');
        out.push_back(letter);
    } else if (letter == '\n') {
        out.append("\\n");
    } else if (letter == '\r') {
        out.append("\\r");
    } else if (letter == '\t') {
        out.append("\\t");
    } else if (byte < first_printable) {
        out.append("\\u00");
        out.push_back(hex_digits[byte >> 4U]);
        out.push_back(hex_digits[byte & 0x0fU]);
    } else {
        out.push_back(letter);
    }
}

} // namespace internal

auto is_same_name(const std::string_view left, const std::string_view right) noexcept -> bool {
    return std::ranges::equal(left, right, internal::same_letter);
}

auto find(const std::vector<header>& headers, const std::string_view name) noexcept -> std::string_view {
    const auto found =
        std::ranges::find_if(headers, [name](const header& field) { return is_same_name(field.m_name, name); });
    return found == headers.end() ? std::string_view{} : std::string_view{found->m_value};
}

auto json_string(const std::string_view text) -> std::string {
    std::string out{};
    out.reserve(text.size() + 2U);
    out.push_back('"');
    for (const auto letter : text) {
        internal::append_escaped(out, letter);
    }
    out.push_back('"');
    return out;
}

auto problem(const code value, const outcome ran, const std::string_view detail, const duration retry_after)
    -> http_response {
    const auto& info = describe(value);
    http_response response{info.m_http_status, {{"Content-Type", "application/problem+json"}}, {}};
    auto& body = response.m_body;
    body.append("{\"type\":\"urn:rhubarbwharf:problem:").append(info.m_name);
    body.append("\",\"title\":").append(json_string(info.m_meaning));
    body.append(",\"status\":").append(std::to_string(info.m_http_status));
    if (!detail.empty()) {
        body.append(",\"detail\":").append(json_string(detail));
    }
    body.append(",\"code\":").append(std::to_string(static_cast<unsigned>(value)));
    body.append(",\"name\":").append(json_string(info.m_name));
    body.append(",\"outcome\":").append(json_string(rhubarbwharf::to_string(ran)));
    body.push_back('}');
    if (retry_after > duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
        response.m_headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return response;
}

} // namespace rhubarbwharf::net
