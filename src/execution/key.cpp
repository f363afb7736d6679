#include <algorithm>
#include <initializer_list>
#include <string>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/execution/key.hpp>

namespace rhubarbwharf::execution {

namespace internal {

[[nodiscard]] auto hash_parts(const std::initializer_list<std::string_view> parts) -> call_key {
    std::string text{};
    for (const auto part : parts) {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }
    const auto full_digest = sha256(text);
    call_key key{};
    std::copy_n(full_digest.m_bytes.begin(), call_key::size_bytes, key.m_bytes.begin());
    return key;
}

} // namespace internal

auto hash_idempotency_key(const std::string_view organisation, const std::string_view service,
                          const std::string_view key) -> call_key {
    return internal::hash_parts({organisation, service, key});
}

auto hash_content(const std::string_view method, const std::string_view target, const std::string_view body)
    -> call_key {
    return internal::hash_parts({method, target, body});
}

auto shard_of(const call_key& key, const std::uint32_t shards) -> shard_id {
    ensure(shards > 0, "a service has at least one shard");
    return shard_id{static_cast<std::uint32_t>(std::hash<call_key>{}(key) % std::max(shards, 1U))};
}

auto as_bytes(const call_key& key) noexcept -> std::string_view {
    return {reinterpret_cast<const char*>(key.m_bytes.data()), key.m_bytes.size()};
}

} // namespace rhubarbwharf::execution
