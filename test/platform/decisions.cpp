#include <algorithm>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/core/base64.hpp>

#include "platform/decisions.hpp"
#include "platform/wire.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::platform;
using namespace rhubarbwharf::platform::internal;

namespace {

constexpr duration second = std::chrono::seconds{1};

} // namespace

TEST_CASE("no more calls go out than the rate allows, however they come") {
    const auto holds = rc::check([] {
        const auto rate = static_cast<double>(*rc::gen::inRange(1, 50));
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300'000));
        time_point now{};
        auto from = make_bucket(rate, now);
        std::vector<time_point> starts{};
        for (const auto step : steps) {
            now += duration{step};
            if (const auto wait = reserve(from, now, second)) {
                starts.push_back(now + *wait);
            }
        }
        for (std::size_t first = 0U; first < starts.size(); ++first) {
            const auto in_second = std::ranges::count_if(starts, [&](const time_point start) {
                return start >= starts[first] && start < starts[first] + second;
            });
            RC_ASSERT(static_cast<double>(in_second) <= 2.0 * rate + 1.0);
        }
    });
    CHECK(holds);
}

TEST_CASE("a call that would wait too long takes no token") {
    auto from = make_bucket(1.0, time_point{});
    CHECK(reserve(from, time_point{}, second) == duration::zero());
    CHECK(reserve(from, time_point{}, second) == second);
    const auto before = from.m_tokens;
    CHECK_FALSE(reserve(from, time_point{}, second));
    CHECK(from.m_tokens == before);
}

TEST_CASE("the time between attempts grows, is spread, and stays under its limit") {
    const auto holds = rc::check([](const std::uint64_t random) {
        const auto failures = *rc::gen::inRange(0U, 100U);
        const auto time = backoff(failures, random);
        RC_ASSERT(time >= std::chrono::milliseconds{50});
        RC_ASSERT(time <= std::chrono::milliseconds{6'400});
    });
    CHECK(holds);
    CHECK(backoff(5U, 0U) == 2 * backoff(4U, 0U));
}

TEST_CASE("a lost write is settled by what stands") {
    CHECK(settle({"k", "mine", 8U, 0}, "mine", 7U) == settled::written);
    CHECK(settle({"k", "mine", 7U, 0}, "mine", 7U) == settled::open);
    CHECK(settle({"k", "", 0U, 0}, "mine", 0U) == settled::open);
    CHECK(settle({"k", "theirs", 9U, 0}, "mine", 7U) == settled::overtaken);
    CHECK(settle({"k", "", 0U, 0}, "mine", 7U) == settled::overtaken);
}

TEST_CASE("any bytes come through base64, and no text ends the process") {
    const auto holds = rc::check([](const std::string& bytes) {
        RC_ASSERT(from_base64(to_base64(bytes)) == bytes);
        static_cast<void>(from_base64(bytes));
        RC_ASSERT_FALSE(parse_range(bytes));
        RC_ASSERT_FALSE(parse_txn(bytes));
        RC_ASSERT_FALSE(parse_watch(bytes));
    });
    CHECK(holds);
    CHECK_FALSE(from_base64("===="));
    CHECK_FALSE(parse_range(R"({"header":{"revision":"x"}})"));
    CHECK_FALSE(parse_range(R"({"header":{"revision":"1"},"kvs":[1]})"));
    CHECK_FALSE(parse_watch(R"({"result":{"header":{"revision":"1"},"events":[{"kv":7}]}})"));
}

TEST_CASE("the end of a prefix comes after all its keys") {
    CHECK(prefix_end("a/") == "a0");
    CHECK(prefix_end("a\xff") == "b");
    CHECK(prefix_end("\xff") == std::string(1U, '\0'));
}
