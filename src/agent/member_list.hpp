#pragma once

#include <cstdint>
#include <vector>

#include <rhubarbwharf.pb.h>
#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::agent {

/*! @brief Members that one entry reports. */
struct member_list {
    /*! @brief Time at which the last `Members` message of the entry was received. */
    time_point m_last_received{};
    /*! @brief Sequence number of the last message applied; 0 until a complete list has been received. */
    std::uint64_t m_sequence{};
    std::vector<wire::Member> m_members{};
};

/*! @brief Effect of a message on a list. */
enum class list_change : std::uint8_t {
    none,
    changed,
    /*! @brief An earlier change was lost; the complete list has to be requested. */
    missed,
};

/**
 * @brief Applies a complete list or the next change to a list.
 * @param list List of the sender; unchanged if an earlier change was lost.
 */
auto apply_update(member_list& list, const wire::Members& message) -> list_change;

} // namespace rhubarbwharf::agent
