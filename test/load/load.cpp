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

TEST_CASE("arrivals depend on the settings only, and come at the set rate") {
    settings wanted{};
    wanted.m_rate = 100.0;
    wanted.m_time = std::chrono::seconds{100};
    wanted.m_targets.resize(3U);
    const auto arrivals = lay_out(wanted);
    CHECK(arrivals.size() > 9'500U);
    CHECK(arrivals.size() < 10'500U);
    CHECK(std::is_sorted(arrivals.begin(), arrivals.end(),
                         [](const arrival& left, const arrival& right) { return left.m_at < right.m_at; }));
    const auto again = lay_out(wanted);
    REQUIRE(again.size() == arrivals.size());
    CHECK(again.back().m_at == arrivals.back().m_at);
    const auto of_first =
        std::count_if(arrivals.begin(), arrivals.end(), [](const arrival& each) { return each.m_prefix == 0U; });
    CHECK(of_first > static_cast<std::ptrdiff_t>(arrivals.size() / wanted.m_prefixes * 4U));
    wanted.m_seed += 1U;
    CHECK(lay_out(wanted).front().m_at != arrivals.front().m_at);
}

TEST_CASE("prompts of one prefix share it") {
    const settings wanted{};
    const auto shared = wanted.m_prompt_bytes * 3U / 4U;
    const auto left = prompt(wanted, {.m_prefix = 1U, .m_variant = 0U});
    const auto right = prompt(wanted, {.m_prefix = 1U, .m_variant = 1U});
    CHECK(left.size() == wanted.m_prompt_bytes);
    CHECK(left != right);
    CHECK(left.substr(0U, shared) == right.substr(0U, shared));
}

TEST_CASE("a stream is read alike wherever its parts end") {
    const auto holds = rc::check([] {
        const auto cut = *rc::gen::inRange<std::size_t>(0U, stream.size() + 1U);
        answer got{};
        auto tokens = take_events(got, std::string_view{stream}.substr(0U, cut));
        tokens += take_events(got, std::string_view{stream}.substr(cut));
        RC_ASSERT(tokens == 2U);
        RC_ASSERT(got.m_tokens == 2U);
        RC_ASSERT(got.m_whole);
        RC_ASSERT_FALSE(got.m_mixed);
        RC_ASSERT(got.m_version == "aa");
    });
    CHECK(holds);
}

TEST_CASE("a stream of two versions, and one without its end mark, are told") {
    answer mixed{};
    take_events(mixed, "data: {\"text\":\"one \",\"system_fingerprint\":\"aa\"}\n\n"
                       "data: {\"text\":\"two \",\"system_fingerprint\":\"bb\"}\n\n");
    CHECK(mixed.m_mixed);
    CHECK_FALSE(mixed.m_whole);
}

TEST_CASE("a body and a refusal are read") {
    answer got{};
    take_body(got, R"({"system_fingerprint":"cc","choices":[{"text":"one two "}],"usage":{"completion_tokens":2}})");
    CHECK(got.m_tokens == 2U);
    CHECK(got.m_version == "cc");
    CHECK(got.m_whole);
    CHECK(refusal(net::problem(code::overloaded, outcome::not_run, {}, duration::zero()).m_body) ==
          "overloaded/not_run");
    CHECK(refusal("nothing of the kind").empty());
}
