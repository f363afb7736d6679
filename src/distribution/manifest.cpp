#include <algorithm>
#include <unordered_map>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/distribution/manifest.hpp>

namespace rhubarbwharf::distribution {

namespace internal {

[[nodiscard]] auto malformed(std::string detail) -> boost::leaf::error_id {
    return fail(code::manifest_malformed, std::move(detail));
}

[[nodiscard]] auto read_text(const boost::json::object& object, const std::string_view name) -> result<std::string> {
    const auto* const value = object.if_contains(name);
    if (value == nullptr || !value->is_string() || value->as_string().empty()) {
        return malformed("`" + std::string{name} + "` must be a string that is not empty");
    }
    return std::string{value->as_string()};
}

[[nodiscard]] auto read_number(const boost::json::object& object, const std::string_view name,
                               const std::uint64_t highest) -> result<std::uint64_t> {
    const auto* const value = object.if_contains(name);
    if (value == nullptr || !value->is_int64() || value->as_int64() < 1 ||
        static_cast<std::uint64_t>(value->as_int64()) > highest) {
        return malformed("`" + std::string{name} + "` must be a whole number from 1 to " + std::to_string(highest));
    }
    return static_cast<std::uint64_t>(value->as_int64());
}

[[nodiscard]] auto read_digest(const boost::json::value* value, const std::string_view name) -> result<digest> {
    if (value != nullptr && value->is_string()) {
        if (const auto found = digest_from_hex(std::string_view{value->as_string()})) {
            return *found;
        }
    }
    return malformed("`" + std::string{name} + "` must hold 64 hexadecimal digits");
}

[[nodiscard]] auto read_chunks(const boost::json::object& object, const manifest& value)
    -> result<std::vector<digest>> {
    const auto* const member = object.if_contains("chunks");
    if (member == nullptr || !member->is_array()) {
        return malformed("`chunks` must be an array");
    }
    const auto expected = (value.m_size_bytes + value.m_chunk_bytes - 1U) / value.m_chunk_bytes;
    const auto& array = member->as_array();
    if (expected > max_chunks || array.size() != expected) {
        return malformed("`chunks` must have one digest for each `chunk_bytes` of `size`, at most " +
                         std::to_string(max_chunks));
    }
    std::vector<digest> chunks{};
    chunks.reserve(array.size());
    for (const auto& item : array) {
        BOOST_LEAF_AUTO(chunk, read_digest(&item, "chunks"));
        chunks.push_back(chunk);
    }
    return chunks;
}

} // namespace internal

auto parse(const std::string_view text) -> result<manifest> {
    constexpr std::uint64_t max_size_bytes = std::uint64_t{max_chunks} * max_chunk_bytes;
    boost::json::error_code failed{};
    const auto json = boost::json::parse(boost::json::string_view{text.data(), text.size()}, failed);
    if (failed || !json.is_object()) {
        return internal::malformed("the text must be a JSON object");
    }
    const auto& object = json.get_object();
    manifest value{};
    BOOST_LEAF_ASSIGN(value.m_model, internal::read_text(object, "model"));
    BOOST_LEAF_ASSIGN(value.m_version, internal::read_text(object, "version"));
    BOOST_LEAF_ASSIGN(value.m_source, internal::read_text(object, "source"));
    BOOST_LEAF_ASSIGN(value.m_size_bytes, internal::read_number(object, "size", max_size_bytes));
    BOOST_LEAF_AUTO(chunk_bytes, internal::read_number(object, "chunk_bytes", max_chunk_bytes));
    value.m_chunk_bytes = static_cast<std::uint32_t>(chunk_bytes);
    BOOST_LEAF_ASSIGN(value.m_content, internal::read_digest(object.if_contains("content"), "content"));
    BOOST_LEAF_ASSIGN(value.m_chunks, internal::read_chunks(object, value));
    if (value.m_source.front() != '/') {
        return internal::malformed("`source` must be a path that starts with `/`");
    }
    return value;
}

auto serialize(const manifest& value) -> std::string {
    boost::json::array chunks{};
    chunks.reserve(value.m_chunks.size());
    for (const auto& chunk : value.m_chunks) {
        chunks.emplace_back(to_hex(chunk));
    }
    boost::json::object object{};
    object["model"] = value.m_model;
    object["version"] = value.m_version;
    object["size"] = value.m_size_bytes;
    object["chunk_bytes"] = value.m_chunk_bytes;
    object["content"] = to_hex(value.m_content);
    object["chunks"] = std::move(chunks);
    object["source"] = value.m_source;
    return boost::json::serialize(object);
}

auto chunk_range(const manifest& value, const std::uint32_t chunk) -> byte_range {
    ensure(chunk < value.m_chunks.size(), "a chunk's number is below the manifest's count of chunks");
    const auto offset = std::uint64_t{chunk} * value.m_chunk_bytes;
    return {offset, std::min<std::uint64_t>(value.m_chunk_bytes, value.m_size_bytes - offset)};
}

auto shared_chunks(const manifest& old_version, const bit_set& held, const manifest& new_version) -> bit_set {
    std::unordered_map<digest, std::uint32_t> digests{};
    held.each([&](const std::uint32_t chunk) { digests.emplace(old_version.m_chunks[chunk], chunk); });
    bit_set shared{static_cast<std::uint32_t>(new_version.m_chunks.size())};
    for (std::uint32_t chunk = 0; chunk < shared.size(); ++chunk) {
        if (digests.contains(new_version.m_chunks[chunk])) {
            shared.emplace(chunk);
        }
    }
    return shared;
}

} // namespace rhubarbwharf::distribution
