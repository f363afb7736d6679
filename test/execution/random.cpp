#include <cstdlib>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <execution/simulation.hpp>

namespace rhubarbwharf {

namespace {

constexpr std::size_t steps_per_simulation = 20'000;
constexpr int seeds_per_fault = 400;

auto add_counts(test::run_counts& sum, const test::run_counts& counts) -> void {
    sum.m_steps += counts.m_steps;
    sum.m_calls += counts.m_calls;
    sum.m_runs += counts.m_runs;
    sum.m_answered += counts.m_answered;
    sum.m_not_run += counts.m_not_run;
    sum.m_unknown += counts.m_unknown;
    sum.m_takeovers += counts.m_takeovers;
    sum.m_fenced += counts.m_fenced;
    sum.m_expired += counts.m_expired;
    sum.m_lost += counts.m_lost;
}

/*! @brief Returns the minimum number of simulations; `RHUBARBWHARF_WORLDS` overrides it for longer runs. */
[[nodiscard]] auto simulation_count() -> std::uint64_t {
    constexpr std::uint64_t default_count = 200;
    const auto* const set = std::getenv("RHUBARBWHARF_WORLDS");
    return set == nullptr ? default_count : std::strtoull(set, nullptr, 10);
}

[[nodiscard]] auto detects(const test::fault chosen) -> bool {
    for (int seed = 0; seed < seeds_per_fault; ++seed) {
        test::simulation model{static_cast<std::uint64_t>(seed), chosen};
        model.run(steps_per_simulation);
        if (!model.violation().empty()) {
            MESSAGE("seed " << seed << ": " << model.violation());
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("a call runs at most once, and its caller receives a true outcome") {
    test::run_counts sum{};
    const auto holds = rc::check("any order of events", [&sum] {
        const auto first = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
        for (std::uint64_t index = 0; index < simulation_count() / 100 + 1; ++index) {
            test::simulation model{first + index, test::fault::none};
            model.run(steps_per_simulation);
            add_counts(sum, model.counts());
            if (!model.violation().empty()) {
                RC_FAIL("seed " + std::to_string(first + index) + ": " + model.violation());
            }
        }
    });
    CHECK(holds);
    MESSAGE("steps " << sum.m_steps << " calls " << sum.m_calls << " runs " << sum.m_runs << " answered "
                     << sum.m_answered << " not_run " << sum.m_not_run << " unknown " << sum.m_unknown << " takeovers "
                     << sum.m_takeovers << " fenced " << sum.m_fenced << " expired " << sum.m_expired << " lost "
                     << sum.m_lost);
    CHECK(sum.m_runs > 0);
    CHECK(sum.m_answered > 0);
    CHECK(sum.m_unknown > 0);
    CHECK(sum.m_fenced > 10);
    CHECK(sum.m_expired > 10);
}

TEST_CASE("the checks detect a store that ignores the expected revision") {
    CHECK(detects(test::fault::ignore_compare));
}

TEST_CASE("the checks detect a backend server that reports a call that ran as not run") {
    CHECK(detects(test::fault::deny_run));
}

} // namespace rhubarbwharf
