#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>

#include <rhubarbwharf/core/digest.hpp>

#include "baselines.hpp"
#include "fleet.hpp"

namespace bench = rhubarbwharf::bench;

namespace {

constexpr double window_seconds = 300.0;
constexpr double origin_copies_per_window = 4.0;
constexpr double machine_copies_per_window = 2.0;
constexpr double link_bytes_per_second = 25e6 / 8.0;
constexpr double bulk_share = 0.9;

/*! @brief Command-line options. */
struct options {
    std::vector<std::uint32_t> m_sizes{};
    std::vector<std::uint32_t> m_regions{};
    std::vector<std::uint32_t> m_copies{};
    std::uint32_t m_chunks{};
    double m_size_bytes{};
    bool m_failures{};
    bool m_baselines{};
    rhubarbwharf::distribution::policy m_policy{};
    std::uint64_t m_seed{};
};

auto print(const std::string& name, const std::uint64_t seed, boost::json::object values) -> void {
    boost::json::object line{};
    line["bench"] = "distribution";
    line["case"] = name;
    line["seed"] = seed;
    line["figures"] = std::move(values);
    std::cout << boost::json::serialize(line) << std::endl;
}

[[nodiscard]] auto make_scenario(const options& settings, const std::uint32_t instances, const std::uint32_t regions,
                                 const std::uint32_t copies) -> bench::scenario {
    bench::scenario setup{};
    setup.m_instances = instances;
    setup.m_regions = regions;
    setup.m_chunks = settings.m_chunks;
    setup.m_chunk_bytes = settings.m_size_bytes / settings.m_chunks;
    const auto per_copy = settings.m_size_bytes / window_seconds * bulk_share;
    setup.m_rates = {origin_copies_per_window * per_copy, machine_copies_per_window * per_copy,
                     machine_copies_per_window * per_copy, link_bytes_per_second * bulk_share};
    setup.m_policy = settings.m_policy;
    setup.m_policy.m_origin_copies = copies;
    setup.m_seed = settings.m_seed;
    return setup;
}

[[nodiscard]] auto make_workload(const bench::scenario& setup) -> bench::workload {
    return {static_cast<double>(setup.m_instances), static_cast<double>(setup.m_regions),
            static_cast<double>(setup.m_chunks), setup.m_chunk_bytes, setup.m_rates};
}

[[nodiscard]] auto to_json(const bench::measurements& measured, const bench::scenario& setup) -> boost::json::object {
    boost::json::object values{};
    const auto lower_bound = bench::lower_bound_seconds(make_workload(setup));
    values["instances"] = setup.m_instances;
    values["regions"] = setup.m_regions;
    values["copies_allowed"] = setup.m_policy.m_origin_copies;
    values["whole"] = measured.m_complete;
    values["seconds"] = measured.m_completion_seconds;
    values["median_seconds"] = measured.m_median_completion_seconds;
    values["bound_seconds"] = lower_bound;
    values["ratio"] = measured.m_completion_seconds / lower_bound;
    values["origin_copies"] = measured.m_origin_copies;
    values["double_entries"] = measured.m_duplicate_entry_ratio;
    values["upload_use"] = measured.m_upload_utilization;
    values["messages_per_second"] = measured.m_mean_messages_per_second;
    values["most_messages_per_second"] = measured.m_max_messages_per_second;
    values["message_bytes"] = measured.m_message_bytes;
    values["table_bytes"] = measured.m_mean_table_bytes;
    values["most_table_bytes"] = measured.m_max_table_bytes;
    values["plan_microseconds"] = measured.m_plan_microseconds;
    values["corrupt"] = measured.m_corrupt_chunks;
    values["kept_chunks"] = measured.m_kept_chunks;
    const auto size = setup.m_chunk_bytes * setup.m_chunks;
    boost::json::array links{};
    for (const auto bytes : measured.m_link_bytes) {
        links.emplace_back(bytes / size);
    }
    values["link_copies"] = std::move(links);
    values["region_seconds"] =
        boost::json::array(measured.m_region_completion_seconds.begin(), measured.m_region_completion_seconds.end());
    return values;
}

auto print_baseline(const std::string& name, const bench::scenario& setup, const double seconds, const double copies)
    -> void {
    boost::json::object values{};
    const auto lower_bound = bench::lower_bound_seconds(make_workload(setup));
    values["instances"] = setup.m_instances;
    values["regions"] = setup.m_regions;
    values["seconds"] = seconds;
    values["bound_seconds"] = lower_bound;
    values["ratio"] = seconds / lower_bound;
    values["origin_copies"] = copies;
    print(name, setup.m_seed, std::move(values));
}

auto run_baselines(const bench::scenario& setup) -> void {
    const auto workload = make_workload(setup);
    print_baseline("bound", setup, bench::lower_bound_seconds(workload), 1.0);
    print_baseline("origin_only", setup, bench::origin_only_seconds(workload), workload.m_instances);
    print_baseline("chain", setup, bench::chain_seconds(workload), 1.0);
    print_baseline("tree", setup, bench::tree_seconds(workload), 1.0);
    auto region_unaware = setup;
    region_unaware.m_ignore_regions = true;
    region_unaware.m_policy.m_fetch_timeout = std::chrono::hours{1};
    print("blind_swarm", setup.m_seed, to_json(bench::run(region_unaware), region_unaware));
}

auto run_failures(bench::scenario setup, const double normal_seconds) -> void {
    using bench::fault;
    for (const auto fault_kind :
         {fault::kill_tenth, fault::suspend_gateway, fault::slow_instance, fault::slow_link, fault::corrupt_chunks,
          fault::partition_region, fault::change_version, fault::join_late, fault::replace_all}) {
        setup.m_fault = fault_kind;
        setup.m_fault_start_seconds =
            fault_kind == fault::suspend_gateway || fault_kind == fault::slow_instance || fault_kind == fault::slow_link
                ? normal_seconds / 4.0
                : normal_seconds / 2.0;
        auto values = to_json(bench::run(setup), setup);
        values["normal_seconds"] = normal_seconds;
        values["over_normal"] = values["seconds"].as_double() / normal_seconds;
        print("failure_" + std::string{to_string(fault_kind)}, setup.m_seed, std::move(values));
    }
}

auto run_all(const options& settings) -> void {
    for (const auto regions : settings.m_regions) {
        for (const auto instances : settings.m_sizes) {
            auto first = true;
            for (const auto copies : settings.m_copies) {
                const auto setup = make_scenario(settings, instances, regions, copies);
                if (first && settings.m_baselines) {
                    run_baselines(setup);
                }
                const auto measured = bench::run(setup);
                print("ours", settings.m_seed, to_json(measured, setup));
                if (first && settings.m_failures) {
                    run_failures(setup, measured.m_completion_seconds);
                }
                first = false;
            }
        }
    }
}

} // namespace

