#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/fwd.hpp>

namespace rhubarbwharf::net {

/*! @brief Address of a listener: an IP number and a port. */
struct endpoint {
    std::string m_address{};
    std::uint16_t m_port{};

    [[nodiscard]] auto operator==(const endpoint&) const noexcept -> bool = default;
};

/**
 * @brief Reads an endpoint from `ADDRESS:PORT`.
 * @param text The text; the address is an IP number, one of version 6 in brackets.
 * @return The endpoint, or nothing.
 */
[[nodiscard]] auto parse_endpoint(std::string_view text) -> std::optional<endpoint>;

/*! @brief Writes an endpoint as `ADDRESS:PORT`. @param value The endpoint. @return The text. */
[[nodiscard]] auto to_string(const endpoint& value) -> std::string;

/*! @brief One HTTP header field; names compare without regard to case. */
struct header {
    std::string m_name{};
    std::string m_value{};
};

/*! @brief Compares two header names without regard to case. */
[[nodiscard]] auto is_same_name(std::string_view left, std::string_view right) noexcept -> bool;

/**
 * @brief Finds a header field.
 * @param headers The fields.
 * @param name Its name, any case.
 * @return The value of the first one, or an empty view.
 */
[[nodiscard]] auto find(const std::vector<header>& headers, std::string_view name) noexcept -> std::string_view;

/*! @brief A whole HTTP/1.1 request. */
struct http_request {
    std::string m_method{"GET"};
    /*! @brief Path with query, as sent. */
    std::string m_target{"/"};
    std::vector<header> m_headers{};
    std::string m_body{};
    /*! @brief For clients: value of `Host`; the server's address if empty. */
    std::string m_host{};
    /*! @brief Address of the sender; set by the server. */
    endpoint m_remote{};
};

/*! @brief A whole HTTP/1.1 response, or the head of a streamed one. */
struct http_response {
    std::uint16_t m_status{200};
    std::vector<header> m_headers{};
    std::string m_body{};
};

/*! @brief Limits of one HTTP listener. */
struct http_limits {
    std::size_t m_header_bytes{std::size_t{16} * 1024U};
    std::size_t m_body_bytes{std::size_t{4} * 1024U * 1024U};
    std::size_t m_connections{4096};
    /*! @brief Time within which a request must have arrived whole. */
    duration m_request_time{std::chrono::seconds{10}};
    /*! @brief Time that an idle connection is kept. */
    duration m_idle_time{std::chrono::seconds{60}};
    /*! @brief Longest time in which a client takes no byte of a response. */
    duration m_write_time{std::chrono::seconds{60}};
    /*! @brief Whether a client that has ended its sending side still gets its response; else it counts as gone. */
    bool m_half_close{true};
    /*! @brief Bytes that may wait for a slow reader before its connection is cut. */
    std::size_t m_send_queue_bytes{std::size_t{1024} * 1024U};
};

/*! @brief Why a server closed a connection. */
enum class close_reason : std::uint8_t {
    /*! @brief The client closed it, or it broke. */
    client_left,
    /*! @brief The client did not take bytes in time. */
    slow_reader,
    /*! @brief More bytes were pending than the limit. */
    queue_full,
    /*! @brief No request arrived in time. */
    idle,
    /*! @brief The server is draining. */
    drained,
    /*! @brief The response ended the connection, whole or aborted. */
    response_ended,
};

/*! @brief Returns the name of a reason, for logs and metrics. */
[[nodiscard]] auto to_string(close_reason value) noexcept -> std::string_view;

/**
 * @brief Answers one request; kept alive by whoever still has to answer.
 *
 * One that is dropped unanswered sends status 500. All calls are made on the loop's thread.
 */
class responder {
public:
    responder() = default;
    responder(const responder&) = delete;
    responder(responder&&) = delete;
    auto operator=(const responder&) -> responder& = delete;
    auto operator=(responder&&) -> responder& = delete;
    virtual ~responder() = default;

    /*! @brief Sends a whole response. @param response The response. */
    virtual auto respond(http_response response) -> void = 0;

    /*! @brief Starts a chunked response. @param head Status and headers; its body is not sent. */
    virtual auto start(http_response head) -> void = 0;

