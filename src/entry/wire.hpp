#pragma once

#include <string_view>
#include <vector>

#include <rhubarbwharf.pb.h>
#include <rhubarbwharf/membership/table.hpp>
#include <rhubarbwharf/ticket/state.hpp>

namespace rhubarbwharf::entry {

/*! @brief Reads a report. @param from The sender. @param message Envelope with a Report. @return The report. */
[[nodiscard]] auto report_of(std::string_view from, const wire::Envelope& message) -> membership::report;

/*! @brief Reads the entries of a push; those with a malformed digest are left out. @param push The message.
 * @return The entries. */
[[nodiscard]] auto entries_of(const wire::StatePush& push) -> std::vector<ticket::scope_entry>;

/*! @brief Writes entries into a push. @param push The message. @param entries The entries. */
auto fill(wire::StatePush& push, const std::vector<ticket::scope_entry>& entries) -> void;

/*! @brief Writes a member. @param row The member. @return The message. */
[[nodiscard]] auto member_of(const membership::member& row) -> wire::Member;

} // namespace rhubarbwharf::entry
