#pragma once

/**
 * @brief Manifests, chunk tables, and who fetches what from whom.
 */
namespace rhubarbwharf::distribution {} // namespace rhubarbwharf::distribution
