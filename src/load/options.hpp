#pragma once

#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/load/run.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::load {

/*! @brief Kind of measurement. */
enum class mode : std::uint8_t {
    /*! @brief Poisson arrivals at a fixed rate, independent of the responses. */
    open_loop,
    /*! @brief Pairs of equal requests, one sent directly to the engine and one through an entry. */
    overhead,
    /*! @brief The net module alone, with client and server in this process. */
    net,
};

/*! @brief Process whose processor time and memory are reported with the figures. */
struct monitored_process {
    /*! @brief Key of the process in the figures. */
    std::string m_name{};
    int m_pid{};
};

/*! @brief Settings of one run. */
struct settings {
    mode m_mode{mode::open_loop};
    /*! @brief Entries to call; in open-loop mode, a single one is queried for the list of all entries. */
    std::vector<net::endpoint> m_targets{};
    /*! @brief Engine called directly in `overhead` mode. */
    std::optional<net::endpoint> m_engine{};
    /*! @brief API keys of the calling organisations, picked at random; empty sends no `Authorization` header. */
    std::vector<std::string> m_keys{};
    std::string m_model{};
    /*! @brief Allowed values of `system_fingerprint`; empty allows any. */
    std::vector<std::string> m_versions{};
    /*! @brief Mean arrivals per second. */
    double m_rate{10.0};
    /*! @brief Time over which requests arrive, or over which each net benchmark is measured. */
    duration m_run_time{std::chrono::seconds{10}};
    /*! @brief Time from scheduled arrival within which a complete response counts towards goodput. */
    duration m_deadline{std::chrono::seconds{10}};
    /*! @brief Tokens to generate per request; a response with any other number counts as incomplete. */
    std::uint32_t m_tokens{32};
    /*! @brief Whether responses are requested as streams of server-sent events. */
    bool m_stream{true};
    /*! @brief Maximum number of requests in progress; arrivals above it are counted but not sent. */
    std::uint32_t m_max_connections{1024};
    /*! @brief Number of distinct prompt prefixes. */
    std::uint32_t m_prefixes{64};
    /*! @brief Size of a prompt in bytes; the first three quarters are the shared prefix. */
    std::uint32_t m_prompt_bytes{512};
    /*! @brief Exponent of the Zipf distribution of prefix popularity; 0 makes all prefixes equally likely. */
    double m_skew{1.0};
    std::uint64_t m_seed{20261203};
    std::vector<monitored_process> m_processes{};
};

/**
 * @brief Parses a command line; handles `--help` and `--version` itself.
 * @param arguments Arguments as passed to `main`, including the program name.
 * @param out Receives the help and the version.
 * @param errors Receives error messages.
 * @return The settings, or the exit code if there is nothing to run.
 */
[[nodiscard]] auto parse_options(std::span<const char* const> arguments, std::ostream& out, std::ostream& errors)
    -> std::variant<settings, status>;

} // namespace rhubarbwharf::load
