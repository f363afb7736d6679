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

constexpr int status_faulty = 2;

auto make_options() -> cxxopts::Options {
    cxxopts::Options options{"rhubarbwharfd", "Entry or agent of rhubarbwharf, as the settings say"};
    auto add = options.add_options();
    add("config", "Settings file, JSON with comments", cxxopts::value<std::string>(), "FILE");
    add("help", "Print this help");
    add("version", "Print the version");
    return options;
}

auto level_of(const std::string& name) -> rhubarbwharf::net::level {
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
    // A foreign peer's malformed frames are counted; the library would write a line for each.
    google::protobuf::SetLogHandler(nullptr);
    rhubarbwharf::net::start_log(settings.m_instance, level_of(settings.m_log_level));
    if (settings.m_role == rhubarbwharf::config::role::entry) {
        return rhubarbwharf::entry::run(settings);
    }
    return rhubarbwharf::agent::run(settings);
}

auto print(const std::vector<rhubarbwharf::config::fault>& faults) -> int {
    for (const auto& fault : faults) {
        std::cerr << rhubarbwharf::config::to_string(fault) << '\n';
    }
    return status_faulty;
}

auto load_and_run_node(const std::string& file) -> int {
    const auto loaded = rhubarbwharf::config::load_node(file);
    if (const auto* const faults = std::get_if<std::vector<rhubarbwharf::config::fault>>(&loaded)) {
        return print(*faults);
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
        return print(*faults);
    }
    return run(std::get<rhubarbwharf::config::settings>(loaded));
}

/*! @brief Returns the settings file: the one given, else the one that the platform names. */
auto file_of(const cxxopts::ParseResult& given) -> std::string {
    if (given.count("config") > 0U) {
        return given["config"].as<std::string>();
    }
    const auto* const named = std::getenv(rhubarbwharf::adapter::settings_file_variable);
    return named == nullptr ? std::string{} : std::string{named};
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto options = make_options();
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0U) {
            std::cout << options.help() << '\n';
            return 0;
        }
        if (given.count("version") > 0U) {
            std::cout << "rhubarbwharfd " << RHUBARBWHARF_VERSION << '\n';
            return 0;
        }
        const auto file = file_of(given);
        if (file.empty() || !given.unmatched().empty()) {
            std::cerr << options.help() << '\n';
            return status_faulty;
        }
        return load_and_run(file);
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n';
        return status_faulty;
    }
}
