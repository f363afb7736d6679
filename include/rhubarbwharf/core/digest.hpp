#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <rhubarbwharf/core/fwd.hpp>

namespace rhubarbwharf {

/*! @brief SHA-256 digest of a chunk, a manifest, a key or a body. */
struct digest {
    static constexpr std::size_t size_bytes = 32;

    std::array<std::uint8_t, size_bytes> m_bytes{};

    /*! @brief Orders digests by their bytes. */
    [[nodiscard]] constexpr auto operator<=>(const digest&) const noexcept = default;
};

/**
 * @brief Computes SHA-256.
 * @param bytes Bytes to digest; may be empty.
 * @return The digest.
 */
[[nodiscard]] auto sha256(std::span<const std::byte> bytes) -> digest;

/*! @copydoc sha256(std::span<const std::byte>) */
[[nodiscard]] auto sha256(std::string_view bytes) -> digest;

/*! @brief Returns the first 64 bits of the SHA-256 digest, for tables that are bounded anyway. */
[[nodiscard]] auto short_digest(std::string_view bytes) -> std::uint64_t;

/**
 * @brief Writes a digest as 64 lower-case hexadecimal digits.
 * @param value The digest.
 * @return The digits.
 */
[[nodiscard]] auto to_hex(const digest& value) -> std::string;

/**
 * @brief Reads a digest from 64 hexadecimal digits.
 * @param text The digits, either case.
 * @return The digest, or nothing if the text is not 64 hexadecimal digits.
 */
[[nodiscard]] auto digest_from_hex(std::string_view text) noexcept -> std::optional<digest>;

/**
 * @brief Reads a digest from its 32 raw bytes.
 * @param bytes The bytes.
 * @return The digest, or nothing if there are not exactly 32 bytes.
 */
[[nodiscard]] auto digest_from_bytes(std::string_view bytes) noexcept -> std::optional<digest>;

/**
 * @brief Views a digest as raw bytes.
 * @param value The digest; the view lives as long as it does.
 * @return A view of 32 bytes.
 */
[[nodiscard]] auto as_bytes(const digest& value) noexcept -> std::string_view;

/**
 * @brief Mixes two numbers into one that is evenly spread, for rendezvous hashing.
 * @param left First number.
 * @param right Second number.
 * @return The mixed number, alike on every machine.
 */
[[nodiscard]] constexpr auto mix(const std::uint64_t left, const std::uint64_t right) noexcept -> std::uint64_t {
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15U;
    constexpr std::uint64_t first_factor = 0xbf58476d1ce4e5b9U;
    constexpr std::uint64_t second_factor = 0x94d049bb133111ebU;
    auto value = left + golden_ratio * (right + 1U);
    value = (value ^ (value >> 30U)) * first_factor;
    value = (value ^ (value >> 27U)) * second_factor;
    return value ^ (value >> 31U);
}

/**
 * @brief Hashes text to a number that is alike on every machine (FNV-1a).
 * @param text The text.
 * @return The number.
 */
[[nodiscard]] constexpr auto stable_hash(const std::string_view text) noexcept -> std::uint64_t {
    constexpr std::uint64_t offset_basis = 0xcbf29ce484222325U;
    constexpr std::uint64_t prime = 0x100000001b3U;
    auto value = offset_basis;
    for (const auto letter : text) {
        value = (value ^ static_cast<std::uint8_t>(letter)) * prime;
    }
    return mix(value, 0U);
}

} // namespace rhubarbwharf

/*! @brief Hashes digests for the standard containers. */
template <>
struct std::hash<rhubarbwharf::digest> {
    [[nodiscard]] auto operator()(const rhubarbwharf::digest& value) const noexcept -> std::size_t {
        std::size_t folded{};
        for (std::size_t index = 0; index < sizeof(folded); ++index) {
            folded = (folded << 8U) | value.m_bytes[index];
        }
        return folded;
    }
};
