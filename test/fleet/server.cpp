#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/fleet/server.hpp>

namespace rhubarbwharf::fleet {

namespace {

[[nodiscard]] auto make_entry(const std::string& id, const std::uint64_t revision) -> backend_server {
    backend_server out{};
    out.m_id = id;
    out.m_revision = revision;
    return out;
}

} // namespace

TEST_CASE("an outdated entry from a peer does not restore a removed server") {
    server_table table{};
    CHECK(merge_server(table, make_entry("a", 5U)));
    CHECK(merge_removal(table, "a", 7U));
    CHECK_FALSE(merge_server(table, make_entry("a", 6U)));
    CHECK(table.m_rows.empty());
    CHECK(merge_server(table, make_entry("a", 8U)));
    CHECK_FALSE(merge_removal(table, "a", 7U));
    CHECK(table.m_rows.size() == 1U);
}

TEST_CASE("a listing removes the entries that it lacks, unless they are newer than the listing") {
    server_table table{};
    merge_server(table, make_entry("old", 3U));
    merge_server(table, make_entry("new", 12U));
    const auto dropped = merge_listing(table, {make_entry("listed", 9U)}, 10U);
    CHECK(dropped == std::vector<std::string>{"old"});
    CHECK(table.m_rows.contains("new"));
    CHECK(table.m_rows.contains("listed"));
}

TEST_CASE("tables that receive the same changes in any order are equal") {
    struct change {
        std::string m_id{};
        std::uint64_t m_revision{};
        bool m_removed{};
    };

    CHECK(rc::check([] {
        std::vector<change> changes{};
        const auto count = *rc::gen::inRange(1, 30);
        changes.reserve(static_cast<std::size_t>(count));
        for (auto index = 0; index < count; ++index) {
            changes.push_back({std::string(1U, *rc::gen::inRange('a', 'e')), static_cast<std::uint64_t>(index + 1),
                               *rc::gen::arbitrary<bool>()});
        }
        const auto apply = [](const std::vector<change>& order) {
            server_table table{};
            for (const auto& each : order) {
                if (each.m_removed) {
                    merge_removal(table, each.m_id, each.m_revision);
                } else {
                    merge_server(table, make_entry(each.m_id, each.m_revision));
                }
            }
            return fingerprint(table);
        };
        const auto in_order = apply(changes);
        for (std::size_t index = changes.size(); index > 1U; --index) {
            std::swap(changes[index - 1U], changes[*rc::gen::inRange<std::size_t>(0U, index)]);
        }
        RC_ASSERT(apply(changes) == in_order);
    }));
}

TEST_CASE("a server stays leaving until a new incarnation of it starts") {
    leaving_table table{};
    CHECK(merge_leaving(table, "a", {10U, {}}));
    CHECK_FALSE(merge_leaving(table, "a", {10U, {}}));
    CHECK_FALSE(merge_leaving(table, "a", {9U, {}}));
    CHECK(is_leaving(table, "a", 10U));
    CHECK(is_leaving(table, "a", 9U));
    CHECK_FALSE(is_leaving(table, "a", 11U));
    CHECK_FALSE(is_leaving(table, "b", 10U));
    CHECK(merge_leaving(table, "a", {11U, {}}));
    CHECK(is_leaving(table, "a", 11U));
}

TEST_CASE("a model is held only with all its layers") {
    std::vector<held_model> models{{"m", 3U, std::nullopt}, {"part", 2U, 8U}};
    CHECK(complete_version(models, "m", 16U) == 3U);
    CHECK(complete_version(models, "part", 16U) == 0U);
    CHECK(complete_version(models, "part", 8U) == 2U);
    CHECK(complete_version(models, "other", 1U) == 0U);
}

} // namespace rhubarbwharf::fleet
