#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/platform/fwd.hpp>

namespace rhubarbwharf::platform {

/*! @brief Number that the service raises with each write; zero as a compare means "the key does not exist". */
using revision = std::uint64_t;
/*! @brief Number of a lease; zero stands for none. */
using lease_number = std::int64_t;

/*! @brief One key of the service. */
struct key_value {
    std::string m_key{};
    std::string m_value{};
    /*! @brief Revision of the last write to this key. */
    revision m_modified{};
    lease_number m_lease{};
};

/*! @brief How a compare-and-swap ended. */
struct put_outcome {
    /*! @brief `ok`: written; `compare_failed`: not written; `platform_unavailable` or `rate_limited`: see `m_written`.
     */
    code m_code{code::ok};
    /*! @brief With a code that is not `ok`: `not_run` if the value is surely not written and never will be. */
    outcome m_written{outcome::not_run};
    /*! @brief After `ok` the new value; after `compare_failed` the value that stands, revision 0 if there is none. */
    key_value m_current{};
};

/*! @brief Settings of the client. */
struct client_settings {
    std::vector<net::endpoint> m_servers{};
    /*! @brief Calls a second that this process may make; more are put off, then refused with `rate_limited`. */
    double m_reads_per_second{20.0};
    double m_writes_per_second{10.0};
    duration m_call_time{std::chrono::seconds{2}};
    /*! @brief Seed of the jitter and of the first server; 0 draws one. */
    std::uint64_t m_seed{};
};

/*! @brief Calls made so far, by kind. */
struct call_counts {
    std::uint64_t m_reads{};
    std::uint64_t m_writes{};
    std::uint64_t m_watches{};
    std::uint64_t m_failures{};
    /*! @brief Lost answers that were settled by reading back. */
    std::uint64_t m_read_backs{};
};

/**
 * @brief Speaks the JSON gateway that etcd's version 3 publishes (`/v3/kv/range`, `/v3/kv/txn` with one compare on
 * one key, `/v3/lease/grant`, `/v3/lease/keepalive`, `/v3/lease/revoke`, `/v3/watch`).
 *
 * Completions run on the loop's thread, never before the call returns.
 */
class client {
public:
    /**
     * @brief Makes a client.
     * @param owner The loop; outlives the client.
     * @param http The HTTP client; outlives this one.
     * @param settings The settings.
     */
    client(net::loop& owner, net::http_client& http, client_settings settings);
    ~client();

    client(const client&) = delete;
    client(client&&) = delete;
    auto operator=(const client&) -> client& = delete;
    auto operator=(client&&) -> client& = delete;

    /*! @brief Gets the code and the key; revision 0 with `ok` means there is none. */
    using got = std::function<void(code, key_value)>;
    /*! @brief Gets the code and the keys. */
    using listed = std::function<void(code, std::vector<key_value>)>;
    /*! @brief Gets the outcome. */
    using put_done = std::function<void(put_outcome)>;
    /*! @brief Gets the code and the lease. */
    using leased = std::function<void(code, lease_number)>;
    /*! @brief Gets each change; a deleted key comes with revision 0. */
    using changed = std::function<void(key_value)>;

    /*! @brief Reads one key. @param key The key. @param done The completion. */
    auto get(std::string_view key, got done) -> void;

    /*! @brief Reads all keys that start with a prefix. @param prefix The prefix. @param done The completion. */
    auto list(std::string_view prefix, listed done) -> void;

    /**
     * @brief Writes a key if it still has a revision (compare-and-swap). After a lost answer the key is read back:
     * the value written is found again by being alike, so values that race carry something unique to their writer.
     * @param key The key.
     * @param value The new value, at most one megabyte.
     * @param expected Revision that the key must have; 0: the key must not exist.
     * @param lease Lease that the key hangs on, or 0.
     * @param done The completion.
     */
    auto put(std::string_view key, std::string_view value, revision expected, lease_number lease, put_done done)
        -> void;

    /**
     * @brief Deletes a key if it still has a revision.
     * @param key The key.
     * @param expected Revision that the key must have.
     * @param done Gets the outcome as after `put`; a key that is not there counts as deleted.
     */
    auto remove(std::string_view key, revision expected, put_done done) -> void;

    /*! @brief Takes a lease. @param ttl Time to live, whole seconds. @param done The completion. */
    auto grant(duration ttl, leased done) -> void;

    /*! @brief Renews a lease. @param lease The lease. @param done Gets `ok`, `lease_lost` or `platform_unavailable`. */
    auto keep_alive(lease_number lease, std::function<void(code)> done) -> void;

    /*! @brief Gives a lease back. @param lease The lease. @param done The completion. */
    auto revoke(lease_number lease, std::function<void(code)> done) -> void;

    /**
     * @brief Watches a key or a prefix until the client ends; after a cut it reads the key anew, so that no change
     * is missed, though changes in between may be folded into one.
     * @param key The key or prefix.
     * @param is_prefix Whether `key` is a prefix.
     * @param handler Called with each change and after each (re)connection with what stands.
     */
    auto watch(std::string_view key, bool is_prefix, changed handler) -> void;

    /*! @brief Returns the calls made so far. @return The counts. */
    [[nodiscard]] auto counts() const noexcept -> const call_counts&;

    /*! @brief Returns when the service last answered. @return The time, or the epoch. */
    [[nodiscard]] auto last_answer() const noexcept -> time_point;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace rhubarbwharf::platform
