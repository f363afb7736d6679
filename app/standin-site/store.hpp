#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>

/**
 * @brief Stand-ins for the users' platform in one process: its store, model runners, ledgers and origin of weights.
 *
 * They implement the platform's wire protocol and record violations of its invariants.
 */
namespace rhubarbwharf::standin_site {

/*! @brief Faults that the store injects until they are replaced. */
struct store_faults {
    /*! @brief Responds to every request with 503. */
    bool m_unavailable{false};
    /*! @brief Accepts new requests without responding; watches that are already pending are still answered. */
    bool m_unresponsive{false};
    /*! @brief Closes the connection instead of answering every n-th committed transaction; 0 disables the fault. */
    unsigned m_lose_reply_every{};
    /*! @brief Leaves the era out of the responses. */
    bool m_omit_era{false};
    /*! @brief Loses the changes for pending watches: their connections stay open and silent for good. */
    bool m_lose_changes{false};
    /*! @brief Age of the contents that serializable reads return; limited by the oldest copy that is kept. */
    duration m_serializable_age{};
};

/*! @brief In-memory key-value store with leases and watches; linearizable, as it runs on one thread. */
class store {
public:
    /*! @brief Creates a store that does not listen yet. @param owner Event loop; must outlive the store. */
    explicit store(net::loop& owner);

    /*! @brief Starts listening on a free port of the loopback interface. @return The address; port 0 on failure. */
    [[nodiscard]] auto listen() -> net::endpoint;

    /*! @brief Writes a key without a lease, as the platform does itself. @return The revision of the write. */
    auto put(const std::string& key, std::string value) -> std::uint64_t;

    /*! @brief Removes a key; has no effect if the key does not exist. */
    auto remove(const std::string& key) -> void;

    /*! @brief Discards the history of changes, so that watchers have to list their prefix again. */
    auto compact() -> void;

    /*! @brief Replaces the injected faults; aborts unanswered requests unless the store stays unresponsive. */
    auto set_faults(const store_faults& faults) -> void;

    /**
     * @brief Restores a copy and begins a new era: revisions and lease ids since then are given out again.
     * @param age Minimum age of the copy; one of that age must exist.
     * @param rewrite_delay Time after which the platform writes again what it has written since the copy.
     */
    auto restore(duration age, duration rewrite_delay) -> void;

    /*! @brief Counts the requests since the start, renewals and refused ones included. */
    [[nodiscard]] auto call_count() const noexcept -> std::uint64_t { return m_call_count; }

    [[nodiscard]] auto era() const noexcept -> std::uint64_t { return m_era; }

    /*! @brief Counts the keys that start with a prefix. */
    [[nodiscard]] auto count(std::string_view prefix) const -> std::size_t;

private:
    struct entry {
        std::string m_value{};
        std::uint64_t m_revision{};
        std::uint64_t m_lease_id{};
    };

    /*! @brief Change of one key; no entry means that the key was removed. */
    struct change {
        std::string m_key{};
        std::uint64_t m_revision{};
        std::optional<entry> m_entry{};
    };

    /*! @brief Pending long-poll request for the changes of a prefix. */
    struct watcher {
        std::string m_prefix{};
        std::uint64_t m_after_revision{};
        time_point m_deadline{};
        std::shared_ptr<net::responder> m_responder{};
    };

    struct lease {
        duration m_ttl{};
        time_point m_expires_at{};
    };

    struct copy {
        time_point m_taken_at{};
        std::map<std::string, entry> m_entries{};
        std::map<std::uint64_t, lease> m_leases{};
        std::uint64_t m_revision{};
        std::uint64_t m_last_lease_id{};
    };

    using responder_ptr = std::shared_ptr<net::responder>;

    auto on_request(const net::http_request& request, const responder_ptr& responder) -> void;
    auto on_range(const net::http_request& request, const responder_ptr& responder) -> void;
    auto on_watch(const net::http_request& request, const responder_ptr& responder) -> void;
    auto on_transaction(const net::http_request& request, const responder_ptr& responder) -> void;
    auto on_lease(const net::http_request& request, const responder_ptr& responder) -> void;
    auto rewrite(const std::map<std::string, entry>& lost, const std::map<std::string, entry>& restored) -> void;
    [[nodiscard]] auto make_answer(std::uint16_t status, const boost::json::object& body) const -> net::http_response;
    auto apply_change(const std::string& key, std::optional<entry> value) -> void;
    auto notify_watchers() -> void;
    auto expire_leases_and_watches() -> void;
    [[nodiscard]] auto changes_for(const watcher& recipient) const -> boost::json::object;
    [[nodiscard]] static auto encode_entry(const std::string& key, const entry& value) -> boost::json::object;

    net::loop& m_loop;
    net::http_server m_server;
    std::map<std::string, entry> m_entries{};
    std::deque<change> m_history{};
    std::vector<watcher> m_watchers{};
    std::map<std::uint64_t, lease> m_leases{};
    std::vector<responder_ptr> m_unanswered{};
    /*! @brief Watches whose changes were lost. */
    std::vector<responder_ptr> m_lost_watches{};
    store_faults m_faults{};
    std::uint64_t m_revision{1U};
    std::uint64_t m_compacted_revision{};
    std::uint64_t m_last_lease_id{};
    unsigned m_transaction_count{};
    std::deque<copy> m_copies{};
    std::uint64_t m_era{1U};
    std::uint64_t m_call_count{};
};

/*! @brief Returns a response with a JSON body. */
[[nodiscard]] auto json_response(std::uint16_t status, const boost::json::object& body) -> net::http_response;

} // namespace rhubarbwharf::standin_site
