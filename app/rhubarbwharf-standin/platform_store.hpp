#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::standin::internal {

/*! @brief Key with its value and its etcd revisions. */
struct key_value {
    std::string m_key{};
    std::string m_value{};
    std::uint64_t m_create_revision{};
    std::uint64_t m_mod_revision{};
    std::uint64_t m_version{};
    std::int64_t m_lease{};
};

/*! @brief Change of a key that is sent to watchers. */
struct event {
    key_value m_key_value{};
    bool m_deleted{};
};

struct lease_record {
    duration m_ttl{};
    time_point m_expires_at{};
};

/*! @brief Previous state of a key, recorded by each write; empty if the write created the key. */
struct undo_record {
    std::string m_key{};
    std::optional<key_value> m_previous{};
};

/*! @brief Key-value store with revisions and leases; keeps an undo log of the last writes to restore an older state. */
struct store {
    std::map<std::string, key_value> m_key_values{};
    std::map<std::int64_t, lease_record> m_leases{};
    std::deque<undo_record> m_undo_log{};
    std::uint64_t m_revision{1};
    std::int64_t m_last_lease_number{};
    /*! @brief Treats every compare as successful: a deliberate fault, to verify that the tests detect it. */
    bool m_ignores_compare{};
};

/*! @brief Response and events of an executed transaction. */
struct transaction_result {
    boost::json::object m_response{};
    std::vector<event> m_events{};
};

/*! @brief Decodes base64. @return The bytes; empty if the text is invalid. */
[[nodiscard]] auto base64_decode(std::string_view text) -> std::string;

/*! @brief Checks an etcd range: an empty end matches `first` only, a zero byte all keys from `first` on. */
[[nodiscard]] auto in_range(std::string_view key, std::string_view first, std::string_view end) -> bool;

/*! @brief Converts an event to the JSON format of etcd's gRPC gateway. */
[[nodiscard]] auto to_json(const event& change) -> boost::json::object;

/*! @brief Executes a range request. */
[[nodiscard]] auto range_json(const store& kv_store, const boost::json::object& body) -> boost::json::object;

/*! @brief Executes a transaction with one compare and one operation per branch; returns nothing for any other form. */
[[nodiscard]] auto run_transaction(store& kv_store, const boost::json::object& body)
    -> std::optional<transaction_result>;

/*! @brief Grants a lease. @return The requested lease number, or a generated one if it is 0. */
auto grant_lease(store& kv_store, std::int64_t requested, duration ttl, time_point now) -> std::int64_t;

/*! @brief Renews a lease. @return Its time to live in seconds; 0 if the lease does not exist. */
auto renew_lease(store& kv_store, std::int64_t number, time_point now) -> std::int64_t;

/*! @brief Revokes a lease and deletes its keys. @return The deletion events. */
auto revoke_lease(store& kv_store, std::int64_t number) -> std::vector<event>;

/*! @brief Undoes the last writes. @param writes Number of writes; limited by the undo log. */
auto roll_back(store& kv_store, std::uint64_t writes) -> void;

} // namespace rhubarbwharf::standin::internal
