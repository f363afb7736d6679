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

/*! @brief One key of the stand-in's key-value service. */
struct row {
    std::string m_key{};
    std::string m_value{};
    std::uint64_t m_created{};
    std::uint64_t m_modified{};
    std::uint64_t m_version{};
    std::int64_t m_lease{};
};

/*! @brief A change that watches are told of. */
struct event {
    row m_row{};
    bool m_deleted{};
};

struct lease_row {
    duration m_ttl{};
    time_point m_end{};
};

/*! @brief What one write replaced. */
struct undo {
    std::string m_key{};
    std::optional<row> m_before{};
};

/*! @brief Keys with revisions, leases, and the last writes so that an older state can be restored. */
struct store {
    std::map<std::string, row> m_rows{};
    std::map<std::int64_t, lease_row> m_leases{};
    std::deque<undo> m_undo{};
    std::uint64_t m_revision{1};
    std::int64_t m_last_lease{};
    /*! @brief Whether every compare holds: a faulty service, to see the tests fail. */
    bool m_ignores_compare{};
};

/*! @brief A transaction that was carried out. */
struct transaction_end {
    boost::json::object m_answer{};
    std::vector<event> m_events{};
};

/*! @brief Decodes base64. @param text The digits. @return The bytes. */
[[nodiscard]] auto decode(std::string_view text) -> std::string;

/*! @brief Tells whether a key is in a range of etcd's kind. */
[[nodiscard]] auto in_range(std::string_view key, std::string_view first, std::string_view end) -> bool;

/*! @brief Writes an event as etcd's gateway does. */
[[nodiscard]] auto to_json(const event& changed) -> boost::json::object;

/*! @brief Answers a range request. */
[[nodiscard]] auto range_json(const store& held, const boost::json::object& body) -> boost::json::object;

/*! @brief Carries out a transaction of one compare, or returns nothing if it has another form. */
[[nodiscard]] auto run_transaction(store& held, const boost::json::object& body) -> std::optional<transaction_end>;

/*! @brief Gives a lease. @return Its number. */
auto grant(store& held, std::int64_t wanted, duration ttl, time_point now) -> std::int64_t;

/*! @brief Renews a lease. @return Its time to live in seconds, or 0 if there is no such lease. */
auto keep_alive(store& held, std::int64_t number, time_point now) -> std::int64_t;

/*! @brief Ends a lease and deletes its keys. @return The changes. */
auto end_lease(store& held, std::int64_t number) -> std::vector<event>;

/*! @brief Goes back to the state before the last writes. @param writes How many. */
auto restore(store& held, std::uint64_t writes) -> void;

} // namespace rhubarbwharf::standin::internal