    /*! @brief Sends a part of a chunked response. @param part Bytes; copied before the call returns. */
    virtual auto write(std::string_view part) -> void = 0;

    /*! @brief Ends a chunked response whole. */
    virtual auto finish() -> void = 0;

    /*! @brief Cuts the connection, so that the client sees the response was not whole. */
    virtual auto abort() -> void = 0;

    /*! @brief Sets what is called once if the connection closes before the response has ended. @param handler Gets the
     * reason. */
    virtual auto on_close(std::function<void(close_reason)> handler) -> void = 0;

    /*! @brief Returns the bytes not yet taken by the socket. @return The count. */
    [[nodiscard]] virtual auto pending() const noexcept -> std::size_t = 0;
};

/*! @brief What a server calls with each request. */
using http_handler = std::function<void(http_request, std::shared_ptr<responder>)>;

/*! @brief HTTP/1.1 listener with keep-alive. */
class http_server {
public:
    /**
     * @brief Makes a server that does not listen yet.
     * @param owner The loop; outlives the server.
     * @param limits The limits.
     * @param handler What is called with each request.
     */
    http_server(loop& owner, http_limits limits, http_handler handler);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server(http_server&&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;
    auto operator=(http_server&&) -> http_server& = delete;

    /**
     * @brief Starts listening.
     * @param where The address; port 0 takes a free one.
     * @return `ok`, or `connection_failed`.
     */
    [[nodiscard]] auto listen(const endpoint& where) -> code;

    /*! @brief Returns the port in use. @return The port, or 0. */
    [[nodiscard]] auto port() const noexcept -> std::uint16_t;

    /*! @brief Takes no new connections, and ends idle ones; requests in progress go on. */
    auto drain() -> void;

    /*! @brief Ends each connection after its next response, and goes on taking new ones. */
    auto retire() -> void;

    /*! @brief Sets the limits of what arrives from now on. A connection that is idle keeps the longer of both idle
     * times.
     * @param limits The limits. */
    auto set_limits(const http_limits& limits) -> void;

    /*! @brief Returns the count of open connections. @return The count. */
    [[nodiscard]] auto connections() const noexcept -> std::size_t;

    /*! @brief Sets what is called after each connection has closed. @param handler Gets the reason. */
    auto on_connection_closed(std::function<void(close_reason)> handler) -> void;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/*! @brief What happened to the bytes of a request that did not end well. */
enum class sent : std::uint8_t {
    /*! @brief No byte can have reached the server. */
    nothing,
    /*! @brief Some bytes may have reached the server. */
    some,
};

/*! @brief How a call of an HTTP client ended. */
struct call_end {
    /*! @brief `ok` if the response came whole; else `connection_failed`, `timed_out`, `cut_stream`, `too_large` or
     * `cancelled`. */
    code m_code{code::ok};
    sent m_sent{sent::some};
    /*! @brief With `too_large`, the limit that the response exceeds: `head_bytes`, `body_bytes`, or `held_bytes` if it
     * ended because all that are collected exceed `max_held_bytes`. */
    std::string_view m_limit{};
    /*! @brief With `connection_failed` or `cut_stream`, whether the client ended the call because the bytes of the
     * server are no HTTP/1.1 response. */
    bool m_is_malformed{};
};

/*! @brief What an HTTP client calls as the response to one call comes; any may be empty. */
struct call_handlers {
    /*! @brief Gets status and headers, once; the body is empty. */
    std::function<void(const http_response&)> m_on_head{};
    /*! @brief Gets each part of the body as it comes; the view ends with the call. */
    std::function<void(std::string_view)> m_on_part{};
    /*! @brief Called last, exactly once. */
    std::function<void(const call_end&)> m_on_end{};
};

/*! @brief Limits of one call of an HTTP client. */
struct call_limits {
    /*! @brief Time until the response has ended. */
    duration m_total_time{std::chrono::seconds{60}};
    /*! @brief Longest time without a byte. */
    duration m_idle_time{std::chrono::seconds{30}};
    duration m_connect_time{std::chrono::seconds{2}};
    /*! @brief A kept connection that has been idle for longer is not used for this call. */
    duration m_kept_time{std::chrono::seconds{20}};
    /*! @brief Whether the connection is kept for later calls. */
    bool m_keep{true};
    /*! @brief Bytes of a response outside of its body: interim responses, status line and headers together, each line
     * of chunk framing, the trailers; and what chunk extensions may take in addition to the bytes of the body. */
    std::size_t m_head_bytes{std::size_t{64} * 1024U};
    /*! @brief Bytes of the body. Without a value `send` hands on a body of any length, while a collected or skipped one
     * is bounded by `max_held_bytes`. */
    std::optional<std::size_t> m_body_bytes{};
    /*! @brief Field that the response must repeat unchanged if it has it; a response with another value answers an
     * earlier request and is skipped. On a connection that has carried other requests the response must have it, or
     * the call fails; one that has carried this value is not used, as a copy of the earlier response would have it as
     * well. An empty name checks nothing. */
    header m_echo{};
};

/*! @brief A call in progress. */
class call {
public:
    call() = default;
    call(const call&) = delete;
    call(call&&) = delete;
    auto operator=(const call&) -> call& = delete;
    auto operator=(call&&) -> call& = delete;
    virtual ~call() = default;

    /*! @brief Cuts the connection; the end handler gets `cancelled`. */
    virtual auto cancel() -> void = 0;

    /*! @brief Stops or goes on reading, to hold back a fast sender. @param paused Whether to stop. */
    virtual auto pause(bool paused) -> void = 0;

    /*! @brief Tells whether the head of the response has been received. */
    [[nodiscard]] virtual auto has_head() const noexcept -> bool = 0;

    /*! @brief Returns when bytes last arrived. @return The epoch if none has. */
    [[nodiscard]] virtual auto last_received() const noexcept -> time_point = 0;
};

/*! @brief HTTP/1.1 client with kept connections for each server. */
class http_client {
public:
    /*! @brief Makes a client. @param owner The loop; outlives the client. */
    explicit http_client(loop& owner);
    ~http_client();

    http_client(const http_client&) = delete;
    http_client(http_client&&) = delete;
    auto operator=(const http_client&) -> http_client& = delete;
    auto operator=(http_client&&) -> http_client& = delete;

    /**
     * @brief Sends a request. It is sent at most once: a kept connection that fails is not tried anew,
     * unless no byte of the request can have been read.
     * @param server The server.
     * @param request The request; `Host` and `Content-Length` are added.
     * @param limits The limits.
     * @param handlers What is called as the response comes; never before this call returns.
     * @return The call; it goes on whether or not it is kept.
     */
    auto send(const endpoint& server, http_request request, const call_limits& limits, call_handlers handlers)
        -> std::shared_ptr<call>;

    /*! @brief What `fetch` hands over: how the call ended, and the whole response. Of one that did not come whole the
     * status is 0 and the body what came, or nothing if the response is too large. */
    using fetched = std::function<void(const call_end&, http_response)>;

    /**
     * @brief Sends a request and collects the whole response. All responses that a client collects at a time hold
     * `max_held_bytes` at most; beyond that one of the server that takes most ends as too large.
     * @param server The server.
     * @param request The request.
     * @param limits The limits.
     * @param done Called once.
     * @return The call.
     */
    auto fetch(const endpoint& server, http_request request, const call_limits& limits, fetched done)
        -> std::shared_ptr<call>;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/**
 * @brief Makes a refusal in the form of RFC 9457 (`application/problem+json`).
 * @param value The result code; gives `status`, `title` and `code`.
 * @param ran What is known of the effect.
 * @param detail What exactly was wrong; may be empty.
 * @param retry_after When to come back; zero leaves the header out, else it is rounded up to seconds.
 * @return The response.
 */
[[nodiscard]] auto problem(code value, outcome ran, std::string_view detail, duration retry_after) -> http_response;

/**
 * @brief Writes text as a JSON string.
 * @param text The text, UTF-8.
 * @return The string with its quotes.
 */
[[nodiscard]] auto json_string(std::string_view text) -> std::string;

} // namespace rhubarbwharf::net
