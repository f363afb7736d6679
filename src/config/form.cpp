#include <config/form.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

#include <boost/asio/ip/address.hpp>

namespace rhubarbwharf::config::internal {

namespace {

constexpr std::size_t name_length_max = 128;
constexpr int number_digits = 15;

[[nodiscard]] auto is_name_letter(const char letter) noexcept -> bool {
    constexpr std::string_view marks = "-_.";
    const auto is_digit = letter >= '0' && letter <= '9';
    const auto is_lower = letter >= 'a' && letter <= 'z';
    const auto is_upper = letter >= 'A' && letter <= 'Z';
    return is_digit || is_lower || is_upper || marks.find(letter) != std::string_view::npos;
}

[[nodiscard]] auto is_name(const std::string_view text) noexcept -> bool {
    return !text.empty() && text.size() <= name_length_max && std::ranges::all_of(text, is_name_letter);
}

[[nodiscard]] auto is_address(const std::string_view text, const unsigned least_port) -> bool {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto port_text = text.substr(colon + 1U);
    unsigned port{};
    const auto* const end = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), end, port);
    constexpr unsigned port_max = 65'535;
    if (parsed.ec != std::errc{} || parsed.ptr != end || port < least_port || port > port_max) {
        return false;
    }
    auto host = text.substr(0U, colon);
    if (host.size() > 2U && host.front() == '[' && host.back() == ']') {
        host = host.substr(1U, host.size() - 2U);
    }
    boost::system::error_code reason{};
    boost::asio::ip::make_address(std::string{host}, reason);
    return !reason;
}

[[nodiscard]] auto is_operation(const std::string_view text) noexcept -> bool {
    const auto space = text.find(' ');
    if (space == std::string_view::npos || space == 0U || space + 1U >= text.size()) {
        return false;
    }
    const auto is_upper = [](const char letter) {
        return letter >= 'A' && letter <= 'Z';
    };
    const auto method = text.substr(0U, space);
    const auto path = text.substr(space + 1U);
    return std::ranges::all_of(method, is_upper) && path.front() == '/' && path.find(' ') == std::string_view::npos;
}

} // namespace

auto has_form(const form which, const std::string_view text) -> bool {
    constexpr std::array<std::string_view, 4> levels{"debug", "info", "warn", "error"};
    switch (which) {
    case form::any:
        return true;
    case form::name:
        return is_name(text);
    case form::address:
        return is_address(text, 1U);
    case form::listen_address:
        return is_address(text, 0U);
    case form::role:
        return text == "entry" || text == "agent";
    case form::node_role:
        return text == "gateway" || text == "loader";
    case form::level:
        return std::ranges::find(levels, text) != levels.end();
    case form::operation:
        return is_operation(text);
    }
    return false;
}

auto allowed(const form which) noexcept -> std::string_view {
    switch (which) {
    case form::any:
        return "any text";
    case form::name:
        return "1 to 128 letters, digits, '-', '_' or '.'";
    case form::address:
        return "IP:PORT, port 1 to 65535";
    case form::listen_address:
        return "IP:PORT, port 0 (any free one) to 65535";
    case form::role:
        return "entry or agent";
    case form::node_role:
        return "gateway or loader";
    case form::level:
        return "debug, info, warn or error";
    case form::operation:
        return "METHOD /path";
    }
    return {};
}

auto number_text(const double value) -> std::string {
    std::ostringstream text{};
    text.precision(number_digits);
    text << value;
    return text.str();
}

auto allowed(const rule& limits) -> std::string {
    auto text = number_text(limits.m_least) + " to " + number_text(limits.m_most);
    if (!limits.m_unit.empty()) {
        text.append(" ").append(limits.m_unit);
    }
    return text;
}

} // namespace rhubarbwharf::config::internal
