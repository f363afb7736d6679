#include <rhubarbwharf/command/run.hpp>

#include <ostream>

#include <command/options.hpp>
#include <command/ticket.hpp>
#include <rhubarbwharf/config/load.hpp>
#include <rhubarbwharf/config/node.hpp>

namespace rhubarbwharf::command {

namespace internal {

namespace {

constexpr int status_ok = 200;

[[nodiscard]] auto check_config(const std::string& file, std::ostream& out, std::ostream& faults) -> status {
    const auto report = [&](const auto& outcome) {
        const auto* const found = std::get_if<std::vector<config::fault>>(&outcome);
        if (found == nullptr) {
            out << file << ": ok\n";
            return status::done;
        }
        for (const auto& fault : *found) {
            faults << config::to_string(fault) << '\n';
        }
        return status::usage;
    };
    return config::is_node(file) ? report(config::load_node(file)) : report(config::load(file));
}

auto write_codes(std::ostream& out) -> void {
    for (const auto& row : code_table()) {
        out << static_cast<int>(row.m_code) << ' ' << row.m_name << ": " << row.m_meaning << '\n';
    }
}

[[nodiscard]] auto relay(const options& given, const std::string_view method, const std::string& path,
                         std::ostream& out, std::ostream& faults) -> status {
    const auto answer = ask(given.m_admin, method, path, {});
    if (!answer) {
        faults << "no answer from " << net::to_string(given.m_admin.m_server) << '\n';
        return status::unreachable;
    }
    if (answer->m_status >= 300) {
        return refuse(*answer, given.m_json, out, faults);
    }
    out << answer->m_body << '\n';
    return status::done;
}

[[nodiscard]] auto show_status(const options& given, std::ostream& out, std::ostream& faults) -> status {
    const auto ready = ask(given.m_admin, "GET", "/readyz", {});
    if (!ready) {
        faults << "no answer from " << net::to_string(given.m_admin.m_server) << '\n';
        return status::unreachable;
    }
    const auto is_ready = ready->m_status == status_ok;
    if (given.m_json) {
        out << R"({"ready":)" << (is_ready ? "true" : "false") << "}\n";
    } else {
        out << (is_ready ? "ready" : "not ready") << '\n';
    }
    return is_ready ? status::done : status::refused;
}

[[nodiscard]] auto dump(const options& given, std::ostream& out, std::ostream& faults) -> status {
    const auto path =
        given.m_words.size() == 2U ? "/v1/instances/" + given.m_words[1] + "/state" : std::string{"/state"};
    return relay(given, "GET", path, out, faults);
}

} // namespace

} // namespace internal

auto run(const std::span<const char* const> arguments, std::ostream& out, std::ostream& progress) -> status {
    const auto [given, ended] = internal::parse(arguments, out, progress);
    if (!given) {
        return ended;
    }
    const auto& words = given->m_words;
    const auto& name = words.front();
    if (name == "check-config" && words.size() == 2U) {
        return internal::check_config(words[1], out, progress);
    }
    if (name == "reference" && words.size() == 1U) {
        out << config::reference();
        return status::done;
    }
    if (name == "codes" && words.size() == 1U) {
        internal::write_codes(out);
        return status::done;
    }
    if (name == "ticket") {
        return internal::ticket(*given, out, progress);
    }
    if (name == "status" && words.size() == 1U) {
        return internal::show_status(*given, out, progress);
    }
    if (name == "state" && words.size() <= 2U) {
        return internal::dump(*given, out, progress);
    }
    if (name == "metrics" && words.size() == 1U) {
        return internal::relay(*given, "GET", "/metrics", out, progress);
    }
    if (name == "drain" && words.size() == 1U) {
        return internal::relay(*given, "POST", "/v1/drain", out, progress);
    }
    progress << "rhubarbwharf: unknown command; see --help\n";
    return status::usage;
}

} // namespace rhubarbwharf::command
