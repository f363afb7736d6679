#include <doctest/doctest.h>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/names.hpp>
#include <rhubarbwharf/core/time.hpp>

TEST_CASE("a name keeps the id it got first") {
    rhubarbwharf::names<rhubarbwharf::instance_id> table{};
    const auto first = table.emplace("a");
    const auto second = table.emplace("b");
    CHECK(first != second);
    CHECK(table.emplace("a") == first);
    CHECK(table.find("b") == second);
    CHECK_FALSE(table.find("c"));
    CHECK(table.name(second) == "b");
    CHECK(table.size() == 2U);
}
