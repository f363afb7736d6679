#include <command/ticket.hpp>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <rhubarbwharf/ticket/json.hpp>

namespace rhubarbwharf::command::internal {

namespace {

namespace json = boost::json;

constexpr auto poll_interval = std::chrono::milliseconds{250};
constexpr auto retry_interval = std::chrono::milliseconds{500};
constexpr std::string_view tickets_path = "/v1/tickets";
constexpr int max_submit_attempts = 5;
constexpr int http_ok = 200;
constexpr int http_conflict = 409;
constexpr std::size_t progress_bar_width = 40;
constexpr std::size_t max_listed_instances = 8;

[[nodiscard]] auto read_input(const std::string& path) -> std::optional<std::string> {
    std::ostringstream text{};
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file{path};
    text << file.rdbuf();
    return file ? std::optional{text.str()} : std::nullopt;
}

[[nodiscard]] auto make_submission_id() -> std::string {
    std::random_device device{};
    std::ostringstream text{};
    text << std::hex;
    for (int index = 0; index < 4; ++index) {
        text << device();
    }
    return text.str();
}

/*! @brief Ticket parsed from a file, or the error message if `m_ticket` is empty. */
struct ticket_file {
    std::optional<ticket::ticket> m_ticket{};
    std::string m_error{};
};

[[nodiscard]] auto read_ticket(const std::string& path) -> ticket_file {
    const auto text = read_input(path);
    if (!text) {
        return {.m_error = "cannot read the file"};
    }
    return boost::leaf::try_handle_all(
        [&text]() -> result<ticket_file> {
            BOOST_LEAF_AUTO(new_ticket, ticket::parse_ticket(*text));
            return ticket_file{.m_ticket = std::move(new_ticket)};
        },
        [](const error& failure) { return ticket_file{.m_error = failure.m_detail}; },
        [] { return ticket_file{.m_error = "cannot parse the ticket"}; });
}

/*! @brief Progress of a ticket's rollout, as reported by an admin listener. */
struct rollout_status {
    /*! @brief Whether the ticket is in force on all instances. */
    bool m_in_force{};
    std::size_t m_instance_count{};
    /*! @brief Descriptions of the agents and entries on which the ticket is not in force yet. */
    std::vector<std::string> m_instances_behind{};
};

[[nodiscard]] auto member_text(const json::object& object, const std::string_view name) -> std::string {
    const auto* const member = object.if_contains(name);
    if (member == nullptr) {
        return {};
    }
    return member->is_string() ? std::string{member->get_string()} : json::serialize(*member);
}

/*! @brief Formats an instance on which the ticket is not in force, such as `e2 (fetching 3/8)`: phase, chunks held and
 * total. */
[[nodiscard]] auto describe_instance(const json::value& instance) -> std::string {
    const auto* const object = instance.if_object();
    if (object == nullptr) {
        return instance.is_string() ? std::string{instance.get_string()} : json::serialize(instance);
    }
    auto text = member_text(*object, "instance");
    const auto phase = member_text(*object, "phase");
    const auto total = member_text(*object, "chunks_total");
    if (!phase.empty()) {
        text.append(" (").append(phase);
        if (!total.empty() && total != "0") {
            text.append(" ").append(member_text(*object, "chunks_held")).append("/").append(total);
        }
        text.append(")");
    }
    return text;
}

[[nodiscard]] auto parse_rollout(const std::string& body) -> rollout_status {
    json::error_code parse_error{};
    const auto value = json::parse(body, parse_error);
    if (parse_error || !value.is_object()) {
        return {};
    }
    rollout_status rollout{};
    const auto& object = value.get_object();
    if (const auto* const member = object.if_contains("in_force"); member != nullptr && member->is_bool()) {
        rollout.m_in_force = member->get_bool();
    }
    if (const auto* const member = object.if_contains("instances"); member != nullptr && member->is_int64()) {
        rollout.m_instance_count = static_cast<std::size_t>(member->get_int64());
    }
    for (const auto* const member_name : {"behind", "entries_behind"}) {
        const auto* const member = object.if_contains(member_name);
        if (member != nullptr && member->is_array()) {
            std::ranges::transform(member->get_array(), std::back_inserter(rollout.m_instances_behind),
                                   describe_instance);
        }
    }
    return rollout;
}

[[nodiscard]] auto list_instances_behind(const rollout_status& rollout) -> std::string {
    std::string text{};
    for (std::size_t index = 0; index < std::min(rollout.m_instances_behind.size(), max_listed_instances); ++index) {
        text.append(text.empty() ? "" : ", ").append(rollout.m_instances_behind[index]);
    }
    if (rollout.m_instances_behind.size() > max_listed_instances) {
        text.append(", and ")
            .append(std::to_string(rollout.m_instances_behind.size() - max_listed_instances))
            .append(" more");
    }
    return text;
}

auto show_progress(std::ostream& progress, const rollout_status& rollout, std::string& last_line) -> void {
    const auto total = std::max(rollout.m_instance_count, rollout.m_instances_behind.size());
    const auto in_force = total - rollout.m_instances_behind.size();
    std::ostringstream line{};
    line << "in force on " << in_force << " of " << total << " instances";
    if (!rollout.m_instances_behind.empty()) {
        line << "; behind: " << list_instances_behind(rollout);
    }
    if (line.str() == last_line) {
        return;
    }
    last_line = line.str();
    if (isatty(STDERR_FILENO) == 0) {
        progress << last_line << '\n' << std::flush;
        return;
    }
    const auto filled_width = total == 0U ? progress_bar_width : progress_bar_width * in_force / total;
    progress << "\r\033[K[" << std::string(filled_width, '#') << std::string(progress_bar_width - filled_width, '.')
             << "] " << in_force << '/' << total << (rollout.m_in_force ? "\n" : "") << std::flush;
}

[[nodiscard]] auto ticket_path(const std::string& number) -> std::string {
    return std::string{tickets_path} + '/' + number;
}

auto print_rollout(const options& command_line, const std::string& body, std::ostream& out) -> void {
    if (command_line.m_json_output) {
        out << body << '\n';
        return;
    }
    const auto rollout = parse_rollout(body);
    out << (rollout.m_in_force ? "in force everywhere" : "not yet in force everywhere") << '\n';
    for (const auto& instance : rollout.m_instances_behind) {
        out << "behind: " << instance << '\n';
    }
}

[[nodiscard]] auto wait_until_in_force(const options& command_line, const std::string& number, std::ostream& out,
                                       std::ostream& progress) -> status {
    const auto deadline = std::chrono::steady_clock::now() + command_line.m_wait_timeout;
    std::string last_line{};
    std::string body{};
    while (std::chrono::steady_clock::now() < deadline) {
        const auto response = send_request(command_line.m_admin, "GET", ticket_path(number), {});
        if (response && response->m_status == http_ok) {
            body = response->m_body;
            const auto rollout = parse_rollout(body);
            show_progress(progress, rollout, last_line);
            if (rollout.m_in_force) {
                print_rollout(command_line, body, out);
                return status::done;
            }
        }
        std::this_thread::sleep_for(poll_interval);
    }
    print_rollout(command_line, body, out);
    return status::not_in_force;
}

[[nodiscard]] auto submit_with_retries(const options& command_line, const ticket::ticket& new_ticket)
    -> std::optional<net::http_response> {
    for (int attempt = 0; attempt < max_submit_attempts; ++attempt) {
        if (attempt > 0) {
            std::this_thread::sleep_for(retry_interval);
        }
        // The submission id makes retries idempotent: a ticket whose answer was lost is not accepted twice.
        if (auto response = send_request(command_line.m_admin, "POST", tickets_path, ticket::to_json(new_ticket));
            response) {
            return response;
        }
    }
    return std::nullopt;
}

[[nodiscard]] auto ticket_number(const std::string& body) -> std::string {
    json::error_code parse_error{};
    const auto value = json::parse(body, parse_error);
    const auto* const object = value.if_object();
    const auto* const number = object == nullptr ? nullptr : object->if_contains("number");
    return number == nullptr ? std::string{} : json::serialize(*number);
}

[[nodiscard]] auto submit(const options& command_line, std::ostream& out, std::ostream& progress) -> status {
    auto [new_ticket, message] = read_ticket(command_line.m_command[2]);
    if (!new_ticket) {
        progress << command_line.m_command[2] << ": " << describe(code::ticket_malformed).m_name << ": " << message
                 << '\n';
        return status::usage_error;
    }
    if (new_ticket->m_submission_id.empty()) {
        new_ticket->m_submission_id = make_submission_id();
    }
    const auto response = submit_with_retries(command_line, *new_ticket);
    if (!response) {
        progress << "no answer; the ticket may or may not have been accepted; to retry safely, submit it with "
                    "\"submission\": \""
                 << new_ticket->m_submission_id << "\"\n";
        return status::unreachable;
    }
    if (response->m_status != http_ok) {
        return report_refusal(*response, command_line.m_json_output, out, progress);
    }
    const auto number = ticket_number(response->m_body);
    if (command_line.m_json_output && !command_line.m_wait) {
        out << response->m_body << '\n';
    } else {
        progress << "accepted as ticket " << number << '\n' << std::flush;
    }
    return command_line.m_wait ? wait_until_in_force(command_line, number, out, progress) : status::done;
}

[[nodiscard]] auto print_tickets(const options& command_line, const std::string& path, std::ostream& out,
                                 std::ostream& progress) -> status {
    const auto response = send_request(command_line.m_admin, "GET", path, {});
    if (!response) {
        progress << "no answer from " << net::to_string(command_line.m_admin.m_server) << '\n';
        return status::unreachable;
    }
    if (response->m_status != http_ok) {
        return report_refusal(*response, command_line.m_json_output, out, progress);
    }
    if (path == tickets_path) {
        out << response->m_body << '\n';
    } else {
        print_rollout(command_line, response->m_body, out);
    }
    return status::done;
}

} // namespace

auto report_refusal(const net::http_response& response, const bool json_output, std::ostream& out, std::ostream& errors)
    -> status {
    if (json_output) {
        out << response.m_body << '\n';
    } else {
        errors << "refused (" << response.m_status << "): " << response.m_body << '\n';
    }
    return response.m_status == http_conflict ? status::conflict : status::refused;
}

auto run_ticket_command(const options& command_line, std::ostream& out, std::ostream& progress) -> status {
    const auto& command = command_line.m_command;
    if (command.size() == 3U && command[1] == "submit") {
        return submit(command_line, out, progress);
    }
    if (command.size() == 3U && command[1] == "show") {
        return print_tickets(command_line, ticket_path(command[2]), out, progress);
    }
    if (command.size() == 2U && command[1] == "list") {
        return print_tickets(command_line, std::string{tickets_path}, out, progress);
    }
    progress << "rhubarbwharf: expected ticket submit FILE, ticket show NUMBER or ticket list\n";
    return status::usage_error;
}

} // namespace rhubarbwharf::command::internal
