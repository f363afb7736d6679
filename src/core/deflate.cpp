#include <algorithm>

#include <zlib.h>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/deflate.hpp>

namespace rhubarbwharf {

namespace {

constexpr int compression_level = 1;
constexpr std::size_t block_bytes = std::size_t{64} * 1024U;

[[nodiscard]] auto bytes_of(const std::string_view text) -> const Bytef* {
    return reinterpret_cast<const Bytef*>(text.data());
}

/*! @brief Restores bytes block by block into `out`. @return Result of zlib's last call. */
[[nodiscard]] auto inflate_blocks(z_stream& state, const std::size_t max_bytes, std::string& out) -> int {
    std::string block(block_bytes, '\0');
    auto result = Z_OK;
    while (result == Z_OK && out.size() <= max_bytes) {
        state.next_out = reinterpret_cast<Bytef*>(block.data());
        state.avail_out = static_cast<uInt>(block.size());
        result = ::inflate(&state, Z_NO_FLUSH);
        out.append(block, 0U, block.size() - state.avail_out);
    }
    return result;
}

} // namespace

auto deflate(const std::string_view bytes) -> std::string {
    auto count = compressBound(bytes.size());
    std::string out(count, '\0');
    const auto result =
        compress2(reinterpret_cast<Bytef*>(out.data()), &count, bytes_of(bytes), bytes.size(), compression_level);
    ensure(result == Z_OK, "the buffer has room for the whole stream");
    out.resize(count);
    out.shrink_to_fit();
    return out;
}

auto inflate(const std::string_view stream, const std::size_t max_bytes) -> std::optional<std::string> {
    z_stream state{};
    ensure(inflateInit(&state) == Z_OK, "zlib has memory for a decoder");
    // The interface of zlib takes its input as mutable bytes and does not write to them.
    state.next_in = const_cast<Bytef*>(bytes_of(stream));
    state.avail_in = static_cast<uInt>(stream.size());
    std::string out{};
    const auto result = inflate_blocks(state, max_bytes, out);
    inflateEnd(&state);
    const auto is_whole = result == Z_STREAM_END && state.avail_in == 0U && out.size() <= max_bytes;
    return is_whole ? std::optional{std::move(out)} : std::nullopt;
}

} // namespace rhubarbwharf
