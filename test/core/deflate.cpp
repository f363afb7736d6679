#include <random>

#include <doctest/doctest.h>

#include <rhubarbwharf/core/deflate.hpp>

namespace rhubarbwharf {

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024U;

[[nodiscard]] auto random_bytes(const std::size_t count) -> std::string {
    std::mt19937_64 random{20261203U};
    std::string out(count, '\0');
    for (auto& each : out) {
        each = static_cast<char>(random());
    }
    return out;
}

} // namespace

TEST_CASE("compressed bytes are restored, of any size and whether they repeat or not") {
    for (const std::size_t count : {0U, 1U, 1000U, 65'536U, 65'537U, 300'000U}) {
        for (const auto& bytes : {std::string(count, 'a'), random_bytes(count)}) {
            const auto is_restored = inflate(deflate(bytes), megabyte) == bytes;
            CHECK(is_restored);
        }
    }
    CHECK(deflate(std::string(megabyte, 'a')).size() < megabyte / 100U);
}

// A stream of a few kilobytes may hold gigabytes.
TEST_CASE("a stream that holds more than the limit is refused") {
    const auto stream = deflate(std::string(megabyte, 'a'));
    CHECK(inflate(stream, megabyte));
    CHECK_FALSE(inflate(stream, megabyte - 1U));
    CHECK_FALSE(inflate(stream, 0U));
}

TEST_CASE("a stream that is cut short or malformed is refused") {
    const auto stream = deflate(random_bytes(1000U) + std::string(1000U, 'a'));
    for (std::size_t count = 0U; count < stream.size(); count += 7U) {
        CHECK_FALSE(inflate(std::string_view{stream}.substr(0U, count), megabyte));
    }
    CHECK_FALSE(inflate(std::string(100U, '\xff'), megabyte));
}

} // namespace rhubarbwharf
