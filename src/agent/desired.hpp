#pragma once

#include <vector>

#include <rhubarbwharf.pb.h>
#include <rhubarbwharf/ticket/state.hpp>

namespace rhubarbwharf::agent {

/*! @brief Reads the entries of a StatePush; those with a malformed digest are left out. @param push The message.
 * @return The entries. */
[[nodiscard]] auto entries_of(const wire::StatePush& push) -> std::vector<ticket::scope_entry>;

/*! @brief Writes the whole desired state as a StatePush. @param state The state. @return The message. */
[[nodiscard]] auto push_of(const ticket::desired_state& state) -> wire::StatePush;

} // namespace rhubarbwharf::agent
