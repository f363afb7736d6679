#include <array>
#include <string>

#include <doctest/doctest.h>

#include <rhubarbwharf/membership/rendezvous.hpp>

namespace membership = rhubarbwharf::membership;

TEST_CASE("the selection does not depend on the order of names, and removing a name moves only the keys that it had") {
    constexpr std::array<std::string_view, 3> names{"a", "b", "c"};
    constexpr std::array<std::string_view, 3> reordered{"c", "a", "b"};
    constexpr std::array<std::string_view, 2> remaining{"a", "c"};
    std::size_t keys_of_a = 0;
    for (int number = 0; number < 300; ++number) {
        const auto key = "agent-" + std::to_string(number);
        const auto pick = membership::rendezvous_select(names, key);
        CHECK(pick == membership::rendezvous_select(reordered, key));
        if (pick != "b") {
            CHECK(membership::rendezvous_select(remaining, key) == pick);
        }
        keys_of_a += pick == "a" ? 1U : 0U;
    }
    CHECK(keys_of_a > 60U);
    CHECK(keys_of_a < 140U);
    CHECK(membership::rendezvous_select({}, "x").empty());
}
