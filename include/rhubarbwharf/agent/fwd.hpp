#pragma once

/**
 * @brief Wires the modules for an agent.
 */
namespace rhubarbwharf::agent {} // namespace rhubarbwharf::agent
