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

/*! @brief Limit of every wait; long, because the tests do not assert durations. */
inline constexpr std::chrono::seconds max_wait{60};

/*! @brief Polls a condition until it holds. @return False if it does not hold within `max_wait`. */
[[nodiscard]] auto wait_until(const std::function<bool()>& condition) -> bool;

/*! @brief Temporary directory, removed on destruction unless `RHUBARBWHARF_KEEP` is set. */
class temporary_directory {
public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory(temporary_directory&&) = delete;
    auto operator=(const temporary_directory&) -> temporary_directory& = delete;
    auto operator=(temporary_directory&&) -> temporary_directory& = delete;

    /*! @brief Returns the path of a file in the directory, which need not exist. */
    [[nodiscard]] auto path(std::string_view name) const -> std::string;
    /*! @brief Writes a file. @return Its path. */
    [[nodiscard]] auto write_file(std::string_view name, std::string_view text) const -> std::string;

private:
    std::filesystem::path m_path{};
};

/*! @brief Child process, killed on destruction if it still runs. */
class child_process {
public:
    /*! @brief Starts a program; its standard output and standard error are appended to the log file. */
    child_process(const std::string& program, const std::vector<std::string>& arguments, std::string log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process(child_process&&) = delete;
    auto operator=(const child_process&) -> child_process& = delete;
    auto operator=(child_process&&) -> child_process& = delete;

    auto send_signal(int signal) const -> void;
    /*! @brief Waits until the process exits. @return Its exit status, -SIGNAL if a signal ended it, 1000 on timeout. */
    [[nodiscard]] auto wait() -> int;
    [[nodiscard]] auto is_running() -> bool;
    /*! @brief Returns the most memory that the process has had resident so far, in bytes. */
    [[nodiscard]] auto peak_resident_bytes() const -> std::size_t;
    /*! @brief Returns the content of the log file. */
    [[nodiscard]] auto output() const -> std::string;
    /*! @brief Waits for the last `listening ADDRESS:PORT` in the log; throws `std::runtime_error` on timeout. */
    [[nodiscard]] auto wait_for_address() const -> net::endpoint;

private:
    std::string m_log_path{};
    pid_t m_pid{};
    int m_wait_status{};
    bool m_exited{};
};

/*! @brief Result and buffered response of one call; the status is 0 if no response head was received. */
struct call_result {
    net::call_end m_end{};
    net::http_response m_response{};
};

/*! @brief HTTP client with its own thread; `get` and `post` block. */
class threaded_http_client {
public:
    threaded_http_client();
    ~threaded_http_client();
    threaded_http_client(const threaded_http_client&) = delete;
    threaded_http_client(threaded_http_client&&) = delete;
    auto operator=(const threaded_http_client&) -> threaded_http_client& = delete;
    auto operator=(threaded_http_client&&) -> threaded_http_client& = delete;

    /*! @brief Starts a call without blocking; the future receives its result. */
    [[nodiscard]] auto start(const net::endpoint& server, net::http_request request) -> std::future<call_result>;
    [[nodiscard]] auto get(const net::endpoint& server, std::string_view target) -> call_result;
    auto post(const net::endpoint& server, std::string_view target, std::string_view body,
              std::vector<net::header> headers = {}) -> call_result;

private:
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    std::thread m_thread{};
};

/*! @brief Returns a loopback port that can be bound; successive calls return different ports. */
[[nodiscard]] auto find_free_port() -> std::uint16_t;

/*! @brief Returns the path of a program in the directory that `RHUBARBWHARF_BIN` names. */
[[nodiscard]] auto program_path(std::string_view name) -> std::string;

} // namespace rhubarbwharf::process
