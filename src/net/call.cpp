#include <netinet/tcp.h>

#include <algorithm>
#include <charconv>

#include <boost/asio/post.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <rhubarbwharf/net/events.hpp>
#include <rhubarbwharf/net/held_bytes.hpp>

#include "net/client.hpp"
#include "net/framing.hpp"

namespace rhubarbwharf::net::internal {

namespace http = beast::http;

constexpr unsigned http_1_1 = 11U;

namespace {

constexpr int keep_idle_seconds = 1;
constexpr int keep_interval_seconds = 1;
constexpr int keep_probes = 2;
/*! @brief Time before the server's own time limit from which an idle connection is no longer used. */
constexpr duration keep_alive_margin = std::chrono::milliseconds{300};
/*! @brief Time after which the kernel gives up on bytes that the server does not acknowledge. */
constexpr unsigned unacknowledged_ms = 3'000;
constexpr std::string_view head_bytes_limit = "head_bytes";
constexpr std::string_view body_bytes_limit = "body_bytes";
constexpr std::string_view held_bytes_limit = "held_bytes";

/*! @brief Sends parts at once, and has the kernel find out about a server that has gone silently. */
auto prepare(tcp_socket& socket) -> void {
    boost::system::error_code ignored{};
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    const auto handle = socket.native_handle();
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keep_idle_seconds, sizeof(int));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keep_interval_seconds, sizeof(int));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keep_probes, sizeof(int));
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof(unsigned));
    socket.non_blocking(true, ignored);
}

auto append_request(out_buffer& out, const endpoint& server, http_request&& request) -> void {
    http::request<http::empty_body> message{};
    message.version(http_1_1);
    message.method_string(request.m_method);
    message.target(request.m_target);
    message.set(http::field::host, request.m_host.empty() ? to_string(server) : request.m_host);
    for (const auto& field : request.m_headers) {
        const auto known = http::string_to_field(field.m_name);
        if (known != http::field::host && known != http::field::content_length &&
            known != http::field::transfer_encoding && known != http::field::connection) {
            message.insert(field.m_name, field.m_value);
        }
    }
    if (!request.m_body.empty() || message.method() == http::verb::post || message.method() == http::verb::put) {
        message.content_length(request.m_body.size());
    }
    const http::fields::writer writer{message, http_1_1, message.method()};
    out.append_buffers(writer.get());
    out.append_body(std::move(request.m_body));
}

} // namespace

client_call::client_call(std::shared_ptr<client_state> owner, endpoint server, call_limits limits,
                         call_handlers handlers)
    : m_owner{std::move(owner)}, m_server{std::move(server)}, m_limits{std::move(limits)}, m_handlers{
                                                                                               std::move(handlers)} {}

auto client_call::start(http_request request) -> void {
    const auto now = steady_now();
    m_total_deadline = now + m_limits.m_total_time;
    m_idle_deadline = now + m_limits.m_idle_time;
    m_is_head_request = request.m_method == "HEAD";
    append_request(m_request, m_server, std::move(request));
    m_request_bytes = m_request.size();
    if (!m_owner->m_sweeping_calls) {
        m_owner->sweep();
    }
    if (auto kept = m_owner->take(m_server, now, m_limits.m_kept_time, echo_digest())) {
        begin(std::move(kept), true);
    } else {
        connect();
    }
}

auto client_call::connect() -> void {
    boost::system::error_code failure{};
    const auto address = asio::ip::make_address(m_server.m_address, failure);
    if (failure) {
        end_later({code::connection_failed, m_sent});
        return;
    }
    m_idle_deadline = steady_now() + m_limits.m_connect_time;
    m_connection = std::make_shared<connection>(m_owner->m_context);
    m_connection->m_socket.async_connect({address, m_server.m_port}, [self = shared_from_this(), on = m_connection](
                                                                         const boost::system::error_code refused) {
        if (self->m_ended || self->m_connection != on) {
            return;
        }
        if (refused) {
            self->end(code::connection_failed);
            return;
        }
        prepare(on->m_socket);
        self->begin(on, false);
    });
}

auto client_call::begin(shared_connection ready, const bool kept) -> void {
    m_connection = std::move(ready);
    m_is_kept = kept;
    note_echo(*m_connection, echo_digest());
    begin_response();
    write();
}

auto client_call::begin_response() -> void {
    m_skipping = false;
    m_parser.emplace(*this);
    m_parser->eager(true);
    m_parser->skip(m_is_head_request);
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.m_head_bytes));
    if (m_limits.m_body_bytes) {
        m_parser->body_limit(*m_limits.m_body_bytes);
    } else {
        m_parser->body_limit(boost::none);
    }
}

auto client_call::write() -> void {
    m_sent = sent::some;
    m_idle_deadline = steady_now() + m_limits.m_idle_time;
    m_connection->m_socket.async_write_some(
        m_request.data(), [self = shared_from_this(), on = m_connection](const boost::system::error_code failure,
                                                                         const std::size_t count) {
            self->on_written(on, failure, count);
        });
}

