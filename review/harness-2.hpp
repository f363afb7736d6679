// Stand-ins for the platform's store, the runners, the origin and the callers, as PROTOCOL.md describes them, and the
// start of the system's own programs. Header-only; each scenario of the second review includes it.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/sha.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/json.hpp>

namespace review {

namespace json = boost::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_cannot_run = 2;

inline auto sleep_ms(const int ms) -> void {
    std::this_thread::sleep_for(milliseconds{ms});
}

// Writes record.txt: time since the start in seconds, then what was sent, answered or run.
class recorder {
public:
    explicit recorder(const std::string& file) : m_file{std::fopen(file.c_str(), "w")} {}

    ~recorder() {
        if (m_file != nullptr) {
            std::fclose(m_file);
        }
    }

    recorder(const recorder&) = delete;
    auto operator=(const recorder&) -> recorder& = delete;

    [[nodiscard]] auto now_s() const -> double { return std::chrono::duration<double>(clock::now() - m_start).count(); }

    __attribute__((format(printf, 2, 3))) auto write(const char* const format, ...) -> void {
        char text[1024];
        va_list list;
        va_start(list, format);
        std::vsnprintf(text, sizeof(text), format, list);
        va_end(list);
        const std::lock_guard lock{m_mutex};
        if (m_file != nullptr) {
            std::fprintf(m_file, "%8.3f  %s\n", now_s(), text);
            std::fflush(m_file);
        }
    }

private:
    std::FILE* m_file{};
    std::mutex m_mutex{};
    clock::time_point m_start{clock::now()};
};

struct message {
    std::string m_start_line{};
    std::vector<std::pair<std::string, std::string>> m_headers{};
    std::string m_body{};

    [[nodiscard]] auto header(const std::string_view name) const -> std::string {
        for (const auto& [key, value] : m_headers) {
            if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
                return value;
            }
        }
        return {};
    }

    [[nodiscard]] auto method() const -> std::string { return m_start_line.substr(0U, m_start_line.find(' ')); }

    [[nodiscard]] auto target() const -> std::string {
        const auto first = m_start_line.find(' ') + 1U;
        return m_start_line.substr(first, m_start_line.find(' ', first) - first);
    }

    [[nodiscard]] auto path() const -> std::string {
        const auto whole = target();
        return whole.substr(0U, whole.find('?'));
    }

    [[nodiscard]] auto query(const std::string& name) const -> std::string {
        const auto whole = target();
        auto at = whole.find('?');
        while (at != std::string::npos) {
            const auto end = std::min(whole.find('&', at + 1U), whole.size());
            const auto pair = whole.substr(at + 1U, end - at - 1U);
            if (pair.rfind(name + "=", 0U) == 0U) {
                return decode(pair.substr(name.size() + 1U));
            }
            at = end == whole.size() ? std::string::npos : end;
        }
        return {};
    }

private:
    [[nodiscard]] static auto decode(const std::string& text) -> std::string {
        std::string out{};
        for (std::size_t at = 0U; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2U < text.size()) {
                out.push_back(static_cast<char>(std::stoi(text.substr(at + 1U, 2U), nullptr, 16)));
                at += 2U;
            } else {
                out.push_back(text[at]);
            }
        }
        return out;
    }
};

