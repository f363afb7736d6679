#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace rhubarbwharf::net::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;

/*! @brief Socket bound to the loop's own executor, which spares a type-erased call for each operation. */
using tcp_socket = asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type>;
using tcp_acceptor = asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type>;

/*! @brief Bytes to write: small ones are joined, one large body is kept as it is. */
class out_buffer {
public:
    /*! @brief Adds bytes at the end. @param bytes The bytes. */
    auto append(const std::string_view bytes) -> void { (m_body.empty() ? m_text : m_body).append(bytes); }

    /*! @brief Adds a sequence of buffers at the end. @param buffers The buffers. */
    template <typename Buffers>
    auto append_buffers(const Buffers& buffers) -> void {
        for (auto next = asio::buffer_sequence_begin(buffers); next != asio::buffer_sequence_end(buffers); ++next) {
            const asio::const_buffer part{*next};
            append({static_cast<const char*>(part.data()), part.size()});
        }
    }

    /*! @brief Adds a body, without a copy where it is large. @param body The body. */
    auto append_body(std::string&& body) -> void {
        constexpr std::size_t least_moved_bytes = std::size_t{16} * 1024U;
        if (m_body.empty() && body.size() >= least_moved_bytes) {
            m_body = std::move(body);
        } else {
            append(body);
        }
    }

    /*! @brief Returns the bytes left. @return The count. */
    [[nodiscard]] auto size() const noexcept -> std::size_t { return m_text.size() + m_body.size() - m_taken; }

    /*! @brief Views the bytes left. @return Two buffers. */
    [[nodiscard]] auto data() const noexcept -> std::array<asio::const_buffer, 2U> {
        const auto from_text = std::min(m_taken, m_text.size());
        return {asio::buffer(m_text) + from_text, asio::buffer(m_body) + (m_taken - from_text)};
    }

    /*! @brief Takes bytes off the front. @param count How many. */
    auto consume(const std::size_t count) noexcept -> void { m_taken += count; }

    /*! @brief Drops all bytes, and large memory with them. */
    auto clear() noexcept -> void {
        constexpr std::size_t most_kept_bytes = std::size_t{64} * 1024U;
        m_taken = 0U;
        m_body = std::string{};
        if (m_text.capacity() > most_kept_bytes) {
            m_text = std::string{};
        }
        m_text.clear();
    }

private:
    std::string m_text{};
    std::string m_body{};
    std::size_t m_taken{};
};

/**
 * @brief Chooses the size of the next read: it grows while reads fill their buffer.
 * @param last Size of the last buffer.
 * @param filled Bytes that the last read gave.
 * @return The next size.
 */
[[nodiscard]] constexpr auto next_read_bytes(const std::size_t last, const std::size_t filled) noexcept -> std::size_t {
    constexpr std::size_t most_bytes = std::size_t{256} * 1024U;
    return filled == last ? std::min(last * 2U, most_bytes) : last;
}

/*! @brief Size of the first read on a connection. */
constexpr std::size_t first_read_bytes = std::size_t{4} * 1024U;

} // namespace rhubarbwharf::net::internal
