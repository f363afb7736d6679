#include <csignal>
#include <iostream>

#include <cxxopts.hpp>

#include "standin.hpp"

namespace rhubarbwharf::standin::internal {

constexpr auto exit_usage = 2;
constexpr auto exit_failed = 1;

[[nodiscard]] auto to_duration(const double value) -> duration {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{value});
}

[[nodiscard]] auto make_options() -> cxxopts::Options {
    cxxopts::Options command{"rhubarbwharf-standin",
                             "Simulates an engine, a ledger, the platform or the origin for tests"};
    auto add = command.add_options();
    add("role", "engine, ledger, platform or origin", cxxopts::value<std::string>());
    add("listen", "ADDRESS:PORT; port 0 selects a free port",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("capacity", "engine: requests in one batch", cxxopts::value<std::uint32_t>()->default_value("8"));
    add("token-ms", "engine: duration of one batch step", cxxopts::value<double>()->default_value("5"));
    add("prefill-ms", "engine: prefill time per kilobyte of a prompt", cxxopts::value<double>()->default_value("10"));
    add("prefix-slots", "engine: capacity of the cache of prompt prefixes",
        cxxopts::value<std::size_t>()->default_value("32"));
    add("lag-ms", "engine, platform: delay of reports", cxxopts::value<double>()->default_value("2000"));
    add("ignore-fencing", "engine: accept load orders with an outdated fencing number");
    add("work-ms", "ledger: time for which a call runs", cxxopts::value<double>()->default_value("2"));
    add("reads-per-second", "platform: read rate limit", cxxopts::value<double>()->default_value("2000"));
    add("writes-per-second", "platform: write rate limit", cxxopts::value<double>()->default_value("400"));
    add("versions", "origin: NAME:VERSION:SIZE,...", cxxopts::value<std::string>()->default_value(""));
    add("chunk-bytes", "origin: size of a chunk", cxxopts::value<std::size_t>()->default_value("262144"));
    add("shared-chunks", "origin: leading chunks that all versions share",
        cxxopts::value<std::size_t>()->default_value("0"));
    add("rate", "origin: bytes per second, 0 for no limit", cxxopts::value<double>()->default_value("0"));
    add("help", "print this help");
    add("version", "print the version");
    return command;
}

[[nodiscard]] auto read_options(const cxxopts::ParseResult& arguments) -> options {
    options settings{};
    settings.m_role = arguments["role"].as<std::string>();
    settings.m_listen = net::parse_endpoint(arguments["listen"].as<std::string>()).value();
    settings.m_capacity = arguments["capacity"].as<std::uint32_t>();
    settings.m_decode_step_time = to_duration(arguments["token-ms"].as<double>());
    settings.m_prefill_time_per_kilobyte = to_duration(arguments["prefill-ms"].as<double>());
    settings.m_prefix_cache_capacity = arguments["prefix-slots"].as<std::size_t>();
    settings.m_report_delay = to_duration(arguments["lag-ms"].as<double>());
    settings.m_ignore_fencing = arguments.count("ignore-fencing") > 0;
    settings.m_call_duration = to_duration(arguments["work-ms"].as<double>());
    settings.m_reads_per_second = arguments["reads-per-second"].as<double>();
    settings.m_writes_per_second = arguments["writes-per-second"].as<double>();
    settings.m_versions = arguments["versions"].as<std::string>();
    settings.m_chunk_bytes = arguments["chunk-bytes"].as<std::size_t>();
    settings.m_shared_chunks = arguments["shared-chunks"].as<std::size_t>();
    settings.m_bytes_per_second = arguments["rate"].as<double>();
    return settings;
}

[[nodiscard]] auto make_role(net::loop& owner, net::http_client& http, const options& settings,
                             const std::shared_ptr<fault_table>& faults) -> net::http_handler {
    if (settings.m_role == "engine") {
        return make_engine(owner, http, settings, faults);
    }
    if (settings.m_role == "ledger") {
        return make_ledger(owner, settings);
    }
    if (settings.m_role == "platform") {
        return make_platform(owner, settings, faults);
    }
    if (settings.m_role == "origin") {
        return make_origin(owner, settings);
    }
    throw std::invalid_argument{"there is no role '" + settings.m_role + "'"};
}

[[nodiscard]] auto run(const options& settings) -> int {
    net::loop owner{};
    net::http_client http{owner};
    const auto faults = std::make_shared<fault_table>();
    net::http_limits limits{};
    limits.m_body_bytes = 8UL * 1024UL * 1024UL;
    limits.m_send_queue_bytes = 256UL * 1024UL * 1024UL;
    net::http_server server{owner, limits, with_faults(owner, faults, make_role(owner, http, settings, faults))};
    if (server.listen(settings.m_listen) != code::ok) {
        std::cerr << "cannot listen on " << net::to_string(settings.m_listen) << '\n';
        return exit_failed;
    }
    owner.on_stop_signal([&owner](int) { owner.stop(); });
    std::cout << "listening " << net::to_string({settings.m_listen.m_address, server.port()}) << std::endl;
    owner.run();
    return 0;
}

} // namespace rhubarbwharf::standin::internal

auto main(int argc, char** argv) -> int {
    using namespace rhubarbwharf::standin;
    try {
        auto command = internal::make_options();
        const auto arguments = command.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << command.help();
            return 0;
        }
        if (arguments.count("version") > 0) {
            std::cout << RHUBARBWHARF_VERSION << '\n';
            return 0;
        }
        return internal::run(internal::read_options(arguments));
    } catch (const std::exception& error) {
        std::cerr << "rhubarbwharf-standin: " << error.what() << '\n';
        return internal::exit_usage;
    }
}
