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

/*! @brief What the command line asks for. */
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

[[nodiscard]] auto make_scenario(const options& chosen, const std::uint32_t instances, const std::uint32_t regions,
                                 const std::uint32_t copies) -> bench::scenario {
    bench::scenario wanted{};
    wanted.m_instances = instances;
    wanted.m_regions = regions;
    wanted.m_chunks = chosen.m_chunks;
    wanted.m_chunk_bytes = chosen.m_size_bytes / chosen.m_chunks;
    const auto per_copy = chosen.m_size_bytes / window_seconds * bulk_share;
    wanted.m_rates = {origin_copies_per_window * per_copy, machine_copies_per_window * per_copy,
                      machine_copies_per_window * per_copy, link_bytes_per_second * bulk_share};
    wanted.m_policy = chosen.m_policy;
    wanted.m_policy.m_origin_copies = copies;
    wanted.m_seed = chosen.m_seed;
    return wanted;
}

[[nodiscard]] auto load_of(const bench::scenario& wanted) -> bench::load {
    return {static_cast<double>(wanted.m_instances), static_cast<double>(wanted.m_regions),
            static_cast<double>(wanted.m_chunks), wanted.m_chunk_bytes, wanted.m_rates};
}

[[nodiscard]] auto describe(const bench::figures& got, const bench::scenario& wanted) -> boost::json::object {
    boost::json::object values{};
    const auto least = bench::bound(load_of(wanted));
    values["instances"] = wanted.m_instances;
    values["regions"] = wanted.m_regions;
    values["copies_allowed"] = wanted.m_policy.m_origin_copies;
    values["whole"] = got.m_whole;
    values["seconds"] = got.m_seconds;
    values["median_seconds"] = got.m_median_seconds;
    values["bound_seconds"] = least;
    values["ratio"] = got.m_seconds / least;
    values["origin_copies"] = got.m_origin_copies;
    values["double_entries"] = got.m_double_entries;
    values["upload_use"] = got.m_upload_use;
    values["messages_per_second"] = got.m_messages;
    values["most_messages_per_second"] = got.m_most_messages;
    values["message_bytes"] = got.m_message_bytes;
    values["table_bytes"] = got.m_table_bytes;
    values["most_table_bytes"] = got.m_most_table_bytes;
    values["plan_microseconds"] = got.m_plan_microseconds;
    values["corrupt"] = got.m_corrupt;
    values["kept_chunks"] = got.m_kept;
    const auto size = wanted.m_chunk_bytes * wanted.m_chunks;
    boost::json::array links{};
    for (const auto bytes : got.m_link_bytes) {
        links.emplace_back(bytes / size);
    }
    values["link_copies"] = std::move(links);
    values["region_seconds"] = boost::json::array(got.m_region_seconds.begin(), got.m_region_seconds.end());
    return values;
}

auto print_baseline(const std::string& name, const bench::scenario& wanted, const double seconds, const double copies)
    -> void {
    boost::json::object values{};
    const auto least = bench::bound(load_of(wanted));
    values["instances"] = wanted.m_instances;
    values["regions"] = wanted.m_regions;
    values["seconds"] = seconds;
    values["bound_seconds"] = least;
    values["ratio"] = seconds / least;
    values["origin_copies"] = copies;
    print(name, wanted.m_seed, std::move(values));
}

auto run_baselines(const bench::scenario& wanted) -> void {
    const auto value = load_of(wanted);
    print_baseline("bound", wanted, bench::bound(value), 1.0);
    print_baseline("origin_only", wanted, bench::origin_only(value), value.m_instances);
    print_baseline("chain", wanted, bench::chain(value), 1.0);
    print_baseline("tree", wanted, bench::tree(value), 1.0);
    auto blind = wanted;
    blind.m_blind = true;
    blind.m_policy.m_fetch_timeout = std::chrono::hours{1};
    print("blind_swarm", wanted.m_seed, describe(bench::run(blind), blind));
}

