#include <array>
#include <string>

#include <doctest/doctest.h>

#include <rhubarbwharf/membership/rendezvous.hpp>

namespace membership = rhubarbwharf::membership;

TEST_CASE("the pick depends on no order, and a name that goes moves only its own keys") {
    constexpr std::array<std::string_view, 3> names{"a", "b", "c"};
    constexpr std::array<std::string_view, 3> turned{"c", "a", "b"};
    constexpr std::array<std::string_view, 2> fewer{"a", "c"};
    std::size_t of_a = 0;
    for (int number = 0; number < 300; ++number) {
        const auto key = "agent-" + std::to_string(number);
        const auto pick = membership::rendezvous(names, key);
        CHECK(pick == membership::rendezvous(turned, key));
        if (pick != "b") {
            CHECK(membership::rendezvous(fewer, key) == pick);
        }
        of_a += pick == "a" ? 1U : 0U;
    }
    CHECK(of_a > 60U);
    CHECK(of_a < 140U);
    CHECK(membership::rendezvous({}, "x").empty());
}
