#include <array>
#include <exception>
#include <iostream>

#include <cxxopts.hpp>

#include <rhubarbwharf/routing/bench.hpp>

namespace {

using rhubarbwharf::routing::bench_case;
using rhubarbwharf::routing::bench_fault;
using rhubarbwharf::routing::policy;

constexpr int exit_error = 2;
constexpr auto policies = std::to_array({policy::random, policy::round_robin, policy::least_reported,
                                         policy::power_of_two, policy::prefix_affinity, policy::product});
constexpr auto loads = std::to_array({0.5, 0.8, 0.95, 1.2, 2.0});
constexpr auto fault_loads =
    std::to_array({std::pair{bench_fault::slow_one, 0.8}, std::pair{bench_fault::ten_die, 0.6},
                   std::pair{bench_fault::region_lost, 0.8}, std::pair{bench_fault::retry_storm, 1.2},
                   std::pair{bench_fault::greedy_one, 0.5}});

auto print(const bench_case& setup) -> void {
    std::cout << rhubarbwharf::routing::to_json(setup, rhubarbwharf::routing::run_bench_case(setup)) << std::endl;
}

auto run_all(const std::uint64_t seed) -> void {
    for (const auto load : loads) {
        for (const auto value : policies) {
            print({value, bench_fault::none, load, seed});
        }
    }
    for (const auto& [fault, load] : fault_loads) {
        for (const auto value : policies) {
            print({value, fault, load, seed});
        }
    }
}

} // namespace

auto main(int argc, char** argv) -> int {
    cxxopts::Options options{"rhubarbwharf-bench-routing",
                             "Benchmarks routing against baselines and prints JSON lines"};
    auto add = options.add_options();
    add("seed", "Seed of all random numbers", cxxopts::value<std::uint64_t>()->default_value("20261203"), "N");
    add("help", "Print this help");
    add("version", "Print the version");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0U) {
            std::cout << options.help() << '\n';
        } else if (parsed.count("version") > 0U) {
            std::cout << "rhubarbwharf-bench-routing " << RHUBARBWHARF_VERSION << '\n';
        } else {
            run_all(parsed["seed"].as<std::uint64_t>());
        }
        return 0;
    } catch (const std::exception& exception) {
        std::cerr << exception.what() << '\n';
        return exit_error;
    }
}
