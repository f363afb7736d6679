#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/loop.hpp>

#include <platform/store.hpp>

namespace rhubarbwharf::node {

/*! @brief What a follower calls; all run on the loop's thread. */
struct follower_handlers {
    /*! @brief Gets all keys after a listing, and the revision that it is at least as new as. */
    std::function<void(std::vector<adapter::item>, std::uint64_t)> m_on_list{};
    /*! @brief Gets each change, in order. */
    std::function<void(adapter::item)> m_on_change{};
    /*! @brief Gets whether the store answers, at each change of that. */
    std::function<void(bool)> m_on_reachability{};
};

/**
 * @brief Keeps up with the keys of one prefix: lists them, then watches from the listing's revision on.
 *
 * While the store does not answer it tries again with a growing, jittered pause and forgets nothing. It lists anew only
 * when the history that it needs is gone.
 */
class follower : public std::enable_shared_from_this<follower> {
public:
    /**
     * @brief Makes a follower that does nothing yet.
     * @param owner The loop; outlives the follower.
     * @param store The store; outlives the follower.
     * @param prefix The prefix.
     * @param wait Longest wait of one watch.
     * @param gather Pause after changes, so that those that come together are told in one call.
     * @param seed Seed of the jitter.
     * @param handlers What is called.
     */
    follower(net::loop& owner, adapter::store& store, std::string prefix, duration wait, duration gather,
             std::uint64_t seed, follower_handlers handlers);

    /*! @brief Begins with a listing. */
    auto start() -> void;

    /*! @brief Makes the watch in progress anew, as when a peer knows of changes that it has not shown. */
    auto restart_watch() -> void;

    /*! @brief Stops watching until `resume`; what is known stays. */
    auto pause() -> void;

    /*! @brief Goes on after `pause`, from the revision known. */
    auto resume() -> void;

    /*! @brief Stops; no handler is called from now on. */
    auto stop() -> void;

    /*! @brief Returns the revision up to which changes are known. @return The revision; 0 before the first listing. */
    [[nodiscard]] auto revision() const noexcept -> std::uint64_t { return m_revision; }

private:
    auto list(const std::string& after) -> void;
    auto on_page(adapter::page got) -> void;
    auto watch() -> void;
    auto on_changes(adapter::page got) -> void;
    auto schedule_retry(bool from_listing) -> void;
    auto update_contact(bool there) -> void;

    net::loop& m_loop;
    adapter::store& m_store;
    std::string m_prefix{};
    duration m_watch_timeout{};
    duration m_batch_delay{};
    std::mt19937_64 m_random;
    follower_handlers m_handlers{};
    std::vector<adapter::item> m_listed_items{};
    std::shared_ptr<net::call> m_call{};
    std::uint64_t m_revision{};
    std::uint64_t m_listing_revision{};
    std::uint64_t m_generation{};
    unsigned m_failures{};
    bool m_contact_known{false};
    bool m_reachable{false};
    bool m_paused{false};
    bool m_stopped{false};
};

} // namespace rhubarbwharf::node
