#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <agent/member_list.hpp>

namespace {

namespace agent = rhubarbwharf::agent;
namespace wire = rhubarbwharf::wire;

[[nodiscard]] auto message(const std::uint64_t sequence, const bool whole, const std::vector<int>& instances)
    -> wire::Members {
    wire::Members out{};
    out.set_sequence(sequence);
    out.set_whole(whole);
    for (const auto instance : instances) {
        auto& row = *out.add_members();
        row.set_instance(std::to_string(instance));
        row.set_ticket(sequence);
    }
    return out;
}

} // namespace

TEST_CASE("a list takes a whole one, the next change, and notices a missed one") {
    agent::member_list list{};
    CHECK(agent::apply_update(list, message(3, false, {1})) == agent::list_change::missed);
    CHECK(agent::apply_update(list, message(3, true, {1, 2})) == agent::list_change::changed);
    CHECK(agent::apply_update(list, message(4, false, {2, 5})) == agent::list_change::changed);
    CHECK(list.m_members.size() == 3U);
    CHECK(list.m_members[1].ticket() == 4U);
    CHECK(agent::apply_update(list, message(4, false, {})) == agent::list_change::none);
    CHECK(agent::apply_update(list, message(5, false, {})) == agent::list_change::missed);
    CHECK(agent::apply_update(list, message(6, false, {1})) == agent::list_change::missed);
    CHECK(list.m_sequence == 4U);
}

TEST_CASE("with changes lost, doubled or late, a list that missed none equals the sender's") {
    const auto holds = rc::check([] {
        std::vector<std::uint64_t> sender(6, 0);
        agent::member_list list{};
        std::vector<wire::Members> sent{};
        std::uint64_t sequence = 0;
        const auto steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            const auto changed = *rc::gen::inRange(0, 6);
            sender[static_cast<std::size_t>(changed)] = ++sequence;
            sent.push_back(message(sequence, false, {changed}));
            auto whole = message(sequence, true, {0, 1, 2, 3, 4, 5});
            for (int instance = 0; instance < 6; ++instance) {
                whole.mutable_members(instance)->set_ticket(sender[static_cast<std::size_t>(instance)]);
            }
            const auto fate = *rc::gen::inRange(0, 4);
            const auto& delivered = fate == 0 ? sent[sent.size() / 2U] : sent.back();
            if (fate != 1 && agent::apply_update(list, delivered) == agent::list_change::missed) {
                agent::apply_update(list, whole);
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
