// Stand-ins and helpers that the cases of this review share: an HTTP server and client on blocking sockets, the
// platform's store, a plain runner, a proxy, and the start of daemons as separate processes. Header only; needs
// Boost.JSON and threads.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/json.hpp>

namespace review {

namespace json = boost::json;
using steady = std::chrono::steady_clock;

inline const steady::time_point program_start = steady::now();

// Milliseconds since the start of the script.
inline auto now_ms() -> double {
    return std::chrono::duration<double, std::milli>(steady::now() - program_start).count();
}

inline auto unix_ms() -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(const double time) {
    if (time > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(time));
    }
}

inline void sleep_until_ms(const double time) {
    sleep_ms(time - now_ms());
}

// ---- record ----

class record_file {
public:
    void open(const std::string& path) { m_out.open(path, std::ios::trunc); }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock{m_mutex};
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%10.1f ms  ", now_ms());
        m_out << stamp << text << std::endl;
    }

private:
    std::mutex m_mutex{};
    std::ofstream m_out{};
};

inline record_file record{};

// ---- sockets ----

inline auto address_of(const int port) -> sockaddr_in {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

inline auto listen_on(const int port) -> int {
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const auto where = address_of(port);
    if (::bind(handle, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) != 0 || ::listen(handle, 512) != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}

inline auto port_of(const int handle) -> int {
    sockaddr_in where{};
    socklen_t size = sizeof(where);
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&where), &size);
    return ntohs(where.sin_port);
}

inline auto connect_to(const int port) -> int {
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto where = address_of(port);
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) != 0) {
        ::close(handle);
        return -1;
    }
    const int yes = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    return handle;
}

