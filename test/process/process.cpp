#include "process.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rhubarbwharf::process {

namespace internal {

constexpr std::chrono::milliseconds poll_interval{20};
constexpr auto timeout_status = 1000;
/*! @brief Range of listening ports, below the ephemeral ports of the kernel; divided into blocks. */
constexpr std::uint32_t first_port = 10'000;
constexpr std::uint32_t ports_per_block = 100;
constexpr std::uint32_t block_count = 200;

[[nodiscard]] auto spawn(const std::string& program, const std::vector<std::string>& arguments,
                         const std::string& log_path) -> pid_t {
    std::vector<std::string> argument_strings{program};
    argument_strings.insert(argument_strings.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers{};
    pointers.reserve(argument_strings.size() + 1U);
    for (auto& argument : argument_strings) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid{};
    const auto error = posix_spawn(&pid, program.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error{"failed to start " + program + ": " + std::strerror(error)};
    }
    return pid;
}

/*! @brief Running children, which the signal handler kills; 0 marks a free slot. */
std::array<pid_t, 256> running_children{};

auto kill_children(const int signal) -> void {
    for (const auto pid : running_children) {
        if (pid != 0) {
            kill(pid, SIGKILL);
        }
    }
    _exit(signal);
}

/**
 * @brief Takes a block of ports that no other process of the tests uses, until this process ends.
 *
 * A port that was only tested with bind may be taken by another process before the daemon listens, or while it
 * restarts.
 * @return The first port of the block.
 */
[[nodiscard]] auto take_port_block() -> std::uint32_t {
    const auto start = static_cast<std::uint32_t>(getpid());
    for (std::uint32_t index = 0; index < block_count; ++index) {
        const auto block = (start + index) % block_count;
        const auto path =
            std::filesystem::temp_directory_path() / ("rhubarbwharf-ports-" + std::to_string(block) + ".lock");
        const auto lock_file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
        if (lock_file >= 0 && ::flock(lock_file, LOCK_EX | LOCK_NB) == 0) {
            return first_port + block * ports_per_block;
        }
        ::close(lock_file);
    }
    throw std::runtime_error{"no block of ports is free"};
}

[[nodiscard]] auto can_bind(const std::uint16_t port) -> bool {
    const auto socket_number = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const auto bound = ::bind(socket_number, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(socket_number);
    return bound;
}

} // namespace internal

auto wait_until(const std::function<bool()>& condition) -> bool {
    const auto end = std::chrono::steady_clock::now() + max_wait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(internal::poll_interval);
    }
    return true;
}

temporary_directory::temporary_directory() {
    auto pattern = (std::filesystem::temp_directory_path() / "rhubarbwharf-test-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error{"failed to create a temporary directory"};
    }
    m_path = pattern;
}

temporary_directory::~temporary_directory() {
    if (std::getenv("RHUBARBWHARF_KEEP") != nullptr) {
        return;
    }
    std::error_code ignored{};
    std::filesystem::remove_all(m_path, ignored);
}

auto temporary_directory::path(const std::string_view name) const -> std::string {
    return (m_path / name).string();
}

auto temporary_directory::write_file(const std::string_view name, const std::string_view text) const -> std::string {
    std::ofstream{path(name)} << text;
    return path(name);
}

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             std::string log_path)
    : m_log_path{std::move(log_path)}, m_pid{internal::spawn(program, arguments, m_log_path)} {
    std::signal(SIGTERM, internal::kill_children);
    std::signal(SIGINT, internal::kill_children);
    for (auto& child : internal::running_children) {
        if (child == 0) {
            child = m_pid;
            break;
        }
    }
}

child_process::~child_process() {
    if (is_running()) {
        send_signal(SIGCONT);
        send_signal(SIGKILL);
        waitpid(m_pid, &m_wait_status, 0);
    }
    std::replace(internal::running_children.begin(), internal::running_children.end(), m_pid, pid_t{0});
}

