#include <algorithm>

#include <rhubarbwharf/distribution/bit_set.hpp>

namespace rhubarbwharf::distribution {

auto to_bytes(const bit_set& set) -> std::string {
    std::string bytes((set.size() + bit_set::byte_bits - 1U) / bit_set::byte_bits, '\0');
    set.each([&bytes](const std::uint32_t chunk) {
        auto& byte = bytes[chunk / bit_set::byte_bits];
        byte = static_cast<char>(static_cast<unsigned char>(byte) | 1U << (chunk % bit_set::byte_bits));
    });
    return bytes;
}

auto from_bytes(const std::string_view bytes, const std::uint32_t size) -> bit_set {
    bit_set set{size};
    const auto readable = std::min<std::uint64_t>(bytes.size() * std::uint64_t{bit_set::byte_bits}, size);
    for (std::uint32_t chunk = 0; chunk < readable; ++chunk) {
        const auto byte = static_cast<unsigned char>(bytes[chunk / bit_set::byte_bits]);
        if ((byte >> (chunk % bit_set::byte_bits) & 1U) != 0U) {
            set.emplace(chunk);
        }
    }
    return set;
}

} // namespace rhubarbwharf::distribution
