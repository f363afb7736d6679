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
inline constexpr std::chrono::seconds max_wait{60};

/*! @brief Waits until a condition holds. @return Whether it came to hold. */
[[nodiscard]] auto wait_until(const std::function<bool()>& holds) -> bool;

/*! @brief Folder of its own that is removed at the end. */
class temporary_directory {
public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory(temporary_directory&&) = delete;
    auto operator=(const temporary_directory&) -> temporary_directory& = delete;
    auto operator=(temporary_directory&&) -> temporary_directory& = delete;

    [[nodiscard]] auto path(std::string_view name) const -> std::string;
    [[nodiscard]] auto write_file(std::string_view name, std::string_view text) const -> std::string;

private:
    std::filesystem::path m_path{};
};

/*! @brief A program of this repository that runs as a child, ended at the latest with this object. */
class child_process {
public:
    child_process(const std::string& program, const std::vector<std::string>& words, std::string log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process(child_process&&) = delete;
    auto operator=(const child_process&) -> child_process& = delete;
    auto operator=(child_process&&) -> child_process& = delete;

    auto send_signal(int signal) const -> void;
    /*! @brief Waits until it has ended by itself. @return Its exit status, -SIGNAL if it was killed, or 1000. */
    [[nodiscard]] auto wait() -> int;
    [[nodiscard]] auto is_running() -> bool;
    /*! @brief Returns what it wrote so far. */
    [[nodiscard]] auto output() const -> std::string;
    /*! @brief Waits for its `listening ADDRESS:PORT`. */
    [[nodiscard]] auto wait_for_address() const -> net::endpoint;

private:
    std::string m_log_path{};
    pid_t m_pid{};
    int m_wait_status{};
    bool m_exited{};
};

/*! @brief The whole of an answer, as a caller sees it. */
struct call_result {
    net::call_end m_end{};
    net::http_response m_response{};
};

/*! @brief HTTP client on a thread of its own. */
class threaded_http_client {
public:
    threaded_http_client();
    ~threaded_http_client();
    threaded_http_client(const threaded_http_client&) = delete;
    threaded_http_client(threaded_http_client&&) = delete;
    auto operator=(const threaded_http_client&) -> threaded_http_client& = delete;
    auto operator=(threaded_http_client&&) -> threaded_http_client& = delete;

    [[nodiscard]] auto start(const net::endpoint& server, net::http_request request) -> std::future<call_result>;
    [[nodiscard]] auto get(const net::endpoint& server, std::string_view target) -> call_result;
    auto post(const net::endpoint& server, std::string_view target, std::string_view body,
              std::vector<net::header> headers = {}) -> call_result;

private:
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    std::thread m_thread{};
};

/*! @brief Finds a port that nobody listens on; gives none twice in a row. */
[[nodiscard]] auto find_free_port() -> std::uint16_t;

/*! @brief Returns the path of one of this build's programs. */
[[nodiscard]] auto program_path(std::string_view name) -> std::string;

} // namespace rhubarbwharf::process
