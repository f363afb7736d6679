#include "load/options.hpp"

#include <charconv>
#include <ostream>

#include <cxxopts.hpp>

namespace rhubarbwharf::load {

namespace internal {

namespace {

using texts = std::vector<std::string>;

[[nodiscard]] auto make_parser() -> cxxopts::Options {
    cxxopts::Options parser{"rhubarbwharf-load", "Sends open-loop load and writes figures as JSON lines."};
    auto add = parser.add_options();
    add("mode", "open-loop, overhead or net", cxxopts::value<std::string>()->default_value("open-loop"), "MODE");
    add("target", "Entries; a single one is asked for the others", cxxopts::value<texts>(), "IP:PORT,...");
    add("engine", "Engine that overhead calls directly", cxxopts::value<std::string>(), "IP:PORT");
    add("organisation-key", "Keys of the organisations that call", cxxopts::value<texts>(), "KEY,...");
    add("model", "Model", cxxopts::value<std::string>()->default_value(""), "NAME");
    add("versions", "Fingerprints that answers may have", cxxopts::value<texts>(), "HEX,...");
    add("rate", "Arrivals a second", cxxopts::value<double>()->default_value("10"), "N");
    add("seconds", "Time of arrivals", cxxopts::value<double>()->default_value("10"), "S");
    add("deadline-ms", "Time for a good answer", cxxopts::value<unsigned>()->default_value("10000"), "MS");
    add("tokens", "Tokens of an answer", cxxopts::value<std::uint32_t>()->default_value("32"), "N");
    add("stream", "Ask for streams", cxxopts::value<bool>()->default_value("true"), "BOOL");
    add("connections", "Most requests in progress", cxxopts::value<std::uint32_t>()->default_value("1024"), "N");
    add("prefixes", "Prompt prefixes", cxxopts::value<std::uint32_t>()->default_value("64"), "N");
    add("prompt-bytes", "Size of a prompt", cxxopts::value<std::uint32_t>()->default_value("512"), "BYTES");
    add("skew", "Zipf exponent of the prefixes", cxxopts::value<double>()->default_value("1"), "X");
    add("seed", "Seed of arrivals and prompts", cxxopts::value<std::uint64_t>()->default_value("20261203"), "N");
    add("process", "Processes whose time and memory are read", cxxopts::value<texts>(), "NAME=PID,...");
    add("h,help", "Write this help");
    add("version", "Write the version");
    return parser;
}

[[nodiscard]] auto many(const cxxopts::ParseResult& values, const std::string& name) -> texts {
    return values.count(name) == 0U ? texts{} : values[name].as<texts>();
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

/*! @brief Reads the options whose form cxxopts does not check. @return The name of a faulty one, or nothing. */
[[nodiscard]] auto read_lists(const cxxopts::ParseResult& values, settings& into) -> std::string {
    for (const auto& text : many(values, "target")) {
        const auto target = net::parse_endpoint(text);
        if (!target) {
            return "--target: not IP:PORT: " + text;
        }
        into.m_targets.push_back(*target);
    }
    if (values.count("engine") != 0U) {
        into.m_engine = net::parse_endpoint(values["engine"].as<std::string>());
        if (!into.m_engine) {
            return "--engine: not IP:PORT";
        }
    }
    for (const auto& text : many(values, "process")) {
        const auto equals = text.find('=');
        watched_process each{text.substr(0U, equals), 0};
        const auto number = equals == std::string::npos ? std::string{} : text.substr(equals + 1U);
        std::from_chars(number.data(), number.data() + number.size(), each.m_id);
        if (each.m_id <= 0) {
            return "--process: not NAME=PID: " + text;
        }
        into.m_processes.push_back(std::move(each));
    }
    return {};
}

/*! @brief Checks the settings against each other. @return What is wrong, or nothing. */
[[nodiscard]] auto check(const settings& made) -> std::string {
    if (made.m_mode != mode::net && made.m_targets.empty()) {
        return "--target: missing";
    }
    if (made.m_mode == mode::overhead && !made.m_engine) {
        return "--engine: missing";
    }
    if (!(made.m_rate > 0.0) || made.m_time <= duration::zero()) {
        return "--rate, --seconds: must be above 0";
    }
    if (made.m_prefixes == 0U || made.m_tokens == 0U || made.m_connections == 0U || !(made.m_skew >= 0.0)) {
        return "--prefixes, --tokens, --connections: must be above 0; --skew: must be 0 or above";
    }
    return {};
}

[[nodiscard]] auto take(const cxxopts::ParseResult& values, std::ostream& faults) -> std::variant<settings, status> {
    settings made{};
    const auto asked = to_mode(values["mode"].as<std::string>());
    made.m_mode = asked.value_or(mode::open_loop);
    made.m_keys = many(values, "organisation-key");
    made.m_model = values["model"].as<std::string>();
    made.m_versions = many(values, "versions");
    made.m_rate = values["rate"].as<double>();
    made.m_time = to_duration(values["seconds"].as<double>());
    made.m_deadline = std::chrono::milliseconds{values["deadline-ms"].as<unsigned>()};
    made.m_tokens = values["tokens"].as<std::uint32_t>();
    made.m_stream = values["stream"].as<bool>();
    made.m_connections = values["connections"].as<std::uint32_t>();
    made.m_prefixes = values["prefixes"].as<std::uint32_t>();
    made.m_prompt_bytes = values["prompt-bytes"].as<std::uint32_t>();
    made.m_skew = values["skew"].as<double>();
    made.m_seed = values["seed"].as<std::uint64_t>();
    auto fault = asked ? read_lists(values, made) : "--mode: not open-loop, overhead or net";
    if (fault.empty()) {
        fault = check(made);
    }
    if (!fault.empty()) {
        faults << "rhubarbwharf-load: " << fault << '\n';
        return status::usage;
    }
    return made;
}

} // namespace

} // namespace internal

auto read_options(const std::span<const char* const> arguments, std::ostream& out, std::ostream& faults)
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
        return internal::take(values, faults);
    } catch (const cxxopts::exceptions::exception& fault) {
        faults << "rhubarbwharf-load: " << fault.what() << '\n';
        return status::usage;
    }
}

} // namespace rhubarbwharf::load