inline auto send_all(const int handle, const std::string& bytes) -> bool {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline void reset_and_close(const int handle) {
    const linger hard{1, 0};
    ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    ::close(handle);
}

// Ports that were free a moment ago, below the range that the kernel gives to outgoing connections. None is given out
// twice.
inline auto free_ports(const std::size_t count) -> std::vector<int> {
    constexpr int first = 16'000;
    constexpr int range = 16'000;
    static int next = static_cast<int>(::getpid() * 131L % range);
    std::vector<int> out{};
    while (out.size() < count) {
        next = (next + 1) % range;
        const int handle = listen_on(first + next);
        if (handle >= 0) {
            ::close(handle);
            out.push_back(first + next);
        }
    }
    return out;
}

inline auto endpoint(const int port) -> std::string {
    return "127.0.0.1:" + std::to_string(port);
}

// ---- HTTP ----

inline auto lower(std::string text) -> std::string {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](const unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

struct message {
    std::string first_line{};
    std::map<std::string, std::string> headers{};
    std::string body{};

    [[nodiscard]] auto header(const std::string& name) const -> std::string {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string{} : found->second;
    }
};

// Reads one message with a length or in chunks. `buffer` keeps what follows it.
inline auto read_message(const int handle, std::string& buffer, message& out, const bool until_end = false) -> bool {
    const auto fill = [&] {
        char bytes[65536];
        const auto count = ::recv(handle, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end{};
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return false;
        }
    }
    out = {};
    std::size_t position = buffer.find("\r\n");
    out.first_line = buffer.substr(0, position);
    while (position < end) {
        const auto begin = position + 2;
        position = buffer.find("\r\n", begin);
        const auto line = buffer.substr(begin, position - begin);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            out.headers.emplace(lower(line.substr(0, colon)), value);
        }
    }
    buffer.erase(0, end + 4);
    if (lower(out.header("transfer-encoding")).find("chunked") != std::string::npos) {
        while (true) {
            std::size_t line_end{};
            while ((line_end = buffer.find("\r\n")) == std::string::npos) {
                if (!fill()) {
                    return false;
                }
            }
            const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < line_end + 2 + size + 2) {
                if (!fill()) {
                    return false;
                }
            }
            out.body += buffer.substr(line_end + 2, size);
            buffer.erase(0, line_end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    if (const auto length = out.header("content-length"); !length.empty()) {
        const auto size = std::strtoul(length.c_str(), nullptr, 10);
        while (buffer.size() < size) {
            if (!fill()) {
                return false;
            }
        }
        out.body = buffer.substr(0, size);
        buffer.erase(0, size);
    } else if (until_end) {
        while (fill()) {
        }
        out.body = std::exchange(buffer, {});
    }
    return true;
}

using header_list = std::vector<std::pair<std::string, std::string>>;

inline auto format_response(const int status, const header_list& headers, const std::string& body) -> std::string {
    static const std::map<int, std::string> reasons{{200, "OK"},
                                                    {400, "Bad Request"},
                                                    {403, "Forbidden"},
                                                    {404, "Not Found"},
                                                    {410, "Gone"},
                                                    {412, "Precondition Failed"},
                                                    {421, "Misdirected Request"},
                                                    {500, "Internal Server Error"},
                                                    {503, "Service Unavailable"}};
    const auto found = reasons.find(status);
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + (found == reasons.end() ? "Status" : found->second);
    out += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers) {
        out += name + ": " + value + "\r\n";
    }
    return out + "\r\n" + body;
}

struct request {
    std::string method{};
    std::string target{};
    message content{};

    [[nodiscard]] auto path() const -> std::string { return target.substr(0, target.find('?')); }

    [[nodiscard]] auto query(const std::string& name) const -> std::string {
        auto position = target.find('?');
        while (position != std::string::npos) {
            const auto end = target.find('&', position + 1);
            const auto pair = target.substr(position + 1, end == std::string::npos ? end : end - position - 1);
            if (pair.compare(0, name.size() + 1, name + "=") == 0) {
                return pair.substr(name.size() + 1);
            }
            position = end;
        }
        return {};
    }
};

// Server with one thread for each connection. A handler returns the whole response; an empty one resets the connection.
class http_server {
public:
    using handler = std::function<std::string(const request&, int)>;

    explicit http_server(handler on_request) : m_handler{std::move(on_request)} {}

    auto start(const int port = 0) -> bool {
        m_listener = listen_on(port);
        if (m_listener < 0) {
            return false;
        }
        m_port = port_of(m_listener);
        m_running = true;
        m_acceptor = std::thread{[this] { accept_all(); }};
        return true;
    }

    [[nodiscard]] auto port() const -> int { return m_port; }

    // Stops listening and resets all connections, as when a process is killed.
    void stop() {
        if (!m_running.exchange(false)) {
            return;
        }
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        {
            const std::lock_guard lock{m_mutex};
            for (const int each : m_open) {
                const linger hard{1, 0};
                ::setsockopt(each, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
                ::shutdown(each, SHUT_RDWR);
            }
        }
        std::unique_lock lock{m_mutex};
        m_ended.wait(lock, [this] { return m_open.empty(); });
    }

    ~http_server() { stop(); }

private:
    void accept_all() {
        while (m_running) {
            const int handle = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                continue;
            }
            const int yes = 1;
            ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
            const std::lock_guard lock{m_mutex};
            m_open.insert(handle);
            std::thread{[this, handle] { serve(handle); }}.detach();
        }
    }

    void serve(const int handle) {
        std::string buffer{};
        request incoming{};
        while (m_running && read_message(handle, buffer, incoming.content)) {
            const auto& line = incoming.content.first_line;
            const auto first = line.find(' ');
            const auto second = line.find(' ', first + 1);
            incoming.method = line.substr(0, first);
            incoming.target = line.substr(first + 1, second - first - 1);
            const auto response = m_handler(incoming, handle);
            if (!m_running || response.empty() || !send_all(handle, response)) {
                break;
            }
        }
        const std::lock_guard lock{m_mutex};
        m_open.erase(handle);
        if (m_running) {
            ::close(handle);
        } else {
            reset_and_close(handle);
        }
        m_ended.notify_all();
    }

    handler m_handler{};
    int m_listener{-1};
    int m_port{};
    std::atomic<bool> m_running{false};
    std::thread m_acceptor{};
    std::mutex m_mutex{};
    std::condition_variable m_ended{};
    std::set<int> m_open{};
};

struct answer {
    // 0 if the connection ended without a complete answer.
    int status{};
    message content{};
};

// Sends one request on a connection of its own.
inline auto call(const int port, const std::string& method, const std::string& target, const header_list& headers,
                 const std::string& body, const double timeout_ms) -> answer {
    answer out{};
    const int handle = connect_to(port);
    if (handle < 0) {
        return out;
    }
    const auto micros = static_cast<long>(timeout_ms * 1000);
    const timeval limit{micros / 1'000'000, micros % 1'000'000};
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer{};
    if (send_all(handle, text) && read_message(handle, buffer, out.content, true)) {
        out.status = std::atoi(out.content.first_line.c_str() + 9);
    }
    ::close(handle);
    return out;
}

// ---- base64 and URLs, as the store uses them ----

inline auto to_base64(const std::string& bytes) -> std::string {
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out{};
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        unsigned value = 0;
        for (std::size_t part = 0; part < 3; ++part) {
            value = value << 8U | (index + part < bytes.size() ? static_cast<unsigned char>(bytes[index + part]) : 0U);
        }
        for (std::size_t part = 0; part < 4; ++part) {
            out += index + part <= bytes.size() ? digits[value >> (18U - 6U * part) & 63U] : '=';
        }
    }
    return out;
}

inline auto percent_decode(const std::string& text) -> std::string {
    std::string out{};
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
            index += 2;
        } else {
            out += text[index];
        }
    }
    return out;
}

