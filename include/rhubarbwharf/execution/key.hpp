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

/*! @brief Truncated SHA-256 of an idempotency key or of the content of a call. */
struct call_key {
    static constexpr std::size_t size_bytes = 16;

    std::array<std::uint8_t, size_bytes> m_bytes{};

    /*! @brief Orders keys by their bytes. */
    [[nodiscard]] constexpr auto operator<=>(const call_key&) const noexcept = default;
};

/**
 * @brief Hashes an idempotency key within the scope of an organisation and a service.
 * @param service Name of the plain service.
 * @param key Idempotency key as given by the caller.
 */
[[nodiscard]] auto hash_idempotency_key(std::string_view organisation, std::string_view service, std::string_view key)
    -> call_key;

/*! @brief Hashes the content of an HTTP request, to detect a key that is reused for another call. */
[[nodiscard]] auto hash_content(std::string_view method, std::string_view target, std::string_view body) -> call_key;

/**
 * @brief Returns the shard of a key; the result is the same on every machine.
 * @param shards Number of shards of the service, at least one.
 */
[[nodiscard]] auto shard_of(const call_key& key, std::uint32_t shards) -> shard_id;

/*! @brief Returns a view of the 16 bytes of a key; valid as long as the key. */
[[nodiscard]] auto as_bytes(const call_key& key) noexcept -> std::string_view;

} // namespace rhubarbwharf::execution

/*! @brief Uses the leading bytes of a key, which are already uniformly distributed, as its hash. */
template <>
struct std::hash<rhubarbwharf::execution::call_key> {
    [[nodiscard]] auto operator()(const rhubarbwharf::execution::call_key& key) const noexcept -> std::size_t {
        std::size_t value{};
        for (std::size_t index = 0; index < sizeof(value); ++index) {
            value = (value << 8U) | key.m_bytes[index];
        }
        return value;
    }
};
