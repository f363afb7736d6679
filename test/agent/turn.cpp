#include <algorithm>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <agent/turn.hpp>

namespace rhubarbwharf::agent {

namespace {

constexpr ticket_number old_ticket{1};
constexpr ticket_number new_ticket{2};
constexpr double share = 0.34;

[[nodiscard]] auto make_group(const std::size_t count) -> std::vector<member> {
    std::vector<member> group{};
    for (std::size_t index = 0; index < count; ++index) {
        group.push_back({"chef-" + std::to_string(index), phase::serving, old_ticket, false, false});
    }
    return group;
}

[[nodiscard]] auto members_without(const std::vector<member>& group, const std::size_t own) -> std::vector<member> {
    auto others = group;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(own));
    return others;
}

[[nodiscard]] auto count_closed(const std::vector<member>& group) -> std::size_t {
    return static_cast<std::size_t>(
        std::ranges::count_if(group, [](const auto& one) { return one.m_phase != phase::serving; }));
}

} // namespace

TEST_CASE("a batch is the share rounded down, at least one") {
    CHECK(batch_size(1, share) == 1);
    CHECK(batch_size(2, share) == 1);
    CHECK(batch_size(6, share) == 2);
    CHECK(batch_size(100, share) == 34);
}

TEST_CASE("however late the views are, no more than a batch is closed at once, and all get their turn") {
    rc::check("turns", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 14);
        auto group = make_group(count);
        std::vector<std::vector<member>> views(count, group);
        const auto most = batch_size(count, share);
        const auto events = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 3));
        const auto picks = *rc::gen::container<std::vector<std::size_t>>(300, rc::gen::inRange<std::size_t>(0, count));
        const auto act = [&](const int event, const std::size_t own) {
            if (event == 0) {
                views[own] = group;
            } else if (event == 1 && group[own].m_ticket == old_ticket && group[own].m_phase == phase::serving) {
                const auto may =
                    is_turn(members_without(views[own], own), {group[own].m_instance, new_ticket, share, false});
                group[own].m_phase = may ? phase::closing : phase::serving;
            } else if (event == 2 && group[own].m_phase == phase::closing) {
                group[own].m_phase = phase::serving;
                group[own].m_ticket = new_ticket;
            }
            RC_ASSERT(count_closed(group) <= most);
        };
        for (std::size_t index = 0; index < events.size(); ++index) {
            act(events[index], picks[index]);
        }
        for (std::size_t round = 0; round < count; ++round) {
            for (std::size_t own = 0; own < count; ++own) {
                act(0, own);
                act(1, own);
                act(2, own);
            }
        }
        RC_ASSERT(std::ranges::all_of(group, [](const auto& one) { return one.m_ticket == new_ticket; }));
    });
}

TEST_CASE("one that stalls without the version does not hold the others up for ever") {
    auto group = make_group(3);
    for (auto& one : group) {
        one.m_ready = one.m_instance != "chef-0";
    }
    auto gone = 0;
    for (std::size_t own = 1; own < group.size(); ++own) {
        gone += is_turn(members_without(group, own), {group[own].m_instance, new_ticket, share, true}) ? 1 : 0;
    }
    CHECK(gone == 1);
}

} // namespace rhubarbwharf::agent
