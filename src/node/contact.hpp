#pragma once

#include <string_view>

#include <node/core.hpp>

namespace rhubarbwharf::node {

/*! @brief Notes whether the calls for a prefix reach the store, which decides who watches it. */
auto note_reachability(core& self, std::string_view prefix, bool reachable) -> void;

/*! @brief Notes that the store has left a call without a response, or responds again. The watch of backend servers that
 * began before may have lost its response meanwhile and would wait in vain, so it is replaced. That of the operators'
 * keys is not: they are written while the store responds, and heartbeats tell their versions. One call without a
 * response is no reason to leave the watch to others, who would have to list everything, nor to hold the removals of
 * entries; a second one in a row is for the latter. */
auto note_contact(core& self, bool answers) -> void;

} // namespace rhubarbwharf::node
