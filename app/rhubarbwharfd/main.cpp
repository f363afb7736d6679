#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <variant>

#include <cxxopts.hpp>
#include <google/protobuf/stubs/logging.h>

#include <rhubarbwharf/agent/run.hpp>
#include <rhubarbwharf/config/load.hpp>
#include <rhubarbwharf/config/node.hpp>
#include <rhubarbwharf/entry/run.hpp>
#include <rhubarbwharf/gateway/run.hpp>
#include <rhubarbwharf/loader/run.hpp>
#include <rhubarbwharf/net/log.hpp>

#include <platform/names.hpp>

namespace {

constexpr int exit_invalid_usage = 2;

auto make_options() -> cxxopts::Options {
    cxxopts::Options options{"rhubarbwharfd",
                             "Runs rhubarbwharf as the entry, agent, gateway or loader that the settings file selects"};
    auto add = options.add_options();
    add("config", "Settings file, JSON with comments", cxxopts::value<std::string>(), "FILE");
    add("help", "Print this help");
    add("version", "Print the version");
    return options;
}

auto parse_log_level(const std::string& name) -> rhubarbwharf::net::level {
    using rhubarbwharf::net::level;
    if (name == "debug") {
        return level::debug;
    }
    if (name == "warn") {
        return level::warn;
    }
    return name == "error" ? level::error : level::info;
}

auto run(const rhubarbwharf::config::settings& settings) -> int {
    // Malformed frames from peers are counted; protobuf would also log a line for each.
    google::protobuf::SetLogHandler(nullptr);
    rhubarbwharf::net::start_log(settings.m_instance, parse_log_level(settings.m_log_level));
    if (settings.m_role == rhubarbwharf::config::role::entry) {
        return rhubarbwharf::entry::run(settings);
    }
    return rhubarbwharf::agent::run(settings);
}

auto print_faults(const std::vector<rhubarbwharf::config::fault>& faults) -> int {
    for (const auto& fault : faults) {
        std::cerr << rhubarbwharf::config::to_string(fault) << '\n';
    }
    return exit_invalid_usage;
}

auto load_and_run_node(const std::string& file) -> int {
    const auto loaded = rhubarbwharf::config::load_node(file);
    if (const auto* const faults = std::get_if<std::vector<rhubarbwharf::config::fault>>(&loaded)) {
        return print_faults(*faults);
    }
    google::protobuf::SetLogHandler(nullptr);
    const auto& settings = std::get<rhubarbwharf::config::node_settings>(loaded);
    return settings.m_role == "gateway" ? rhubarbwharf::gateway::run(settings, file)
                                        : rhubarbwharf::loader::run(settings, file);
}

auto load_and_run(const std::string& file) -> int {
    if (rhubarbwharf::config::is_node(file)) {
        return load_and_run_node(file);
    }
    const auto loaded = rhubarbwharf::config::load(file);
    if (const auto* const faults = std::get_if<std::vector<rhubarbwharf::config::fault>>(&loaded)) {
        return print_faults(*faults);
    }
    return run(std::get<rhubarbwharf::config::settings>(loaded));
}

/*! @brief Returns the path from `--config`, else from the platform's environment variable; empty if neither is set. */
auto settings_file(const cxxopts::ParseResult& arguments) -> std::string {
    if (arguments.count("config") > 0U) {
        return arguments["config"].as<std::string>();
    }
    const auto* const variable = std::getenv(rhubarbwharf::adapter::settings_file_variable);
    return variable == nullptr ? std::string{} : std::string{variable};
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto options = make_options();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0U) {
            std::cout << options.help() << '\n';
            return 0;
        }
        if (arguments.count("version") > 0U) {
            std::cout << "rhubarbwharfd " << RHUBARBWHARF_VERSION << '\n';
            return 0;
        }
        const auto file = settings_file(arguments);
        if (file.empty() || !arguments.unmatched().empty()) {
            std::cerr << options.help() << '\n';
            return exit_invalid_usage;
        }
        return load_and_run(file);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return exit_invalid_usage;
    }
}
