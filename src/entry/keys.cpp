#include <algorithm>

#include <openssl/crypto.h>

#include <entry/daemon.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr std::string_view bearer = "Bearer ";

[[nodiscard]] auto alike(const digest& left, const digest& right) noexcept -> bool {
    return CRYPTO_memcmp(left.m_bytes.data(), right.m_bytes.data(), digest::size_bytes) == 0;
}

} // namespace internal

auto owner_of(const std::vector<config::key_settings>& keys, const std::vector<net::header>& headers)
    -> const config::key_settings* {
    const auto field = net::find(headers, "Authorization");
    if (!field.starts_with(internal::bearer)) {
        return nullptr;
    }
    const auto given = sha256(field.substr(internal::bearer.size()));
    const config::key_settings* owner = nullptr;
    for (const auto& key : keys) {
        owner = internal::alike(given, key.m_key_sha256) ? &key : owner;
    }
    return owner;
}

auto keyed_digest(const daemon& self, const std::string_view organisation, const std::string_view content)
    -> std::uint64_t {
    const auto key = as_bytes(self.m_quarantine_key);
    const auto inner = sha256(std::string{key} + std::to_string(organisation.size()) + ':' + std::string{organisation} +
                              std::string{content});
    const auto outer = sha256(std::string{key} + std::string{as_bytes(inner)});
    return static_cast<std::uint64_t>(std::hash<digest>{}(outer));
}

} // namespace rhubarbwharf::entry
