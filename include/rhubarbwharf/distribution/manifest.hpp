#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/core/result.hpp>
#include <rhubarbwharf/distribution/bit_set.hpp>
#include <rhubarbwharf/distribution/fwd.hpp>

namespace rhubarbwharf::distribution {

/*! @brief Largest count of chunks of one version. */
inline constexpr std::uint32_t max_chunks = 65'536;
/*! @brief Largest chunk in bytes. */
inline constexpr std::uint32_t max_chunk_bytes = 64U * 1024U * 1024U;

/*! @brief What one version of a model is made of. The digest of its JSON text names the version. */
struct manifest {
    std::string m_model{};
    std::string m_version{};
    std::uint64_t m_size_bytes{};
    /*! @brief Size of every chunk but the last one, which may be smaller. */
    std::uint32_t m_chunk_bytes{};
    /*! @brief Digest of the whole content. */
    digest m_content{};
    std::vector<digest> m_chunks{};
    /*! @brief Path of the content at the origin. */
    std::string m_source{};

    [[nodiscard]] auto operator==(const manifest&) const noexcept -> bool = default;
};

/*! @brief Bytes of a chunk within the content. */
struct byte_range {
    std::uint64_t m_first{};
    std::uint64_t m_size{};

    [[nodiscard]] auto operator==(const byte_range&) const noexcept -> bool = default;
};

/**
 * @brief Reads a manifest and checks every member.
 * @param text JSON text.
 * @return The manifest, or `manifest_malformed` with what is wrong.
 */
[[nodiscard]] auto parse(std::string_view text) -> result<manifest>;

/**
 * @brief Writes a manifest as JSON text.
 * @param value The manifest.
 * @return The text, of which the SHA-256 is the manifest's digest.
 */
[[nodiscard]] auto write(const manifest& value) -> std::string;

/**
 * @brief Returns the bytes of a chunk.
 * @param value The manifest.
 * @param chunk Below the count of chunks.
 * @return The range.
 */
[[nodiscard]] auto range(const manifest& value, std::uint32_t chunk) -> byte_range;

/**
 * @brief Finds the chunks of a new version that an older one shares.
 * @param old_version The older manifest.
 * @param held Chunks of the older version that are held.
 * @param new_version The newer manifest.
 * @return Chunks of the newer version of which the bytes are held.
 */
[[nodiscard]] auto shared(const manifest& old_version, const bit_set& held, const manifest& new_version) -> bit_set;

} // namespace rhubarbwharf::distribution
