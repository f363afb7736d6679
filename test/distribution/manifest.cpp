#include <string>

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/distribution/manifest.hpp>
#include <rhubarbwharf/distribution/pacing.hpp>

namespace distribution = rhubarbwharf::distribution;

namespace {

[[nodiscard]] auto sample(const std::uint64_t size, const std::uint32_t chunk_bytes) -> distribution::manifest {
    distribution::manifest value{
        "chef", "1", size, chunk_bytes, rhubarbwharf::sha256(std::string_view{"all"}), {}, "/weights/chef"};
    const auto count = (size + chunk_bytes - 1U) / chunk_bytes;
    for (std::uint64_t chunk = 0; chunk < count; ++chunk) {
        value.m_chunks.push_back(rhubarbwharf::sha256(std::to_string(chunk)));
    }
    return value;
}

[[nodiscard]] auto parse_or_code(const std::string_view text) -> rhubarbwharf::code {
    return boost::leaf::try_handle_all(
        [text]() -> rhubarbwharf::result<rhubarbwharf::code> {
            BOOST_LEAF_CHECK(distribution::parse(text));
            return rhubarbwharf::code::ok;
        },
        [](const rhubarbwharf::error& failed) { return failed.m_code; },
        []() { return rhubarbwharf::code::bad_request; });
}

[[nodiscard]] auto replaced(std::string text, const std::string_view from, const std::string_view to) -> std::string {
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

} // namespace

TEST_CASE("a manifest survives serialisation and parsing") {
    const auto value = sample(1000U, 300U);
    const auto read = distribution::parse(distribution::serialize(value));
    REQUIRE(read);
    CHECK(*read == value);
    CHECK(distribution::chunk_range(value, 0U) == distribution::byte_range{0U, 300U});
    CHECK(distribution::chunk_range(value, 3U) == distribution::byte_range{900U, 100U});
}

TEST_CASE("a malformed manifest is rejected") {
    const auto text = distribution::serialize(sample(1000U, 300U));
    CHECK(parse_or_code(text) == rhubarbwharf::code::ok);
    for (const auto& malformed :
         {std::string{}, std::string{"[]"}, text.substr(1U), replaced(text, "\"size\":1000", "\"size\":0"),
          replaced(text, "\"size\":1000", "\"size\":-1"), replaced(text, "\"size\":1000", "\"size\":2000"),
          replaced(text, "\"size\":1000", "\"size\":99999999999999"),
          replaced(text, "\"chunk_bytes\":300", "\"chunk_bytes\":\"300\""),
          replaced(text, "\"model\":\"chef\"", "\"model\":\"\""), replaced(text, "\"/weights", "\"weights"),
          replaced(text, "\"chunks\":[\"", "\"chunks\":[\"zz")}) {
        CHECK(parse_or_code(malformed) == rhubarbwharf::code::manifest_malformed);
    }
}

TEST_CASE("a new version reuses held chunks that have the same digest") {
    const auto old_version = sample(1000U, 100U);
    auto new_version = old_version;
    new_version.m_chunks[2] = rhubarbwharf::sha256(std::string_view{"changed"});
    std::swap(new_version.m_chunks[0], new_version.m_chunks[1]);
    distribution::bit_set held{10U};
    held.emplace(0U);
    held.emplace(2U);
    const auto kept = distribution::shared_chunks(old_version, held, new_version);
    CHECK(kept.count() == 1U);
    CHECK(kept.contains(1U));
}

TEST_CASE("a set of chunks survives serialisation and deserialisation") {
    CHECK(rc::check([] {
        const auto size = *rc::gen::inRange<std::uint32_t>(0U, 300U);
        distribution::bit_set set{size};
        for (const auto chunk : *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 310U))) {
            const auto is_new = chunk < size && !set.contains(chunk);
            RC_ASSERT(set.emplace(chunk) == is_new);
        }
        RC_ASSERT(distribution::from_bytes(distribution::to_bytes(set), size) == set);
        std::uint32_t visited = 0;
        set.each([&](const std::uint32_t chunk) { visited += set.contains(chunk) ? 1U : 0U; });
        RC_ASSERT(visited == set.count());
        RC_ASSERT(distribution::from_bytes("\xff\xff", 3U).full());
    }));
}

TEST_CASE("a token bucket never allows more than its rate and burst") {
    CHECK(rc::check([] {
        const auto rate = *rc::gen::inRange(1, 1'000'000);
        const auto burst = *rc::gen::inRange(1, 100'000);
        rhubarbwharf::time_point now{};
        auto bucket = distribution::make_bucket(rate, burst, now);
        std::uint64_t consumed = 0;
        for (const auto step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50'000))) {
            now += rhubarbwharf::duration{step};
            const auto bytes = distribution::available(bucket, now);
            distribution::consume(bucket, bytes);
            consumed += bytes;
            const auto seconds = std::chrono::duration<double>{now.time_since_epoch()}.count();
            RC_ASSERT(static_cast<double>(consumed) <= burst + seconds * rate + 1.0);
        }
    }));
    CHECK(distribution::gateway_link_rate(1000U, 0.9, 3U) == doctest::Approx(300.0));
}
