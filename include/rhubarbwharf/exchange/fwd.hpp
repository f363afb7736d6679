#pragma once

/**
 * @brief Peer-to-peer exchange of model weights between agents; executes the commands that `distribution` plans.
 */
namespace rhubarbwharf::exchange {

class exchange;
struct progress;
struct peer;

} // namespace rhubarbwharf::exchange