// ---- the platform's store ----

class store {
public:
    store() : m_server{[this](const request& incoming, int) { return on_request(incoming); }} {}

    auto start() -> bool {
        m_expiry = std::thread{[this] {
            while (!m_stopped) {
                sleep_ms(50);
                expire();
            }
        }};
        return m_server.start();
    }

    ~store() {
        m_stopped = true;
        m_changed.notify_all();
        m_expiry.join();
        m_server.stop();
    }

    [[nodiscard]] auto port() const -> int { return m_server.port(); }

    // Writes as the operator or a runner does. Returns after the write is in force, which is its acknowledgement.
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock{m_mutex};
        write(key, to_base64(value), 0);
        m_changed.notify_all();
    }

    void remove(const std::string& key) {
        const std::lock_guard lock{m_mutex};
        erase(key);
        m_changed.notify_all();
    }

    // Cuts all watches that wait, without an answer. Returns their number.
    auto cut_watches() -> int {
        const std::lock_guard lock{m_mutex};
        ++m_watch_cuts;
        m_changed.notify_all();
        return m_waiting_watches;
    }

    // Writes as `put`, then falls silent at once: the answers to the watches that wait are lost, and calls get none
    // until the time is over. A channel on which an answer was lost stays open and silent for good.
    void put_and_fall_silent(const std::string& key, const std::string& value, const double silent_ms) {
        const std::lock_guard lock{m_mutex};
        write(key, to_base64(value), 0);
        m_silent_until = now_ms() + silent_ms;
        ++m_silences;
        m_changed.notify_all();
    }

