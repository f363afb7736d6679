#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/configuration.hpp>

namespace rhubarbwharf::fleet {

namespace {

/*! @brief Lists every set of regions a route or an organisation may name, with none and an unknown one among them. */
[[nodiscard]] auto all_sets() -> std::vector<allowed_regions> {
    return {{},
            restrict_to({}),
            restrict_to({"ost"}),
            restrict_to({"west"}),
            restrict_to({"west", "ost"}),
            restrict_to({"atlantis"}),
            restrict_to({"ost", "atlantis"})};
}

} // namespace

TEST_CASE("a request may use a region only if both its route and its organisation allow it, whichever comes first") {
    for (const auto& route : all_sets()) {
        for (const auto& organisation : all_sets()) {
            const auto both = intersect(route, organisation);
            CHECK(both == intersect(organisation, route));
            for (const auto* const region : {"ost", "west", "sued", ""}) {
                CHECK(allows(both, region) == (allows(route, region) && allows(organisation, region)));
            }
        }
    }
}

TEST_CASE("a region that is not known is allowed only without a restriction") {
    CHECK(allows({}, ""));
    CHECK_FALSE(allows(restrict_to({"ost"}), ""));
    CHECK_FALSE(allows(restrict_to({}), "ost"));
}

TEST_CASE("requests that may use the same regions are one group, and unrestricted ones are group 0") {
    CHECK(group_of({}) == 0U);
    CHECK(group_of(restrict_to({"ost", "west"})) == group_of(restrict_to({"west", "ost", "west"})));
    CHECK(group_of(restrict_to({"ost"})) != group_of(restrict_to({"west"})));
    CHECK(group_of(restrict_to({})) != 0U);
}

TEST_CASE("callers of a host are sent to gateways that all its restricted routes allow") {
    configuration value{};
    for (const auto& regions : {allowed_regions{}, restrict_to({"ost", "west"}), restrict_to({"west", "sued"})}) {
        route added{};
        added.m_host = "a";
        added.m_path_prefix = "/" + std::to_string(value.m_routes.size()) + "/";
        added.m_allowed_regions = regions;
        value.m_routes.push_back(added);
    }
    index_routes(value);
    CHECK(regions_of_host(value, "a:80") == restrict_to({"west"}));
    CHECK(regions_of_host(value, "b") == allowed_regions{});
}

TEST_CASE("restrictions that name no region of the deployment are found, and those that allow none") {
    configuration value{};
    route known{};
    known.m_name = "known";
    known.m_allowed_regions = restrict_to({"ost", "west"});
    route unread{};
    unread.m_name = "unread";
    unread.m_allowed_regions = restrict_to({});
    value.m_routes = {known, unread, {}};
    value.m_organisations = {{"misspelt", std::nullopt, restrict_to({"ost", "wset"})}, {"free", std::nullopt, {}}};
    const auto found = list_unknown_regions(value, {"ost", "west"});
    REQUIRE(found.size() == 2U);
    CHECK(found[0].m_owner == "unread");
    CHECK(found[0].m_region.empty());
    CHECK(found[1].m_owner == "misspelt");
    CHECK(found[1].m_region == "wset");
}

} // namespace rhubarbwharf::fleet