auto main(int count, char** arguments) -> int {
    cxxopts::Options parser{"rhubarbwharf-bench-distribution", "Simulates weight distribution over a modelled network"};
    options settings{};
    std::uint32_t announce_ms{};
    std::uint32_t busy_ms{};
    auto add = parser.add_options();
    add("sizes", "numbers of instances", cxxopts::value(settings.m_sizes)->default_value("8,64,350,2500"));
    add("regions", "numbers of regions", cxxopts::value(settings.m_regions)->default_value("1,3,5"));
    add("copies", "numbers of copies that may be read from the origin",
        cxxopts::value(settings.m_copies)->default_value("1,4"));
    add("chunks", "number of chunks of the version", cxxopts::value(settings.m_chunks)->default_value("512"));
    add("bytes", "size of the version in bytes", cxxopts::value(settings.m_size_bytes)->default_value("1073741824"));
    add("failures", "also run each failure scenario", cxxopts::value(settings.m_failures));
    add("baselines", "also run the baselines", cxxopts::value(settings.m_baselines));
    add("degree", "neighbours per instance", cxxopts::value(settings.m_policy.m_degree)->default_value("24"));
    add("gateways", "gateways per link", cxxopts::value(settings.m_policy.m_gateways_per_link)->default_value("2"));
    add("small-region", "maximum size of a region in which every instance is a gateway",
        cxxopts::value(settings.m_policy.m_small_region_size)->default_value("3"));
    add("readers", "instances that read from the origin",
        cxxopts::value(settings.m_policy.m_origin_readers)->default_value("4"));
    add("parallel", "maximum concurrent fetches per instance",
        cxxopts::value(settings.m_policy.m_max_fetches)->default_value("4"));
    add("link-parallel", "maximum concurrent fetches per link",
        cxxopts::value(settings.m_policy.m_max_link_fetches)->default_value("2"));
    add("uploads", "maximum concurrent uploads per instance",
        cxxopts::value(settings.m_policy.m_max_uploads)->default_value("4"));
    add("announce-ms", "minimum interval between have-maps in milliseconds",
        cxxopts::value(announce_ms)->default_value("500"));
    add("busy-ms", "back-off after a source reports busy in milliseconds",
        cxxopts::value(busy_ms)->default_value("100"));
    add("seed", "seed of all random numbers", cxxopts::value(settings.m_seed)->default_value("20261203"));
    add("help", "print this help");
    try {
        const auto parsed = parser.parse(count, arguments);
        if (parsed.count("help") > 0U) {
            std::cout << parser.help() << '\n';
            return 0;
        }
    } catch (const std::exception& exception) {
        std::cerr << exception.what() << '\n';
        return 2;
    }
    settings.m_policy.m_min_announce_interval = std::chrono::milliseconds{announce_ms};
    settings.m_policy.m_busy_backoff = std::chrono::milliseconds{busy_ms};
    run_all(settings);
    return 0;
}
