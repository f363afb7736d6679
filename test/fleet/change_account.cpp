#include <array>
#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/change_account.hpp>

namespace rhubarbwharf::fleet {

namespace {

constexpr std::uint64_t era = 3U;

/*! @brief Returns an account of all changes up to revision 10. */
[[nodiscard]] auto account_at_10() -> change_account {
    change_account out{};
    settle(out, {era, 10U});
    return out;
}

} // namespace

TEST_CASE("a revision that no watch has delivered may be a lost change") {
    auto value = account_at_10();
    add_delivered(value, std::array<std::uint64_t, 2U>{11U, 13U});
    CHECK_FALSE(accounts_for(value, {era, 13U}));
    SUBCASE("also if all later ones are delivered") {
        add_delivered(value, std::array<std::uint64_t, 1U>{14U});
        CHECK_FALSE(accounts_for(value, {era, 14U}));
    }
    SUBCASE("until a watch delivers it") {
        add_delivered(value, std::array<std::uint64_t, 1U>{12U});
        CHECK(accounts_for(value, {era, 13U}));
        CHECK(accounts_for(value, {era, 13U}));
        CHECK_FALSE(accounts_for(value, {era, 14U}));
    }
    SUBCASE("until the watches have been checked") {
        settle(value, {era, 13U});
        CHECK(accounts_for(value, {era, 13U}));
        CHECK(value.m_delivered.empty());
    }
}

TEST_CASE("changes of one transaction share a revision, and what is delivered twice or was known counts once") {
    auto value = account_at_10();
    add_delivered(value, std::array<std::uint64_t, 5U>{9U, 10U, 11U, 11U, 12U});
    CHECK(accounts_for(value, {era, 12U}));
    add_delivered(value, std::array<std::uint64_t, 1U>{12U});
    CHECK_FALSE(accounts_for(value, {era, 13U}));
}

TEST_CASE("an older reading of the store's version shows nothing missing") {
    auto value = account_at_10();
    CHECK(accounts_for(value, {era, 9U}));
    CHECK(accounts_for(value, {era, 10U}));
}

TEST_CASE("nothing is known before the first check, and in a new era") {
    change_account value{};
    CHECK_FALSE(accounts_for(value, {era, 10U}));
    settle(value, {era, 10U});
    add_delivered(value, std::array<std::uint64_t, 1U>{11U});
    CHECK_FALSE(accounts_for(value, {era + 1U, 4U}));
    settle(value, {era + 1U, 4U});
    CHECK(value.m_delivered.empty());
    CHECK(accounts_for(value, {era + 1U, 4U}));
}

TEST_CASE("the revisions that are kept are bounded") {
    auto value = account_at_10();
    std::vector<std::uint64_t> revisions{};
    revisions.reserve(max_kept_revisions + 1U);
    for (std::uint64_t each = 12U; each <= 12U + max_kept_revisions; ++each) {
        revisions.push_back(each);
    }
    add_delivered(value, revisions);
    CHECK(value.m_delivered.empty());
    CHECK_FALSE(accounts_for(value, {era, 12U}));
}

} // namespace rhubarbwharf::fleet
