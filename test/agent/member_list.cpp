#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <agent/member_list.hpp>

namespace {

namespace agent = rhubarbwharf::agent;
namespace wire = rhubarbwharf::wire;

[[nodiscard]] auto make_message(const std::uint64_t sequence, const bool is_complete, const std::vector<int>& instances)
    -> wire::Members {
    wire::Members out{};
    out.set_sequence(sequence);
    out.set_whole(is_complete);
    for (const auto instance : instances) {
        auto& row = *out.add_members();
        row.set_instance(std::to_string(instance));
        row.set_ticket(sequence);
    }
    return out;
}

} // namespace

TEST_CASE("a list applies a complete list and consecutive changes, and detects a missed change") {
    agent::member_list list{};
    CHECK(agent::apply_update(list, make_message(3, false, {1})) == agent::list_change::missed);
    CHECK(agent::apply_update(list, make_message(3, true, {1, 2})) == agent::list_change::changed);
    CHECK(agent::apply_update(list, make_message(4, false, {2, 5})) == agent::list_change::changed);
    CHECK(list.m_members.size() == 3U);
    CHECK(list.m_members[1].ticket() == 4U);
    CHECK(agent::apply_update(list, make_message(4, false, {})) == agent::list_change::none);
    CHECK(agent::apply_update(list, make_message(5, false, {})) == agent::list_change::missed);
    CHECK(agent::apply_update(list, make_message(6, false, {1})) == agent::list_change::missed);
    CHECK(list.m_sequence == 4U);
}

TEST_CASE("with changes lost, duplicated or delayed, a list that is up to date equals the sender's") {
    const auto holds = rc::check([] {
        std::vector<std::uint64_t> sender(6, 0);
        agent::member_list list{};
        std::vector<wire::Members> sent{};
        std::uint64_t sequence = 0;
        const auto steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            const auto changed = *rc::gen::inRange(0, 6);
            sender[static_cast<std::size_t>(changed)] = ++sequence;
            sent.push_back(make_message(sequence, false, {changed}));
            auto complete = make_message(sequence, true, {0, 1, 2, 3, 4, 5});
            for (int instance = 0; instance < 6; ++instance) {
                complete.mutable_members(instance)->set_ticket(sender[static_cast<std::size_t>(instance)]);
            }
            const auto delivery = *rc::gen::inRange(0, 4);
            const auto& delivered = delivery == 0 ? sent[sent.size() / 2U] : sent.back();
            if (delivery != 1 && agent::apply_update(list, delivered) == agent::list_change::missed) {
                agent::apply_update(list, complete);
            }
            if (list.m_sequence == sequence) {
                for (const auto& row : list.m_members) {
                    RC_ASSERT(row.ticket() == sender[static_cast<std::size_t>(std::stoi(row.instance()))]);
                }
                RC_ASSERT(list.m_members.size() == sender.size());
            }
        }
    });
    CHECK(holds);
}
