#pragma once

#include <cstdint>
#include <vector>

#include <rhubarbwharf.pb.h>
#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::agent {

/*! @brief Members that one entry knows of. */
struct member_list {
    time_point m_last_received{};
    /*! @brief Sequence of the entry's last change that is held; zero for none. */
    std::uint64_t m_sequence{};
    std::vector<wire::Member> m_members{};
};

/*! @brief What a message did to a list. */
enum class list_change : std::uint8_t {
    /*! @brief Nothing is new. */
    none,
    changed,
    /*! @brief A change before it was missed; the whole list has to be pulled. */
    missed,
};

/**
 * @brief Takes a whole list or the next change of it.
 * @param list The list of the sender; left as it was if a change was missed.
 * @param message The message.
 * @return What it did.
 */
auto apply_update(member_list& list, const wire::Members& message) -> list_change;

} // namespace rhubarbwharf::agent
