#pragma once

/**
 * @brief The role beside a model runner that fetches weights, stages them and has the runner load them.
 */
namespace rhubarbwharf::loader {

struct daemon;
struct model_state;

} // namespace rhubarbwharf::loader
