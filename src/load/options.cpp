#include "load/options.hpp"

#include <charconv>
#include <ostream>

#include <cxxopts.hpp>

namespace rhubarbwharf::load {

namespace internal {

namespace {

using string_list = std::vector<std::string>;

[[nodiscard]] auto make_parser() -> cxxopts::Options {
    cxxopts::Options parser{"rhubarbwharf-load", "Sends open-loop load and writes figures as JSON lines."};
    auto add = parser.add_options();
    add("mode", "Measurement to run: open-loop, overhead or net",
        cxxopts::value<std::string>()->default_value("open-loop"), "MODE");
    add("target", "Entries to call; in open-loop mode a single entry is queried for all others",
        cxxopts::value<string_list>(), "IP:PORT,...");
    add("engine", "Engine called directly in overhead mode", cxxopts::value<std::string>(), "IP:PORT");
    add("organisation-key", "API keys of the calling organisations", cxxopts::value<string_list>(), "KEY,...");
    add("model", "Model to request", cxxopts::value<std::string>()->default_value(""), "NAME");
    add("versions", "Values of system_fingerprint that answers may have; default: any", cxxopts::value<string_list>(),
        "HEX,...");
    add("rate", "Mean arrivals per second", cxxopts::value<double>()->default_value("10"), "N");
    add("seconds", "Duration of a run", cxxopts::value<double>()->default_value("10"), "S");
    add("deadline-ms", "Time within which a complete answer counts as good",
        cxxopts::value<unsigned>()->default_value("10000"), "MS");
    add("tokens", "Tokens requested per answer", cxxopts::value<std::uint32_t>()->default_value("32"), "N");
    add("stream", "Request answers as streams", cxxopts::value<bool>()->default_value("true"), "BOOL");
    add("connections", "Maximum number of requests in progress", cxxopts::value<std::uint32_t>()->default_value("1024"),
        "N");
    add("prefixes", "Number of distinct prompt prefixes", cxxopts::value<std::uint32_t>()->default_value("64"), "N");
    add("prompt-bytes", "Size of a prompt", cxxopts::value<std::uint32_t>()->default_value("512"), "BYTES");
    add("skew", "Exponent of the Zipf distribution of prefixes", cxxopts::value<double>()->default_value("1"), "X");
    add("seed", "Seed of arrivals and prompts", cxxopts::value<std::uint64_t>()->default_value("20261203"), "N");
    add("process", "Processes whose processor time and memory are reported", cxxopts::value<string_list>(),
        "NAME=PID,...");
    add("h,help", "Write this help");
    add("version", "Write the version");
    return parser;
}

[[nodiscard]] auto list_option(const cxxopts::ParseResult& values, const std::string& name) -> string_list {
    return values.count(name) == 0U ? string_list{} : values[name].as<string_list>();
}

[[nodiscard]] auto to_mode(const std::string& text) -> std::optional<mode> {
    if (text == "open-loop") {
        return mode::open_loop;
    }
    if (text == "overhead") {
        return mode::overhead;
    }
    return text == "net" ? std::optional{mode::net} : std::nullopt;
}

[[nodiscard]] auto to_duration(const double seconds) -> duration {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}

/**
 * @brief Parses the options whose values cxxopts only handles as text.
 * @return Error message for the first invalid option; empty if all are valid.
 */
[[nodiscard]] auto parse_addresses_and_processes(const cxxopts::ParseResult& values, settings& result) -> std::string {
    for (const auto& text : list_option(values, "target")) {
        const auto endpoint = net::parse_endpoint(text);
        if (!endpoint) {
            return "--target: expected IP:PORT, got " + text;
        }
        result.m_targets.push_back(*endpoint);
    }
    if (values.count("engine") != 0U) {
        result.m_engine = net::parse_endpoint(values["engine"].as<std::string>());
        if (!result.m_engine) {
            return "--engine: expected IP:PORT";
        }
    }
    for (const auto& text : list_option(values, "process")) {
        const auto equals = text.find('=');
        monitored_process process{text.substr(0U, equals), 0};
        const auto pid = equals == std::string::npos ? std::string{} : text.substr(equals + 1U);
        std::from_chars(pid.data(), pid.data() + pid.size(), process.m_pid);
        if (process.m_pid <= 0) {
            return "--process: expected NAME=PID, got " + text;
        }
        result.m_processes.push_back(std::move(process));
    }
    return {};
}

/**
 * @brief Checks for missing and out-of-range settings.
 * @return Error message; empty if the settings are valid.
 */
[[nodiscard]] auto validate(const settings& config) -> std::string {
    if (config.m_mode != mode::net && config.m_targets.empty()) {
        return "--target: required unless --mode is net";
    }
    if (config.m_mode == mode::overhead && !config.m_engine) {
        return "--engine: required in overhead mode";
    }
    if (!(config.m_rate > 0.0) || config.m_run_time <= duration::zero()) {
        return "--rate, --seconds: must be greater than 0";
    }
    if (config.m_prefixes == 0U || config.m_tokens == 0U || config.m_max_connections == 0U || !(config.m_skew >= 0.0)) {
        return "--prefixes, --tokens, --connections: must be greater than 0; --skew: must not be negative";
    }
    return {};
}

[[nodiscard]] auto to_settings(const cxxopts::ParseResult& values, std::ostream& errors)
    -> std::variant<settings, status> {
    settings result{};
    const auto requested_mode = to_mode(values["mode"].as<std::string>());
    result.m_mode = requested_mode.value_or(mode::open_loop);
    result.m_keys = list_option(values, "organisation-key");
    result.m_model = values["model"].as<std::string>();
    result.m_versions = list_option(values, "versions");
    result.m_rate = values["rate"].as<double>();
    result.m_run_time = to_duration(values["seconds"].as<double>());
    result.m_deadline = std::chrono::milliseconds{values["deadline-ms"].as<unsigned>()};
    result.m_tokens = values["tokens"].as<std::uint32_t>();
    result.m_stream = values["stream"].as<bool>();
    result.m_max_connections = values["connections"].as<std::uint32_t>();
    result.m_prefixes = values["prefixes"].as<std::uint32_t>();
    result.m_prompt_bytes = values["prompt-bytes"].as<std::uint32_t>();
    result.m_skew = values["skew"].as<double>();
    result.m_seed = values["seed"].as<std::uint64_t>();
    auto message =
        requested_mode ? parse_addresses_and_processes(values, result) : "--mode: expected open-loop, overhead or net";
    if (message.empty()) {
        message = validate(result);
    }
    if (!message.empty()) {
        errors << "rhubarbwharf-load: " << message << '\n';
        return status::usage_error;
    }
    return result;
}

} // namespace

} // namespace internal

auto parse_options(const std::span<const char* const> arguments, std::ostream& out, std::ostream& errors)
    -> std::variant<settings, status> {
    auto parser = internal::make_parser();
    try {
        const auto values = parser.parse(static_cast<int>(arguments.size()), arguments.data());
        if (values.count("help") != 0U) {
            out << parser.help();
            return status::done;
        }
        if (values.count("version") != 0U) {
            out << "rhubarbwharf-load " RHUBARBWHARF_VERSION "\n";
            return status::done;
        }
        return internal::to_settings(values, errors);
    } catch (const cxxopts::exceptions::exception& exception) {
        errors << "rhubarbwharf-load: " << exception.what() << '\n';
        return status::usage_error;
    }
}

} // namespace rhubarbwharf::load
