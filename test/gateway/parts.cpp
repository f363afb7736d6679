#include <array>

#include <doctest/doctest.h>

#include <gateway/parts.hpp>

namespace rhubarbwharf::gateway {

namespace {

constexpr routing::part_id held_part{1U};
constexpr routing::part_id other_part{2U};

[[nodiscard]] auto settings() -> config::node_settings {
    config::node_settings out{};
    out.m_role = "gateway";
    out.m_instance = "gateway-1";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

/*! @brief Response that is neither sent nor awaited. */
class ignored_response : public net::responder {
public:
    auto respond(net::http_response response) -> void override { m_status = response.m_status; }

    auto start(net::http_response /*head*/) -> void override {}

    auto write(std::string_view /*part*/) -> void override {}

    auto finish() -> void override {}

    auto abort() -> void override { m_aborted = true; }

    auto on_close(std::function<void(net::close_reason)> /*handler*/) -> void override {}

    [[nodiscard]] auto pending() const noexcept -> std::size_t override { return 0U; }

    std::uint16_t m_status{};
    bool m_aborted{false};
};

} // namespace

TEST_CASE("a stream that has begun its answer is resumed although one of its parts is held back since") {
    const fleet::route route{};
    const fleet::service service{};
    daemon self{settings(), {}};
    const auto now = steady_now();
    const std::array parts{held_part};
    routing::add_crash(self.m_parts, routing::incarnation_id{1U}, parts, now);
    routing::hold(self.m_parts, parts, routing::incarnation_id{1U}, now);
    const auto item = std::make_shared<exchange>();
    const auto response = std::make_shared<ignored_response>();
    item->m_route = &route;
    item->m_service = &service;
    item->m_responder = response;
    item->m_parts = {other_part, held_part};
    SUBCASE("it has begun") {
        item->m_has_begun = true;
        CHECK(admit_parts(self, item));
        CHECK_FALSE(item->m_ended);
    }
    SUBCASE("it has not begun") {
        CHECK_FALSE(admit_parts(self, item));
        CHECK(item->m_ended);
        CHECK(response->m_status == 503U);
    }
}

TEST_CASE("the second delivery of events shows that a request ends no server") {
    daemon self{settings(), {}};
    exchange item{};
    item.m_parts = {other_part};
    attempt current{};
    on_delivery(self, item, current, false);
    CHECK_FALSE(item.m_has_begun);
    on_delivery(self, item, current, false);
    CHECK(item.m_has_begun);
}

TEST_CASE("the last part of a prompt is the request's own, and parts of other models differ") {
    CHECK(shared_parts("m", "aa:1,bb:2,cc:3").size() == 2U);
    CHECK(shared_parts("m", "aa:1").empty());
    CHECK(shared_parts("m", "").empty());
    CHECK(shared_parts("m", "aa:1,cc:3") == shared_parts("m", "aa:7,dd:3"));
    CHECK(shared_parts("m", "aa:1,cc:3") != shared_parts("n", "aa:1,cc:3"));
}

} // namespace rhubarbwharf::gateway