private:
    // Keeps a channel open without an answer until the script ends. Called with the lock held.
    auto stay_silent(std::unique_lock<std::mutex>& lock) -> std::string {
        while (!m_stopped) {
            m_changed.wait_for(lock, std::chrono::milliseconds(100));
        }
        return {};
    }

    struct item {
        std::string value{};
        std::int64_t revision{};
        std::int64_t created{};
        std::int64_t lease{};
    };

    struct lease {
        double ttl_ms{};
        double ends_at{};
    };

    struct event {
        std::string key{};
        std::int64_t revision{};
        json::object text{};
    };

    static auto describe(const std::string& key, const item& value) -> json::object {
        return {{"key", key},
                {"value", value.value},
                {"revision", value.revision},
                {"create-revision", value.created},
                {"lease", value.lease}};
    }

    void write(const std::string& key, std::string value, const std::int64_t lease_id) {
        auto& entry = m_items[key];
        entry.value = std::move(value);
        entry.revision = ++m_revision;
        entry.created = entry.created == 0 ? m_revision : entry.created;
        entry.lease = lease_id;
        m_history.push_back({key, m_revision, describe(key, entry)});
    }

    void erase(const std::string& key) {
        if (m_items.erase(key) > 0) {
            ++m_revision;
            m_history.push_back({key, m_revision, {{"key", key}, {"revision", m_revision}, {"removed", true}}});
        }
    }

    void end_lease(const std::int64_t id) {
        m_leases.erase(id);
        std::vector<std::string> keys{};
        for (const auto& [key, value] : m_items) {
            if (value.lease == id) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            erase(key);
        }
        m_changed.notify_all();
    }

    void expire() {
        const std::lock_guard lock{m_mutex};
        std::vector<std::int64_t> ended{};
        for (const auto& [id, value] : m_leases) {
            if (now_ms() >= value.ends_at) {
                ended.push_back(id);
            }
        }
        for (const auto id : ended) {
            end_lease(id);
        }
    }

    static auto reply(const int status, const json::object& body) -> std::string {
        return format_response(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                               json::serialize(body));
    }

    auto on_request(const request& incoming) -> std::string {
        const auto path = incoming.path();
        {
            std::unique_lock lock{m_mutex};
            if (now_ms() < m_silent_until) {
                return stay_silent(lock);
            }
        }
        if (path == "/api/kv-range") {
            return on_range(incoming);
        }
        if (path == "/api/kv-watch") {
            return on_watch(incoming);
        }
        const std::lock_guard lock{m_mutex};
        if (path == "/api/kv-key") {
            const auto found = m_items.find(percent_decode(incoming.query("key")));
            if (found == m_items.end()) {
                return reply(404, {{"store-revision", m_revision}});
            }
            auto out = describe(found->first, found->second);
            out["store-revision"] = m_revision;
            return reply(200, out);
        }
        if (path == "/api/kv-txn") {
            return on_transaction(json::parse(incoming.content.body).as_object());
        }
        if (path == "/api/kv-lease") {
            const auto ttl = json::parse(incoming.content.body).at("ttl-ms").to_number<double>();
            const auto id = ++m_last_lease;
            m_leases[id] = {ttl, now_ms() + ttl};
            return reply(200, {{"lease", id}, {"ttl-ms", ttl_number(ttl)}});
        }
        if (path.rfind("/api/kv-keep/", 0) == 0) {
            const auto found = m_leases.find(std::atoll(path.c_str() + 13));
            if (found == m_leases.end()) {
                return reply(404, {});
            }
            found->second.ends_at = now_ms() + found->second.ttl_ms;
            return reply(200, {{"ttl-ms", ttl_number(found->second.ttl_ms)}});
        }
        if (path.rfind("/api/kv-lease-end/", 0) == 0) {
            end_lease(std::atoll(path.c_str() + 18));
            return reply(200, {});
        }
        return reply(404, {});
    }

    static auto ttl_number(const double ttl) -> std::int64_t { return static_cast<std::int64_t>(ttl); }

    auto on_range(const request& incoming) -> std::string {
        const std::lock_guard lock{m_mutex};
        const auto prefix = percent_decode(incoming.query("prefix"));
        const auto after = percent_decode(incoming.query("after"));
        json::array items{};
        for (const auto& [key, value] : m_items) {
            if (key.rfind(prefix, 0) == 0 && key > after) {
                items.push_back(describe(key, value));
            }
        }
        return reply(200, {{"items", items}, {"has-more", false}, {"store-revision", m_revision}});
    }

    auto on_watch(const request& incoming) -> std::string {
        const auto prefix = percent_decode(incoming.query("prefix"));
        const auto after = std::atoll(incoming.query("after").c_str());
        const auto until = now_ms() + std::atof(incoming.query("wait-ms").c_str());
        std::unique_lock lock{m_mutex};
        const auto cuts = m_watch_cuts;
        const auto silences = m_silences;
        while (!m_stopped && cuts == m_watch_cuts) {
            if (silences != m_silences) {
                return stay_silent(lock);
            }
            json::array events{};
            for (const auto& each : m_history) {
                if (each.revision > after && each.key.rfind(prefix, 0) == 0) {
                    events.push_back(each.text);
                }
            }
            if (!events.empty() || now_ms() >= until) {
                return reply(200, {{"events", events}, {"store-revision", m_revision}});
            }
            ++m_waiting_watches;
            m_changed.wait_for(lock, std::chrono::duration<double, std::milli>(until - now_ms()));
            --m_waiting_watches;
        }
        return {};
    }

    auto on_transaction(const json::object& body) -> std::string {
        if (const auto* const expected = body.if_contains("expected")) {
            json::array states{};
            auto holds = true;
            for (const auto& each : expected->as_array()) {
                const std::string key{each.at("key").as_string()};
                const auto found = m_items.find(key);
                const auto revision = found == m_items.end() ? 0 : found->second.revision;
                holds = holds && revision == each.at("revision").to_number<std::int64_t>();
                if (found != m_items.end()) {
                    states.push_back(describe(key, found->second));
                }
            }
            if (!holds) {
                return reply(412, {{"items", states}});
            }
        }
        const auto* const puts = body.if_contains("puts");
        const auto count = puts == nullptr ? 0U : puts->as_array().size();
        for (std::size_t index = 0; index < count; ++index) {
            const auto& each = puts->as_array()[index].as_object();
            const auto* const lease_id = each.if_contains("lease");
            const auto id = lease_id == nullptr ? 0 : lease_id->to_number<std::int64_t>();
            if (id != 0 && !m_leases.contains(id)) {
                return reply(404, {});
            }
        }
        for (std::size_t index = 0; index < count; ++index) {
            const auto& each = puts->as_array()[index].as_object();
            const auto* const lease_id = each.if_contains("lease");
            write(std::string{each.at("key").as_string()}, std::string{each.at("value").as_string()},
                  lease_id == nullptr ? 0 : lease_id->to_number<std::int64_t>());
        }
        if (const auto* const deletes = body.if_contains("deletes")) {
            for (const auto& each : deletes->as_array()) {
                erase(std::string{each.as_string()});
            }
        }
        m_changed.notify_all();
        return reply(200, {{"revision", m_revision}});
    }

    std::mutex m_mutex{};
    std::condition_variable m_changed{};
    std::map<std::string, item> m_items{};
    std::vector<event> m_history{};
    std::map<std::int64_t, lease> m_leases{};
    std::int64_t m_revision{1};
    std::int64_t m_last_lease{76'000};
    int m_watch_cuts{};
    int m_silences{};
    double m_silent_until{};
    int m_waiting_watches{};
    std::atomic<bool> m_stopped{false};
    std::thread m_expiry{};
    http_server m_server;
};

