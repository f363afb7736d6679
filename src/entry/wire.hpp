#pragma once

#include <string_view>
#include <vector>

#include <rhubarbwharf.pb.h>
#include <rhubarbwharf/membership/table.hpp>
#include <rhubarbwharf/ticket/state.hpp>

namespace rhubarbwharf::entry {

/*! @brief Decodes the report of an agent. @param from Name of the sender. @param message Envelope with a Report; fields
 * with invalid values get their defaults. */
[[nodiscard]] auto report_of(std::string_view from, const wire::Envelope& message) -> membership::report;

/*! @brief Encodes a member for the list that is sent to agents. */
[[nodiscard]] auto encode_member(const membership::member& row) -> wire::Member;

} // namespace rhubarbwharf::entry
