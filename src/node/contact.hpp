#pragma once

#include <string_view>

#include <node/core.hpp>

namespace rhubarbwharf::node {

/*! @brief Notes whether the calls for a prefix reach the store, which decides who watches it. */
auto note_reachability(core& self, std::string_view prefix, bool reachable) -> void;

/*! @brief Shortest silence of the store in which the entry of a living server may lapse: it is written each 1.2 s, and
 * lapses after three intervals without. */
inline constexpr duration min_lapse_time = std::chrono::milliseconds{2'400};

/*! @brief Notes a response of the store. After a silence in which entries may have lapsed, removals are held for the
 * time in which living servers write them again; after a shorter one, a removal is one.
 * @param silence Time without a response before it, in which calls have failed; zero if none has. */
auto note_response(core& self, duration silence) -> void;

/*! @brief Notes that the store has left a call without a response, or responds again. The watches that began
 * before may have lost their responses meanwhile and would wait in vain, so they are replaced; peers cannot tell what
 * all watchers have lost. */
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
