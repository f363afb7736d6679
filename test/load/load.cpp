#include <algorithm>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "load/answer.hpp"
#include "load/plan.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::load;

namespace {

const std::string stream = "data: {\"text\":\"one \",\"system_fingerprint\":\"aa\"}\n\n"
                           "data: {\"text\":\"two \",\"system_fingerprint\":\"aa\"}\n\n"
                           "data: [DONE]\n\n";

} // namespace

TEST_CASE("a schedule is determined by the settings and follows the configured rate") {
    settings config{};
    config.m_rate = 100.0;
    config.m_run_time = std::chrono::seconds{100};
    config.m_targets.resize(3U);
    const auto schedule = make_schedule(config);
    CHECK(schedule.size() > 9'500U);
    CHECK(schedule.size() < 10'500U);
    CHECK(std::is_sorted(
        schedule.begin(), schedule.end(),
        [](const scheduled_request& left, const scheduled_request& right) { return left.m_offset < right.m_offset; }));
    const auto same_schedule = make_schedule(config);
    REQUIRE(same_schedule.size() == schedule.size());
    CHECK(same_schedule.back().m_offset == schedule.back().m_offset);
    const auto first_prefix_count =
        std::count_if(schedule.begin(), schedule.end(),
                      [](const scheduled_request& request) { return request.m_prefix_index == 0U; });
    CHECK(first_prefix_count > static_cast<std::ptrdiff_t>(schedule.size() / config.m_prefixes * 4U));
    config.m_seed += 1U;
    CHECK(make_schedule(config).front().m_offset != schedule.front().m_offset);
}

TEST_CASE("prompts of the same prefix share their first three quarters") {
    const settings config{};
    const auto prefix_bytes = config.m_prompt_bytes * 3U / 4U;
    const auto left = make_prompt(config, {.m_prefix_index = 1U, .m_variant_index = 0U});
    const auto right = make_prompt(config, {.m_prefix_index = 1U, .m_variant_index = 1U});
    CHECK(left.size() == config.m_prompt_bytes);
    CHECK(left != right);
    CHECK(left.substr(0U, prefix_bytes) == right.substr(0U, prefix_bytes));
}

TEST_CASE("a stream is parsed to the same result wherever it is split") {
    const auto passed = rc::check([] {
        const auto split_offset = *rc::gen::inRange<std::size_t>(0U, stream.size() + 1U);
        completion received{};
        auto tokens = parse_events(received, std::string_view{stream}.substr(0U, split_offset));
        tokens += parse_events(received, std::string_view{stream}.substr(split_offset));
        RC_ASSERT(tokens == 2U);
        RC_ASSERT(received.m_tokens == 2U);
        RC_ASSERT(received.m_is_complete);
        RC_ASSERT_FALSE(received.m_is_mixed);
        RC_ASSERT(received.m_version == "aa");
    });
    CHECK(passed);
}

TEST_CASE("a stream of mixed versions and a missing end marker are detected") {
    completion mixed{};
    parse_events(mixed, "data: {\"text\":\"one \",\"system_fingerprint\":\"aa\"}\n\n"
                        "data: {\"text\":\"two \",\"system_fingerprint\":\"bb\"}\n\n");
    CHECK(mixed.m_is_mixed);
    CHECK_FALSE(mixed.m_is_complete);
}

TEST_CASE("a complete body and an error response are parsed") {
    completion received{};
    parse_body(received,
               R"({"system_fingerprint":"cc","choices":[{"text":"one two "}],"usage":{"completion_tokens":2}})");
    CHECK(received.m_tokens == 2U);
    CHECK(received.m_version == "cc");
    CHECK(received.m_is_complete);
    CHECK(refusal_reason(net::problem(code::overloaded, outcome::not_run, {}, duration::zero()).m_body) ==
          "overloaded/not_run");
    CHECK(refusal_reason("nothing of the kind").empty());
}
