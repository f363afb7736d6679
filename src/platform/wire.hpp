#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/platform/client.hpp>

namespace rhubarbwharf::platform::internal {

/*! @brief Answer to a read. */
struct range_reply {
    /*! @brief Revision of the whole service at the read. */
    revision m_revision{};
    std::vector<key_value> m_keys{};
};

/*! @brief Answer to a compare-and-swap. */
struct txn_reply {
    bool m_succeeded{};
    revision m_revision{};
    /*! @brief After a failed compare, what stands. */
    std::vector<key_value> m_keys{};
};

/*! @brief One line of a watch. */
struct watch_reply {
    bool m_cancelled{};
    revision m_revision{};
    /*! @brief Changes, a deleted key with revision 0. */
    std::vector<key_value> m_changes{};
};

/*! @brief Returns the first key after all that start with a prefix. @param prefix The prefix. @return The key. */
[[nodiscard]] auto prefix_end(std::string_view prefix) -> std::string;

/*! @brief Writes the body of a read. @param key Key or prefix. @param is_prefix Which of both. @return The body. */
[[nodiscard]] auto range_body(std::string_view key, bool is_prefix) -> std::string;

/**
 * @brief Writes the body of a compare-and-swap.
 * @param key The key.
 * @param value The new value.
 * @param expected The revision that the key must have; 0: there must be none.
 * @param lease The lease, or 0.
 * @return The body.
 */
[[nodiscard]] auto txn_body(std::string_view key, std::string_view value, revision expected, lease_number lease)
    -> std::string;

/*! @brief Writes the body of a delete with compare. @param key The key. @param expected The revision that it must have.
 * @return The body. */
[[nodiscard]] auto delete_body(std::string_view key, revision expected) -> std::string;

/*! @brief Writes the body of a lease grant. @param ttl Time to live. @return The body. */
[[nodiscard]] auto grant_body(std::chrono::seconds ttl) -> std::string;

/*! @brief Writes the body of a renewal or revocation. @param lease The lease. @return The body. */
[[nodiscard]] auto lease_body(lease_number lease) -> std::string;

/**
 * @brief Writes the body of a watch.
 * @param key Key or prefix.
 * @param is_prefix Which of both.
 * @param from First revision of interest.
 * @return The body.
 */
[[nodiscard]] auto watch_body(std::string_view key, bool is_prefix, revision from) -> std::string;

/*! @brief Reads the answer to a read. @param text The body. @return The answer, or nothing. */
[[nodiscard]] auto parse_range(std::string_view text) -> std::optional<range_reply>;

/*! @brief Reads the answer to a compare-and-swap. @param text The body. @return The answer, or nothing. */
[[nodiscard]] auto parse_txn(std::string_view text) -> std::optional<txn_reply>;

/*! @brief Reads the answer to a lease grant. @param text The body. @return The lease, or nothing. */
[[nodiscard]] auto parse_grant(std::string_view text) -> std::optional<lease_number>;

/*! @brief Reads the answer to a renewal. @param text The body. @return The time left, 0 if lapsed, or nothing. */
[[nodiscard]] auto parse_keep_alive(std::string_view text) -> std::optional<std::chrono::seconds>;

/*! @brief Reads one line of a watch. @param text The line. @return The changes, or nothing. */
[[nodiscard]] auto parse_watch(std::string_view text) -> std::optional<watch_reply>;

} // namespace rhubarbwharf::platform::internal
