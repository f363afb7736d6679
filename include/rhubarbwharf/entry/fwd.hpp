#pragma once

/**
 * @brief Wires the modules for an entry: callers' and admin listeners, dispatches, tickets and peers.
 */
namespace rhubarbwharf::entry {

struct daemon;

} // namespace rhubarbwharf::entry
