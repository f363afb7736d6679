#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/fleet/fwd.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::fleet {

/*! @brief Model whose weights a backend server holds. */
struct held_model {
    std::string m_name{};
    std::uint64_t m_version{};
    /*! @brief Number of layers held, from the first one; all layers if empty. */
    std::optional<std::uint64_t> m_layers{};

    [[nodiscard]] auto operator==(const held_model&) const noexcept -> bool = default;
};

/*! @brief A backend server, as it registered itself. */
struct backend_server {
    std::string m_id{};
    /*! @brief Start of this incarnation, Unix ms; the same id with another start is another incarnation. */
    std::uint64_t m_started_ms{};
    std::string m_service{};
    net::endpoint m_address{};
    std::string m_data_centre{};
    unsigned m_slots{1};
    bool m_draining{false};
    /*! @brief Time after its start during which it is slow. */
    duration m_warm_up_time{};
    std::vector<held_model> m_models{};
    /*! @brief Revision of the entry in the platform's store. */
    std::uint64_t m_revision{};
};

/*! @brief Load of a backend server and progress of its load orders, as it reports them. */
struct load_report {
    /*! @brief Start of the incarnation, Unix ms. */
    std::uint64_t m_started_ms{};
    std::vector<held_model> m_models{};
    /*! @brief Whether a load order is in progress. */
    bool m_order_in_progress{false};
    /*! @brief Load orders accepted in this incarnation. */
    std::uint64_t m_accepted_orders{};
    unsigned m_waiting_requests{};
    unsigned m_running_requests{};
    /*! @brief Ratio of its processing times to the normal ones. */
    double m_slowdown{1.0};
};

/*! @brief Version of a model's weights that the operators want to be served. */
struct weights_target {
    std::string m_model{};
    std::uint64_t m_version{1};
    /*! @brief When it was written; a lower bound of this time if `m_has_exact_write_time` is false. */
    time_point m_written_at{};
    /*! @brief Whether this process, or the one that reported the target to it, saw the write as it happened. */
    bool m_has_exact_write_time{false};
};

/*! @brief Incarnation of a backend server that has said it is leaving. */
struct leaving_server {
    /*! @brief Start of the incarnation, Unix ms. */
    std::uint64_t m_started_ms{};
    net::endpoint m_address{};
};

/*! @brief Backend servers that have said they are leaving, by id; of each the newest such incarnation. */
using leaving_table = std::map<std::string, leaving_server, std::less<>>;

/*! @brief Backend servers by id. Entries and removals are merged by revision, in any order. */
struct server_table {
    std::map<std::string, backend_server, std::less<>> m_rows{};
    /*! @brief Revisions of removals by id, so that an outdated entry from a peer does not restore a removed server. */
    std::map<std::string, std::uint64_t, std::less<>> m_removed{};
    /*! @brief Highest revision merged. */
    std::uint64_t m_revision{};
};

/*! @brief Merges an entry, if it is newer than what is known. @return Whether the table changed. */
auto merge_server(server_table& table, backend_server row) -> bool;

/*! @brief Merges a removal, and removes the entry unless it is newer. @param revision Revision of the removal.
 * @return Whether an entry was removed. */
auto merge_removal(server_table& table, std::string_view id, std::uint64_t revision) -> bool;

/**
 * @brief Merges a complete listing: entries that it lacks are removed unless they are newer than the listing.
 * @param rows All entries.
 * @param revision Lower bound of the revision of the listing.
 * @return Ids of the removed entries.
 */
auto merge_listing(server_table& table, std::vector<backend_server> rows, std::uint64_t revision)
    -> std::vector<std::string>;

/*! @brief Records that an incarnation is leaving. @return Whether this was not known. */
auto merge_leaving(leaving_table& table, std::string_view id, leaving_server value) -> bool;

/*! @brief Tells whether an incarnation, or a later one of the same id, is leaving. Only a new incarnation clears it. */
[[nodiscard]] auto is_leaving(const leaving_table& table, std::string_view id, std::uint64_t started_ms) noexcept
    -> bool;

/*! @brief Computes an order-independent digest of ids and revisions, by which tables of two processes are compared. */
[[nodiscard]] auto fingerprint(const server_table& table) noexcept -> std::uint64_t;

/**
 * @brief Returns the version of a model of which all layers are held.
 * @param layers Layers of the model.
 * @return The version; 0 if the model is not held completely.
 */
[[nodiscard]] auto complete_version(const std::vector<held_model>& models, std::string_view model, unsigned layers)
    -> std::uint64_t;

} // namespace rhubarbwharf::fleet
