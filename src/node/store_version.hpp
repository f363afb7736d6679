#pragma once

#include <optional>
#include <string_view>

#include <fleet.pb.h>
#include <node/core.hpp>

/**
 * @file
 * @brief Bounds the age of the knowledge that the watches of the store deliver all changes.
 *
 * A watch that waits is silent, and so is one whose response was lost. A linearizable read of the store's version at a
 * time covers all changes until then: if the watches have delivered all changes up to that version, none is missing.
 * One gateway reads the version for all watchers, who ask it; whoever gets no answer in time reads it as well. The
 * answer to a request tells a version of a time that the receiver can bound by its own clock, however long the messages
 * took. A request is answered at once with the last version, and again when the next one has been read: so a lost
 * change is known to be missing as soon at each watcher as at the reader.
 */
namespace rhubarbwharf::node {

/*! @brief Interval of the probes that a watcher sends to the store. With `store_doubt_time`, a heartbeat and a listing,
 * it stays below the time within which a drained backend server must get no request (2 s). An outage in which an entry
 * can lapse lasts 2.4 s or more, so that two probes fall into it. */
inline constexpr duration store_probe_interval = std::chrono::milliseconds{1'000};

/*! @brief Time within which a working watch delivers a change: servers' changes are read in batches 0.5 s apart. With
 * `store_probe_interval` it stays below the 2 s in which a change has to be in force. */
inline constexpr duration max_delivery_time = std::chrono::milliseconds{600};

/*! @brief Greatest age of the store's version that a watcher knows. With `max_delivery_time` and a check of the watches
 * it stays below the time after a disturbance from which the users' limits hold (3 s). */
inline constexpr duration max_version_age = std::chrono::milliseconds{2'100};

/*! @brief Checks whether a watcher has to read the store's version itself, as it would be too old before the next
 * probe.
 * @param age Age of the version that it knows. */
[[nodiscard]] auto must_read_version(duration age) noexcept -> bool;

/*! @brief Checks whether this gateway reads the store's version for the others. */
[[nodiscard]] auto is_version_reader(const core& self) -> bool;

/**
 * @brief Notes that the store has a version. If the watches do not deliver all changes up to it in time, the response
 * to one of them may be lost although all other calls are answered, and both are checked.
 * @param self The process.
 * @param told Version that the store has stated.
 * @param as_of Time at which the store had no later one, of the boot-time clock; empty if that is not known.
 */
auto note_store_version(core& self, fleet::store_version told, std::optional<time_point> as_of) -> void;

/*! @brief Tells the gateways that have asked for the store's version lately that it has just been read, as their next
 * requests may come up to a second later. */
auto tell_version_requesters(core& self) -> void;

/*! @brief Asks the gateway that reads the store's version for it, and reads it directly if the answer is missing or too
 * old. */
auto request_store_version(core& self) -> void;

namespace internal {

auto on_store_version_request(core& self, std::string_view from, const wire::fleet::StoreVersionRequest& message)
    -> void;

/*! @brief Handles an answer. One that does not answer the last request may show that a change is missing, but not that
 * none is, as its age is not known. */
auto on_store_version(core& self, const wire::fleet::StoreVersion& message) -> void;

} // namespace internal

} // namespace rhubarbwharf::node
