#pragma once

/**
 * @brief Encoding and decoding of the messages that both roles, entry and agent, exchange.
 */
namespace rhubarbwharf::wire {

class Envelope;
class StatePush;

} // namespace rhubarbwharf::wire
