#include <charconv>
#include <cstdint>
#include <string>

#include <rhubarbwharf/entry/key_time.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr int decimal = 10;
constexpr int hexadecimal = 16;
constexpr std::size_t time_digits = 13;

[[nodiscard]] auto read(const std::string_view text, const int base) -> std::optional<wall_time> {
    std::int64_t value{};
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (text.empty() || fault != std::errc{} || end != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return wall_time{std::chrono::milliseconds{value}};
}

[[nodiscard]] auto read_uuid(const std::string_view key) -> std::optional<wall_time> {
    constexpr std::size_t uuid_letters = 36;
    constexpr std::size_t high_digits = 8;
    constexpr std::size_t low_place = 9;
    constexpr std::size_t low_digits = 4;
    constexpr std::size_t version_place = 14;
    if (key.size() != uuid_letters || key[high_digits] != '-' || key[version_place - 1U] != '-' ||
        key[version_place] != '7') {
        return std::nullopt;
    }
    return read(std::string{key.substr(0, high_digits)} + std::string{key.substr(low_place, low_digits)}, hexadecimal);
}

} // namespace internal

auto key_time(const std::string_view key, const std::string_view header) -> std::optional<wall_time> {
    if (!header.empty()) {
        return internal::read(header, internal::decimal);
    }
    if (key.size() > internal::time_digits && key[internal::time_digits] == '-') {
        if (const auto made = internal::read(key.substr(0, internal::time_digits), internal::decimal)) {
            return made;
        }
    }
    return internal::read_uuid(key);
}

} // namespace rhubarbwharf::entry