auto client_call::on_written(const shared_connection& on, const boost::system::error_code failure,
                             const std::size_t count) -> void {
    if (m_ended || m_connection != on) {
        return;
    }
    const auto untouched = m_request.size() == m_request_bytes && count == 0U;
    if (failure && untouched) {
        m_sent = sent::nothing;
        if (m_is_kept) {
            connect();
        } else {
            end(code::connection_failed);
        }
        return;
    }
    m_request.consume(count);
    if (failure) {
        m_write_failure = failure;
    } else if (m_request.size() > 0U) {
        write();
    }
    m_may_read = true;
    read();
}

auto client_call::read() -> void {
    if (m_reading || m_parsing || m_paused || m_ended || !m_may_read) {
        return;
    }
    m_reading = true;
    m_connection->m_socket.async_read_some(
        m_connection->m_input.prepare(m_read_bytes),
        [self = shared_from_this(), on = m_connection](const boost::system::error_code failure,
                                                       const std::size_t count) { self->on_read(on, failure, count); });
}

auto client_call::on_read(const shared_connection& on, const boost::system::error_code failure, const std::size_t count)
    -> void {
    m_reading = false;
    if (m_ended || m_connection != on) {
        return;
    }
    if (m_head_seen && m_parser->need_eof() && is_whole_at_end(failure, m_write_failure)) {
        boost::system::error_code ended{};
        m_parser->put_eof(ended);
        end(ended ? code::cut_stream : code::ok);
        return;
    }
    if (failure) {
        end(failure_code());
        return;
    }
    m_last_received = steady_now();
    m_idle_deadline = m_last_received + m_limits.m_idle_time;
    on->m_input.commit(count);
    m_read_bytes = next_read_bytes(m_read_bytes, count);
    parse();
}

auto client_call::parse() -> void {
    const auto on = m_connection;
    boost::system::error_code failure{};
    m_parsing = true;
    while (on->m_input.size() > 0U && !failure && !m_ended) {
        if (m_parser->is_done() && (m_parser->is_interim() || m_skipping)) {
            begin_response();
        }
        if (m_parser->is_done()) {
            break;
        }
        const auto taken = m_parser->put(on->m_input.data(), failure);
        on->m_input.consume(taken);
        m_bytes_ahead += m_head_seen ? 0U : taken;
    }
    m_parsing = false;
    if (m_ended) {
        return;
    }
    if (m_parser->is_done() && !m_parser->is_interim() && !m_skipping) {
        finish();
    } else if (const auto limit = exceeded_limit(failure); !limit.empty()) {
        end_too_large(limit);
    } else if (failure && failure != http::error::need_more) {
        end_malformed(failure);
    } else {
        read();
    }
}

auto client_call::most_body_bytes() const noexcept -> std::size_t {
    return m_limits.m_body_bytes.value_or(max_held_bytes);
}

auto client_call::exceeded_limit(const boost::system::error_code failure) const noexcept -> std::string_view {
    const auto most_bytes_ahead = m_limits.m_head_bytes + (m_has_skipped ? most_body_bytes() : 0U);
    if (failure == http::error::body_limit || (m_skipping && m_body_bytes > most_body_bytes())) {
        return body_bytes_limit;
    }
    const auto is_line_too_long =
        failure == http::error::need_more && m_connection->m_input.size() > m_limits.m_head_bytes;
    if (failure == http::error::header_limit || is_line_too_long || m_bytes_ahead > most_bytes_ahead) {
        return head_bytes_limit;
    }
    return {};
}

auto client_call::log_too_large(const std::string_view limit, const std::size_t bytes) const -> void {
    if (auto* const log = m_owner->m_loop.find_event_log()) {
        log->write("response.too_large",
                   {{"server", to_string(m_server)}, {"limit", limit}, {"bytes", static_cast<std::int64_t>(bytes)}});
    }
}

auto client_call::end_too_large(const std::string_view limit) -> void {
    log_too_large(limit, limit == body_bytes_limit ? most_body_bytes() : m_limits.m_head_bytes);
    end({code::too_large, m_sent, limit});
}

auto client_call::end_for_held_bytes() -> void {
    log_too_large(held_bytes_limit, max_held_bytes);
    end_later({code::too_large, m_sent, held_bytes_limit});
}

auto client_call::end_malformed(const boost::system::error_code fault) -> void {
    if (auto* const log = m_owner->m_loop.find_event_log()) {
        log->write("response.malformed", {{"server", to_string(m_server)}, {"reason", fault.message()}});
    }
    call_end result{failure_code(), m_sent};
    result.m_is_malformed = true;
    end(result);
}

auto client_call::failure_code() const noexcept -> code {
    return m_head_seen ? code::cut_stream : code::connection_failed;
}

