#pragma once

/**
 * @brief Wires the modules for an entry.
 */
namespace rhubarbwharf::entry {} // namespace rhubarbwharf::entry
