#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/loop.hpp>

#include <platform/store.hpp>

namespace rhubarbwharf::node {

/**
 * @brief Keeps the entry of this process in the store, on a lease that is renewed three times within its time to live.
 *
 * If the lease has expired or the store has begun a new era, a new one is granted and the entry is written again.
 */
class registration : public std::enable_shared_from_this<registration> {
public:
    /**
     * @brief Creates a registration that is idle until `start`.
     * @param loop Event loop; must outlive the registration.
     * @param store Store client; must outlive the registration.
     * @param key Key of the entry.
     * @param value Value of the entry.
     * @param ttl Time to live of the lease.
     * @param on_written Called each time the store has accepted the entry.
     */
    registration(net::loop& loop, adapter::store& store, std::string key, std::string value, duration ttl,
                 std::function<void()> on_written);

    /*! @brief Requests a lease and writes the entry. */
    auto start() -> void;

    /*! @brief Requests a lease of the new era and writes the entry again; the former lease may belong to another
     * process.
     * @param delay Time until then. */
    auto renew_in_new_era(duration delay) -> void;

    /*! @brief Renews the lease beside the schedule, to learn by a cheap call whether the store responds.
     * @param done Gets its reply. @return Whether there is a lease, without which nothing is sent. */
    auto probe(std::function<void(adapter::reply)> done) -> bool;

    /*! @brief Ends the lease, which removes the entry. */
    auto stop() -> void;

private:
    auto revoke() -> void;
    auto write() -> void;
    auto renew() -> void;
    auto schedule(duration delay, void (registration::*step)()) -> void;

    net::loop& m_loop;
    adapter::store& m_store;
    std::string m_key{};
    std::string m_value{};
    duration m_ttl{};
    std::function<void()> m_on_written{};
    std::uint64_t m_lease_id{};
    /*! @brief Era of the store in which the lease was granted. */
    std::uint64_t m_lease_era{};
    /*! @brief Incremented to invalidate callbacks of earlier calls and timers. */
    std::uint64_t m_generation{};
    bool m_stopped{false};
};

} // namespace rhubarbwharf::node
