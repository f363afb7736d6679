#include <algorithm>

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/ticket/json.hpp>
#include <rhubarbwharf/ticket/state.hpp>

namespace {

using rhubarbwharf::code;
using rhubarbwharf::ticket_number;
namespace ticket = rhubarbwharf::ticket;

[[nodiscard]] auto make_order(const std::uint64_t number, std::string submission, std::vector<std::string> scopes,
                              const std::string& model) -> ticket::ticket {
    ticket::ticket order{ticket_number{number}, std::move(submission), {}};
    for (auto& scope : scopes) {
        order.m_changes.push_back({std::move(scope), {.m_model = model}});
    }
    return order;
}

[[nodiscard]] auto any_entry() -> rc::Gen<ticket::scope_entry> {
    // A ticket's number stands for one content in all copies, so the state follows from scope and number.
    return rc::gen::map(rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange<std::uint64_t>(1, 30)),
                        [](const std::pair<int, std::uint64_t>& drawn) {
                            return ticket::scope_entry{"group:" + std::to_string(drawn.first),
                                                       ticket_number{drawn.second},
                                                       {.m_model = "m" + std::to_string(drawn.second)}};
                        });
}

} // namespace

TEST_CASE("a ticket without a number takes the next one, over all its scopes") {
    ticket::desired_state state{};
    CHECK(ticket::accept(state, make_order(0, "a", {"group:x", "group:y"}, "m1")).m_number == ticket_number{1});
    CHECK(ticket::accept(state, make_order(0, "b", {"group:x"}, "m2")).m_number == ticket_number{2});
    CHECK(ticket::find(state, "group:y")->m_ticket == ticket_number{1});
    CHECK(ticket::find(state, "group:x")->m_state.m_model == "m2");
}

TEST_CASE("a ticket that loses in one scope changes none, and learns the winner's number") {
    ticket::desired_state state{};
    CHECK(ticket::accept(state, make_order(9, "a", {"group:x"}, "m1")).m_code == code::ok);
    const auto verdict = ticket::accept(state, make_order(5, "b", {"group:x", "group:y"}, "m2"));
    CHECK(verdict.m_code == code::ticket_conflict);
    CHECK(verdict.m_number == ticket_number{9});
    CHECK(verdict.m_scope == "group:x");
    CHECK(ticket::find(state, "group:y") == nullptr);
    CHECK(ticket::accept(state, make_order(9, "c", {"group:x"}, "m2")).m_code == code::ticket_conflict);
}

TEST_CASE("a submission sent again gets its first verdict") {
    ticket::desired_state state{};
    CHECK(ticket::accept(state, make_order(0, "a", {"group:x"}, "m1")).m_number == ticket_number{1});
    CHECK(ticket::accept(state, make_order(0, "b", {"group:x"}, "m2")).m_number == ticket_number{2});
    const auto verdict = ticket::accept(state, make_order(0, "a", {"group:x"}, "m1"));
    CHECK(verdict.m_repeated);
    CHECK(verdict.m_number == ticket_number{1});
    CHECK(ticket::find(state, "group:x")->m_state.m_model == "m2");
}

TEST_CASE("tickets that are not well formed change nothing") {
    ticket::desired_state state{};
    CHECK(ticket::accept(state, make_order(1, "a", {}, "m")).m_code == code::ticket_malformed);
    CHECK(ticket::accept(state, make_order(1, "", {"group:x"}, "m")).m_code == code::ticket_malformed);
    CHECK(ticket::accept(state, make_order(1, "a", {"x"}, "m")).m_code == code::ticket_malformed);
    CHECK(ticket::accept(state, make_order(1, "a", {"group:x", "group:x"}, "m")).m_code == code::ticket_malformed);
    const auto big = std::string(ticket::state_bytes_max, 'm');
    CHECK(ticket::accept(state, make_order(1, "a", {"group:x"}, big)).m_code == code::state_too_large);
    CHECK(state.m_entries.empty());
    CHECK(state.m_submissions.empty());
}

