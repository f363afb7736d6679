#include <charconv>
#include <cstdint>
#include <string>

#include <rhubarbwharf/entry/key_time.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr int decimal = 10;
constexpr int hexadecimal = 16;
constexpr std::size_t timestamp_digits = 13;

[[nodiscard]] auto parse_milliseconds(const std::string_view text, const int base) -> std::optional<wall_time> {
    std::int64_t value{};
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (text.empty() || fault != std::errc{} || end != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return wall_time{std::chrono::milliseconds{value}};
}

[[nodiscard]] auto parse_uuid_time(const std::string_view key) -> std::optional<wall_time> {
    constexpr std::size_t uuid_length = 36;
    constexpr std::size_t high_digits = 8;
    constexpr std::size_t low_position = 9;
    constexpr std::size_t low_digits = 4;
    constexpr std::size_t version_position = 14;
    if (key.size() != uuid_length || key[high_digits] != '-' || key[version_position - 1U] != '-' ||
        key[version_position] != '7') {
        return std::nullopt;
    }
    return parse_milliseconds(
        std::string{key.substr(0, high_digits)} + std::string{key.substr(low_position, low_digits)}, hexadecimal);
}

} // namespace internal

auto parse_key_time(const std::string_view key, const std::string_view header) -> std::optional<wall_time> {
    if (!header.empty()) {
        return internal::parse_milliseconds(header, internal::decimal);
    }
    if (key.size() > internal::timestamp_digits && key[internal::timestamp_digits] == '-') {
        if (const auto created =
                internal::parse_milliseconds(key.substr(0, internal::timestamp_digits), internal::decimal)) {
            return created;
        }
    }
    return internal::parse_uuid_time(key);
}

} // namespace rhubarbwharf::entry
