#include <boost/asio/post.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "net/server.hpp"

namespace rhubarbwharf::net::internal {

namespace http = beast::http;

constexpr auto ending_time = std::chrono::seconds{2};
constexpr unsigned http_1_1 = 11U;
constexpr std::uint16_t no_content_status = 204U;
constexpr std::string_view continue_head = "HTTP/1.1 100 Continue\r\n\r\n";

namespace {

[[nodiscard]] auto to_text(const beast::string_view text) -> std::string {
    return std::string{text.data(), text.size()};
}

/*! @brief Tells whether a header field is about one connection, and so for the session to set. */
[[nodiscard]] auto is_connection_field(const beast::string_view name) noexcept -> bool {
    switch (http::string_to_field(name)) {
    case http::field::connection:
    case http::field::content_length:
    case http::field::keep_alive:
    case http::field::transfer_encoding:
        return true;
    default:
        return false;
    }
}

[[nodiscard]] auto refusal_of(const boost::system::error_code failure) -> http_response {
    if (failure == http::error::header_limit) {
        return problem(code::too_large, outcome::not_run, "the header is over its limit", duration::zero());
    }
    if (failure == http::error::body_limit) {
        return problem(code::too_large, outcome::not_run, "the body is over its limit", duration::zero());
    }
    if (failure == http::error::partial_message) {
        return problem(code::bad_request, outcome::not_run, "the request ended early", duration::zero());
    }
    return problem(code::bad_request, outcome::not_run, failure.message(), duration::zero());
}

} // namespace

session::session(tcp_socket socket, std::shared_ptr<server_state> owner)
    : m_socket{std::move(socket)}, m_owner{std::move(owner)} {
    boost::system::error_code failure{};
    m_socket.set_option(asio::ip::tcp::no_delay{true}, failure);
    const auto remote = m_socket.remote_endpoint(failure);
    if (!failure) {
        m_remote = endpoint{remote.address().to_string(), remote.port()};
    }
}

auto session::start() -> void {
    begin_idle();
    read();
}

auto session::refuse(http_response refusal) -> void {
    end_after(std::move(refusal));
}

auto session::close(const close_reason reason) -> void {
    if (m_phase == phase::closed) {
        return;
    }
    m_phase = phase::closed;
    m_close_reason = reason;
    boost::system::error_code ignored{};
    m_socket.close(ignored);
    auto handler = std::move(m_on_close);
    m_on_close = nullptr;
    if (reason != close_reason::response_ended && handler) {
        asio::post(m_owner->m_context, [handler = std::move(handler), reason] { handler(reason); });
    }
    if (m_owner->m_on_connection_closed) {
        m_owner->m_on_connection_closed(reason);
    }
    m_owner->m_sessions.erase(shared_from_this());
}

auto session::drain() -> void {
    m_drained = true;
    if (m_phase == phase::idle && m_input.size() == 0U && pending() == 0U) {
        end_unused(close_reason::drained);
    }
}

auto session::check(const time_point now) -> void {
    if (now >= m_write_deadline) {
        close(close_reason::slow_reader);
    } else if (now < m_deadline) {
        return;
    } else if (m_phase == phase::receiving) {
        end_after(problem(code::slow_sender, outcome::not_run, {}, duration::zero()));
    } else if (m_phase == phase::ending) {
        close(close_reason::response_ended);
    } else if (m_phase == phase::idle && is_idle_time_over(now)) {
        end_unused(close_reason::idle);
    }
}

auto session::end_unused(const close_reason reason) -> void {
    m_unused = reason;
    boost::system::error_code ignored{};
    m_socket.cancel(ignored);
}

auto session::on_read_cancelled(const close_reason reason) -> void {
    if (has_unread_input()) {
        read();
    } else if (reason == close_reason::response_ended) {
        m_phase = phase::ending;
        end_output();
        read();
    } else {
        close(reason);
    }
}

auto session::begin_idle() -> void {
    m_idle_since = steady_now();
    m_deadline = m_idle_since + m_owner->m_limits.m_idle_time;
}

auto session::is_idle_time_over(const time_point now) const -> bool {
    return now >= m_idle_since + m_owner->m_limits.m_idle_time && pending() == 0U;
}

auto session::read() -> void {
    if (m_reading || m_input_ended || m_phase == phase::closed) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(m_input.prepare(m_read_bytes),
                             [self = shared_from_this()](const boost::system::error_code failure,
                                                         const std::size_t count) { self->on_read(failure, count); });
}

auto session::on_read(const boost::system::error_code failure, const std::size_t count) -> void {
    m_reading = false;
    if (m_phase == phase::closed) {
        return;
    }
    const auto unused = std::exchange(m_unused, std::nullopt);
    if (unused && failure == asio::error::operation_aborted) {
        on_read_cancelled(*unused);
        return;
    }
    if (failure) {
        on_input_end(failure);
        return;
    }
    m_input.commit(count);
    m_read_bytes = next_read_bytes(m_read_bytes, count);
    advance();
}

auto session::on_input_end(const boost::system::error_code failure) -> void {
    m_input_ended = true;
    m_keep = false;
    const auto half_closed =
        failure == asio::error::eof && (m_owner->m_limits.m_half_close || m_phase == phase::receiving);
    if (half_closed && m_phase == phase::receiving) {
        reject(http::error::partial_message);
    } else if (half_closed && (m_phase == phase::answering || pending() > 0U)) {
        m_phase = m_phase == phase::idle ? phase::ending : m_phase;
    } else {
        close(m_phase == phase::ending ? close_reason::response_ended : close_reason::client_left);
    }
}

auto session::advance() -> void {
    if (m_advancing) {
        return;
    }
    m_advancing = true;
    auto more = true;
    while (more && (m_phase == phase::idle || m_phase == phase::receiving)) {
        more = m_input.size() > 0U && pending() <= m_owner->m_limits.m_send_queue_bytes && parse();
    }
    m_advancing = false;
    if (m_phase == phase::ending) {
        m_input.clear();
    }
    if (m_input.size() <= m_owner->m_limits.m_header_bytes) {
        read();
    }
}

auto session::begin_request() -> void {
    m_phase = phase::receiving;
    m_deadline = steady_now() + m_owner->m_limits.m_request_time;
    m_continue_sent = false;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_owner->m_limits.m_header_bytes));
    m_parser->body_limit(m_owner->m_limits.m_body_bytes);
}

