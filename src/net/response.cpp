#include <boost/beast/http/error.hpp>

#include "net/client.hpp"
#include "net/framing.hpp"

namespace rhubarbwharf::net::internal {

constexpr unsigned first_final_status = 200U;

auto response_parser::is_interim() const noexcept -> bool {
    return m_head.m_status < first_final_status;
}

auto response_parser::on_request_impl(beast::http::verb, text, text, int, error_code& failure) -> void {
    failure = beast::http::error::bad_version;
}

auto response_parser::on_response_impl(const int status, text, const int version, error_code& failure) -> void {
    failure = {};
    m_version = version;
    m_head.m_status = static_cast<std::uint16_t>(status);
    if (!is_valid_status(m_head.m_status)) {
        failure = beast::http::error::bad_status;
    }
}

auto response_parser::on_field_impl(const beast::http::field known, const text name, const text value,
                                    error_code& failure) -> void {
    failure = {};
    if (is_folded(m_owner.input_from(name.data()))) {
        failure = beast::http::error::bad_field;
        return;
    }
    if (known == beast::http::field::transfer_encoding && !is_known_coding({value.data(), value.size()}, m_version)) {
        failure = beast::http::error::bad_transfer_encoding;
        return;
    }
    m_head.m_headers.push_back({std::string{name.data(), name.size()}, std::string{value.data(), value.size()}});
}

auto response_parser::on_header_impl(error_code& failure) -> void {
    failure = {};
    if (!is_interim()) {
        m_owner.on_head(m_head);
    }
}

auto response_parser::on_body_init_impl(const boost::optional<std::uint64_t>&, error_code& failure) -> void {
    failure = {};
}

auto response_parser::on_body_impl(const text part, error_code& failure) -> std::size_t {
    failure = {};
    m_owner.on_part({part.data(), part.size()});
    return part.size();
}

auto response_parser::on_chunk_header_impl(std::uint64_t, const text extensions, error_code& failure) -> void {
    failure = {};
    if (!m_owner.on_extensions(extensions.size())) {
        failure = beast::http::error::header_limit;
    }
}

auto response_parser::on_chunk_body_impl(std::uint64_t, const text part, error_code& failure) -> std::size_t {
    return on_body_impl(part, failure);
}

auto response_parser::on_finish_impl(error_code& failure) -> void {
    failure = {};
}

} // namespace rhubarbwharf::net::internal
