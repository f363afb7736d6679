#pragma once

/**
 * @brief At-most-once execution of non-idempotent calls.
 */
namespace rhubarbwharf::execution {} // namespace rhubarbwharf::execution