auto session::parse() -> bool {
    if (m_phase == phase::idle) {
        begin_request();
    }
    boost::system::error_code failure{};
    const auto taken = m_parser->put(m_input.data(), failure);
    m_input.consume(taken);
    if (failure && failure != http::error::need_more) {
        reject(failure);
        return false;
    }
    if (m_parser->is_done()) {
        dispatch();
        return true;
    }
    if (m_parser->is_header_done() && !m_continue_sent) {
        m_continue_sent = true;
        if (beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
            m_queue.append(continue_head);
            flush();
        }
    }
    return failure != http::error::need_more && taken > 0U;
}

auto session::dispatch() -> void {
    m_phase = phase::answering;
    m_deadline = time_point::max();
    m_read_bytes = first_read_bytes;
    auto message = m_parser->release();
    m_parser.reset();
    m_keep = m_keep && message.keep_alive();
    m_is_head = message.method() == http::verb::head;
    m_is_chunked = message.version() >= http_1_1;
    http_request request{};
    request.m_method = to_text(message.method_string());
    request.m_target = to_text(message.target());
    for (const auto& field : message) {
        request.m_headers.push_back({to_text(field.name_string()), to_text(field.value())});
    }
    request.m_body = std::move(message.body());
    request.m_remote = m_remote;
    if (m_input.size() == 0U) {
        m_input.clear();
        m_input.shrink_to_fit();
    }
    m_owner->m_handler(std::move(request), make_responder(shared_from_this()));
}

auto session::reject(const boost::system::error_code failure) -> void {
    end_after(refusal_of(failure));
}

