#pragma once

#include <string_view>

#include <boost/assert/source_location.hpp>

namespace rhubarbwharf {

/**
 * @brief Checks an invariant in every build; ends the process with a message if it does not hold.
 * @param holds Whether the invariant holds.
 * @param invariant The invariant, in words.
 * @param where Place of the check.
 */
auto ensure(bool holds, std::string_view invariant, boost::source_location where = BOOST_CURRENT_LOCATION) -> void;

} // namespace rhubarbwharf
