#include <boost/asio/error.hpp>

#include "net/framing.hpp"

namespace rhubarbwharf::net::internal {

auto is_whole_at_end(const boost::system::error_code read, const boost::system::error_code write) noexcept -> bool {
    return read == boost::asio::error::eof && (!write || write == boost::asio::error::broken_pipe);
}

} // namespace rhubarbwharf::net::internal
