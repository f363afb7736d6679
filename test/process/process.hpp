#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <future>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>

namespace rhubarbwharf::process {

/*! @brief Longest wait for a condition; generous, as no test is judged by time. */
inline constexpr std::chrono::seconds longest_wait{60};

/*! @brief Waits until a condition holds. @return Whether it came to hold. */
[[nodiscard]] auto wait_until(const std::function<bool()>& holds) -> bool;

/*! @brief Folder of its own that is removed at the end. */
class folder {
public:
    folder();
    ~folder();
    folder(const folder&) = delete;
    folder(folder&&) = delete;
    auto operator=(const folder&) -> folder& = delete;
    auto operator=(folder&&) -> folder& = delete;

    [[nodiscard]] auto path(std::string_view name) const -> std::string;
    [[nodiscard]] auto write(std::string_view name, std::string_view text) const -> std::string;

private:
    std::filesystem::path m_path{};
};

/*! @brief A program of this repository that runs as a child, ended at the latest with this object. */
class child {
public:
    child(const std::string& program, const std::vector<std::string>& words, std::string log);
    ~child();
    child(const child&) = delete;
    child(child&&) = delete;
    auto operator=(const child&) -> child& = delete;
    auto operator=(child&&) -> child& = delete;

    auto send(int signal) const -> void;
    /*! @brief Waits until it has ended by itself. @return Its exit status, -SIGNAL if it was killed, or 1000. */
    [[nodiscard]] auto wait() -> int;
    [[nodiscard]] auto is_running() -> bool;
    /*! @brief Returns what it wrote so far. */
    [[nodiscard]] auto output() const -> std::string;
    /*! @brief Waits for its `listening ADDRESS:PORT`. */
    [[nodiscard]] auto where() const -> net::endpoint;

private:
    std::string m_log{};
    pid_t m_pid{};
    int m_status{};
    bool m_ended{};
};

/*! @brief The whole of an answer, as a caller sees it. */
struct answer {
    net::call_end m_end{};
    net::http_response m_response{};
};

/*! @brief HTTP client on a thread of its own. */
class caller {
public:
    caller();
    ~caller();
    caller(const caller&) = delete;
    caller(caller&&) = delete;
    auto operator=(const caller&) -> caller& = delete;
    auto operator=(caller&&) -> caller& = delete;

    [[nodiscard]] auto start(const net::endpoint& server, net::http_request request) -> std::future<answer>;
    [[nodiscard]] auto get(const net::endpoint& server, std::string_view target) -> answer;
    auto post(const net::endpoint& server, std::string_view target, std::string_view body,
              std::vector<net::header> headers = {}) -> answer;

private:
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    std::thread m_thread{};
};

/*! @brief Finds a port that nobody listens on; gives none twice in a row. */
[[nodiscard]] auto free_port() -> std::uint16_t;

/*! @brief Returns the path of one of this build's programs. */
[[nodiscard]] auto program_path(std::string_view name) -> std::string;

} // namespace rhubarbwharf::process
