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

/*! @brief What is measured. */
enum class mode : std::uint8_t {
    /*! @brief Arrivals at a set rate, whatever the answers do. */
    open_loop,
    /*! @brief Pairs of requests, one straight to the engine and one through an entry. */
    overhead,
    /*! @brief The net module alone, within this process. */
    net,
};

/*! @brief A process whose processor time and memory are read before and after. */
struct monitored_process {
    std::string m_name{};
    int m_pid{};
};

/*! @brief Settings of one run. */
struct settings {
    mode m_mode{mode::open_loop};
    /*! @brief Entries to call; if there is one only, it is asked for the others. */
    std::vector<net::endpoint> m_targets{};
    /*! @brief Engine that `overhead` calls directly. */
    std::optional<net::endpoint> m_engine{};
    std::vector<std::string> m_keys{};
    std::string m_model{};
    /*! @brief Versions that an answer may come from, as `system_fingerprint`; empty for any. */
    std::vector<std::string> m_versions{};
    double m_rate{10.0};
    duration m_run_time{std::chrono::seconds{10}};
    /*! @brief Time within which a whole answer counts as good. */
    duration m_deadline{std::chrono::seconds{10}};
    std::uint32_t m_tokens{32};
    bool m_stream{true};
    /*! @brief Most requests in progress; arrivals beyond are counted and not sent. */
    std::uint32_t m_max_connections{1024};
    std::uint32_t m_prefixes{64};
    /*! @brief Bytes of a prompt, of which the first three quarters are the shared prefix. */
    std::uint32_t m_prompt_bytes{512};
    /*! @brief Exponent of the prefixes' popularity (Zipf); 0 for alike. */
    double m_skew{1.0};
    std::uint64_t m_seed{20261203};
    std::vector<monitored_process> m_processes{};
};

/**
 * @brief Reads a command line.
 * @param arguments The arguments, the program's name first.
 * @param out Where help and version go.
 * @param faults Where faults go.
 * @return The settings, or the exit code.
 */
[[nodiscard]] auto parse_options(std::span<const char* const> arguments, std::ostream& out, std::ostream& errors)
    -> std::variant<settings, status>;

} // namespace rhubarbwharf::load
