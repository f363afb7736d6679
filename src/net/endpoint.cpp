#include <boost/asio/ip/address.hpp>
#include <charconv>

#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::net {

namespace internal {

[[nodiscard]] auto parse_port(const std::string_view text) noexcept -> std::optional<std::uint16_t> {
    std::uint16_t port{};
    const auto* const end = text.data() + text.size();
    const auto [stopped, failure] = std::from_chars(text.data(), end, port);
    if (text.empty() || failure != std::errc{} || stopped != end) {
        return std::nullopt;
    }
    return port;
}

} // namespace internal

auto parse_endpoint(const std::string_view text) -> std::optional<endpoint> {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = internal::parse_port(text.substr(colon + 1U));
    auto address = text.substr(0U, colon);
    const auto bracketed = address.size() >= 2U && address.front() == '[' && address.back() == ']';
    if (bracketed) {
        address = address.substr(1U, address.size() - 2U);
    }
    if (address.find_first_not_of("0123456789abcdefABCDEF.:") != std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code failure{};
    const auto number = boost::asio::ip::make_address(std::string{address}, failure);
    if (failure || !port || number.is_v6() != bracketed) {
        return std::nullopt;
    }
    return endpoint{number.to_string(), *port};
}

auto to_string(const endpoint& value) -> std::string {
    const auto is_v6 = value.m_address.find(':') != std::string::npos;
    const auto address = is_v6 ? '[' + value.m_address + ']' : value.m_address;
    return address + ':' + std::to_string(value.m_port);
}

} // namespace rhubarbwharf::net
