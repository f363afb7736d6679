#include <command/admin.hpp>

#include <rhubarbwharf/net/loop.hpp>

namespace rhubarbwharf::command::internal {

namespace {

constexpr auto response_timeout = std::chrono::seconds{10};

[[nodiscard]] auto make_request(const admin_target& target, const std::string_view method, const std::string_view path,
                                std::string body) -> net::http_request {
    net::http_request request{};
    request.m_method = method;
    request.m_target = path;
    request.m_headers.push_back({"Accept", "application/json"});
    if (!target.m_key.empty()) {
        request.m_headers.push_back({"Authorization", "Bearer " + target.m_key});
    }
    if (!body.empty()) {
        request.m_headers.push_back({"Content-Type", "application/json"});
    }
    request.m_body = std::move(body);
    return request;
}

} // namespace

auto send_request(const admin_target& target, const std::string_view method, const std::string_view path,
                  std::string body) -> std::optional<net::http_response> {
    net::loop loop{};
    net::http_client client{loop};
    std::optional<net::http_response> result{};
    const auto done = [&loop, &result](const net::call_end& end, net::http_response response) {
        if (end.m_code == code::ok) {
            result = std::move(response);
        }
        loop.stop();
    };
    const net::call_limits limits{.m_total_time = response_timeout, .m_idle_time = response_timeout};
    client.fetch(target.m_server, make_request(target, method, path, std::move(body)), limits, done);
    loop.run();
    return result;
}

} // namespace rhubarbwharf::command::internal
