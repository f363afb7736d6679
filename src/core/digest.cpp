#include <algorithm>
#include <memory>

#include <openssl/evp.h>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf {

namespace internal {

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr int not_a_digit = -1;

[[nodiscard]] auto hex_value(const char letter) noexcept -> int {
    if (letter >= '0' && letter <= '9') {
        return letter - '0';
    }
    if (letter >= 'a' && letter <= 'f') {
        return letter - 'a' + 10;
    }
    if (letter >= 'A' && letter <= 'F') {
        return letter - 'A' + 10;
    }
    return not_a_digit;
}

} // namespace internal

auto sha256(const std::span<const std::byte> bytes) -> digest {
    digest value{};
    unsigned int written{};
    const auto done = EVP_Digest(bytes.data(), bytes.size(), value.m_bytes.data(), &written, EVP_sha256(), nullptr);
    ensure(done == 1 && written == digest::size_bytes, "SHA-256 is computed whole");
    return value;
}

auto sha256(const std::string_view bytes) -> digest {
    return sha256(std::as_bytes(std::span{bytes.data(), bytes.size()}));
}

auto short_digest(const std::string_view bytes) -> std::uint64_t {
    const auto whole = sha256(bytes);
    std::uint64_t out{};
    std::copy_n(whole.m_bytes.begin(), sizeof(out), reinterpret_cast<std::uint8_t*>(&out));
    return out;
}

auto to_hex(const digest& value) -> std::string {
    std::string text{};
    text.reserve(2U * digest::size_bytes);
    for (const auto byte : value.m_bytes) {
        text.push_back(internal::hex_digits[byte >> 4U]);
        text.push_back(internal::hex_digits[byte & 0x0fU]);
    }
    return text;
}

auto digest_from_hex(const std::string_view text) noexcept -> std::optional<digest> {
    if (text.size() != 2U * digest::size_bytes) {
        return std::nullopt;
    }
    digest value{};
    for (std::size_t index = 0; index < digest::size_bytes; ++index) {
        const auto high = internal::hex_value(text[2U * index]);
        const auto low = internal::hex_value(text[2U * index + 1U]);
        if (high == internal::not_a_digit || low == internal::not_a_digit) {
            return std::nullopt;
        }
        value.m_bytes[index] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return value;
}

auto digest_from_bytes(const std::string_view bytes) noexcept -> std::optional<digest> {
    if (bytes.size() != digest::size_bytes) {
        return std::nullopt;
    }
    digest value{};
    for (std::size_t index = 0; index < digest::size_bytes; ++index) {
        value.m_bytes[index] = static_cast<std::uint8_t>(bytes[index]);
    }
    return value;
}

auto as_bytes(const digest& value) noexcept -> std::string_view {
    return {reinterpret_cast<const char*>(value.m_bytes.data()), value.m_bytes.size()};
}

} // namespace rhubarbwharf
