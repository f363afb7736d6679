#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/distribution/fwd.hpp>

namespace rhubarbwharf::distribution {

/*! @brief Dense set of the chunks 0..size-1. */
class bit_set {
public:
    using word_type = std::uint64_t;
    static constexpr std::uint32_t word_bits = 64U;
    static constexpr std::uint32_t byte_bits = 8U;

    bit_set() = default;

    /*! @brief Makes an empty set. @param size Count of chunks it can hold. */
    explicit bit_set(const std::uint32_t size) : m_words((size + word_bits - 1U) / word_bits), m_size{size} {}

    /*! @brief Returns how many chunks the set can hold. @return The size. */
    [[nodiscard]] auto size() const noexcept -> std::uint32_t { return m_size; }

    /*! @brief Returns how many chunks the set holds. @return The count. */
    [[nodiscard]] auto count() const noexcept -> std::uint32_t { return m_count; }

    /*! @brief Tells whether the set holds every chunk. @return False for a set of size 0. */
    [[nodiscard]] auto full() const noexcept -> bool { return m_size > 0U && m_count == m_size; }

    /*! @brief Tells whether a chunk is held. @param chunk Any number. @return False beyond the size. */
    [[nodiscard]] auto contains(const std::uint32_t chunk) const noexcept -> bool {
        return chunk < m_size && (m_words[chunk / word_bits] >> (chunk % word_bits) & 1U) != 0U;
    }

    /*! @brief Adds a chunk. @param chunk Below the size. @return Whether it was new. */
    auto emplace(const std::uint32_t chunk) noexcept -> bool {
        if (chunk >= m_size || contains(chunk)) {
            return false;
        }
        m_words[chunk / word_bits] |= word_type{1} << (chunk % word_bits);
        ++m_count;
        return true;
    }

    /*! @brief Removes a chunk. @param chunk Any number. @return Whether it was held. */
    auto erase(const std::uint32_t chunk) noexcept -> bool {
        if (!contains(chunk)) {
            return false;
        }
        m_words[chunk / word_bits] &= ~(word_type{1} << (chunk % word_bits));
        --m_count;
        return true;
    }

    /*! @brief Views the words, lowest chunk in the lowest bit of the first. @return The words. */
    [[nodiscard]] auto words() const noexcept -> std::span<const word_type> { return m_words; }

    /*! @brief Calls a function with each held chunk, ascending. @param visit The function. */
    template <typename Visit>
    auto each(Visit visit) const -> void {
        for (std::uint32_t index = 0; index < m_words.size(); ++index) {
            for (auto word = m_words[index]; word != 0U; word &= word - 1U) {
                visit(index * word_bits + static_cast<std::uint32_t>(std::countr_zero(word)));
            }
        }
    }

    /*! @brief Compares sizes and chunks. */
    [[nodiscard]] auto operator==(const bit_set&) const noexcept -> bool = default;

private:
    std::vector<word_type> m_words{};
    std::uint32_t m_size{};
    std::uint32_t m_count{};
};

/*! @brief Writes a set as one bit a chunk, the lowest bit of the first byte first. @param set The set. @return Bytes.
 */
[[nodiscard]] auto to_bytes(const bit_set& set) -> std::string;

/**
 * @brief Reads a set from its bytes.
 * @param bytes As `to_bytes` writes them; missing bytes count as zero, bits beyond the size are left out.
 * @param size Size of the set.
 * @return The set.
 */
[[nodiscard]] auto from_bytes(std::string_view bytes, std::uint32_t size) -> bit_set;

} // namespace rhubarbwharf::distribution
