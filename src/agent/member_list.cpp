#include <agent/member_list.hpp>

#include <algorithm>

namespace rhubarbwharf::agent {

namespace internal {

/*! @brief Checks that no change was lost: a message without members repeats the sequence number of the last change. */
[[nodiscard]] auto is_next_change(const member_list& list, const wire::Members& change) -> bool {
    const auto next = list.m_sequence + (change.members().empty() ? 0U : 1U);
    return list.m_sequence != 0U && change.sequence() == next;
}

auto update_member(member_list& list, const wire::Member& row) -> void {
    const auto is_same = [&row](const wire::Member& known) {
        return known.instance() == row.instance();
    };
    const auto found = std::ranges::find_if(list.m_members, is_same);
    if (found == list.m_members.end()) {
        list.m_members.push_back(row);
    } else {
        *found = row;
    }
}

} // namespace internal

auto apply_update(member_list& list, const wire::Members& message) -> list_change {
    if (message.whole()) {
        list.m_members.assign(message.members().begin(), message.members().end());
        list.m_sequence = message.sequence();
        return list_change::changed;
    }
    if (!internal::is_next_change(list, message)) {
        return list_change::missed;
    }
    for (const auto& row : message.members()) {
        internal::update_member(list, row);
    }
    list.m_sequence = message.sequence();
    return message.members().empty() ? list_change::none : list_change::changed;
}

} // namespace rhubarbwharf::agent
