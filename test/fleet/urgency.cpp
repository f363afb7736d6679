#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/configuration.hpp>

namespace rhubarbwharf::fleet {

TEST_CASE("the urgency of a route counts the more urgent kinds of its service, without routes that need no key") {
    configuration value{};
    service llm{};
    llm.m_name = "llm";
    value.m_services = {llm};
    for (const auto priority : {2U, 0U, 1U, 1U, 7U}) {
        route added{};
        added.m_priority = priority;
        added.m_public = priority == 7U;
        added.m_shares = {{"llm", 1.0}};
        value.m_routes.push_back(added);
    }
    index_routes(value);
    CHECK(value.m_services[0].m_route_priorities == std::vector{0U, 1U, 2U});
    CHECK(urgency_of(value.m_services[0], value.m_routes[0]) == 2U);
    CHECK(urgency_of(value.m_services[0], value.m_routes[1]) == 0U);
    CHECK(urgency_of(value.m_services[0], value.m_routes[3]) == 1U);
}

} // namespace rhubarbwharf::fleet
