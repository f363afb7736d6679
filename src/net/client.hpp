#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/multi_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>

#include "net/socket.hpp"

namespace rhubarbwharf::net::internal {

class client_call;

/*! @brief Requests of a connection whose echo values are remembered; a copy of a response comes with the next ones. */
constexpr std::size_t remembered_echoes = 32U;

/*! @brief One connection of a client; used by one call at a time. */
struct connection {
    explicit connection(asio::io_context& context) : m_socket{context} {}

    tcp_socket m_socket;
    beast::flat_buffer m_input{};
    time_point m_idle_since{};
    /*! @brief Until when the server is thought to keep it open. */
    time_point m_idle_until{};
    /*! @brief Digests of the echo values of the last requests on it, as a ring. */
    std::array<std::uint64_t, remembered_echoes> m_echoes{};
    std::size_t m_echo_count{};
};

/*! @brief Tells whether a request with this echo value was sent on a connection before, so that its response does not
 * tell a copy of the earlier one apart. @param echo Digest of the value; 0 if the call has none. */
[[nodiscard]] auto has_carried(const connection& kept, std::uint64_t echo) noexcept -> bool;

/*! @brief Records that a request with this echo value is sent. @param echo Digest of the value; 0 if the call has none.
 */
auto note_echo(connection& used, std::uint64_t echo) noexcept -> void;

/*! @brief Longest time that an idle connection is kept. */
constexpr duration most_kept_time = std::chrono::seconds{20};

/*! @brief What the calls of one client share. */
struct client_state : std::enable_shared_from_this<client_state> {
    using server_key = std::pair<std::string, std::uint16_t>;

    explicit client_state(loop& owner) : m_loop{owner}, m_context{owner.context()}, m_sweep{m_context} {}

    loop& m_loop;
    asio::io_context& m_context;
    asio::steady_timer m_sweep;
    std::map<server_key, std::vector<std::shared_ptr<connection>>> m_idle{};
    std::unordered_set<std::shared_ptr<client_call>> m_calls{};
    time_point m_next_drop{};
    bool m_sweeping{};
    bool m_sweeping_calls{};
    bool m_closed{};
    /*! @brief Memory of the incomplete responses that its calls collect, in bytes. Their blocks count whole, as the
     * allocator gives them memory that was in use before. */
    std::size_t m_collected_bytes{};

    /*! @brief Starts a call, and keeps it until it has ended. @param made The call. @param request Its request. */
    auto start(const std::shared_ptr<client_call>& made, http_request request) -> void;

    /*! @brief Ends one call if the responses that are collected take more than `max_held_bytes`. */
    auto limit_collected() -> void;

    /**
     * @brief Takes a kept connection that is still sound.
     * @param server The server.
     * @param now The time.
     * @param most_idle Longest time that it may have been idle.
     * @param echo Digest of the call's echo value; a connection that has carried it is left to other calls.
     * @return It, or nothing.
     */
    [[nodiscard]] auto take(const endpoint& server, time_point now, duration most_idle, std::uint64_t echo)
        -> std::shared_ptr<connection>;

    /**
     * @brief Keeps a connection for later calls.
     * @param server The server.
     * @param kept The connection.
     * @param keep_time Time for which the server keeps it open.
     */
    auto keep(const endpoint& server, std::shared_ptr<connection> kept, duration keep_time) -> void;

    /*! @brief Looks for calls past their deadline and connections kept too long, while there are any. */
    auto sweep() -> void;

    /*! @brief Ends calls past their deadline and drops old connections. @param now The time. */
    auto check(time_point now) -> void;

    /*! @brief Closes connections that have been idle too long. @param now The time. */
    auto drop_idle(time_point now) -> void;
};

/*! @brief Reads a response and hands its parts on without a copy. */
class response_parser final : public beast::http::basic_parser<false> {
public:
    /*! @brief Makes a parser. @param owner The call that gets the parts; outlives the parser. */
    explicit response_parser(client_call& owner) : m_owner{owner} {}

    response_parser(const response_parser&) = delete;
    response_parser(response_parser&&) = delete;
    auto operator=(const response_parser&) -> response_parser& = delete;
    auto operator=(response_parser&&) -> response_parser& = delete;
    ~response_parser() override = default;

    /*! @brief Tells whether the message is an interim one (status 1xx). @return Whether it is. */
    [[nodiscard]] auto is_interim() const noexcept -> bool;

private:
    using text = beast::string_view;
    using error_code = boost::system::error_code;

    auto on_request_impl(beast::http::verb verb, text method, text target, int version, error_code& failure)
        -> void override;
    auto on_response_impl(int status, text reason, int version, error_code& failure) -> void override;
    auto on_field_impl(beast::http::field known, text name, text value, error_code& failure) -> void override;
    auto on_header_impl(error_code& failure) -> void override;
    auto on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& failure) -> void override;
    auto on_body_impl(text part, error_code& failure) -> std::size_t override;
    auto on_chunk_header_impl(std::uint64_t size, text extensions, error_code& failure) -> void override;
    auto on_chunk_body_impl(std::uint64_t left, text part, error_code& failure) -> std::size_t override;
    auto on_finish_impl(error_code& failure) -> void override;

    client_call& m_owner;
    http_response m_head{};
    /*! @brief Version of HTTP, 10 or 11. */
    int m_version{};
};

/*! @brief A response that is collected. Its body grows by blocks that stay where they are: one that is copied as it
 * grows takes three to four times its bytes. */
