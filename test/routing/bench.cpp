#include <doctest/doctest.h>

#include <rhubarbwharf/routing/bench.hpp>

namespace rhubarbwharf::routing {

TEST_CASE("a benchmark case gives the same metrics in every run") {
    const bench_case setup{policy::product, bench_fault::ten_die, 0.6, 7};
    CHECK(to_json(setup, run_bench_case(setup)) == to_json(setup, run_bench_case(setup)));
}

TEST_CASE("at twice the capacity goodput stays at or above 0.95 of its peak") {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto peak = run_bench_case({policy::product, bench_fault::none, 1.2, seed});
        const auto twice = run_bench_case({policy::product, bench_fault::none, 2.0, seed});
        CHECK(twice.m_relative_goodput >= 0.95 * peak.m_relative_goodput);
        CHECK(twice.m_retries_per_request <= 0.1);
    }
}

TEST_CASE("retries add at most a tenth under crashes, a retry storm or a flood from one organisation") {
    for (const auto fault :
         {bench_fault::ten_die, bench_fault::region_lost, bench_fault::retry_storm, bench_fault::greedy_one}) {
        CHECK(run_bench_case({policy::product, fault, 0.8, 1}).m_retries_per_request <= 0.1);
    }
}

} // namespace rhubarbwharf::routing
