#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/fleet/server.hpp>

namespace rhubarbwharf::fleet {

namespace {

[[nodiscard]] auto make_entry(const std::string& id, const std::uint64_t revision, const std::uint64_t era = 1U)
    -> backend_server {
    backend_server out{};
    out.m_id = id;
    out.m_store_version = {era, revision};
    return out;
}

} // namespace

TEST_CASE("an outdated entry from a peer does not restore a removed server") {
    server_table table{};
    CHECK(merge_server(table, make_entry("a", 5U)));
    CHECK(merge_removal(table, "a", {1U, 7U}));
    CHECK_FALSE(merge_server(table, make_entry("a", 6U)));
    CHECK(table.m_rows.empty());
    CHECK(merge_server(table, make_entry("a", 8U)));
    CHECK_FALSE(merge_removal(table, "a", {1U, 7U}));
    CHECK(table.m_rows.size() == 1U);
}

TEST_CASE("a listing removes the entries that it lacks, unless they are newer than the listing") {
    server_table table{};
    merge_server(table, make_entry("old", 3U));
    merge_server(table, make_entry("new", 12U));
    const auto dropped = merge_listing(table, {make_entry("listed", 9U)}, {1U, 10U});
    CHECK(dropped == std::vector<std::string>{"old"});
    CHECK(table.m_rows.contains("new"));
    CHECK(table.m_rows.contains("listed"));
}

TEST_CASE("an entry of a new era is believed whatever its revision, and a removal of the former era does not hide it") {
    server_table table{};
    merge_server(table, make_entry("a", 500U));
    merge_removal(table, "b", {1U, 600U});
    CHECK(merge_server(table, make_entry("a", 3U, 2U)));
    CHECK(merge_server(table, make_entry("b", 4U, 2U)));
    CHECK_FALSE(merge_removal(table, "a", {1U, 700U}));
    CHECK_FALSE(merge_server(table, make_entry("a", 800U)));
    CHECK(table.m_rows.size() == 2U);
    CHECK(table.m_version == store_version{2U, 4U});
}

TEST_CASE("a listing of a new era removes what it lacks, whatever its revision was") {
    server_table table{};
    merge_server(table, make_entry("old", 900U));
    CHECK(merge_listing(table, {make_entry("listed", 5U, 2U)}, {2U, 10U}) == std::vector<std::string>{"old"});
    CHECK_FALSE(merge_server(table, make_entry("old", 950U)));
}

TEST_CASE("tables that differ only in the era have the same digest for processes that know no eras") {
    server_table former{};
    server_table present{};
    merge_server(former, make_entry("a", 5U, 1U));
    merge_server(present, make_entry("a", 5U, 2U));
    CHECK(fingerprint(former) != fingerprint(present));
    CHECK(fingerprint_of_revisions(former) == fingerprint_of_revisions(present));
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
                    merge_removal(table, each.m_id, {1U, each.m_revision});
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

TEST_CASE("an exact report of a write replaces a bound, and the earlier of two reports counts") {
    const time_point first{std::chrono::hours{1}};
    const auto second = first + std::chrono::seconds{1};
    weights_target known{"m", 2U, first, false};
    merge_report(known, {"m", 2U, second, true});
    CHECK(known.m_written_at == second);
    CHECK(known.m_has_exact_write_time);
    merge_report(known, {"m", 2U, first, false});
    CHECK(known.m_written_at == second);
    merge_report(known, {"m", 2U, first, true});
    CHECK(known.m_written_at == first);
    merge_report(known, {"m", 2U, second, true});
    CHECK(known.m_written_at == first);
}

TEST_CASE("the time of a write is confirmed once, within its time limit, with a bounded number of requests") {
    const time_point learned{std::chrono::hours{1}};
    constexpr duration limit = std::chrono::seconds{8};
    weights_target target{"m", 2U, learned, true, learned};
    CHECK(needs_confirmation(target, learned, limit));
    CHECK_FALSE(needs_confirmation(target, learned + limit, limit));
    target.m_confirmation_requests = max_confirmation_requests;
    CHECK_FALSE(needs_confirmation(target, learned, limit));
    target.m_confirmation_requests = 0U;
    merge_report(target, {"m", 2U, learned, true, learned, true});
    CHECK_FALSE(needs_confirmation(target, learned, limit));
}

TEST_CASE("a report of uncertain age moves a known write only as far as it shows that the known time is wrong") {
    const time_point earliest{std::chrono::hours{1}};
    constexpr duration second = std::chrono::seconds{1};
    const auto latest = earliest + second;
    weights_target exact{"m", 2U, earliest + max_confirmed_error, true};
    merge_delayed_report(exact, earliest, latest, true);
    CHECK(exact.m_written_at == earliest + max_confirmed_error);
    CHECK(exact.m_has_exact_write_time);
    CHECK(exact.m_is_confirmed);
    weights_target confirmed{"m", 2U, earliest + second / 2, true, {}, true};
    merge_delayed_report(confirmed, earliest, latest, true);
    CHECK(confirmed.m_written_at == earliest + second / 2);
    CHECK(confirmed.m_has_exact_write_time);
    // It may be late by half a second, which is more than the margin for requests that wait.
    weights_target uncertain{"m", 2U, earliest + second / 2, true};
    merge_delayed_report(uncertain, earliest, latest, true);
    CHECK(uncertain.m_written_at == earliest);
    CHECK_FALSE(uncertain.m_has_exact_write_time);
    CHECK_FALSE(uncertain.m_is_confirmed);
    merge_report(uncertain, {"m", 2U, earliest + second / 4, true, {}, true});
    CHECK(uncertain.m_written_at == earliest + second / 4);
    CHECK(uncertain.m_is_confirmed);
    weights_target early{"m", 2U, earliest - second, true};
    merge_delayed_report(early, earliest, latest, false);
    CHECK(early.m_written_at == earliest - second);
    CHECK_FALSE(early.m_is_confirmed);
    weights_target late{"m", 2U, latest + second, true};
    merge_delayed_report(late, earliest, latest, true);
    CHECK(late.m_written_at == earliest);
    CHECK_FALSE(late.m_has_exact_write_time);
    CHECK_FALSE(late.m_is_confirmed);
    weights_target bound{"m", 2U, earliest - second, false};
    merge_delayed_report(bound, earliest, latest, true);
    CHECK(bound.m_written_at == earliest);
    CHECK_FALSE(bound.m_has_exact_write_time);
    merge_delayed_report(bound, earliest - second, latest, true);
    CHECK(bound.m_written_at == earliest);
}

TEST_CASE("a version that a peer knows is missed once a working watch would have delivered it") {
    constexpr store_version known{1U, 7U};
    constexpr store_version told{1U, 9U};
    const auto now = time_point{std::chrono::hours{1}};
    missed_version missed{};
    CHECK_FALSE(note_told_version(missed, known, known, now));
    CHECK_FALSE(note_told_version(missed, known, told, now + max_watch_lag));
    // A peer that lags behind does not end the time.
    CHECK_FALSE(note_told_version(missed, known, known, now + max_watch_lag * 3 / 2));
    CHECK(note_told_version(missed, known, told, now + max_watch_lag * 2));
    CHECK_FALSE(note_told_version(missed, known, told, now + max_watch_lag * 2));
    CHECK_FALSE(note_told_version(missed, told, told, now + max_watch_lag * 4));
    CHECK_FALSE(note_told_version(missed, told, known, now + max_watch_lag * 6));
}

} // namespace rhubarbwharf::fleet
