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

/*! @brief Maximum number of chunks of a version. */
inline constexpr std::uint32_t max_chunks = 65'536;
inline constexpr std::uint32_t max_chunk_bytes = 64U * 1024U * 1024U;

/*! @brief Content of one version of a model. The SHA-256 of its JSON text identifies the version. */
struct manifest {
    std::string m_model{};
    std::string m_version{};
    std::uint64_t m_size_bytes{};
    /*! @brief Size of every chunk except the last one, which may be smaller. */
    std::uint32_t m_chunk_bytes{};
    /*! @brief Digest of the complete content. */
    digest m_content{};
    std::vector<digest> m_chunks{};
    /*! @brief Absolute path of the content at the origin. */
    std::string m_source{};

    [[nodiscard]] auto operator==(const manifest&) const noexcept -> bool = default;
};

/*! @brief Position of a chunk within the content, in bytes. */
struct byte_range {
    std::uint64_t m_offset{};
    std::uint64_t m_size{};

    [[nodiscard]] auto operator==(const byte_range&) const noexcept -> bool = default;
};

/**
 * @brief Parses a manifest and validates every member.
 * @param text JSON text.
 * @return The manifest, or `manifest_malformed` with the reason.
 */
[[nodiscard]] auto parse(std::string_view text) -> result<manifest>;

/**
 * @brief Serialises a manifest.
 * @return JSON text whose SHA-256 is the manifest's digest.
 */
[[nodiscard]] auto serialize(const manifest& value) -> std::string;

/**
 * @brief Returns the position of a chunk within the content.
 * @param chunk Index below the number of chunks.
 */
[[nodiscard]] auto chunk_range(const manifest& value, std::uint32_t chunk) -> byte_range;

/**
 * @brief Finds the chunks of a new version that can be reused from an older one.
 * @param held Chunks of the older version that are available locally.
 * @return Chunks of the new version whose digests occur among the held chunks.
 */
[[nodiscard]] auto shared_chunks(const manifest& old_version, const bit_set& held, const manifest& new_version)
    -> bit_set;

} // namespace rhubarbwharf::distribution