auto session::append_head(const http_response& head, const std::optional<std::size_t> length) -> void {
    m_keep = m_keep && (!m_owner->m_draining || m_input.size() > 0U || has_unread_input());
    http::response<http::empty_body> message{};
    message.version(http_1_1);
    message.result(head.m_status);
    for (const auto& field : head.m_headers) {
        if (!is_connection_field(field.m_name)) {
            message.insert(field.m_name, field.m_value);
        }
    }
    if (head.m_status == no_content_status) {
        message.content_length(boost::none);
    } else if (length) {
        message.content_length(*length);
    } else if (m_is_chunked) {
        message.chunked(true);
    } else {
        m_keep = false;
    }
    message.keep_alive(m_keep);
    const http::fields::writer writer{message, http_1_1, message.result_int()};
    m_queue.append_buffers(writer.get());
}

auto session::respond(http_response response) -> void {
    if (m_phase != phase::answering) {
        return;
    }
    append_head(response, response.m_body.size());
    if (!m_is_head) {
        m_queue.append_body(std::move(response.m_body));
    }
    end_response();
}

auto session::start_chunks(const http_response& head) -> void {
    if (m_phase != phase::answering) {
        return;
    }
    append_head(head, std::nullopt);
    flush();
}

auto session::write_chunk(const std::string_view part) -> void {
    if (m_phase != phase::answering || part.empty() || m_is_head) {
        return;
    }
    if (pending() + part.size() > m_owner->m_limits.m_send_queue_bytes) {
        close(close_reason::queue_full);
        return;
    }
    const asio::const_buffer bytes{part.data(), part.size()};
    if (m_is_chunked) {
        m_queue.append_buffers(http::make_chunk(bytes));
    } else {
        m_queue.append(part);
    }
    flush();
}

auto session::finish_chunks() -> void {
    if (m_phase != phase::answering) {
        return;
    }
    if (m_is_chunked && !m_is_head) {
        m_queue.append_buffers(http::make_chunk_last());
    }
    end_response();
}

auto session::on_close(std::function<void(close_reason)> handler) -> void {
    if (m_phase == phase::answering) {
        m_on_close = std::move(handler);
    } else if (m_phase == phase::closed && handler) {
        asio::post(m_owner->m_context, [handler = std::move(handler), reason = m_close_reason] { handler(reason); });
    }
}

auto session::end_response() -> void {
    m_on_close = nullptr;
    m_phase = m_keep ? phase::idle : phase::ending;
    if (m_keep) {
        begin_idle();
    } else {
        m_deadline = time_point::max();
    }
    flush();
    advance();
}

auto session::end_after(http_response last) -> void {
    m_phase = phase::answering;
    m_keep = false;
    m_is_head = false;
    m_deadline = time_point::max();
    respond(std::move(last));
}

auto session::flush() -> void {
    if (m_writing || m_phase == phase::closed) {
        return;
    }
    if (m_flight.size() == 0U) {
        m_flight.clear();
        std::swap(m_flight, m_queue);
    }
    if (m_flight.size() == 0U) {
        on_flushed();
        return;
    }
    m_writing = true;
    m_write_deadline = steady_now() + m_owner->m_limits.m_write_time;
    m_socket.async_write_some(
        m_flight.data(), [self = shared_from_this()](const boost::system::error_code failure, const std::size_t count) {
            self->on_written(failure, count);
        });
}

auto session::on_written(const boost::system::error_code failure, const std::size_t count) -> void {
    m_writing = false;
    m_write_deadline = time_point::max();
    if (m_phase == phase::closed) {
        return;
    }
    if (failure) {
        close(close_reason::client_left);
        return;
    }
    m_flight.consume(count);
    flush();
}

auto session::on_flushed() -> void {
    if (m_phase == phase::ending && !m_output_ended) {
        end_output();
    } else if (m_phase == phase::idle) {
        begin_idle();
        if (m_input.size() > 0U) {
            advance();
        } else if (m_drained) {
            end_unused(close_reason::response_ended);
        }
    }
}

auto session::end_output() -> void {
    m_output_ended = true;
    m_deadline = steady_now() + ending_time;
    boost::system::error_code ignored{};
    m_socket.shutdown(tcp_socket::shutdown_send, ignored);
    if (m_input_ended) {
        close(close_reason::response_ended);
    }
}

auto session::has_unread_input() const -> bool {
    boost::system::error_code ignored{};
    return m_socket.available(ignored) > 0U;
}

} // namespace rhubarbwharf::net::internal