// One TCP connection with an input buffer.
class stream {
public:
    explicit stream(const int handle) : m_handle{handle} {
        const int on = 1;
        setsockopt(m_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~stream() { close(); }

    stream(const stream&) = delete;
    auto operator=(const stream&) -> stream& = delete;

    auto close() -> void {
        if (m_handle >= 0) {
            ::close(m_handle);
            m_handle = -1;
        }
    }

    [[nodiscard]] auto handle() const -> int { return m_handle; }

    auto write(const std::string_view text) -> bool {
        std::size_t sent{};
        while (sent < text.size()) {
            const auto count = ::send(m_handle, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads more bytes. @return False at the end, after a failure or at the deadline.
    auto fill(const clock::time_point deadline) -> bool {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
        pollfd waited{m_handle, POLLIN, 0};
        if (left <= 0) {
            m_timed_out = true;
            return false;
        }
        const auto ready = ::poll(&waited, 1U, static_cast<int>(std::min<long long>(left, 100'000)));
        if (ready <= 0) {
            m_timed_out = ready == 0;
            return false;
        }
        char bytes[16384];
        const auto count = ::recv(m_handle, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            m_was_reset = count < 0;
            return false;
        }
        m_input.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    // Reads start line and headers.
    auto read_head(message& out, const clock::time_point deadline) -> bool {
        auto end = m_input.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!fill(deadline)) {
                return false;
            }
            end = m_input.find("\r\n\r\n");
        }
        const auto head = m_input.substr(0U, end);
        m_input.erase(0U, end + 4U);
        out.m_start_line = head.substr(0U, head.find("\r\n"));
        auto at = head.find("\r\n");
        while (at != std::string::npos) {
            const auto next = head.find("\r\n", at + 2U);
            const auto line = head.substr(at + 2U, (next == std::string::npos ? head.size() : next) - at - 2U);
            if (const auto colon = line.find(':'); colon != std::string::npos) {
                auto value = line.substr(colon + 1U);
                value.erase(0U, std::min(value.find_first_not_of(' '), value.size()));
                out.m_headers.emplace_back(line.substr(0U, colon), value);
            }
            at = next;
        }
        return true;
    }

    auto read_bytes(std::string& out, const std::size_t count, const clock::time_point deadline) -> bool {
        while (m_input.size() < count) {
            if (!fill(deadline)) {
                return false;
            }
        }
        out.append(m_input, 0U, count);
        m_input.erase(0U, count);
        return true;
    }

    auto read_line(std::string& out, const clock::time_point deadline) -> bool {
        while (m_input.find("\r\n") == std::string::npos) {
            if (!fill(deadline)) {
                return false;
            }
        }
        const auto end = m_input.find("\r\n");
        out = m_input.substr(0U, end);
        m_input.erase(0U, end + 2U);
        return true;
    }

    // Reads a body by its length or in chunks. @param to_end Whether it may end with the connection.
    auto read_body(message& out, const bool to_end, const clock::time_point deadline) -> bool {
        if (out.header("Transfer-Encoding") == "chunked") {
            for (;;) {
                std::string line{};
                if (!read_line(line, deadline)) {
                    return false;
                }
                const auto size = std::strtoul(line.c_str(), nullptr, 16);
                std::string end{};
                if (!read_bytes(out.m_body, size, deadline) || !read_line(end, deadline)) {
                    return false;
                }
                if (size == 0U) {
                    return true;
                }
            }
        }
        const auto length = out.header("Content-Length");
        if (!length.empty()) {
            return read_bytes(out.m_body, std::strtoul(length.c_str(), nullptr, 10), deadline);
        }
        if (to_end) {
            while (fill(deadline)) {
            }
            out.m_body.append(std::exchange(m_input, {}));
            return !m_timed_out && !m_was_reset;
        }
        return true;
    }

    [[nodiscard]] auto timed_out() const -> bool { return m_timed_out; }

private:
    int m_handle{-1};
    std::string m_input{};
    bool m_timed_out{false};
    bool m_was_reset{false};
};

inline auto loopback(const std::uint16_t port) -> sockaddr_in {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(port);
    return out;
}

// Returns a port that is free now, below those that the kernel gives to outgoing connections. Each one is returned once
// only.
inline auto free_port() -> std::uint16_t {
    constexpr unsigned first = 10'000U;
    constexpr unsigned count = 22'000U;
    static auto next = static_cast<unsigned>(::getpid()) * 131U % count;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(first + next++ % count);
        const auto handle = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto address = loopback(port);
        const auto is_free = ::bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        ::close(handle);
        if (is_free) {
            return port;
        }
    }
}

inline auto address_of(const std::uint16_t port) -> std::string {
    return "127.0.0.1:" + std::to_string(port);
}

inline auto connect_to(const std::uint16_t port) -> std::shared_ptr<stream> {
    const auto handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(handle);
        return nullptr;
    }
    return std::make_shared<stream>(handle);
}

// HTTP server with one thread for each connection.
class http_server {
public:
    // Handles one request. @return False to close the connection.
    using handler = std::function<bool(stream&, const message&)>;

    explicit http_server(handler on_request) : m_on_request{std::move(on_request)}, m_port{free_port()} { open(); }

    ~http_server() { crash(); }

    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;

    [[nodiscard]] auto port() const -> std::uint16_t { return m_port; }

    [[nodiscard]] auto boots() const -> unsigned { return m_boots; }

    // Listens at the same port, also again after a crash.
    auto open() -> void {
        const auto handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto address = loopback(m_port);
        if (::bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
            ::listen(handle, 512) != 0) {
            std::perror("a stand-in can't listen");
            std::_Exit(exit_cannot_run);
        }
        const std::lock_guard lock{m_mutex};
        m_listener = handle;
        ++m_boots;
        std::thread{[this, handle] {
            accept(handle);
        }}.detach();
    }

    // Ends as a killed process does: the listener is closed and all connections break.
    auto crash() -> void {
        const std::lock_guard lock{m_mutex};
        ++m_boots;
        if (m_listener >= 0) {
            ::shutdown(m_listener, SHUT_RDWR);
            ::close(m_listener);
            m_listener = -1;
        }
        for (const auto& each : m_streams) {
            ::shutdown(each->handle(), SHUT_RDWR);
        }
    }

private:
    auto accept(const int listener) -> void {
        for (;;) {
            const auto handle = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                return;
            }
            const auto made = std::make_shared<stream>(handle);
            {
                const std::lock_guard lock{m_mutex};
                if (m_listener != listener) {
                    return;
                }
                m_streams.insert(made);
            }
            std::thread{[this, made] {
                serve(made);
            }}.detach();
        }
    }

    auto serve(const std::shared_ptr<stream>& on) -> void {
        for (;;) {
            message request{};
            const auto deadline = clock::now() + std::chrono::seconds{100};
            if (!on->read_head(request, deadline) || !on->read_body(request, false, deadline) ||
                !m_on_request(*on, request)) {
                break;
            }
        }
        const std::lock_guard lock{m_mutex};
        m_streams.erase(on);
        on->close();
    }

    handler m_on_request{};
    std::uint16_t m_port{};
    std::atomic<unsigned> m_boots{};
    std::mutex m_mutex{};
    int m_listener{-1};
    std::set<std::shared_ptr<stream>> m_streams{};
};

inline auto respond(stream& on, const int status, const std::string& body,
                    const std::vector<std::pair<std::string, std::string>>& headers = {}) -> bool {
    auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return on.write(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

inline auto base64(const std::string_view in) -> std::string {
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out{};
    for (std::size_t at = 0U; at < in.size(); at += 3U) {
        std::uint32_t word{};
        for (std::size_t index = 0U; index < 3U; ++index) {
            word = (word << 8U) | (at + index < in.size() ? static_cast<unsigned char>(in[at + index]) : 0U);
        }
        for (std::size_t index = 0U; index < 4U; ++index) {
            const auto is_padding = at + index > in.size();
            out.push_back(is_padding ? '=' : letters[(word >> (18U - 6U * index)) & 63U]);
        }
    }
    return out;
}

// The platform's key-value store. Values are kept in base64, as they are sent.
class store {
public:
    store()
        : m_server{[this](stream& on, const message& request) {
              return answer(on, request);
          }} {
        std::thread{[this] {
            expire_leases();
        }}.detach();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_server.port(); }

    auto put(const std::string& key, const std::string& value) -> void {
        const std::lock_guard lock{m_mutex};
        write(key, base64(value), 0U);
    }

    auto remove(const std::string& key) -> void {
        const std::lock_guard lock{m_mutex};
        erase(key);
    }

    // Loses the answers of the watches of a prefix that wait now, once there is something to answer: their channels
    // stay open and return nothing further. @return Number of these watches.
    auto lose_watch_answers(const std::string& prefix) -> unsigned {
        const std::lock_guard lock{m_mutex};
        m_lost_prefix = prefix;
        m_lost_until_watch = m_watches;
        return m_waiting[prefix];
    }

    // Cuts all watches that wait.
    auto cut_watches() -> void {
        const std::lock_guard lock{m_mutex};
        ++m_cuts;
        m_changed.notify_all();
    }

private:
    struct item {
        std::string m_value{};
        std::uint64_t m_revision{};
        std::uint64_t m_created{};
        std::uint64_t m_lease{};
    };

    struct lease {
        milliseconds m_ttl{};
        clock::time_point m_until{};
    };

    struct change {
        std::uint64_t m_revision{};
        json::object m_event{};
        std::string m_key{};
    };

    [[nodiscard]] static auto to_json(const std::string& key, const item& from) -> json::object {
        return {{"key", key},
                {"value", from.m_value},
                {"revision", from.m_revision},
                {"create-revision", from.m_created},
                {"lease", from.m_lease}};
    }

    auto write(const std::string& key, std::string value, const std::uint64_t lease) -> void {
        auto& row = m_items[key];
        row.m_value = std::move(value);
        row.m_revision = ++m_revision;
        row.m_created = row.m_created == 0U ? m_revision : row.m_created;
        row.m_lease = lease;
        m_changes.push_back({m_revision, to_json(key, row), key});
        m_changed.notify_all();
    }

    auto erase(const std::string& key) -> void {
        if (m_items.erase(key) == 0U) {
            return;
        }
        ++m_revision;
        m_changes.push_back({m_revision, {{"key", key}, {"revision", m_revision}, {"removed", true}}, key});
        m_changed.notify_all();
    }

    auto end_lease(const std::uint64_t id) -> void {
        m_leases.erase(id);
        std::vector<std::string> ended{};
        for (const auto& [key, row] : m_items) {
            if (row.m_lease == id) {
                ended.push_back(key);
            }
        }
        for (const auto& key : ended) {
            erase(key);
        }
    }

    auto expire_leases() -> void {
        for (;;) {
            sleep_ms(50);
            const std::lock_guard lock{m_mutex};
            std::vector<std::uint64_t> ended{};
            for (const auto& [id, row] : m_leases) {
                if (clock::now() >= row.m_until) {
                    ended.push_back(id);
                }
            }
            for (const auto id : ended) {
                end_lease(id);
            }
        }
    }

    auto answer(stream& on, const message& request) -> bool {
        const auto path = request.path();
        if (path == "/api/kv-watch") {
            return watch(on, request);
        }
        std::unique_lock lock{m_mutex};
        json::object out{};
        auto status = 200;
        if (path == "/api/kv-range") {
            const auto prefix = request.query("prefix");
            json::array items{};
            for (const auto& [key, row] : m_items) {
                if (key.rfind(prefix, 0U) == 0U && key > request.query("after")) {
                    items.push_back(to_json(key, row));
                }
            }
            out = {{"items", items}, {"has-more", false}, {"store-revision", m_revision}};
        } else if (path == "/api/kv-key") {
            const auto found = m_items.find(request.query("key"));
            status = found == m_items.end() ? 404 : 200;
            out = found == m_items.end() ? json::object{} : to_json(found->first, found->second);
            out["store-revision"] = m_revision;
        } else if (path == "/api/kv-txn") {
            status = commit(json::parse(request.m_body).as_object(), out);
        } else if (path == "/api/kv-lease") {
            const auto ttl = json::parse(request.m_body).at("ttl-ms").to_number<std::int64_t>();
            const auto id = ++m_last_lease;
            m_leases[id] = {milliseconds{ttl}, clock::now() + milliseconds{ttl}};
            out = {{"lease", id}, {"ttl-ms", ttl}};
        } else if (path.rfind("/api/kv-keep/", 0U) == 0U) {
            const auto found = m_leases.find(std::stoull(path.substr(13U)));
            status = found == m_leases.end() ? 404 : 200;
            if (found != m_leases.end()) {
                found->second.m_until = clock::now() + found->second.m_ttl;
                out = {{"ttl-ms", found->second.m_ttl.count()}};
            }
        } else if (path.rfind("/api/kv-lease-end/", 0U) == 0U) {
            end_lease(std::stoull(path.substr(18U)));
        } else {
            status = 404;
        }
        lock.unlock();
        return respond(on, status, json::serialize(out));
    }

    auto commit(const json::object& body, json::object& out) -> int {
        json::array current{};
        auto holds = true;
        for (const auto& each : body.at("expected").as_array()) {
            const std::string key{each.at("key").as_string()};
            const auto found = m_items.find(key);
            const auto revision = found == m_items.end() ? 0U : found->second.m_revision;
            holds = holds && each.at("revision").to_number<std::uint64_t>() == revision;
            if (found != m_items.end()) {
                current.push_back(to_json(key, found->second));
            }
        }
        if (!holds) {
            out = {{"items", current}};
            return 412;
        }
        for (const auto& each : body.at("puts").as_array()) {
            const auto id = each.at("lease").to_number<std::uint64_t>();
            if (id != 0U && m_leases.count(id) == 0U) {
                return 404;
            }
        }
        for (const auto& each : body.at("puts").as_array()) {
            write(std::string{each.at("key").as_string()}, std::string{each.at("value").as_string()},
                  each.at("lease").to_number<std::uint64_t>());
        }
        for (const auto& each : body.at("deletes").as_array()) {
            erase(std::string{each.as_string()});
        }
        out = {{"revision", m_revision}};
        return 200;
    }

    auto watch(stream& on, const message& request) -> bool {
        const auto prefix = request.query("prefix");
        const auto after = std::stoull(request.query("after"));
        const auto deadline = clock::now() + milliseconds{std::stoll(request.query("wait-ms"))};
        std::unique_lock lock{m_mutex};
        const auto cuts = m_cuts;
        const auto number = ++m_watches;
        ++m_waiting[prefix];
        json::array events{};
        for (;;) {
            for (const auto& each : m_changes) {
                if (each.m_revision > after && each.m_key.rfind(prefix, 0U) == 0U) {
                    events.push_back(each.m_event);
                }
            }
            if (!events.empty() || clock::now() >= deadline) {
                break;
            }
            if (m_cuts != cuts) {
                --m_waiting[prefix];
                return false;
            }
            m_changed.wait_until(lock, deadline);
        }
        const json::object out{{"events", events}, {"store-revision", m_revision}};
        const auto is_lost = prefix == m_lost_prefix && number <= m_lost_until_watch && !events.empty();
        --m_waiting[prefix];
        lock.unlock();
        if (is_lost) {
            while (on.fill(clock::now() + std::chrono::seconds{100})) {
            }
            return false;
        }
        return respond(on, 200, json::serialize(out));
    }

    std::mutex m_mutex{};
    std::condition_variable m_changed{};
    std::map<std::string, item> m_items{};
    std::vector<change> m_changes{};
    std::map<std::uint64_t, lease> m_leases{};
    std::uint64_t m_revision{100U};
    std::uint64_t m_last_lease{};
    unsigned m_cuts{};
    std::uint64_t m_watches{};
    std::map<std::string, unsigned> m_waiting{};
    std::string m_lost_prefix{};
    std::uint64_t m_lost_until_watch{};
    http_server m_server;
};

// Answer that a caller gets.
struct answer {
    int m_status{};
    message m_message{};
    bool m_is_complete{false};
};

// Sends one request on a channel and reads its answer.
inline auto exchange_on(stream& on, const std::string& request, const int timeout_ms) -> answer {
    answer out{};
    const auto deadline = clock::now() + milliseconds{timeout_ms};
    if (!on.write(request) || !on.read_head(out.m_message, deadline)) {
        return out;
    }
    out.m_status = std::atoi(out.m_message.m_start_line.substr(9U, 3U).c_str());
    out.m_is_complete = on.read_body(out.m_message, true, deadline);
    return out;
}

inline auto exchange_with(const std::uint16_t port, const std::string& request, const int timeout_ms) -> answer {
    const auto on = connect_to(port);
    return on ? exchange_on(*on, request, timeout_ms) : answer{};
}

// One process of the system, started with the command of the deploy file.
class process {
public:
    process(std::string settings_file, std::string log_file)
        : m_settings_file{std::move(settings_file)}, m_log_file{std::move(log_file)} {
        start();
    }

    ~process() {
        send(SIGKILL);
        wait();
    }

    process(const process&) = delete;
    auto operator=(const process&) -> process& = delete;

    auto start() -> void {
        const auto id = ::fork();
        if (id == 0) {
            // A scenario that is ended from outside leaves no process behind. Started by the main thread only.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const auto log = ::open(m_log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const auto variable = "RHUBARBWHARF_BOOT=" + m_settings_file;
            char program[] = "target/app/rhubarbwharfd";
            char* const arguments[] = {program, nullptr};
            char path[] = "PATH=/usr/bin:/bin";
            char* const environment[] = {path, const_cast<char*>(variable.c_str()), nullptr};
            ::execve(program, arguments, environment);
            ::_exit(127);
        }
        m_id = id;
    }

    auto send(const int signal) const -> void {
        if (m_id > 0) {
            ::kill(m_id, signal);
        }
    }

    auto wait() -> void {
        if (m_id > 0) {
            ::waitpid(m_id, nullptr, 0);
            m_id = -1;
        }
    }

    [[nodiscard]] auto is_running() -> bool { return m_id > 0 && ::waitpid(m_id, nullptr, WNOHANG) == 0; }

private:
    std::string m_settings_file{};
    std::string m_log_file{};
    pid_t m_id{-1};
};

// Temporary folder for settings and logs, removed at the end.
class folder {
public:
    folder() {
        auto name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) {
            std::_Exit(exit_cannot_run);
        }
        m_path = name;
    }

    folder(const folder&) = delete;
    auto operator=(const folder&) -> folder& = delete;

    auto remove() const -> void {
        std::error_code ignored{};
        std::filesystem::remove_all(m_path, ignored);
    }

    [[nodiscard]] auto file(const std::string& name) const -> std::string { return m_path + "/" + name; }

private:
    std::string m_path{};
};

struct gateway {
    std::string m_name{};
    std::string m_region{"ost"};
    std::uint16_t m_callers{free_port()};
    std::uint16_t m_readiness{free_port()};
    std::uint16_t m_directory{free_port()};
    std::uint16_t m_control{free_port()};
    std::uint16_t m_bus{free_port()};
    std::uint16_t m_bulk{free_port()};
    std::uint16_t m_metrics{free_port()};
    std::unique_ptr<process> m_process{};

    [[nodiscard]] auto is_ready() const -> bool {
        return exchange_with(m_readiness, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 500).m_status == 200;
    }
};

// Returns the data centres of a deployment, one in each region.
inline auto data_centres_of(const std::vector<gateway>& gateways) -> json::array {
    std::set<std::string> regions{};
    for (const auto& each : gateways) {
        regions.insert(each.m_region);
    }
    json::array out{};
    for (const auto& each : regions) {
        out.push_back(json::object{{"name", each + "-a"}, {"region", each}});
    }
    return out;
}

// Writes the settings of a gateway as deploy/gateway.json yields them with the bounds of kalkulhof-prod.
inline auto write_gateway_settings(const std::string& file, const gateway& of, const std::vector<gateway>& all,
                                   const std::uint16_t store_port) -> void {
    json::array seeds{};
    for (std::size_t index = 0U; index < std::min<std::size_t>(3U, all.size()); ++index) {
        seeds.emplace_back(address_of(all[index].m_control));
    }
    const json::object settings{{"role", "gateway"},
                                {"instance", of.m_name},
                                {"region", of.m_region},
                                {"data_centre", of.m_region + "-a"},
                                {"listen", json::object{{"callers", address_of(of.m_callers)},
                                                        {"readiness", address_of(of.m_readiness)},
                                                        {"directory", address_of(of.m_directory)},
                                                        {"control", address_of(of.m_control)},
                                                        {"bus", address_of(of.m_bus)},
                                                        {"bulk", address_of(of.m_bulk)},
                                                        {"metrics", address_of(of.m_metrics)}}},
                                {"store", json::object{{"address", address_of(store_port)}}},
                                {"bounds", json::object{{"drain_ms", 2000},
                                                        {"grace_ms", 8000},
                                                        {"version_ms", 8000},
                                                        {"retry_ratio", 0.2},
                                                        {"retry_window_ms", 10000},
                                                        {"retry_slack", 106}}},
                                {"data_centres", data_centres_of(all)},
                                {"seeds", seeds}};
    std::ofstream{file} << json::serialize(settings);
}

inline auto write_loader_settings(const std::string& file, const std::string& name, const std::string& service,
                                  const std::uint16_t runner_port, const std::vector<gateway>& gateways,
                                  const std::uint16_t store_port) -> void {
    json::array seeds{};
    for (std::size_t index = 0U; index < std::min<std::size_t>(3U, gateways.size()); ++index) {
        seeds.emplace_back(address_of(gateways[index].m_control));
    }
    const json::object settings{{"role", "loader"},
                                {"instance", name},
                                {"region", "ost"},
                                {"data_centre", "ost-a"},
                                {"listen", json::object{{"bus", address_of(free_port())},
                                                        {"bulk", address_of(free_port())},
                                                        {"metrics", address_of(free_port())}}},
                                {"store", json::object{{"address", address_of(store_port)}}},
                                {"bounds", json::object{{"grace_ms", 8000}, {"version_ms", 8000}}},
                                {"runner", json::object{{"address", address_of(runner_port)}, {"service", service}}},
                                {"data_centres", data_centres_of(gateways)},
                                {"seeds", seeds}};
    std::ofstream{file} << json::serialize(settings);
}

// Ends the scenario: all processes first. The threads of the stand-ins still run, so that nothing else is destroyed.
[[noreturn]] inline auto end_scenario(std::vector<gateway>& gateways, const folder& files, const int result) -> void {
    for (auto& each : gateways) {
        each.m_process.reset();
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        files.remove();
    }
    std::fflush(nullptr);
    std::_Exit(result);
}

inline auto wait_until(const int timeout_ms, const std::function<bool()>& holds) -> bool {
    const auto deadline = clock::now() + milliseconds{timeout_ms};
    while (clock::now() < deadline) {
        if (holds()) {
            return true;
        }
        sleep_ms(20);
    }
    return holds();
}

// Whether the scenario brings its disruption about; `TROUBLE=0` runs it without.
inline auto has_trouble() -> bool {
    const auto* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

} // namespace review