auto run_failures(bench::scenario wanted, const double normal_seconds) -> void {
    using bench::trouble;
    for (const auto kind : {trouble::kill_tenth, trouble::freeze_gateway, trouble::slow_instance, trouble::slow_link,
                            trouble::corrupt_chunks, trouble::cut_region, trouble::change_version, trouble::join_late,
                            trouble::replace_all}) {
        wanted.m_trouble = kind;
        wanted.m_trouble_at =
            kind == trouble::freeze_gateway || kind == trouble::slow_instance || kind == trouble::slow_link
                ? normal_seconds / 4.0
                : normal_seconds / 2.0;
        auto values = describe(bench::run(wanted), wanted);
        values["normal_seconds"] = normal_seconds;
        values["over_normal"] = values["seconds"].as_double() / normal_seconds;
        print("failure_" + std::string{to_string(kind)}, wanted.m_seed, std::move(values));
    }
}

auto run_all(const options& chosen) -> void {
    for (const auto regions : chosen.m_regions) {
        for (const auto instances : chosen.m_sizes) {
            auto first = true;
            for (const auto copies : chosen.m_copies) {
                const auto wanted = make_scenario(chosen, instances, regions, copies);
                if (first && chosen.m_baselines) {
                    run_baselines(wanted);
                }
                const auto got = bench::run(wanted);
                print("ours", chosen.m_seed, describe(got, wanted));
                if (first && chosen.m_failures) {
                    run_failures(wanted, got.m_seconds);
                }
                first = false;
            }
        }
    }
}

} // namespace

auto main(int count, char** arguments) -> int {
    cxxopts::Options parser{"rhubarbwharf-bench-distribution", "Weight distribution over fake links"};
    options chosen{};
    std::uint32_t announce_ms{};
    std::uint32_t busy_ms{};
    auto add = parser.add_options();
    add("sizes", "instances", cxxopts::value(chosen.m_sizes)->default_value("8,64,350,2500"));
    add("regions", "regions", cxxopts::value(chosen.m_regions)->default_value("1,3,5"));
    add("copies", "copies that may be read from the origin", cxxopts::value(chosen.m_copies)->default_value("1,4"));
    add("chunks", "chunks of the version", cxxopts::value(chosen.m_chunks)->default_value("512"));
    add("bytes", "size of the version", cxxopts::value(chosen.m_size_bytes)->default_value("1073741824"));
    add("failures", "also run with failures", cxxopts::value(chosen.m_failures));
    add("baselines", "also run the baselines", cxxopts::value(chosen.m_baselines));
    add("degree", "neighbours", cxxopts::value(chosen.m_policy.m_degree)->default_value("24"));
    add("gateways", "gateways a link", cxxopts::value(chosen.m_policy.m_gateways_per_link)->default_value("2"));
    add("small-region", "size of a region up to which all are gateways",
        cxxopts::value(chosen.m_policy.m_small_region_size)->default_value("3"));
    add("readers", "readers of the origin", cxxopts::value(chosen.m_policy.m_origin_readers)->default_value("4"));
    add("parallel", "parallel fetches", cxxopts::value(chosen.m_policy.m_max_fetches)->default_value("4"));
    add("link-parallel", "parallel fetches a link",
        cxxopts::value(chosen.m_policy.m_max_link_fetches)->default_value("2"));
    add("uploads", "uploads at once", cxxopts::value(chosen.m_policy.m_max_uploads)->default_value("4"));
    add("announce-ms", "least time between have-maps", cxxopts::value(announce_ms)->default_value("500"));
    add("busy-ms", "time for which a busy source is left alone", cxxopts::value(busy_ms)->default_value("100"));
    add("seed", "seed", cxxopts::value(chosen.m_seed)->default_value("20261203"));
    add("help", "this text");
    try {
        const auto parsed = parser.parse(count, arguments);
        if (parsed.count("help") > 0U) {
            std::cout << parser.help() << '\n';
            return 0;
        }
    } catch (const std::exception& wrong) {
        std::cerr << wrong.what() << '\n';
        return 2;
    }
    chosen.m_policy.m_min_announce_interval = std::chrono::milliseconds{announce_ms};
    chosen.m_policy.m_busy_backoff = std::chrono::milliseconds{busy_ms};
    run_all(chosen);
    return 0;
}
