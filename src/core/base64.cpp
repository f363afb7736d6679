#include <algorithm>

#include <openssl/evp.h>

#include <rhubarbwharf/core/base64.hpp>

namespace rhubarbwharf {

namespace {

constexpr std::size_t bytes_per_block = 3U;
constexpr std::size_t letters_per_block = 4U;

} // namespace

auto to_base64(const std::string_view bytes) -> std::string {
    const auto blocks = (bytes.size() + bytes_per_block - 1U) / bytes_per_block;
    std::string text(blocks * letters_per_block + 1U, '\0');
    const auto length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

auto from_base64(const std::string_view text) -> std::optional<std::string> {
    if (text.empty()) {
        return std::string{};
    }
    if (text.size() % letters_per_block != 0U) {
        return std::nullopt;
    }
    std::string bytes(text.size() / letters_per_block * bytes_per_block, '\0');
    const auto length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    const auto padding = text.size() - std::min(text.size(), text.find_last_not_of('=') + 1U);
    if (padding >= bytes_per_block) {
        return std::nullopt;
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace rhubarbwharf
