#pragma once

#include <memory>
#include <optional>
#include <unordered_set>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <rhubarbwharf/net/http.hpp>

#include "net/socket.hpp"

namespace rhubarbwharf::net::internal {

class session;

/*! @brief What the sessions of one server share. */
struct server_state : std::enable_shared_from_this<server_state> {
    server_state(asio::io_context& context, http_limits limits, http_handler handler);

    asio::io_context& m_context;
    http_limits m_limits{};
    http_handler m_handler{};
    std::function<void(close_reason)> m_on_connection_closed{};
    tcp_acceptor m_acceptor;
    asio::steady_timer m_sweep;
    std::unordered_set<std::shared_ptr<session>> m_sessions{};
    std::uint16_t m_port{};
    bool m_sweeping{};
    bool m_draining{};

    /*! @brief Takes the next connection. */
    auto accept() -> void;

    /*! @brief Looks for sessions past their deadline, for as long as there are sessions. */
    auto sweep() -> void;
};

/*! @brief One connection of a server. */
class session : public std::enable_shared_from_this<session> {
public:
    /*! @brief Makes a session. @param socket The connection. @param owner The server. */
    session(tcp_socket socket, std::shared_ptr<server_state> owner);

    /*! @brief Starts reading. */
    auto start() -> void;

    /*! @brief Refuses the connection and ends it. @param refusal What is sent. */
    auto refuse(http_response refusal) -> void;

    /*! @brief Ends the connection at once, and calls the handler of `on_close` unless the response itself ended it.
     * @param reason The reason. */
    auto close(close_reason reason) -> void;

    /*! @brief Ends the connection if it is idle, else after the request in progress or its last response. */
    auto drain() -> void;

    /*! @brief Acts on a deadline that has passed. @param now The time. */
    auto check(time_point now) -> void;

    /*! @brief Queues a whole response. @param response The response. */
    auto respond(http_response response) -> void;

    /*! @brief Queues the head of a chunked response. @param head Status and headers. */
    auto start_chunks(const http_response& head) -> void;

    /*! @brief Queues a chunk. @param part Its bytes. */
    auto write_chunk(std::string_view part) -> void;

    /*! @brief Queues the last chunk. */
    auto finish_chunks() -> void;

    /*! @brief Sets what is called if the connection closes first. @param handler The handler. */
    auto on_close(std::function<void(close_reason)> handler) -> void;

    /*! @brief Returns the bytes not yet taken by the socket. @return The count. */
    [[nodiscard]] auto pending() const noexcept -> std::size_t { return m_queue.size() + m_flight.size(); }

private:
    enum class phase : std::uint8_t { idle, receiving, answering, ending, closed };

    using request_parser = beast::http::request_parser<beast::http::string_body>;

    auto read() -> void;
    auto on_read(boost::system::error_code failure, std::size_t count) -> void;
    auto on_input_end(boost::system::error_code failure) -> void;
    auto advance() -> void;
    auto parse() -> bool;
    auto begin_idle() -> void;
    /*! @brief Tells whether the idle time is over by the limits in force and nothing is left to write. */
    [[nodiscard]] auto is_idle_time_over(time_point now) const -> bool;
    /*! @brief Ends an idle connection, unless its read gives a request first.
     * @param reason The reason; with `response_ended` the client gets time to take its last response. */
    auto end_unused(close_reason reason) -> void;
    auto on_read_cancelled(close_reason reason) -> void;
    auto begin_request() -> void;
    auto dispatch() -> void;
    auto reject(boost::system::error_code failure) -> void;
    auto append_head(const http_response& head, std::optional<std::size_t> length) -> void;
    auto end_response() -> void;
    auto end_after(http_response last) -> void;
    auto flush() -> void;
    auto on_written(boost::system::error_code failure, std::size_t count) -> void;
    auto on_flushed() -> void;
    /*! @brief Ends the sending side; the connection closes once its client has done so too, or after a time. */
    auto end_output() -> void;
    /*! @brief Tells whether bytes have arrived that were not read yet. */
    [[nodiscard]] auto has_unread_input() const -> bool;

    tcp_socket m_socket;
    std::shared_ptr<server_state> m_owner;
    endpoint m_remote{};
    std::optional<request_parser> m_parser{};
    beast::flat_buffer m_input{};
    std::size_t m_read_bytes{first_read_bytes};
    out_buffer m_queue{};
    out_buffer m_flight{};
    std::function<void(close_reason)> m_on_close{};
    close_reason m_close_reason{close_reason::client_left};
    /*! @brief Why the connection ends once its read is cancelled. */
    std::optional<close_reason> m_unused{};
    time_point m_deadline{time_point::max()};
    time_point m_write_deadline{time_point::max()};
    time_point m_idle_since{};
    phase m_phase{phase::idle};
    bool m_reading{};
    bool m_writing{};
    bool m_advancing{};
    bool m_input_ended{};
    bool m_keep{true};
    bool m_drained{};
    bool m_continue_sent{};
    bool m_is_head{};
    bool m_is_chunked{true};
    bool m_output_ended{};
};

/**
 * @brief Makes the responder of one request.
 * @param owner The session that answers.
 * @return The responder.
 */
[[nodiscard]] auto make_responder(std::shared_ptr<session> owner) -> std::shared_ptr<responder>;

} // namespace rhubarbwharf::net::internal
