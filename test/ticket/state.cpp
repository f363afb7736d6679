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

[[nodiscard]] auto make_ticket(const std::uint64_t number, std::string submission, std::vector<std::string> scopes,
                               const std::string& model) -> ticket::ticket {
    ticket::ticket submitted{ticket_number{number}, std::move(submission), {}};
    for (auto& scope : scopes) {
        submitted.m_changes.push_back({std::move(scope), {.m_model = model}});
    }
    return submitted;
}

[[nodiscard]] auto random_entry() -> rc::Gen<ticket::scope_entry> {
    // Entries with equal scope and ticket number must have equal state.
    return rc::gen::map(rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange<std::uint64_t>(1, 30)),
                        [](const std::pair<int, std::uint64_t>& sampled) {
                            return ticket::scope_entry{"group:" + std::to_string(sampled.first),
                                                       ticket_number{sampled.second},
                                                       {.m_model = "m" + std::to_string(sampled.second)}};
                        });
}

} // namespace

TEST_CASE("a ticket without a number gets the number after the highest one of all scopes") {
    ticket::desired_state state{};
    CHECK(ticket::accept(state, make_ticket(0, "a", {"group:x", "group:y"}, "m1")).m_number == ticket_number{1});
    CHECK(ticket::accept(state, make_ticket(0, "b", {"group:x"}, "m2")).m_number == ticket_number{2});
    CHECK(ticket::find(state, "group:y")->m_ticket == ticket_number{1});
    CHECK(ticket::find(state, "group:x")->m_state.m_model == "m2");
}

TEST_CASE("a ticket that conflicts in one scope changes nothing and gets the number of the conflicting ticket") {
    ticket::desired_state state{};
    CHECK(ticket::accept(state, make_ticket(9, "a", {"group:x"}, "m1")).m_code == code::ok);
    const auto verdict = ticket::accept(state, make_ticket(5, "b", {"group:x", "group:y"}, "m2"));
    CHECK(verdict.m_code == code::ticket_conflict);
    CHECK(verdict.m_number == ticket_number{9});
    CHECK(verdict.m_scope == "group:x");
    CHECK(ticket::find(state, "group:y") == nullptr);
    CHECK(ticket::accept(state, make_ticket(9, "c", {"group:x"}, "m2")).m_code == code::ticket_conflict);
}

TEST_CASE("a retried submission gets the result of the first attempt") {
    ticket::desired_state state{};
    CHECK(ticket::accept(state, make_ticket(0, "a", {"group:x"}, "m1")).m_number == ticket_number{1});
    CHECK(ticket::accept(state, make_ticket(0, "b", {"group:x"}, "m2")).m_number == ticket_number{2});
    const auto verdict = ticket::accept(state, make_ticket(0, "a", {"group:x"}, "m1"));
    CHECK(verdict.m_duplicate);
    CHECK(verdict.m_number == ticket_number{1});
    CHECK(ticket::find(state, "group:x")->m_state.m_model == "m2");
}

TEST_CASE("malformed and oversized tickets change nothing") {
    ticket::desired_state state{};
    CHECK(ticket::accept(state, make_ticket(1, "a", {}, "m")).m_code == code::ticket_malformed);
    CHECK(ticket::accept(state, make_ticket(1, "", {"group:x"}, "m")).m_code == code::ticket_malformed);
    CHECK(ticket::accept(state, make_ticket(1, "a", {"x"}, "m")).m_code == code::ticket_malformed);
    CHECK(ticket::accept(state, make_ticket(1, "a", {"group:x", "group:x"}, "m")).m_code == code::ticket_malformed);
    const auto big = std::string(ticket::max_state_bytes, 'm');
    CHECK(ticket::accept(state, make_ticket(1, "a", {"group:x"}, big)).m_code == code::state_too_large);
    CHECK(state.m_entries.empty());
    CHECK(state.m_submissions.empty());
}

