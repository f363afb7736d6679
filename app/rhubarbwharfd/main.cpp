#include <exception>
#include <iostream>
#include <string>
#include <variant>

#include <cxxopts.hpp>
#include <google/protobuf/stubs/logging.h>

#include <rhubarbwharf/agent/run.hpp>
#include <rhubarbwharf/config/load.hpp>
#include <rhubarbwharf/entry/run.hpp>
#include <rhubarbwharf/net/log.hpp>

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

auto load_and_run(const std::string& file) -> int {
    const auto loaded = rhubarbwharf::config::load(file);
    if (const auto* const faults = std::get_if<std::vector<rhubarbwharf::config::fault>>(&loaded)) {
        for (const auto& fault : *faults) {
            std::cerr << rhubarbwharf::config::to_string(fault) << '\n';
        }
        return status_faulty;
    }
    return run(std::get<rhubarbwharf::config::settings>(loaded));
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
        if (given.count("config") == 0U || !given.unmatched().empty()) {
            std::cerr << options.help() << '\n';
            return status_faulty;
        }
        return load_and_run(given["config"].as<std::string>());
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n';
        return status_faulty;
    }
}