TEST_CASE("any order of entries, with some doubled, gives the same state, and no scope's ticket goes back") {
    const auto holds = rc::check([] {
        const auto entries = *rc::gen::container<std::vector<ticket::scope_entry>>(any_entry());
        auto shuffled = entries;
        const auto extra = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 64));
        for (const auto pick : extra) {
            if (!entries.empty()) {
                shuffled.push_back(entries[pick % entries.size()]);
                std::swap(shuffled[pick % shuffled.size()], shuffled.back());
            }
        }
        ticket::desired_state left{};
        ticket::desired_state right{};
        for (const auto& entry : entries) {
            const auto* const before = ticket::find(left, entry.m_scope);
            const auto number = before == nullptr ? ticket_number{} : before->m_ticket;
            ticket::merge(left, entry);
            RC_ASSERT(ticket::find(left, entry.m_scope)->m_ticket >= number);
        }
        ticket::merge(right, shuffled);
        RC_ASSERT(left.m_entries == right.m_entries);
        RC_ASSERT(ticket::fingerprint(left) == ticket::fingerprint(right));
        RC_ASSERT(ticket::behind(left, right).empty());
    });
    CHECK(holds);
}

TEST_CASE("operators who race by compare-and-swap: all that is accepted is in force, or passed by a higher ticket") {
    const auto holds = rc::check([] {
        ticket::desired_state service{};
        std::uint64_t revision = 0;
        struct accepted_row {
            ticket::ticket m_order{};
            ticket_number m_number{};
        };
        std::vector<accepted_row> accepted{};
        const auto steps = *rc::gen::inRange(1, 60);
        std::vector<std::pair<ticket::desired_state, std::uint64_t>> views(3);
        for (int step = 0; step < steps; ++step) {
            const auto writer = *rc::gen::inRange<std::size_t>(0, views.size());
            auto& [view, seen] = views[writer];
            if (*rc::gen::arbitrary<bool>()) {
                view = service;
                seen = revision;
            }
            const auto number = *rc::gen::inRange<std::uint64_t>(0, 40);
            const auto scope = "group:" + std::to_string(*rc::gen::inRange(0, 3));
            const auto order = make_order(number, "s" + std::to_string(step), {scope, "group:all"}, "m");
            auto changed = view;
            const auto verdict = ticket::accept(changed, order);
            const auto swapped = verdict.m_code == code::ok && seen == revision;
            if (swapped) {
                service = changed;
                ++revision;
                accepted.push_back({order, verdict.m_number});
            }
        }
        for (const auto& row : accepted) {
            for (const auto& change : row.m_order.m_changes) {
                const auto* const standing = ticket::find(service, change.m_scope);
                RC_ASSERT(standing != nullptr);
                RC_ASSERT(standing->m_ticket >= row.m_number);
            }
        }
        const auto by_number = [](const accepted_row& left, const accepted_row& right) {
            return left.m_number < right.m_number;
        };
        RC_ASSERT(std::ranges::is_sorted(accepted, by_number));
    });
    CHECK(holds);
}

TEST_CASE("tickets and states go through JSON unchanged") {
    ticket::desired_state state{};
    auto order = make_order(3, "a \"quoted\"", {"group:x", "instance:e1"}, "mödel");
    order.m_changes[0].m_state.m_manifest = rhubarbwharf::sha256(std::string_view{"manifest"});
    order.m_changes[1].m_state.m_traffic = false;
    CHECK(ticket::accept(state, order).m_code == code::ok);
    const auto read = ticket::parse_state(ticket::to_json(state));
    REQUIRE(read);
    CHECK(read->m_entries == state.m_entries);
    CHECK(read->m_submissions == state.m_submissions);
    const auto again = ticket::parse_ticket(ticket::to_json(order));
    REQUIRE(again);
    CHECK(again->m_number == order.m_number);
    CHECK(again->m_changes[0].m_state == order.m_changes[0].m_state);
}

TEST_CASE("JSON that is no ticket is refused with a reason") {
    using rhubarbwharf::error;
    const auto reason = [](const std::string_view text) {
        return boost::leaf::try_handle_all(
            [text]() -> rhubarbwharf::result<std::string> {
                BOOST_LEAF_CHECK(ticket::parse_ticket(text));
                return std::string{};
            },
            [](const error& found) { return found.m_detail; }, [] { return std::string{"unknown"}; });
    };
    CHECK(reason("[]") == "not an object");
    CHECK(reason("{").find("incomplete") != std::string::npos);
    CHECK(reason(R"({"submission": 1, "changes": []})") == "submission: not a text");
    CHECK(reason(R"({"submission": "a", "changes": []})") == "changes: none");
    CHECK(reason(R"({"submission": "a", "changes": [{"scope": "group:x", "modle": "m"}]})") == "modle: unknown key");
    CHECK(reason(R"({"submission": "a", "number": -1, "changes": []})") == "number: not a whole number");
    CHECK(reason(R"({"submission": "a", "changes": [{"scope": "group:x", "manifest": "ab"}]})") ==
          "manifest: not 64 hexadecimal digits");
}
