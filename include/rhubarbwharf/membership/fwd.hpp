#pragma once

/**
 * @brief Who is live, leaving or suspected, as one process sees it.
 */
namespace rhubarbwharf::membership {} // namespace rhubarbwharf::membership
