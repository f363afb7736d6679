#pragma once

/**
 * @brief The entry process: accepts requests of callers and operators, dispatches them to agents, and exchanges state
 * with agents and other entries.
 */
namespace rhubarbwharf::entry {

struct daemon;

} // namespace rhubarbwharf::entry
