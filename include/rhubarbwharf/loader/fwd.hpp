#pragma once

/**
 * @brief Loader role: runs next to a model runner, fetches weights, stages them and orders the runner to load them.
 */
namespace rhubarbwharf::loader {

struct daemon;
struct model_state;

} // namespace rhubarbwharf::loader
