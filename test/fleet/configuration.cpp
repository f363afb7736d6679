#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/configuration.hpp>

namespace rhubarbwharf::fleet {

namespace {

[[nodiscard]] auto make_route(const std::string& host, const std::string& prefix) -> route {
    route out{};
    out.m_name = host + prefix;
    out.m_host = host;
    out.m_path_prefix = prefix;
    out.m_shares = {{"service", 1.0}};
    return out;
}

} // namespace

TEST_CASE("a request takes the route of its host with the longest matching path prefix") {
    configuration value{};
    value.m_routes = {make_route("a", "/x/"), make_route("a", "/x/y/"), make_route("b", "/x/y/z/")};
    index_routes(value);
    CHECK(find_route(value, "a", "/x/y/z/1")->m_path_prefix == "/x/y/");
    CHECK(find_route(value, "a:8080", "/x/1?q=/x/y/")->m_path_prefix == "/x/");
    CHECK(find_route(value, "a", "/x") == nullptr);
    CHECK(find_route(value, "c", "/x/") == nullptr);
    CHECK(find_route(value, "b", "/x/y/") == nullptr);
}

TEST_CASE("services are chosen by weight, and a route with one service always uses it") {
    route from{};
    from.m_shares = {{"large", 90.0}, {"small", 10.0}};
    std::size_t small{};
    constexpr std::uint64_t draws = 10'000U;
    for (std::uint64_t draw = 0U; draw < draws; ++draw) {
        small += pick_service(from, draw * 104'729U) == "small" ? 1U : 0U;
    }
    CHECK(small > 800U);
    CHECK(small < 1'200U);
    from.m_shares.resize(1U);
    CHECK(pick_service(from, ~std::uint64_t{0}) == "large");
    from.m_shares.clear();
    CHECK(pick_service(from, 1U).empty());
}

} // namespace rhubarbwharf::fleet
