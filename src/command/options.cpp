#include <command/options.hpp>

#include <cstdlib>
#include <ostream>

#include <cxxopts.hpp>

namespace rhubarbwharf::command::internal {

namespace {

constexpr const char* key_environment_variable = "RHUBARBWHARF_KEY";
constexpr std::string_view commands_help = R"(
Commands:
  check-config FILE             check a settings file as the daemon does
  reference                     write the table of all settings
  codes                         write the table of all result codes
  ticket submit FILE [--wait]   submit a ticket (JSON; `-` reads standard input)
  ticket show NUMBER            list the instances on which a ticket is not in force yet
  ticket list                   write the desired state
  status                        write whether the process is ready
  state [INSTANCE]              dump the tables of the process, or of another instance known to it
  metrics                       write the metrics of the process
  drain                         drain the process and let it leave gracefully

Exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 not in force in time, 5 unreachable.
)";

[[nodiscard]] auto make_parser() -> cxxopts::Options {
    cxxopts::Options parser{"rhubarbwharf", "Operates rhubarbwharf: tickets, state, drains, settings."};
    auto add = parser.add_options();
    add("admin", "Admin listener of a process", cxxopts::value<std::string>()->default_value("127.0.0.1:7400"),
        "IP:PORT");
    add("key", "Operator's key; default: taken from the environment variable RHUBARBWHARF_KEY",
        cxxopts::value<std::string>(), "KEY");
    add("output", "Format of results: text or json", cxxopts::value<std::string>()->default_value("text"), "FORMAT");
    add("wait", "After ticket submit, wait until the ticket is in force everywhere");
    add("wait-seconds", "Timeout of --wait, in seconds", cxxopts::value<unsigned>()->default_value("600"), "S");
    add("h,help", "Write this help");
    add("version", "Write the version");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    parser.parse_positional({"words"});
    parser.positional_help("COMMAND");
    return parser;
}

[[nodiscard]] auto operator_key(const cxxopts::ParseResult& values) -> std::string {
    if (values.count("key") != 0U) {
        return values["key"].as<std::string>();
    }
    const auto* const value = std::getenv(key_environment_variable);
    return value == nullptr ? std::string{} : std::string{value};
}

[[nodiscard]] auto to_options(const cxxopts::ParseResult& values, std::ostream& errors) -> parse_result {
    const auto server = net::parse_endpoint(values["admin"].as<std::string>());
    if (!server) {
        errors << "rhubarbwharf: --admin: expected IP:PORT\n";
        return {.m_status = status::usage_error};
    }
    const auto format = values["output"].as<std::string>();
    if (format != "text" && format != "json") {
        errors << "rhubarbwharf: --output: expected text or json\n";
        return {.m_status = status::usage_error};
    }
    options result{};
    result.m_admin = {*server, operator_key(values)};
    result.m_json_output = format == "json";
    result.m_wait = values.count("wait") != 0U;
    result.m_wait_timeout = std::chrono::seconds{values["wait-seconds"].as<unsigned>()};
    result.m_command = values["words"].as<std::vector<std::string>>();
    return {.m_options = std::move(result)};
}

} // namespace

auto parse_options(const std::span<const char* const> arguments, std::ostream& out, std::ostream& errors)
    -> parse_result {
    auto parser = make_parser();
    try {
        const auto values = parser.parse(static_cast<int>(arguments.size()), arguments.data());
        if (values.count("help") != 0U) {
            out << parser.help() << commands_help;
            return {};
        }
        if (values.count("version") != 0U) {
            out << "rhubarbwharf " << RHUBARBWHARF_VERSION << '\n';
            return {};
        }
        if (values.count("words") == 0U) {
            errors << parser.help() << commands_help;
            return {.m_status = status::usage_error};
        }
        return to_options(values, errors);
    } catch (const cxxopts::exceptions::exception& exception) {
        errors << "rhubarbwharf: " << exception.what() << '\n';
        return {.m_status = status::usage_error};
    }
}

} // namespace rhubarbwharf::command::internal