// ---- a proxy for one link ----

// Forwards connections to a port. While it is cut it forwards nothing in either direction and lets nothing through on
// new connections; what was held up is delivered when the cut ends, as after a partition.
class proxy {
public:
    explicit proxy(const int target) : m_target{target} {}

    auto start() -> bool {
        m_listener = listen_on(0);
        if (m_listener < 0) {
            return false;
        }
        std::thread{[this] {
            while (!m_stopped) {
                const int from = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (from < 0) {
                    continue;
                }
                std::thread{[this, from] { forward(from); }}.detach();
            }
        }}.detach();
        return true;
    }

    [[nodiscard]] auto port() const -> int { return port_of(m_listener); }

    void cut(const bool is_cut) { m_cut = is_cut; }

private:
    void forward(const int from) {
        while (m_cut) {
            sleep_ms(5);
        }
        const int to = connect_to(m_target);
        if (to < 0) {
            reset_and_close(from);
            return;
        }
        const int yes = 1;
        ::setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        pollfd both[2]{{from, POLLIN, 0}, {to, POLLIN, 0}};
        auto open = true;
        while (open && !m_stopped) {
            if (m_cut) {
                sleep_ms(5);
                continue;
            }
            if (::poll(both, 2, 20) <= 0 || m_cut) {
                continue;
            }
            for (int side = 0; side < 2 && open; ++side) {
                if ((both[side].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
                    char bytes[65536];
                    const auto count = ::recv(both[side].fd, bytes, sizeof(bytes), 0);
                    open = count > 0 && send_all(both[1 - side].fd, std::string(bytes, static_cast<std::size_t>(count)));
                }
            }
        }
        reset_and_close(from);
        reset_and_close(to);
    }

    int m_target{};
    int m_listener{-1};
    std::atomic<bool> m_cut{false};
    std::atomic<bool> m_stopped{false};
};

// ---- daemons ----

// Process of the project, started as the deploy file says, with its settings file in `RHUBARBWHARF_BOOT`.
class daemon_process {
public:
    daemon_process(std::string name, std::string folder, std::string settings)
        : m_name{std::move(name)}, m_folder{std::move(folder)} {
        std::ofstream{file("json")} << settings;
    }

