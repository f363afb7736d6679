#pragma once

#include <array>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "net/fixture.hpp"

namespace rhubarbwharf::net {

/*! @brief Plain TCP connection that sends what it is told and keeps what it gets. */
class raw_connection {
public:
    raw_connection(loop& owner, const std::uint16_t port) : m_socket{owner.context()} {
        m_socket.connect({boost::asio::ip::make_address(local_address), port});
    }

    auto send(const std::string& text) -> void {
        boost::system::error_code ignored{};
        boost::asio::write(m_socket, boost::asio::buffer(text), ignored);
    }

    auto half_close() -> void { m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

    auto read() -> void {
        m_socket.async_read_some(boost::asio::buffer(m_space),
                                 [this](const boost::system::error_code failure, const std::size_t count) {
                                     m_text.append(m_space.data(), count);
                                     m_ended = static_cast<bool>(failure);
                                     if (!failure) {
                                         read();
                                     }
                                 });
    }

    [[nodiscard]] auto has(const std::string_view text) const -> bool { return m_text.find(text) != std::string::npos; }

    boost::asio::ip::tcp::socket m_socket;
    std::array<char, 4096U> m_space{};
    std::string m_text{};
    bool m_ended{};
};

} // namespace rhubarbwharf::net