TEST_CASE("merging entries in any order and with duplicates gives the same state, and no ticket number decreases") {
    const auto holds = rc::check([] {
        const auto entries = *rc::gen::container<std::vector<ticket::scope_entry>>(random_entry());
        auto shuffled = entries;
        const auto duplicates = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 64));
        for (const auto pick : duplicates) {
            if (!entries.empty()) {
                shuffled.push_back(entries[pick % entries.size()]);
                std::swap(shuffled[pick % shuffled.size()], shuffled.back());
            }
        }
        ticket::desired_state ordered{};
        ticket::desired_state reordered{};
        for (const auto& entry : entries) {
            const auto* const before = ticket::find(ordered, entry.m_scope);
            const auto number = before == nullptr ? ticket_number{} : before->m_ticket;
            ticket::merge(ordered, entry);
            RC_ASSERT(ticket::find(ordered, entry.m_scope)->m_ticket >= number);
        }
        ticket::merge(reordered, shuffled);
        RC_ASSERT(ordered.m_entries == reordered.m_entries);
        RC_ASSERT(ticket::fingerprint(ordered) == ticket::fingerprint(reordered));
        RC_ASSERT(ticket::outdated_scopes(ordered, reordered).empty());
    });
    CHECK(holds);
}

TEST_CASE("with concurrent compare-and-swap writers, each accepted ticket is in force or superseded by a higher one") {
    const auto holds = rc::check([] {
        ticket::desired_state stored{};
        std::uint64_t stored_revision = 0;
        struct accepted_ticket {
            ticket::ticket m_submitted{};
            ticket_number m_number{};
        };
        std::vector<accepted_ticket> accepted{};
        const auto steps = *rc::gen::inRange(1, 60);
        std::vector<std::pair<ticket::desired_state, std::uint64_t>> views(3);
        for (int step = 0; step < steps; ++step) {
            const auto writer = *rc::gen::inRange<std::size_t>(0, views.size());
            auto& [view, read_revision] = views[writer];
            if (*rc::gen::arbitrary<bool>()) {
                view = stored;
                read_revision = stored_revision;
            }
            const auto number = *rc::gen::inRange<std::uint64_t>(0, 40);
            const auto scope = "group:" + std::to_string(*rc::gen::inRange(0, 3));
            const auto submitted = make_ticket(number, "s" + std::to_string(step), {scope, "group:all"}, "m");
            auto changed = view;
            const auto verdict = ticket::accept(changed, submitted);
            const auto swapped = verdict.m_code == code::ok && read_revision == stored_revision;
            if (swapped) {
                stored = changed;
                ++stored_revision;
                accepted.push_back({submitted, verdict.m_number});
            }
        }
        for (const auto& row : accepted) {
            for (const auto& change : row.m_submitted.m_changes) {
                const auto* const current = ticket::find(stored, change.m_scope);
                RC_ASSERT(current != nullptr);
                RC_ASSERT(current->m_ticket >= row.m_number);
            }
        }
        const auto by_number = [](const accepted_ticket& left, const accepted_ticket& right) {
            return left.m_number < right.m_number;
        };
        RC_ASSERT(std::ranges::is_sorted(accepted, by_number));
    });
    CHECK(holds);
}

TEST_CASE("tickets and states are unchanged by a round trip through JSON") {
    ticket::desired_state state{};
    auto submitted = make_ticket(3, "a \"quoted\"", {"group:x", "instance:e1"}, "mödel");
    submitted.m_changes[0].m_state.m_manifest = rhubarbwharf::sha256(std::string_view{"manifest"});
    submitted.m_changes[1].m_state.m_traffic = false;
    CHECK(ticket::accept(state, submitted).m_code == code::ok);
    const auto parsed_state = ticket::parse_state(ticket::to_json(state));
    REQUIRE(parsed_state);
    CHECK(parsed_state->m_entries == state.m_entries);
    CHECK(parsed_state->m_submissions == state.m_submissions);
    const auto parsed_ticket = ticket::parse_ticket(ticket::to_json(submitted));
    REQUIRE(parsed_ticket);
    CHECK(parsed_ticket->m_number == submitted.m_number);
    CHECK(parsed_ticket->m_changes[0].m_state == submitted.m_changes[0].m_state);
}

TEST_CASE("JSON that is not a valid ticket is rejected with a description of the error") {
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
