#include <array>

#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/change_account.hpp>

namespace rhubarbwharf::fleet {

namespace {

constexpr std::uint64_t era = 3U;
constexpr time_point now{std::chrono::seconds{1'000}};
constexpr duration max_age = std::chrono::milliseconds{1'500};

/*! @brief Returns an account at revision 10, with nothing unaccounted for after it. */
[[nodiscard]] auto account_at_10() -> change_account {
    change_account out{};
    account(out, {era, 10U}, {}, now);
    return out;
}

[[nodiscard]] auto missed(const change_account& value, const std::uint64_t followed, const time_point at = now)
    -> bool {
    return may_have_missed(value, {era, followed}, at, max_age);
}

} // namespace

TEST_CASE("nothing is missed while all revisions are changes that the watch has delivered") {
    auto value = account_at_10();
    CHECK_FALSE(account(value, {era, 12U}, std::array<std::uint64_t, 2U>{11U, 12U}, now));
    CHECK_FALSE(account(value, {era, 12U}, {}, now));
    CHECK_FALSE(missed(value, 10U));
}

TEST_CASE("a revision that the watch has not delivered may be a change that another one has lost") {
    auto value = account_at_10();
    CHECK(account(value, {era, 13U}, std::array<std::uint64_t, 2U>{11U, 13U}, now));
    CHECK(missed(value, 12U));
    SUBCASE("until the other one knows all changes up to it") {
        CHECK_FALSE(missed(value, 13U));
    }
    SUBCASE("also if all later revisions are accounted for") {
        CHECK_FALSE(account(value, {era, 14U}, std::array<std::uint64_t, 1U>{14U}, now));
        CHECK(missed(value, 12U));
    }
}

TEST_CASE("changes of one transaction share a revision, and a change that is delivered twice counts once") {
    auto value = account_at_10();
    CHECK_FALSE(account(value, {era, 12U}, std::array<std::uint64_t, 4U>{9U, 11U, 11U, 12U}, now));
    CHECK(account(value, {era, 14U}, std::array<std::uint64_t, 2U>{14U, 14U}, now));
}

TEST_CASE("a first response, and one of a new era or after a gap, accounts for nothing before it") {
    change_account value{};
    CHECK(account(value, {era, 10U}, std::array<std::uint64_t, 1U>{10U}, now));
    CHECK(account(value, {era + 1U, 4U}, {}, now));
    CHECK(may_have_missed(value, {era, 10U}, now, max_age));
    CHECK(account(value, {era + 1U, 3U}, {}, now));
}

TEST_CASE("a watch that has been silent itself says nothing of another one") {
    const auto value = account_at_10();
    CHECK_FALSE(missed(value, 10U, now + max_age - duration{1}));
    CHECK(missed(value, 10U, now + max_age));
}

} // namespace rhubarbwharf::fleet
