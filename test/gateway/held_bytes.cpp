#include <vector>

#include <doctest/doctest.h>

#include <gateway/held_bytes.hpp>

using namespace rhubarbwharf::gateway;

// The responses of sound servers must not end because those of a faulty one fill the memory.
TEST_CASE("the largest response ends once all together exceed the limit") {
    CHECK_FALSE(find_excess(std::vector<std::size_t>{}, 0U).has_value());
    CHECK_FALSE(find_excess(std::vector<std::size_t>{40U, 60U}, 100U).has_value());
    CHECK(find_excess(std::vector<std::size_t>{10U, 60U, 31U}, 100U) == 1U);
    CHECK(find_excess(std::vector<std::size_t>{101U}, 100U) == 0U);
}
