#include <rhubarbwharf/setup/settings.hpp>

#include <random>

#include <openssl/crypto.h>

namespace rhubarbwharf::setup {

namespace internal {

constexpr std::string_view bearer_prefix = "Bearer ";

[[nodiscard]] auto digests_equal(const digest& left, const digest& right) noexcept -> bool {
    return CRYPTO_memcmp(left.m_bytes.data(), right.m_bytes.data(), digest::size_bytes) == 0;
}

} // namespace internal

auto http_limits_of(const config::limit_settings& limits) -> net::http_limits {
    net::http_limits out{};
    out.m_header_bytes = limits.m_header_bytes;
    out.m_body_bytes = limits.m_body_bytes;
    out.m_connections = limits.m_connections;
    out.m_request_time = std::chrono::milliseconds{limits.m_request_ms};
    out.m_idle_time = std::chrono::milliseconds{limits.m_idle_ms};
    out.m_send_queue_bytes = limits.m_send_queue_bytes;
    return out;
}

auto bus_limits_of(const config::limit_settings& limits) -> net::bus_limits {
    net::bus_limits out{};
    out.m_message_bytes = limits.m_message_bytes;
    out.m_queue_messages = static_cast<int>(limits.m_queue_messages);
    return out;
}

auto client_settings_of(const config::platform_settings& settings) -> platform::client_settings {
    platform::client_settings out{};
    for (const auto& address : settings.m_addresses) {
        if (const auto server = net::parse_endpoint(address)) {
            out.m_servers.push_back(*server);
        }
    }
    out.m_reads_per_second = settings.m_reads_per_second;
    out.m_writes_per_second = settings.m_writes_per_second;
    out.m_call_time = std::chrono::milliseconds{settings.m_call_ms};
    return out;
}

auto draw_incarnation() -> std::uint64_t {
    constexpr unsigned word_bits = 32;
    std::random_device source{};
    return (std::uint64_t{source()} << word_bits) | source();
}

auto owner_of(const std::span<const config::key_settings> keys, const std::vector<net::header>& headers)
    -> const config::key_settings* {
    const auto field = net::find(headers, "Authorization");
    if (!field.starts_with(internal::bearer_prefix)) {
        return nullptr;
    }
    const auto key_digest = sha256(field.substr(internal::bearer_prefix.size()));
    const config::key_settings* owner = nullptr;
    for (const auto& key : keys) {
        owner = internal::digests_equal(key_digest, key.m_key_sha256) ? &key : owner;
    }
    return owner;
}

} // namespace rhubarbwharf::setup
