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

[[nodiscard]] auto members_without(const std::vector<member>& group, const std::size_t self_index)
    -> std::vector<member> {
    auto others = group;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(self_index));
    return others;
}

[[nodiscard]] auto count_out_of_service(const std::vector<member>& group) -> std::size_t {
    return static_cast<std::size_t>(
        std::ranges::count_if(group, [](const auto& item) { return item.m_phase != phase::serving; }));
}

} // namespace

TEST_CASE("the batch size is the share of the group rounded down, at least one") {
    CHECK(batch_size(1, share) == 1);
    CHECK(batch_size(2, share) == 1);
    CHECK(batch_size(6, share) == 2);
    CHECK(batch_size(100, share) == 34);
}

TEST_CASE("with outdated views, at most a batch is out of service at the same time, and every member gets its turn") {
    CHECK(rc::check("turns", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 14);
        auto group = make_group(count);
        std::vector<std::vector<member>> views(count, group);
        const auto limit = batch_size(count, share);
        const auto events = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 3));
        const auto members =
            *rc::gen::container<std::vector<std::size_t>>(300, rc::gen::inRange<std::size_t>(0, count));
        const auto apply_event = [&](const int event, const std::size_t self_index) {
            if (event == 0) {
                views[self_index] = group;
            } else if (event == 1 && group[self_index].m_ticket == old_ticket &&
                       group[self_index].m_phase == phase::serving) {
                const auto is_allowed = is_turn(members_without(views[self_index], self_index),
                                                {group[self_index].m_instance, new_ticket, share, false});
                group[self_index].m_phase = is_allowed ? phase::closing : phase::serving;
            } else if (event == 2 && group[self_index].m_phase == phase::closing) {
                group[self_index].m_phase = phase::serving;
                group[self_index].m_ticket = new_ticket;
            }
            RC_ASSERT(count_out_of_service(group) <= limit);
        };
        for (std::size_t index = 0; index < events.size(); ++index) {
            apply_event(events[index], members[index]);
        }
        for (std::size_t round = 0; round < count; ++round) {
            for (std::size_t self_index = 0; self_index < count; ++self_index) {
                apply_event(0, self_index);
                apply_event(1, self_index);
                apply_event(2, self_index);
            }
        }
        RC_ASSERT(std::ranges::all_of(group, [](const auto& item) { return item.m_ticket == new_ticket; }));
    }));
}

TEST_CASE("a member that stalls without the version does not block the others forever") {
    auto group = make_group(3);
    for (auto& item : group) {
        item.m_ready = item.m_instance != "chef-0";
    }
    auto allowed = 0;
    for (std::size_t self_index = 1; self_index < group.size(); ++self_index) {
        allowed += is_turn(members_without(group, self_index), {group[self_index].m_instance, new_ticket, share, true})
                       ? 1
                       : 0;
    }
    CHECK(allowed == 1);
}

} // namespace rhubarbwharf::agent
