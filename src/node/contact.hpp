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

/*! @brief Time without a response to a probe after which a watcher doubts that the store still tells it of changes.
 * Covers a TCP retransmission on the longest link. */
inline constexpr duration store_doubt_time = std::chrono::milliseconds{400};

/*! @brief Age of the last certain knowledge from which a watcher counts as out of contact with the store: longer than a
 * version read, the delivery of the changes up to it and a check take together. */
inline constexpr duration max_store_knowledge_age = std::chrono::milliseconds{4'000};

/*! @brief Probes the store. If it does not respond in time, or refuses, this process doubts what it watches: its next
 * heartbeat, sent at once, makes other gateways of the region watch as well. So does a watcher that does not know for
 * too long whether its watches deliver all changes. A response withdraws the doubt, and states the store's version.
 * @param self The process.
 * @param now Time of the boot-time clock. */
auto probe_store(core& self, time_point now) -> void;

} // namespace rhubarbwharf::node
