#pragma once

/**
 * @brief Weight exchange between agents: carries out what `distribution` decides.
 */
namespace rhubarbwharf::exchange {

class exchange;
struct progress;
struct peer;

} // namespace rhubarbwharf::exchange
