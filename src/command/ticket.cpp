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

constexpr auto poll_period = std::chrono::milliseconds{250};
constexpr auto retry_period = std::chrono::milliseconds{500};
constexpr std::string_view tickets_path = "/v1/tickets";
constexpr int submit_tries = 5;
constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr std::size_t bar_width = 40;
constexpr std::size_t names_shown = 8;

[[nodiscard]] auto read_all(const std::string& name) -> std::optional<std::string> {
    std::ostringstream text{};
    if (name == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file{name};
    text << file.rdbuf();
    return file ? std::optional{text.str()} : std::nullopt;
}

[[nodiscard]] auto new_submission() -> std::string {
    std::random_device device{};
    std::ostringstream text{};
    text << std::hex;
    for (int word = 0; word < 4; ++word) {
        text << device();
    }
    return text.str();
}

/*! @brief A ticket read from a file, or what is wrong with it. */
struct order_file {
    std::optional<ticket::ticket> m_order{};
    std::string m_fault{};
};

[[nodiscard]] auto read_order(const std::string& name) -> order_file {
    const auto text = read_all(name);
    if (!text) {
        return {.m_fault = "can't be read"};
    }
    return boost::leaf::try_handle_all(
        [&text]() -> result<order_file> {
            BOOST_LEAF_AUTO(order, ticket::parse_ticket(*text));
            return order_file{.m_order = std::move(order)};
        },
        [](const error& found) { return order_file{.m_fault = found.m_detail}; },
        [] { return order_file{.m_fault = "can't be read"}; });
}

/*! @brief Where a ticket stands. */
struct roll_out {
    bool m_in_force{};
    std::size_t m_instances{};
    std::vector<std::string> m_behind{};
};

[[nodiscard]] auto text_of(const json::object& object, const std::string_view name) -> std::string {
    const auto* const found = object.if_contains(name);
    if (found == nullptr) {
        return {};
    }
    return found->is_string() ? std::string{found->get_string()} : json::serialize(*found);
}

/*! @brief Names an instance that is behind, with its phase and the chunks it holds. */
[[nodiscard]] auto name_of(const json::value& row) -> std::string {
    const auto* const object = row.if_object();
    if (object == nullptr) {
        return row.is_string() ? std::string{row.get_string()} : json::serialize(row);
    }
    auto name = text_of(*object, "instance");
    const auto phase = text_of(*object, "phase");
    const auto total = text_of(*object, "chunks_total");
    if (!phase.empty()) {
        name.append(" (").append(phase);
        if (!total.empty() && total != "0") {
            name.append(" ").append(text_of(*object, "chunks_held")).append("/").append(total);
        }
        name.append(")");
    }
    return name;
}

[[nodiscard]] auto read_roll_out(const std::string& body) -> roll_out {
    json::error_code reason{};
    const auto value = json::parse(body, reason);
    if (reason || !value.is_object()) {
        return {};
    }
    roll_out read{};
    const auto& object = value.get_object();
    if (const auto* const found = object.if_contains("in_force"); found != nullptr && found->is_bool()) {
        read.m_in_force = found->get_bool();
    }
    if (const auto* const found = object.if_contains("instances"); found != nullptr && found->is_int64()) {
        read.m_instances = static_cast<std::size_t>(found->get_int64());
    }
    for (const auto* const list : {"behind", "entries_behind"}) {
        const auto* const found = object.if_contains(list);
        if (found != nullptr && found->is_array()) {
            std::ranges::transform(found->get_array(), std::back_inserter(read.m_behind), name_of);
        }
    }
    return read;
}

[[nodiscard]] auto names_of(const roll_out& seen) -> std::string {
    std::string text{};
    for (std::size_t index = 0; index < std::min(seen.m_behind.size(), names_shown); ++index) {
        text.append(text.empty() ? "" : ", ").append(seen.m_behind[index]);
    }
    if (seen.m_behind.size() > names_shown) {
        text.append(", and ").append(std::to_string(seen.m_behind.size() - names_shown)).append(" more");
    }
    return text;
}

auto show_progress(std::ostream& progress, const roll_out& seen, std::string& last) -> void {
    const auto total = std::max(seen.m_instances, seen.m_behind.size());
    const auto there = total - seen.m_behind.size();
    std::ostringstream line{};
    line << "in force on " << there << " of " << total << " instances";
    if (!seen.m_behind.empty()) {
        line << "; behind: " << names_of(seen);
    }
    if (line.str() == last) {
        return;
    }
    last = line.str();
    if (isatty(STDERR_FILENO) == 0) {
        progress << last << '\n' << std::flush;
        return;
    }
    const auto filled = total == 0U ? bar_width : bar_width * there / total;
    progress << "\r\033[K[" << std::string(filled, '#') << std::string(bar_width - filled, '.') << "] " << there << '/'
             << total << (seen.m_in_force ? "\n" : "") << std::flush;
}

[[nodiscard]] auto ticket_path(const std::string& number) -> std::string {
    return std::string{tickets_path} + '/' + number;
}

auto write_behind(const options& given, const std::string& body, std::ostream& out) -> void {
    if (given.m_json) {
        out << body << '\n';
        return;
    }
    const auto seen = read_roll_out(body);
    out << (seen.m_in_force ? "in force everywhere" : "not yet in force everywhere") << '\n';
    for (const auto& name : seen.m_behind) {
        out << "behind: " << name << '\n';
    }
}

[[nodiscard]] auto wait(const options& given, const std::string& number, std::ostream& out, std::ostream& progress)
    -> status {
    const auto end = std::chrono::steady_clock::now() + given.m_wait_time;
    std::string last{};
    std::string body{};
    while (std::chrono::steady_clock::now() < end) {
        const auto answer = ask(given.m_admin, "GET", ticket_path(number), {});
        if (answer && answer->m_status == status_ok) {
            body = answer->m_body;
            const auto seen = read_roll_out(body);
            show_progress(progress, seen, last);
            if (seen.m_in_force) {
                write_behind(given, body, out);
                return status::done;
            }
        }
        std::this_thread::sleep_for(poll_period);
    }
    write_behind(given, body, out);
    return status::behind;
}

[[nodiscard]] auto send(const options& given, const ticket::ticket& order) -> std::optional<net::http_response> {
    for (int attempt = 0; attempt < submit_tries; ++attempt) {
        if (attempt > 0) {
            std::this_thread::sleep_for(retry_period);
        }
        // The submission's id makes it safe to send again after a lost answer.
        if (auto answer = ask(given.m_admin, "POST", tickets_path, ticket::to_json(order)); answer) {
            return answer;
        }
    }
    return std::nullopt;
}

[[nodiscard]] auto number_of(const std::string& body) -> std::string {
    json::error_code reason{};
    const auto value = json::parse(body, reason);
    const auto* const object = value.if_object();
    const auto* const number = object == nullptr ? nullptr : object->if_contains("number");
    return number == nullptr ? std::string{} : json::serialize(*number);
}

[[nodiscard]] auto submit(const options& given, std::ostream& out, std::ostream& progress) -> status {
    auto [order, fault] = read_order(given.m_words[2]);
    if (!order) {
        progress << given.m_words[2] << ": " << describe(code::ticket_malformed).m_name << ": " << fault << '\n';
        return status::usage;
    }
    if (order->m_submission_id.empty()) {
        order->m_submission_id = new_submission();
    }
    const auto answer = send(given, *order);
    if (!answer) {
        progress
            << "no answer; it is not known whether the ticket was accepted; submit it again with \"submission\": \""
            << order->m_submission_id << "\"\n";
        return status::unreachable;
    }
    if (answer->m_status != status_ok) {
        return refuse(*answer, given.m_json, out, progress);
    }
    const auto number = number_of(answer->m_body);
    if (given.m_json && !given.m_wait) {
        out << answer->m_body << '\n';
    } else {
        progress << "accepted as ticket " << number << '\n' << std::flush;
    }
    return given.m_wait ? wait(given, number, out, progress) : status::done;
}

[[nodiscard]] auto show(const options& given, const std::string& path, std::ostream& out, std::ostream& progress)
    -> status {
    const auto answer = ask(given.m_admin, "GET", path, {});
    if (!answer) {
        progress << "no answer from " << net::to_string(given.m_admin.m_server) << '\n';
        return status::unreachable;
    }
    if (answer->m_status != status_ok) {
        return refuse(*answer, given.m_json, out, progress);
    }
    if (path == tickets_path) {
        out << answer->m_body << '\n';
    } else {
        write_behind(given, answer->m_body, out);
    }
    return status::done;
}

} // namespace

auto refuse(const net::http_response& answer, const bool json, std::ostream& out, std::ostream& faults) -> status {
    if (json) {
        out << answer.m_body << '\n';
    } else {
        faults << "refused (" << answer.m_status << "): " << answer.m_body << '\n';
    }
    return answer.m_status == status_conflict ? status::conflict : status::refused;
}

auto ticket(const options& given, std::ostream& out, std::ostream& progress) -> status {
    const auto& words = given.m_words;
    if (words.size() == 3U && words[1] == "submit") {
        return submit(given, out, progress);
    }
    if (words.size() == 3U && words[1] == "show") {
        return show(given, ticket_path(words[2]), out, progress);
    }
    if (words.size() == 2U && words[1] == "list") {
        return show(given, std::string{tickets_path}, out, progress);
    }
    progress << "rhubarbwharf: ticket submit FILE, ticket show NUMBER or ticket list\n";
    return status::usage;
}

} // namespace rhubarbwharf::command::internal
