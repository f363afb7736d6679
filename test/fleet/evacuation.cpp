#include <algorithm>
#include <array>

#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/evacuation.hpp>

namespace rhubarbwharf::fleet {

namespace {

[[nodiscard]] auto at(const std::uint64_t era, const std::uint64_t revision, const bool is_active) -> evacuation {
    return {{era, revision}, is_active, {}};
}

} // namespace

TEST_CASE("evacuations and their ends give the same state in any order, and the newest counts") {
    std::array news{at(1U, 5U, true), at(1U, 9U, false), at(1U, 12U, true), at(2U, 3U, false)};
    std::array order{0U, 1U, 2U, 3U};
    do {
        evacuation_table table{};
        for (const auto index : order) {
            merge_evacuation(table, "dc", news.at(index));
        }
        CHECK_FALSE(is_evacuated(table, "dc"));
        CHECK(table.at("dc").m_version == store_version{2U, 3U});
    } while (std::ranges::next_permutation(order).found);
}

TEST_CASE("only a change is reported, so that repeated news of peers cause no work") {
    evacuation_table table{};
    CHECK(merge_evacuation(table, "dc", at(1U, 5U, true)));
    CHECK_FALSE(merge_evacuation(table, "dc", at(1U, 5U, true)));
    CHECK_FALSE(merge_evacuation(table, "dc", at(1U, 4U, false)));
    CHECK_FALSE(merge_evacuation(table, "dc", at(1U, 6U, true)));
    CHECK(is_evacuated(table, "dc"));
    CHECK(merge_evacuation(table, "dc", at(1U, 7U, false)));
    CHECK_FALSE(merge_evacuation(table, "other", at(1U, 8U, false)));
    CHECK_FALSE(is_evacuated(table, "other"));
}

TEST_CASE("a listing ends the evacuations that it lacks, unless they are newer") {
    evacuation_table table{};
    merge_evacuation(table, "old", at(1U, 5U, true));
    merge_evacuation(table, "listed", at(1U, 6U, true));
    merge_evacuation(table, "new", at(1U, 20U, true));
    merge_evacuation(table, "ended", at(1U, 7U, false));
    CHECK(ended_evacuations(table, {"listed"}, {1U, 10U}) == std::vector<std::string>{"old"});
}

} // namespace rhubarbwharf::fleet
