#include <vector>

#include <doctest/doctest.h>

#include <gateway/held_bytes.hpp>

using namespace rhubarbwharf::gateway;

TEST_CASE("no response ends while all together are within the limit") {
    CHECK_FALSE(find_excess({}, 0U).has_value());
    CHECK_FALSE(find_excess(std::vector<held_response>{{"a", 40U}, {"b", 60U}}, 100U).has_value());
}

TEST_CASE("the largest response ends once all together exceed the limit") {
    CHECK(find_excess(std::vector<held_response>{{"a", 10U}, {"a", 60U}, {"a", 31U}}, 100U) == 1U);
    CHECK(find_excess(std::vector<held_response>{{"a", 101U}}, 100U) == 0U);
}

// A sound response that is large must not end because a faulty server fills the memory with many smaller ones.
TEST_CASE("a response of the server whose responses take most ends, though another one is larger") {
    const std::vector<held_response> held{{"sound", 50U}, {"faulty", 20U}, {"faulty", 25U}, {"faulty", 20U}};
    CHECK(find_excess(held, 100U) == 2U);
}
