#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/fleet/stall.hpp>
#include <rhubarbwharf/net/loop.hpp>

#include <platform/store.hpp>

namespace rhubarbwharf::node {

/*! @brief Longest time for which a connection to the store may be dead before its watch fails: the kernel probes it
 * after a second, and gives up after three without an answer. */
inline constexpr duration max_dead_connection_time = std::chrono::seconds{4};

/*! @brief Time without a byte from which a response does not count as arriving. */
inline constexpr duration max_receive_pause = std::chrono::milliseconds{300};

/*! @brief Wait of a watch that only asks for the store's revision. */
inline constexpr duration revision_watch_timeout = std::chrono::milliseconds{50};

/*! @brief Callbacks of a follower; all run on the loop's thread. */
struct follower_handlers {
    /*! @brief Called after a listing with all keys and a version; the listing is at least as new as that version. */
    std::function<void(std::vector<adapter::key_value>, fleet::store_version)> m_on_list{};
    /*! @brief Called for each change, in order. */
    std::function<void(adapter::key_value)> m_on_change{};
    /*! @brief Called with whether the store answers, each time that this changes. */
    std::function<void(bool)> m_on_reachability{};
    /*! @brief Called with the age of a watch that is replaced; may be empty. */
    std::function<void(duration)> m_on_watch_replaced{};
    /*! @brief Called with the answer of a watch, before its changes are applied; may be empty. */
    std::function<void(const adapter::page&)> m_on_delivery{};
    /*! @brief Returns when a response that is handled now reached this machine; empty if that is always now. */
    std::function<fleet::arrival_time()> m_arrival{};
};

/**
 * @brief Follows the keys of one prefix: lists them, then watches for changes from the listing's revision on.
 *
 * While the store does not answer, calls are retried with exponential backoff and jitter, and the known revision is
 * kept. Keys are listed again only after `relist`, after a `resume` without a known version, or if the store has
 * compacted the history that is needed.
 *
 * A watch that waits is not believed without end, as its response may be lost: as long as it does, another call asks
 * from time to time whether there are changes that it should have delivered, unless it is known that there are none.
 */
class follower : public std::enable_shared_from_this<follower> {
public:
    /**
     * @brief Creates a follower that is idle until `start`.
     * @param loop Event loop; must outlive the follower.
     * @param store Store client; must outlive the follower.
     * @param prefix Prefix of the keys.
     * @param watch_timeout Longest wait of one watch call.
     * @param batch_delay Delay after changes, so that several changes are read with one call.
     * @param seed Seed of the jitter.
     * @param handlers Callbacks.
     */
    follower(net::loop& loop, adapter::store& store, std::string prefix, duration watch_timeout, duration batch_delay,
             std::uint64_t seed, follower_handlers handlers);

    /*! @brief Starts with a listing. @param first_watch_delay Time after it in which `pause` spares the first watch. */
    auto start(duration first_watch_delay = duration::zero()) -> void;

    /*! @brief Ends the delay of the first watch. */
    auto begin_watch() -> void;

    /*! @brief Replaces a watch that began at a time or earlier by a new one, as the response to it may be lost, unless
     * the response is arriving. Changes that the new one finds first were written at an unknown time since the last
     * known one.
     * @param wait Longest wait of the new one; its response tells the store's revision also if nothing has changed. */
    auto replace_watch(time_point began_until, duration wait) -> void;

    /*! @brief Gets the version up to which all changes have been delivered; none if that is not known. */
    using check_handler = std::function<void(std::optional<fleet::store_version>)>;

    /*! @brief Asks for the changes that the watch should have delivered, and takes them.
     * @param done Called once; without a version if the store gave no answer, if the watch ended meanwhile, or if its
     * response is arriving, which the store would send a second time. */
    auto check(check_handler done) -> void;

    /*! @brief Tells whether the response to a listing or a watch is arriving. */
    [[nodiscard]] auto is_receiving(time_point now) const noexcept -> bool;

    /*! @brief Drops the call in progress and lists anew after a random delay. The known revision may fall. */
    auto relist() -> void;

    /*! @brief Stops watching until `resume`; the known revision is kept. A listing that is in progress still ends. */
    auto pause() -> void;

    /*! @brief Continues after `pause`.
     * @param known Version up to which all changes are known by another way; a revision of 0 if none is. Without one,
     * and if the store has compacted the history since then, all keys are listed. */
    auto resume(fleet::store_version known) -> void;

    /*! @brief Moves the known times back after a suspension of the machine, which the steady clock does not count. */
    auto note_suspension(duration suspended) noexcept -> void;

    /*! @brief Stops for good; no callback runs afterwards. */
    auto stop() -> void;

    /*! @brief Returns the version up to which changes are known. @return Revision 0 before the first listing. */
    [[nodiscard]] auto version() const noexcept -> fleet::store_version { return m_version; }

    /*! @brief Returns when the changes that are being delivered were written. The time is exact if the watch was
     * waiting for them; otherwise it is the last time at which the follower knew all changes. */
    [[nodiscard]] auto write_time() const noexcept -> fleet::arrival_time { return m_write_time; }

private:
    auto list(const std::string& after_key) -> void;
    auto on_page(adapter::page page) -> void;
    auto watch() -> void;
    auto on_changes(adapter::page page) -> void;
    [[nodiscard]] auto on_check(adapter::page page) -> std::optional<fleet::store_version>;
    /*! @brief Takes changes that the watch has not delivered, and begins another one. */
    auto take_missed_changes(adapter::page page) -> void;
    /*! @brief Delivers changes and continues to watch. */
    auto deliver(adapter::page page) -> void;
    auto schedule_retry(bool relist) -> void;
    auto schedule_listing() -> void;
    auto update_contact(bool reachable) -> void;

    net::loop& m_loop;
    adapter::store& m_store;
    std::string m_prefix{};
    duration m_watch_timeout{};
    duration m_batch_delay{};
    std::mt19937_64 m_random;
    follower_handlers m_handlers{};
    std::vector<adapter::key_value> m_listed_items{};
    std::shared_ptr<net::call> m_call{};
    std::shared_ptr<net::call> m_listing_call{};
    fleet::store_version m_version{};
    fleet::store_version m_listing_version{};
    /*! @brief Incremented to invalidate callbacks of earlier calls and timers. */
    std::uint64_t m_generation{};
    unsigned m_failures{};
    /*! @brief Wait of the watch that replaces one which may have lost its response; none for another watch. */
    std::optional<duration> m_replacement_wait{};
    /*! @brief Time up to which all changes are known; in the distant past before the first listing. */
    time_point m_known_until{duration{1}};
    fleet::arrival_time m_write_time{};
    time_point m_listing_requested_at{};
    time_point m_watch_requested_at{};
    time_point m_check_requested_at{};
    /*! @brief Delay of the first watch, until it begins. */
    duration m_first_watch_delay{};
    /*! @brief Whether the listing has ended and the first watch is delayed. */
    bool m_first_watch_pending{false};
    /*! @brief Whether the next watch begins after the delay of a batch. */
    bool m_batch_pending{false};
    bool m_contact_known{false};
    bool m_reachable{false};
    bool m_paused{false};
    bool m_stopped{false};
};

} // namespace rhubarbwharf::node
