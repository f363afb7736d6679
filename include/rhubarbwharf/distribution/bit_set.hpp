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

/*! @brief Dense set of chunk indices in the range [0, size). */
class bit_set {
public:
    using word_type = std::uint64_t;
    static constexpr std::uint32_t word_bits = 64U;
    static constexpr std::uint32_t byte_bits = 8U;

    bit_set() = default;

    /*! @brief Creates an empty set. @param size Exclusive upper bound of the chunk indices. */
    explicit bit_set(const std::uint32_t size) : m_words((size + word_bits - 1U) / word_bits), m_size{size} {}

    /*! @brief Returns the exclusive upper bound of the chunk indices. */
    [[nodiscard]] auto size() const noexcept -> std::uint32_t { return m_size; }

    /*! @brief Returns the number of chunks in the set. */
    [[nodiscard]] auto count() const noexcept -> std::uint32_t { return m_count; }

    /*! @brief Checks whether the set contains every chunk; false for a set of size 0. */
    [[nodiscard]] auto full() const noexcept -> bool { return m_size > 0U && m_count == m_size; }

    /*! @brief Checks whether the set contains a chunk; false for an index beyond the size. */
    [[nodiscard]] auto contains(const std::uint32_t chunk) const noexcept -> bool {
        return chunk < m_size && (m_words[chunk / word_bits] >> (chunk % word_bits) & 1U) != 0U;
    }

    /*! @brief Adds a chunk. @return False if it was already contained or is beyond the size. */
    auto emplace(const std::uint32_t chunk) noexcept -> bool {
        if (chunk >= m_size || contains(chunk)) {
            return false;
        }
        m_words[chunk / word_bits] |= word_type{1} << (chunk % word_bits);
        ++m_count;
        return true;
    }

    /*! @brief Removes a chunk. @return False if it was not contained. */
    auto erase(const std::uint32_t chunk) noexcept -> bool {
        if (!contains(chunk)) {
            return false;
        }
        m_words[chunk / word_bits] &= ~(word_type{1} << (chunk % word_bits));
        --m_count;
        return true;
    }

    /*! @brief Returns the underlying words; chunk 0 is the lowest bit of the first word. */
    [[nodiscard]] auto words() const noexcept -> std::span<const word_type> { return m_words; }

    /*! @brief Calls a function with each contained chunk, in ascending order. */
    template <typename Visit>
    auto each(Visit visit) const -> void {
        for (std::uint32_t index = 0; index < m_words.size(); ++index) {
            for (auto word = m_words[index]; word != 0U; word &= word - 1U) {
                visit(index * word_bits + static_cast<std::uint32_t>(std::countr_zero(word)));
            }
        }
    }

    [[nodiscard]] auto operator==(const bit_set&) const noexcept -> bool = default;

private:
    std::vector<word_type> m_words{};
    std::uint32_t m_size{};
    std::uint32_t m_count{};
};

/*! @brief Serialises a set as one bit per chunk; chunk 0 is the lowest bit of the first byte. */
[[nodiscard]] auto to_bytes(const bit_set& set) -> std::string;

/**
 * @brief Deserialises a set.
 * @param bytes Output of `to_bytes`; missing bytes are read as zero, bits beyond the size are ignored.
 */
[[nodiscard]] auto from_bytes(std::string_view bytes, std::uint32_t size) -> bit_set;

} // namespace rhubarbwharf::distribution
