#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>

namespace rhubarbwharf::net {

/*! @brief How a scripted server ends a connection once it has sent all bytes of its script. */
enum class ending : std::uint8_t {
    /*! @brief Closes it at once, which resets it if bytes of the request were not read. */
    close,
    /*! @brief Resets it once its other end has had time to read what was sent. */
    reset,
    /*! @brief Ends the sending side, and resets the connection once its other end has had time to read that. */
    end_output_then_reset,
    /*! @brief Ends the sending side and closes the connection at once, which resets it if bytes were not read. */
    end_output_and_close,
    never,
};

/*! @brief What a scripted server sends on each connection once a request has come. */
struct script {
    std::string m_begin{};
    /*! @brief Sent again and again after the beginning unless it is empty. */
    std::string m_again{};
    ending m_end{ending::close};
    /*! @brief Whole response to the first request on a connection, so that the script answers the second one; if it is
     * empty, the script answers the first one. */
    std::string m_before{};
};

/*! @brief Connections of a scripted server; kept alive by their operations, which may outlast the server. */
class scripted_connections : public std::enable_shared_from_this<scripted_connections> {
public:
    scripted_connections(loop& owner, script lines, const std::uint16_t port)
        : m_acceptor{owner.context(), {boost::asio::ip::make_address("127.0.0.1"), port}}, m_script{std::move(lines)} {
        while (!m_script.m_again.empty() && m_script.m_again.size() < least_write_bytes) {
            m_script.m_again += m_script.m_again;
        }
    }

    /*! @brief Takes no further connections, and closes those that it only holds open. */
    auto close() -> void {
        error_code ignored{};
        m_acceptor.close(ignored);
        m_held.clear();
    }

    /*! @brief Takes the next connection. */
    auto accept() -> void {
        auto added = std::make_shared<peer>(m_acceptor);
        m_acceptor.async_accept(added->m_socket, [this, self = shared_from_this(), added](const error_code failure) {
            if (failure) {
                return;
            }
            if (m_script.m_before.empty()) {
                read(added);
            } else {
                answer_before(added);
            }
            accept();
        });
    }

    [[nodiscard]] auto address() const -> endpoint { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    /*! @brief Counts the requests that the script has answered. */
    [[nodiscard]] auto requests() const noexcept -> unsigned { return m_requests; }

    /*! @brief Returns the most bytes that were sent on one connection. */
    [[nodiscard]] auto most_bytes() const noexcept -> std::size_t { return m_most_bytes; }

private:
    using error_code = boost::system::error_code;

    struct peer {
        explicit peer(boost::asio::ip::tcp::acceptor& from) : m_socket{from.get_executor()} {}

        boost::asio::ip::tcp::socket m_socket;
        std::array<char, 8192U> m_space{};
        std::size_t m_sent_bytes{};
    };

    /*! @brief Bytes after which a server stops sending, so that a client without a limit needs no endless memory. */
    static constexpr std::size_t most_sent_bytes = std::size_t{128} * 1024U * 1024U;
    static constexpr std::size_t least_write_bytes = std::size_t{32} * 1024U;
    static constexpr auto reset_delay = std::chrono::milliseconds{50};

    auto answer_before(const std::shared_ptr<peer>& to) -> void {
        to->m_socket.async_read_some(boost::asio::buffer(to->m_space), [this, self = shared_from_this(),
                                                                        to](const error_code closed, std::size_t) {
            if (!closed) {
                boost::asio::async_write(
                    to->m_socket, boost::asio::buffer(m_script.m_before),
                    [this, self = shared_from_this(), to](const error_code, std::size_t) { read(to); });
            }
        });
    }

    auto read(const std::shared_ptr<peer>& to) -> void {
        to->m_socket.async_read_some(boost::asio::buffer(to->m_space),
                                     [this, self = shared_from_this(), to](const error_code closed, std::size_t) {
                                         if (!closed) {
                                             answer(to);
                                         }
                                     });
    }

    auto answer(const std::shared_ptr<peer>& to) -> void {
        ++m_requests;
        boost::asio::async_write(to->m_socket, boost::asio::buffer(m_script.m_begin),
                                 [this, self = shared_from_this(), to](const error_code failure, std::size_t) {
                                     if (failure) {
                                         return;
                                     }
                                     if (!m_script.m_again.empty()) {
                                         repeat(to);
                                     } else {
                                         end(to);
                                     }
                                 });
    }

    auto end(const std::shared_ptr<peer>& to) -> void {
        switch (m_script.m_end) {
        case ending::close:
            to->m_socket.close();
            break;
        case ending::end_output_then_reset:
            end_output(to);
            reset_later(to);
            break;
        case ending::end_output_and_close:
            end_output(to);
            to->m_socket.close();
            break;
        case ending::reset:
            reset_later(to);
            break;
        case ending::never:
            m_held.push_back(to);
            break;
        }
    }

    static auto end_output(const std::shared_ptr<peer>& to) -> void {
        error_code ignored{};
        to->m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }

    auto repeat(const std::shared_ptr<peer>& to) -> void {
        boost::asio::async_write(
            to->m_socket, boost::asio::buffer(m_script.m_again),
            [this, self = shared_from_this(), to](const error_code failure, const std::size_t count) {
                to->m_sent_bytes += count;
                m_most_bytes = std::max(m_most_bytes, to->m_sent_bytes);
                if (!failure && to->m_sent_bytes < most_sent_bytes) {
                    repeat(to);
                } else if (!failure) {
                    m_held.push_back(to);
                }
            });
    }

    auto reset_later(const std::shared_ptr<peer>& to) -> void {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_acceptor.get_executor(), reset_delay);
        timer->async_wait([to, timer](const error_code) {
            error_code ignored{};
            to->m_socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
            to->m_socket.close(ignored);
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    script m_script{};
    std::vector<std::shared_ptr<peer>> m_held{};
    unsigned m_requests{};
    std::size_t m_most_bytes{};
};

/*! @brief Server whose responses are given byte by byte. It reads the first bytes of a request only, so that a long one
 * is never sent whole. All calls are made on the thread of its loop. */
class scripted_server {
public:
    /*! @brief Listens on a port. @param port The port; 0 takes a free one. */
    scripted_server(loop& owner, script lines, const std::uint16_t port = 0U)
        : m_connections{std::make_shared<scripted_connections>(owner, std::move(lines), port)} {
        m_connections->accept();
    }

    ~scripted_server() { m_connections->close(); }

    scripted_server(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    auto operator=(const scripted_server&) -> scripted_server& = delete;
    auto operator=(scripted_server&&) -> scripted_server& = delete;

    [[nodiscard]] auto address() const -> endpoint { return m_connections->address(); }

    /*! @brief Counts the requests that the script has answered. */
    [[nodiscard]] auto requests() const noexcept -> unsigned { return m_connections->requests(); }

    /*! @brief Returns the most bytes that were sent on one connection. */
    [[nodiscard]] auto most_bytes() const noexcept -> std::size_t { return m_connections->most_bytes(); }

private:
    std::shared_ptr<scripted_connections> m_connections;
};

} // namespace rhubarbwharf::net
