#include <doctest/doctest.h>

#include <rhubarbwharf/entry/key_time.hpp>

namespace rhubarbwharf::entry {

TEST_CASE("the creation time of a key is read from the header, leading milliseconds or a version 7 UUID") {
    const auto created = wall_time{std::chrono::milliseconds{1'700'000'000'000}};
    CHECK(parse_key_time("any", "1700000000000") == created);
    CHECK(parse_key_time("1700000000000-abc", "") == created);
    CHECK(parse_key_time("018bcfe5-6800-7abc-8def-0123456789ab", "") == created);
}

TEST_CASE("no creation time is returned if the key contains none or the header is malformed") {
    CHECK_FALSE(parse_key_time("invoice-77", ""));
    CHECK_FALSE(parse_key_time("018bcfe5-6800-4abc-8def-0123456789ab", ""));
    CHECK_FALSE(parse_key_time("1700000000000", ""));
    CHECK_FALSE(parse_key_time("1700000000000-abc", "-5"));
    CHECK_FALSE(parse_key_time("any", "soon"));
}

} // namespace rhubarbwharf::entry
