#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>

#include "net/framing.hpp"

namespace rhubarbwharf::net::internal {

auto is_whole_at_end(const boost::system::error_code read, const boost::system::error_code write) noexcept -> bool {
    return read == boost::asio::error::eof && (!write || write == boost::asio::error::broken_pipe);
}

auto is_valid_status(const unsigned status) noexcept -> bool {
    constexpr auto least = 100U;
    constexpr auto most = 599U;
    constexpr auto switching_protocols = 101U;
    return status >= least && status <= most && status != switching_protocols;
}

auto is_folded(const std::string_view rest) noexcept -> bool {
    constexpr std::string_view line_end = "\r\n";
    const auto at = rest.find(line_end);
    const auto next = at == std::string_view::npos ? std::string_view{} : rest.substr(at + line_end.size());
    return next.starts_with(' ') || next.starts_with('\t');
}

auto is_known_coding(const std::string_view coding, const int version) noexcept -> bool {
    constexpr auto http_1_1 = 11;
    return version == http_1_1 && boost::beast::iequals({coding.data(), coding.size()}, "chunked");
}

} // namespace rhubarbwharf::net::internal
