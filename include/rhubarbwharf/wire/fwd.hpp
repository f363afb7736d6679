#pragma once

/**
 * @brief Messages between the system's processes: what both roles read and write alike.
 */
namespace rhubarbwharf::wire {

class Envelope;
class StatePush;

} // namespace rhubarbwharf::wire
