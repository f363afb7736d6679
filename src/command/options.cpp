#include <command/options.hpp>

#include <cstdlib>
#include <ostream>

#include <cxxopts.hpp>

namespace rhubarbwharf::command::internal {

namespace {

constexpr const char* key_variable = "RHUBARBWHARF_KEY";
constexpr std::string_view commands = R"(
Commands:
  check-config FILE             check a settings file as the daemon does
  reference                     write the table of all settings
  codes                         write the table of all result codes
  ticket submit FILE [--wait]   submit a ticket (JSON; `-` reads standard input)
  ticket show NUMBER            say where a ticket is not in force yet
  ticket list                   write the desired state
  status                        say whether the process is ready
  state [INSTANCE]              dump the tables of the process, or of an instance it knows
  metrics                       write the metrics of the process
  drain                         let the process leave gracefully

Exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 not in force in time, 5 unreachable.
)";

[[nodiscard]] auto make_parser() -> cxxopts::Options {
    cxxopts::Options parser{"rhubarbwharf", "Operates rhubarbwharf: tickets, state, drains, settings."};
    auto add = parser.add_options();
    add("admin", "Admin listener of a process", cxxopts::value<std::string>()->default_value("127.0.0.1:7400"),
        "IP:PORT");
    add("key", "Operator's key; else taken from RHUBARBWHARF_KEY", cxxopts::value<std::string>(), "KEY");
    add("output", "text or json", cxxopts::value<std::string>()->default_value("text"), "FORM");
    add("wait", "Wait until the ticket is in force everywhere");
    add("wait-seconds", "Longest wait", cxxopts::value<unsigned>()->default_value("600"), "S");
    add("h,help", "Write this help");
    add("version", "Write the version");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    parser.parse_positional({"words"});
    parser.positional_help("COMMAND");
    return parser;
}

[[nodiscard]] auto key_of(const cxxopts::ParseResult& values) -> std::string {
    if (values.count("key") != 0U) {
        return values["key"].as<std::string>();
    }
    const auto* const variable = std::getenv(key_variable);
    return variable == nullptr ? std::string{} : std::string{variable};
}

[[nodiscard]] auto take(const cxxopts::ParseResult& values, std::ostream& faults) -> parsed {
    const auto server = net::parse_endpoint(values["admin"].as<std::string>());
    if (!server) {
        faults << "rhubarbwharf: --admin: not IP:PORT\n";
        return {.m_status = status::usage};
    }
    const auto form = values["output"].as<std::string>();
    if (form != "text" && form != "json") {
        faults << "rhubarbwharf: --output: text or json\n";
        return {.m_status = status::usage};
    }
    options taken{};
    taken.m_admin = {*server, key_of(values)};
    taken.m_json = form == "json";
    taken.m_wait = values.count("wait") != 0U;
    taken.m_wait_time = std::chrono::seconds{values["wait-seconds"].as<unsigned>()};
    taken.m_words = values["words"].as<std::vector<std::string>>();
    return {.m_options = std::move(taken)};
}

} // namespace

auto parse(const std::span<const char* const> arguments, std::ostream& out, std::ostream& faults) -> parsed {
    auto parser = make_parser();
    try {
        const auto values = parser.parse(static_cast<int>(arguments.size()), arguments.data());
        if (values.count("help") != 0U) {
            out << parser.help() << commands;
            return {};
        }
        if (values.count("version") != 0U) {
            out << "rhubarbwharf " << RHUBARBWHARF_VERSION << '\n';
            return {};
        }
        if (values.count("words") == 0U) {
            faults << parser.help() << commands;
            return {.m_status = status::usage};
        }
        return take(values, faults);
    } catch (const cxxopts::exceptions::exception& fault) {
        faults << "rhubarbwharf: " << fault.what() << '\n';
        return {.m_status = status::usage};
    }
}

} // namespace rhubarbwharf::command::internal
