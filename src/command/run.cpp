#include <rhubarbwharf/command/run.hpp>

#include <ostream>

#include <command/options.hpp>
#include <command/ticket.hpp>
#include <rhubarbwharf/config/load.hpp>
#include <rhubarbwharf/config/node.hpp>

namespace rhubarbwharf::command {

namespace internal {

namespace {

constexpr int http_ok = 200;

[[nodiscard]] auto check_config(const std::string& file, std::ostream& out, std::ostream& errors) -> status {
    const auto print_outcome = [&](const auto& outcome) {
        const auto* const faults = std::get_if<std::vector<config::fault>>(&outcome);
        if (faults == nullptr) {
            out << file << ": ok\n";
            return status::done;
        }
        for (const auto& fault : *faults) {
            errors << config::to_string(fault) << '\n';
        }
        return status::usage_error;
    };
    return config::is_node(file) ? print_outcome(config::load_node(file)) : print_outcome(config::load(file));
}

auto print_result_codes(std::ostream& out) -> void {
    for (const auto& row : code_table()) {
        out << static_cast<int>(row.m_code) << ' ' << row.m_name << ": " << row.m_meaning << '\n';
    }
}

[[nodiscard]] auto request_and_print(const options& command_line, const std::string_view method,
                                     const std::string& path, std::ostream& out, std::ostream& errors) -> status {
    const auto response = send_request(command_line.m_admin, method, path, {});
    if (!response) {
        errors << "no answer from " << net::to_string(command_line.m_admin.m_server) << '\n';
        return status::unreachable;
    }
    if (response->m_status >= 300) {
        return report_refusal(*response, command_line.m_json_output, out, errors);
    }
    out << response->m_body << '\n';
    return status::done;
}

[[nodiscard]] auto print_readiness(const options& command_line, std::ostream& out, std::ostream& errors) -> status {
    const auto response = send_request(command_line.m_admin, "GET", "/readyz", {});
    if (!response) {
        errors << "no answer from " << net::to_string(command_line.m_admin.m_server) << '\n';
        return status::unreachable;
    }
    const auto is_ready = response->m_status == http_ok;
    if (command_line.m_json_output) {
        out << R"({"ready":)" << (is_ready ? "true" : "false") << "}\n";
    } else {
        out << (is_ready ? "ready" : "not ready") << '\n';
    }
    return is_ready ? status::done : status::refused;
}

[[nodiscard]] auto dump_state(const options& command_line, std::ostream& out, std::ostream& errors) -> status {
    const auto path = command_line.m_command.size() == 2U ? "/v1/instances/" + command_line.m_command[1] + "/state"
                                                          : std::string{"/state"};
    return request_and_print(command_line, "GET", path, out, errors);
}

} // namespace

} // namespace internal

auto run(const std::span<const char* const> arguments, std::ostream& out, std::ostream& progress) -> status {
    const auto [command_line, exit_status] = internal::parse_options(arguments, out, progress);
    if (!command_line) {
        return exit_status;
    }
    const auto& command = command_line->m_command;
    const auto& command_name = command.front();
    if (command_name == "check-config" && command.size() == 2U) {
        return internal::check_config(command[1], out, progress);
    }
    if (command_name == "reference" && command.size() == 1U) {
        out << config::reference();
        return status::done;
    }
    if (command_name == "codes" && command.size() == 1U) {
        internal::print_result_codes(out);
        return status::done;
    }
    if (command_name == "ticket") {
        return internal::run_ticket_command(*command_line, out, progress);
    }
    if (command_name == "status" && command.size() == 1U) {
        return internal::print_readiness(*command_line, out, progress);
    }
    if (command_name == "state" && command.size() <= 2U) {
        return internal::dump_state(*command_line, out, progress);
    }
    if (command_name == "metrics" && command.size() == 1U) {
        return internal::request_and_print(*command_line, "GET", "/metrics", out, progress);
    }
    if (command_name == "drain" && command.size() == 1U) {
        return internal::request_and_print(*command_line, "POST", "/v1/drain", out, progress);
    }
    progress << "rhubarbwharf: unknown command; see --help\n";
    return status::usage_error;
}

} // namespace rhubarbwharf::command