struct collected_response {
    http_response m_head{};
    beast::multi_buffer m_body{};
};

/*! @brief One call of a client, kept alive by its client and its operations until it has ended. */
class client_call final : public call, public std::enable_shared_from_this<client_call> {
public:
    client_call(std::shared_ptr<client_state> owner, endpoint server, call_limits limits, call_handlers handlers);

    /*! @brief Collects the response, among those of the client. To be called before `start`. @param into Gets it. */
    auto collect(std::shared_ptr<collected_response> into) noexcept -> void { m_collected = std::move(into); }

    /*! @brief Sends the request. @param request The request. */
    auto start(http_request request) -> void;

    /*! @brief Ends the call as too large because of all that is collected; its handler is called later, as the caller
     * may be another call. */
    auto end_for_held_bytes() -> void;

    [[nodiscard]] auto server() const noexcept -> const endpoint& { return m_server; }

    /*! @brief Returns the memory of what was collected of the response, in bytes. */
    [[nodiscard]] auto collected_bytes() const noexcept -> std::size_t { return m_collected_bytes; }

    auto cancel() -> void override;
    auto pause(bool paused) -> void override;

    [[nodiscard]] auto has_head() const noexcept -> bool override { return m_head_seen; }

    [[nodiscard]] auto last_received() const noexcept -> time_point override { return m_last_received; }

    /*! @brief Ends the call if a deadline has passed. @param now The time. */
    auto check(time_point now) -> void;

    /*! @brief Drops the call without a word to its handlers. */
    auto drop() -> void;

    /*! @brief Hands the head on. @param head Status and headers. */
    auto on_head(const http_response& head) -> void;

    /*! @brief Views what has arrived from a byte on. @param first The byte, in the input that is being parsed.
     * @return The bytes; none once the call was cancelled by one of its handlers. */
    [[nodiscard]] auto input_from(const char* first) const noexcept -> std::string_view;

    /*! @brief Collects a part, or hands it on. @param part Its bytes. */
    auto on_part(std::string_view part) -> void;

    /*! @brief Counts the bytes of the extensions of a chunk. @param bytes The count. @return Whether they are within
     * the limit. */
    [[nodiscard]] auto on_extensions(std::size_t bytes) noexcept -> bool;

private:
    using shared_connection = std::shared_ptr<connection>;

    auto connect() -> void;
    auto begin(shared_connection ready, bool kept) -> void;
    auto begin_response() -> void;
    auto write() -> void;
    auto on_written(const shared_connection& on, boost::system::error_code failure, std::size_t count) -> void;
    auto read() -> void;
    auto on_read(const shared_connection& on, boost::system::error_code failure, std::size_t count) -> void;
    auto parse() -> void;
    /*! @brief Returns the digest of the value that the response must repeat; 0 if there is none. */
    [[nodiscard]] auto echo_digest() const -> std::uint64_t;
    auto note_keep_alive(const http_response& head) -> void;
    /*! @brief Bounds the bytes of the body of a response that is collected or skipped. */
    [[nodiscard]] auto most_body_bytes() const noexcept -> std::size_t;
    /*! @brief Names the limit that the bytes so far exceed. @return The name, or an empty view. */
    [[nodiscard]] auto exceeded_limit(boost::system::error_code failure) const noexcept -> std::string_view;
    auto log_too_large(std::string_view limit, std::size_t bytes) const -> void;
    /*! @brief Logs which limit the response exceeds, and ends the call. */
    auto end_too_large(std::string_view limit) -> void;
    /*! @brief Logs what of the bytes received is no response, and ends the call. */
    auto end_malformed(boost::system::error_code fault) -> void;
    /*! @brief Returns the code of a response that is not whole. */
    [[nodiscard]] auto failure_code() const noexcept -> code;
    auto finish() -> void;
    auto end(code value) -> void;
    auto end(call_end result) -> void;
    /*! @brief Ends the call; its handler is called from the loop. */
    auto end_later(call_end result) -> void;
    auto release() -> void;

    std::shared_ptr<client_state> m_owner;
    endpoint m_server{};
    call_limits m_limits{};
    call_handlers m_handlers{};
    /*! @brief The response so far, if it is collected. */
    std::shared_ptr<collected_response> m_collected{};
    shared_connection m_connection{};
    std::optional<response_parser> m_parser{};
    out_buffer m_request{};
    std::size_t m_request_bytes{};
    std::size_t m_read_bytes{first_read_bytes};
    time_point m_total_deadline{};
    time_point m_idle_deadline{};
    time_point m_last_received{};
    sent m_sent{sent::nothing};
    /*! @brief Failure of a write; no further one is made. */
    boost::system::error_code m_write_failure{};
    bool m_is_head_request{};
    bool m_is_kept{};
    bool m_may_read{};
    bool m_reading{};
    bool m_parsing{};
    bool m_head_seen{};
    bool m_skipping{};
    bool m_has_skipped{};
    /*! @brief Bytes taken before the head of the response to this call. */
    std::size_t m_bytes_ahead{};
    /*! @brief Bytes of the bodies of the response and of skipped ones. */
    std::size_t m_body_bytes{};
    std::size_t m_collected_bytes{};
    std::size_t m_extension_bytes{};
    duration m_kept_time{most_kept_time};
    bool m_paused{};
    bool m_ended{};
};

} // namespace rhubarbwharf::net::internal
