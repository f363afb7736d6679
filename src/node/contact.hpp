#pragma once

#include <string_view>

#include <node/core.hpp>

namespace rhubarbwharf::node {

/*! @brief Notes whether the calls for a prefix reach the store, which decides who watches it. */
auto note_reachability(core& self, std::string_view prefix, bool reachable) -> void;

/*! @brief Notes that the store has left a call without a response, or responds again. The watches that began
 * before may have lost their responses meanwhile and would wait in vain, so they are replaced; peers cannot tell what
 * all watchers have lost. One call without a response is no reason to hold the removals of entries; a second one in a
 * row is. */
auto note_contact(core& self, bool answers) -> void;

/*! @brief Interval of the probes that a watcher sends to the store. With `store_doubt_time`, a heartbeat and a listing,
 * it stays below the time within which a drained backend server must get no request (2 s). An outage in which an entry
 * can lapse lasts 2.4 s or more, so that two probes fall into it. */
inline constexpr duration store_probe_interval = std::chrono::milliseconds{1'000};
/*! @brief Time without a response to a probe after which a watcher doubts that the store still tells it of changes.
 * Covers a TCP retransmission on the longest link. */
inline constexpr duration store_doubt_time = std::chrono::milliseconds{400};

/*! @brief Time within which a working watch delivers a change: servers' changes are read in batches 0.5 s apart. With
 * `store_probe_interval` it stays below the 2 s in which a change has to be in force. */
inline constexpr duration max_delivery_time = std::chrono::milliseconds{600};

/*! @brief Probes the store. If it does not respond in time, or refuses, this process doubts what it watches: its next
 * heartbeat, sent at once, makes other gateways of the region watch as well. A response withdraws the doubt. It states
 * the store's version: if the watches do not deliver all changes up to it, the response to one of them may be lost
 * although all other calls are answered, and both are checked. */
auto probe_store(core& self) -> void;

} // namespace rhubarbwharf::node
