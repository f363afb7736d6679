#include <csignal>
#include <iostream>

#include <cxxopts.hpp>

#include "standin.hpp"

namespace rhubarbwharf::standin::internal {

constexpr auto exit_usage = 2;
constexpr auto exit_failed = 1;

[[nodiscard]] auto milliseconds(const double value) -> duration {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{value});
}

[[nodiscard]] auto make_options() -> cxxopts::Options {
    cxxopts::Options command{"rhubarbwharf-standin", "Stands in for an engine, a ledger, the platform or the origin"};
    auto add = command.add_options();
    add("role", "engine, ledger, platform or origin", cxxopts::value<std::string>());
    add("listen", "ADDRESS:PORT; port 0 takes a free one", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("capacity", "engine: requests in one batch", cxxopts::value<std::uint32_t>()->default_value("8"));
    add("token-ms", "engine: time of one step of the batch", cxxopts::value<double>()->default_value("5"));
    add("prefill-ms", "engine: prefill for each kilobyte", cxxopts::value<double>()->default_value("10"));
    add("prefix-slots", "engine: prompt prefixes cached", cxxopts::value<std::size_t>()->default_value("32"));
    add("lag-ms", "engine, platform: delay of reports", cxxopts::value<double>()->default_value("2000"));
    add("ignore-fencing", "engine: take orders with an old fencing number");
    add("work-ms", "ledger: time that a call runs", cxxopts::value<double>()->default_value("2"));
    add("reads-per-second", "platform: limit", cxxopts::value<double>()->default_value("2000"));
    add("writes-per-second", "platform: limit", cxxopts::value<double>()->default_value("400"));
    add("versions", "origin: NAME:VERSION:SIZE,...", cxxopts::value<std::string>()->default_value(""));
    add("chunk-bytes", "origin: size of a chunk", cxxopts::value<std::size_t>()->default_value("262144"));
    add("shared-chunks", "origin: chunks that versions share", cxxopts::value<std::size_t>()->default_value("0"));
    add("rate", "origin: bytes a second, 0 for no limit", cxxopts::value<double>()->default_value("0"));
    add("help", "print this page");
    add("version", "print the version");
    return command;
}

[[nodiscard]] auto read_options(const cxxopts::ParseResult& given) -> options {
    options set{};
    set.m_role = given["role"].as<std::string>();
    set.m_listen = net::parse_endpoint(given["listen"].as<std::string>()).value();
    set.m_capacity = given["capacity"].as<std::uint32_t>();
    set.m_token_time = milliseconds(given["token-ms"].as<double>());
    set.m_prefill_time = milliseconds(given["prefill-ms"].as<double>());
    set.m_prefix_slots = given["prefix-slots"].as<std::size_t>();
    set.m_lag = milliseconds(given["lag-ms"].as<double>());
    set.m_ignore_fencing = given.count("ignore-fencing") > 0;
    set.m_work_time = milliseconds(given["work-ms"].as<double>());
    set.m_reads_per_second = given["reads-per-second"].as<double>();
    set.m_writes_per_second = given["writes-per-second"].as<double>();
    set.m_versions = given["versions"].as<std::string>();
    set.m_chunk_bytes = given["chunk-bytes"].as<std::size_t>();
    set.m_shared_chunks = given["shared-chunks"].as<std::size_t>();
    set.m_rate = given["rate"].as<double>();
    return set;
}

[[nodiscard]] auto make_role(net::loop& owner, net::http_client& http, const options& set,
                             const std::shared_ptr<faults>& table) -> net::http_handler {
    if (set.m_role == "engine") {
        return make_engine(owner, http, set, table);
    }
    if (set.m_role == "ledger") {
        return make_ledger(owner, set);
    }
    if (set.m_role == "platform") {
        return make_platform(owner, set, table);
    }
    if (set.m_role == "origin") {
        return make_origin(owner, set);
    }
    throw std::invalid_argument{"there is no role '" + set.m_role + "'"};
}

[[nodiscard]] auto run(const options& set) -> int {
    net::loop owner{};
    net::http_client http{owner};
    const auto table = std::make_shared<faults>();
    net::http_limits limits{};
    limits.m_body_bytes = 8UL * 1024UL * 1024UL;
    limits.m_send_queue_bytes = 256UL * 1024UL * 1024UL;
    net::http_server server{owner, limits, with_faults(owner, table, make_role(owner, http, set, table))};
    if (server.listen(set.m_listen) != code::ok) {
        std::cerr << "can't listen on " << net::to_string(set.m_listen) << '\n';
        return exit_failed;
    }
    owner.on_stop_signal([&owner](int) { owner.stop(); });
    std::cout << "listening " << net::to_string({set.m_listen.m_address, server.port()}) << std::endl;
    owner.run();
    return 0;
}

} // namespace rhubarbwharf::standin::internal

auto main(int count, char** words) -> int {
    using namespace rhubarbwharf::standin;
    try {
        auto command = internal::make_options();
        const auto given = command.parse(count, words);
        if (given.count("help") > 0) {
            std::cout << command.help();
            return 0;
        }
        if (given.count("version") > 0) {
            std::cout << RHUBARBWHARF_VERSION << '\n';
            return 0;
        }
        return internal::run(internal::read_options(given));
    } catch (const std::exception& failure) {
        std::cerr << "rhubarbwharf-standin: " << failure.what() << '\n';
        return internal::exit_usage;
    }
}