auto child_process::send_signal(const int signal) const -> void {
    if (!m_exited) {
        kill(m_pid, signal);
    }
}

auto child_process::is_running() -> bool {
    if (!m_exited) {
        m_exited = waitpid(m_pid, &m_wait_status, WNOHANG) == m_pid;
    }
    return !m_exited;
}

auto child_process::wait() -> int {
    if (!wait_until([this] { return !is_running(); })) {
        return internal::timeout_status;
    }
    return WIFEXITED(m_wait_status) ? WEXITSTATUS(m_wait_status) : -WTERMSIG(m_wait_status);
}

auto child_process::peak_resident_bytes() const -> std::size_t {
    constexpr std::string_view name = "VmHWM:";
    std::ifstream status{"/proc/" + std::to_string(m_pid) + "/status"};
    for (std::string line{}; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoul(line.substr(name.size())) * 1024U;
        }
    }
    throw std::runtime_error{"the process has no memory"};
}

auto child_process::output() const -> std::string {
    std::ostringstream text{};
    text << std::ifstream{m_log_path}.rdbuf();
    return text.str();
}

auto child_process::wait_for_address() const -> net::endpoint {
    constexpr std::string_view prefix = "listening ";
    std::string line{};
    const auto found = wait_until([this, &line, prefix] {
        const auto text = output();
        const auto position = text.rfind(prefix);
        const auto end = position == std::string::npos ? position : text.find('\n', position);
        if (end == std::string::npos) {
            return false;
        }
        line = text.substr(position + prefix.size(), end - position - prefix.size());
        return true;
    });
    if (!found) {
        throw std::runtime_error{"child process did not report its listening address: " + output()};
    }
    return net::parse_endpoint(line).value();
}

threaded_http_client::threaded_http_client()
    : m_thread{[this] {
          m_loop.run();
      }} {}

threaded_http_client::~threaded_http_client() {
    m_loop.stop();
    m_thread.join();
}

auto threaded_http_client::start(const net::endpoint& server, net::http_request request) -> std::future<call_result> {
    const auto promise = std::make_shared<std::promise<call_result>>();
    m_loop.post([this, server, request = std::move(request), promise] {
        net::call_limits limits{};
        limits.m_total_time = max_wait;
        limits.m_idle_time = max_wait;
        m_http.fetch(server, request, limits, [promise](const net::call_end& end, net::http_response response) {
            const auto has_head =
                end.m_code == code::ok || end.m_code == code::cut_stream || !response.m_headers.empty();
            response.m_status = has_head ? response.m_status : std::uint16_t{0};
            promise->set_value({end, std::move(response)});
        });
    });
    return promise->get_future();
}

auto threaded_http_client::get(const net::endpoint& server, const std::string_view target) -> call_result {
    net::http_request request{};
    request.m_target = target;
    return start(server, std::move(request)).get();
}

auto threaded_http_client::post(const net::endpoint& server, const std::string_view target, const std::string_view body,
                                std::vector<net::header> headers) -> call_result {
    net::http_request request{};
    request.m_method = "POST";
    request.m_target = target;
    request.m_body = body;
    request.m_headers = std::move(headers);
    return start(server, std::move(request)).get();
}

auto find_free_port() -> std::uint16_t {
    static std::uint32_t block_port{};
    static std::uint32_t used = internal::ports_per_block;
    for (;;) {
        if (used == internal::ports_per_block) {
            block_port = internal::take_port_block();
            used = 0;
        }
        const auto port = static_cast<std::uint16_t>(block_port + used++);
        if (internal::can_bind(port)) {
            return port;
        }
    }
}

auto program_path(const std::string_view name) -> std::string {
    const auto* const program_directory = std::getenv("RHUBARBWHARF_BIN");
    return (std::filesystem::path{program_directory == nullptr ? "." : program_directory} / name).string();
}

} // namespace rhubarbwharf::process
