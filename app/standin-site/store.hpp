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
 * @brief Stand-ins for the users' platform in one process: its store, its model runners, its ledger and its origin of
 * weights. They speak the platform's wire and keep count of what must never happen.
 */
namespace rhubarbwharf::standin_site {

/*! @brief What the store does wrong, until it is set anew. */
struct store_faults {
    /*! @brief Answers 503 to every call. */
    bool m_unavailable{false};
    /*! @brief Takes calls and answers none. */
    bool m_unresponsive{false};
    /*! @brief Does every so many-th write and cuts its connection without an answer; 0 for none. */
    unsigned m_lose_reply_every{};
};

/*! @brief Key-value store with leases and watches, linearizable as it runs on one thread. */
class store {
public:
    /*! @brief Makes a store that does not listen yet. @param owner The loop; outlives the store. */
    explicit store(net::loop& owner);

    /*! @brief Starts listening on a free port of the loopback interface. @return The address. */
    [[nodiscard]] auto listen() -> net::endpoint;

    /*! @brief Writes a key as the platform itself does. @param key The key. @param value The value.
     * @return The revision. */
    auto put(const std::string& key, std::string value) -> std::uint64_t;

    /*! @brief Removes a key. @param key The key. */
    auto remove(const std::string& key) -> void;

    /*! @brief Forgets the history, so that watches have to list anew. */
    auto compact() -> void;

    /*! @brief Sets what goes wrong. @param faults The faults. */
    auto set_faults(const store_faults& faults) -> void;

    /*! @brief Counts the keys of a prefix. @param prefix The prefix. @return The count. */
    [[nodiscard]] auto count(std::string_view prefix) const -> std::size_t;

private:
    struct entry {
        std::string m_value{};
        std::uint64_t m_revision{};
        std::uint64_t m_lease_id{};
    };

    struct change {
        std::string m_key{};
        std::uint64_t m_revision{};
        std::optional<entry> m_entry{};
    };

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

    using responder_ptr = std::shared_ptr<net::responder>;

    auto on_request(const net::http_request& request, const responder_ptr& to) -> void;
    auto on_range(const net::http_request& request, const responder_ptr& to) -> void;
    auto on_watch(const net::http_request& request, const responder_ptr& to) -> void;
    auto on_transaction(const net::http_request& request, const responder_ptr& to) -> void;
    auto on_lease(const net::http_request& request, const responder_ptr& to) -> void;
    auto apply_change(const std::string& key, std::optional<entry> now) -> void;
    auto notify_watchers() -> void;
    auto expire_leases_and_watches() -> void;
    [[nodiscard]] auto changes_for(const watcher& who) const -> boost::json::object;
    [[nodiscard]] static auto encode_entry(const std::string& key, const entry& from) -> boost::json::object;

    net::loop& m_loop;
    net::http_server m_server;
    std::map<std::string, entry> m_entries{};
    std::deque<change> m_history{};
    std::vector<watcher> m_watchers{};
    std::map<std::uint64_t, lease> m_leases{};
    std::vector<responder_ptr> m_unanswered{};
    store_faults m_faults{};
    std::uint64_t m_revision{1U};
    std::uint64_t m_compacted_revision{};
    std::uint64_t m_last_lease_id{};
    unsigned m_write_count{};
};

/*! @brief Makes a response with a JSON body. @param status Its status. @param body The body. @return The response. */
[[nodiscard]] auto json_response(std::uint16_t status, const boost::json::object& body) -> net::http_response;

} // namespace rhubarbwharf::standin_site
