#include <initializer_list>

#include <doctest/doctest.h>

#include <node/store_fallback.hpp>

namespace rhubarbwharf::node {

namespace {

constexpr duration check_interval = std::chrono::seconds{2};

/*! @brief Counts the reads of one loader that hears no gateway for a time. */
[[nodiscard]] auto count_reads(store_fallback& state, const duration alone, const std::uint64_t random) -> unsigned {
    unsigned out{};
    for (auto now = time_point{std::chrono::seconds{100}}; now < time_point{std::chrono::seconds{100}} + alone;
         now += check_interval) {
        out += is_due(state, false, now, random) ? 1U : 0U;
    }
    return out;
}

} // namespace

TEST_CASE("a loader that hears no gateway reads the store after some seconds, and ever more seldom") {
    for (const std::uint64_t random : std::initializer_list<std::uint64_t>{0U, 123'456'789'012U, UINT64_MAX}) {
        store_fallback state{};
        CHECK(count_reads(state, min_fallback_delay / 2, random) == 0U);
        const auto in_a_minute = count_reads(state, std::chrono::seconds{60}, random);
        CHECK(in_a_minute >= 3U);
        CHECK(in_a_minute <= 6U);
    }
}

TEST_CASE("a gateway that is heard again resets the delay") {
    store_fallback state{};
    REQUIRE(count_reads(state, std::chrono::seconds{60}, 1U) > 0U);
    CHECK_FALSE(is_due(state, true, time_point{std::chrono::seconds{200}}, 1U));
    CHECK(state.m_delay == duration::zero());
    CHECK(count_reads(state, std::chrono::seconds{10}, 1U) > 0U);
}

} // namespace rhubarbwharf::node
