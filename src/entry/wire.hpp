#pragma once

#include <string_view>
#include <vector>

#include <rhubarbwharf.pb.h>
#include <rhubarbwharf/membership/table.hpp>
#include <rhubarbwharf/ticket/state.hpp>

namespace rhubarbwharf::entry {

/*! @brief Reads a report. @param from The sender. @param message Envelope with a Report. @return The report. */
[[nodiscard]] auto report_of(std::string_view from, const wire::Envelope& message) -> membership::report;

/*! @brief Writes a member. @param row The member. @return The message. */
[[nodiscard]] auto encode_member(const membership::member& row) -> wire::Member;

} // namespace rhubarbwharf::entry
