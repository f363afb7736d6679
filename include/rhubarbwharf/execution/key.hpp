#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/execution/fwd.hpp>

namespace rhubarbwharf::execution {

/*! @brief Shortened SHA-256 that names an idempotency key, or the content of a call. */
struct call_key {
    static constexpr std::size_t size_bytes = 16;

    std::array<std::uint8_t, size_bytes> m_bytes{};

    /*! @brief Orders keys by their bytes. */
    [[nodiscard]] constexpr auto operator<=>(const call_key&) const noexcept = default;
};

/**
 * @brief Names an idempotency key; keys of two organisations or services never meet.
 * @param organisation The caller's organisation.
 * @param service The plain service.
 * @param key The idempotency key as the caller gave it.
 * @return The name.
 */
[[nodiscard]] auto name_key(std::string_view organisation, std::string_view service, std::string_view key) -> call_key;

/**
 * @brief Names the content of a call, so that a key used again for another call is noticed.
 * @param method HTTP method.
 * @param target HTTP target.
 * @param body HTTP body.
 * @return The name.
 */
[[nodiscard]] auto name_content(std::string_view method, std::string_view target, std::string_view body) -> call_key;

/**
 * @brief Picks the shard of a key, alike on every machine.
 * @param key The key.
 * @param shards Count of shards of the service, at least one.
 * @return The shard.
 */
[[nodiscard]] auto shard_of(const call_key& key, std::uint32_t shards) -> shard_id;

/**
 * @brief Views a key as raw bytes.
 * @param key The key; the view lives as long as it does.
 * @return A view of 16 bytes.
 */
[[nodiscard]] auto as_bytes(const call_key& key) noexcept -> std::string_view;

} // namespace rhubarbwharf::execution

/*! @brief Hashes keys for the standard containers. */
template <>
struct std::hash<rhubarbwharf::execution::call_key> {
    [[nodiscard]] auto operator()(const rhubarbwharf::execution::call_key& key) const noexcept -> std::size_t {
        std::size_t folded{};
        for (std::size_t index = 0; index < sizeof(folded); ++index) {
            folded = (folded << 8U) | key.m_bytes[index];
        }
        return folded;
    }
};