    void start() {
        const auto settings = file("json");
        const auto log = file("log");
        m_pid = ::fork();
        if (m_pid == 0) {
            const int out = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("RHUBARBWHARF_BOOT", settings.c_str(), 1);
            ::execl("target/app/rhubarbwharfd", "target/app/rhubarbwharfd", static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    void signal(const int number) const {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    // Waits for the end. Returns false if the process is still running after the time.
    auto wait(const double timeout_ms) -> bool {
        const auto until = now_ms() + timeout_ms;
        while (m_pid > 0 && now_ms() < until) {
            if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
                m_pid = 0;
            }
            sleep_ms(5);
        }
        return m_pid <= 0;
    }

    // Whether the process has ended without being told to.
    auto has_ended() -> bool {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = 0;
        }
        return m_pid == 0;
    }

    ~daemon_process() {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
        }
    }

    [[nodiscard]] auto name() const -> const std::string& { return m_name; }

    // Counts the lines of the log that contain a text.
    [[nodiscard]] auto log_count(const std::string& text) const -> int {
        std::ifstream in{file("log")};
        int out = 0;
        for (std::string line; std::getline(in, line);) {
            out += line.find(text) != std::string::npos ? 1 : 0;
        }
        return out;
    }

private:
    [[nodiscard]] auto file(const std::string& extension) const -> std::string {
        return m_folder + "/" + m_name + "." + extension;
    }

    std::string m_name{};
    std::string m_folder{};
    pid_t m_pid{};
};

// Place of one gateway and its ports.
struct gateway_place {
    std::string name{};
    std::string region{};
    std::string zone{};
    int callers{};
    int readiness{};
    int directory{};
    int control{};
    int bus{};
    int bulk{};
    int metrics{};
};

inline auto make_place(const std::string& region, const int number) -> gateway_place {
    const auto ports = free_ports(7);
    return {"edge-" + region + "-a-" + std::to_string(number),
            region,
            region + "-a",
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            ports[4],
            ports[5],
            ports[6]};
}

// The small installation of the pages: 4, 3 and 2 gateways in three regions with one zone each.
inline auto small_installation() -> std::vector<gateway_place> {
    std::vector<gateway_place> out{};
    for (const auto& [region, count] : std::vector<std::pair<std::string, int>>{{"ost", 4}, {"west", 3}, {"sued", 2}}) {
        for (int number = 1; number <= count; ++number) {
            out.push_back(make_place(region, number));
        }
    }
    return out;
}

inline auto zones_of_small_installation() -> json::array {
    json::array out{};
    for (const std::string region : {"ost", "west", "sued"}) {
        out.push_back(json::object{{"name", region + "-a"}, {"region", region}});
    }
    return out;
}

// Control addresses of the first gateway of each region, as the platform names them.
inline auto seeds_of(const std::vector<gateway_place>& places) -> json::array {
    json::array out{};
    for (const auto& each : places) {
        if (each.name.back() == '1') {
            out.push_back(json::value(endpoint(each.control)));
        }
    }
    return out;
}

// Settings of a gateway, with the fields and the bounds that deploy/gateway.json has on the small installation.
inline auto gateway_settings(const gateway_place& place, const int store_port, const json::array& zones,
                             const json::array& seeds) -> std::string {
    const json::object out{{"role", "gateway"},
                           {"instance", place.name},
                           {"region", place.region},
                           {"data_centre", place.zone},
                           {"listen", json::object{{"callers", endpoint(place.callers)},
                                                   {"readiness", endpoint(place.readiness)},
                                                   {"directory", endpoint(place.directory)},
                                                   {"control", endpoint(place.control)},
                                                   {"bus", endpoint(place.bus)},
                                                   {"bulk", endpoint(place.bulk)},
                                                   {"metrics", endpoint(place.metrics)}}},
                           {"store", json::object{{"address", endpoint(store_port)}}},
                           {"bounds", json::object{{"drain_ms", 2000},
                                                   {"grace_ms", 8000},
                                                   {"version_ms", 8000},
                                                   {"retry_ratio", 0.2},
                                                   {"retry_window_ms", 10000},
                                                   {"retry_slack", 106}}},
                           {"data_centres", zones},
                           {"seeds", seeds}};
    return json::serialize(out);
}

// Waits until the readiness address answers 200.
inline auto await_ready(const gateway_place& place, const double timeout_ms) -> bool {
    const auto until = now_ms() + timeout_ms;
    while (now_ms() < until) {
        if (call(place.readiness, "GET", "/api/readiness", {{"Host", "platform"}}, {}, 500).status == 200) {
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

inline auto seal() -> std::string {
    static std::atomic<unsigned> count{0};
    char text[64];
    std::snprintf(text, sizeof(text), "3e1b.07.%x.c9f2a4d1", ++count);
    return text;
}

inline auto troubled() -> bool {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

} // namespace review
