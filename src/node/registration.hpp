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
 * @brief Keeps this process's own entry in the store, on a lease that is renewed three times in its time.
 *
 * A lease that has ended is taken anew, and the entry is written again.
 */
class registration : public std::enable_shared_from_this<registration> {
public:
    /**
     * @brief Makes a registration that does nothing yet.
     * @param owner The loop; outlives the registration.
     * @param store The store; outlives the registration.
     * @param key The entry's key.
     * @param value Its value.
     * @param ttl Time to live of the lease.
     * @param on_written Called each time the store has taken the entry.
     */
    registration(net::loop& owner, adapter::store& store, std::string key, std::string value, duration ttl,
                 std::function<void()> on_written);

    /*! @brief Takes a lease and writes the entry. */
    auto start() -> void;

    /*! @brief Ends the lease, and the entry with it. */
    auto stop() -> void;

private:
    auto write() -> void;
    auto renew() -> void;
    auto schedule(duration pause, void (registration::*step)()) -> void;

    net::loop& m_loop;
    adapter::store& m_store;
    std::string m_key{};
    std::string m_value{};
    duration m_ttl{};
    std::function<void()> m_on_written{};
    std::uint64_t m_lease_id{};
    bool m_stopped{false};
};

} // namespace rhubarbwharf::node