auto client_call::finish() -> void {
    const auto on = m_connection;
    const auto whole_exchange = m_request.size() == 0U && on->m_input.size() == 0U;
    if (whole_exchange && m_limits.m_keep && !m_parser->need_eof() && m_parser->keep_alive()) {
        m_connection = nullptr;
        m_owner->keep(m_server, on, m_kept_time);
    }
    end(code::ok);
}

auto client_call::on_head(const http_response& head) -> void {
    const auto echoed =
        m_limits.m_echo.m_name.empty() ? std::string_view{} : find(head.m_headers, m_limits.m_echo.m_name);
    if (!echoed.empty() && echoed != m_limits.m_echo.m_value) {
        m_skipping = true;
        m_has_skipped = true;
        return;
    }
    if (echoed.empty() && echo_digest() != 0U && m_is_kept) {
        // It may be a copy of the response to an earlier request on this connection.
        if (auto* const log = m_owner->m_loop.find_event_log()) {
            log->write("response.unattributed",
                       {{"server", to_string(m_server)}, {"status", static_cast<std::int64_t>(head.m_status)}});
        }
        end_later({code::connection_failed, m_sent});
        return;
    }
    m_head_seen = true;
    m_body_bytes = 0U;
    m_extension_bytes = 0U;
    note_keep_alive(head);
    if (m_collected) {
        m_collected->m_head = head;
    }
    if (!m_ended && m_handlers.m_on_head) {
        m_handlers.m_on_head(head);
    }
}

auto client_call::echo_digest() const -> std::uint64_t {
    const auto& echo = m_limits.m_echo;
    return echo.m_name.empty() || echo.m_value.empty() ? 0U : std::hash<std::string>{}(echo.m_value) | 1U;
}

auto client_call::note_keep_alive(const http_response& head) -> void {
    constexpr std::string_view parameter = "timeout=";
    const auto field = find(head.m_headers, "Keep-Alive");
    const auto at = field.find(parameter);
    if (at == std::string_view::npos) {
        return;
    }
    unsigned seconds{};
    const auto* const first = field.data() + at + parameter.size();
    if (std::from_chars(first, field.data() + field.size(), seconds).ec == std::errc{}) {
        m_kept_time = std::min(most_kept_time, duration{std::chrono::seconds{seconds}} - keep_alive_margin);
    }
}

auto client_call::input_from(const char* const first) const noexcept -> std::string_view {
    if (!m_connection) {
        return {};
    }
    const auto input = m_connection->m_input.data();
    return {first, static_cast<const char*>(input.data()) + input.size()};
}

auto client_call::on_part(const std::string_view part) -> void {
    m_body_bytes += part.size();
    if (m_ended || m_skipping) {
        return;
    }
    if (m_collected) {
        auto& body = m_collected->m_body;
        body.commit(asio::buffer_copy(body.prepare(part.size()), asio::buffer(part.data(), part.size())));
        const auto bytes = body.capacity();
        m_owner->m_collected_bytes += bytes - std::exchange(m_collected_bytes, bytes);
        m_owner->limit_collected();
    } else if (m_handlers.m_on_part) {
        m_handlers.m_on_part(part);
    }
}

auto client_call::on_extensions(const std::size_t bytes) noexcept -> bool {
    m_extension_bytes += bytes;
    return m_extension_bytes <= m_limits.m_head_bytes + m_body_bytes;
}

auto client_call::cancel() -> void {
    if (!m_ended) {
        end_later({code::cancelled, m_sent});
    }
}

auto client_call::pause(const bool paused) -> void {
    m_paused = paused;
    if (!paused && m_may_read && !m_ended) {
        m_idle_deadline = steady_now() + m_limits.m_idle_time;
        read();
    }
}

auto client_call::check(const time_point now) -> void {
    if (!m_ended && (now >= m_total_deadline || (!m_paused && now >= m_idle_deadline))) {
        end(code::timed_out);
    }
}

auto client_call::drop() -> void {
    m_ended = true;
    m_handlers = {};
    release();
}

auto client_call::release() -> void {
    m_owner->m_collected_bytes -= std::exchange(m_collected_bytes, 0U);
    const auto on = std::exchange(m_connection, nullptr);
    if (on) {
        boost::system::error_code ignored{};
        on->m_socket.set_option(asio::socket_base::linger{true, 0}, ignored);
        on->m_socket.close(ignored);
    }
}

auto client_call::end(const code value) -> void {
    end({value, m_sent});
}

auto client_call::end(const call_end result) -> void {
    const auto self = shared_from_this();
    m_ended = true;
    release();
    m_owner->m_calls.erase(self);
    const auto handlers = std::exchange(m_handlers, {});
    if (handlers.m_on_end) {
        handlers.m_on_end(result);
    }
}

auto client_call::end_later(const call_end result) -> void {
    m_ended = true;
    release();
    asio::post(m_owner->m_context, [self = shared_from_this(), result] {
        if (!self->m_owner->m_closed) {
            self->end(result);
        }
    });
}

} // namespace rhubarbwharf::net::internal
