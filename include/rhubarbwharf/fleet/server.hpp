#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/fleet/fwd.hpp>
#include <rhubarbwharf/fleet/store_version.hpp>
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
    /*! @brief Version of the entry in the platform's store. */
    store_version m_store_version{};
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
    /*! @brief When this process learned of it. */
    time_point m_learned_at{};
    /*! @brief Whether a process that does not depend on the same links has reported an exact time. */
    bool m_is_confirmed{false};
    /*! @brief Requests to peers for such a report. */
    unsigned m_confirmation_requests{};
};

/*! @brief Requests to peers to confirm the time of one write, at most. */
inline constexpr unsigned max_confirmation_requests = 8U;

/*! @brief Combines what is known of one write with another report of it: an exact time goes before a bound, and the
 * earlier of two before the later, as a report can only be late. */
auto merge_report(weights_target& known, const weights_target& reported) noexcept -> void;

/*! @brief Largest error of a time that counts as confirmed; less than the margins before a version's time limit. */
inline constexpr duration max_confirmed_error = std::chrono::milliseconds{200};

/*! @brief Combines what is known of one write with an exact report whose own age is uncertain. A known time between the
 * two bounds may be late by the time since the first one; if that is too much, it becomes the bound, and is asked for
 * again.
 * @param earliest Time of the write if the report was made when it was requested.
 * @param latest Time of the write if the report was made when it arrived.
 * @param is_independent Whether the report does not depend on the same links. */
auto merge_delayed_report(weights_target& known, time_point earliest, time_point latest, bool is_independent) noexcept
    -> void;

/*! @brief Checks whether a peer should be asked for the time of a write.
 * @param limit Time for which older versions may begin requests; the time of the write no longer matters after it. */
[[nodiscard]] auto needs_confirmation(const weights_target& target, time_point now, duration limit) noexcept -> bool;

/*! @brief Incarnation of a backend server that has said it is leaving. */
struct leaving_server {
    /*! @brief Start of the incarnation, Unix ms. */
    std::uint64_t m_started_ms{};
    net::endpoint m_address{};
};

/*! @brief Backend servers that have said they are leaving, by id; of each the newest such incarnation. */
using leaving_table = std::map<std::string, leaving_server, std::less<>>;

/*! @brief Backend servers by id. Entries and removals are merged by version, in any order. */
struct server_table {
    std::map<std::string, backend_server, std::less<>> m_rows{};
    /*! @brief Versions of removals by id, so that an outdated entry from a peer does not restore a removed server. */
    std::map<std::string, store_version, std::less<>> m_removed{};
    /*! @brief Highest version merged. */
    store_version m_version{};
    /*! @brief Version of the newest complete listing: an unknown entry that is not newer no longer exists. */
    store_version m_listing_version{};
    /*! @brief Counts the changes of `m_rows`, so that what is derived from them can be kept until the next one. */
    std::uint64_t m_changes{};
};

/*! @brief Merges an entry, if it is newer than what is known. @return Whether the table changed. */
auto merge_server(server_table& table, backend_server row) -> bool;

/*! @brief Merges a removal, and removes the entry unless it is newer. @param version Version of the removal.
 * @return Whether an entry was removed. */
auto merge_removal(server_table& table, std::string_view id, store_version version) -> bool;

/*! @brief Finds the entries that a complete listing lacks and that are not newer than it. @param listed Ids in the
 * listing. @param version Lower bound of the version of the listing. */
[[nodiscard]] auto missing_entries(const server_table& table, const std::set<std::string, std::less<>>& listed,
                                   store_version version) -> std::vector<std::string>;

/*! @brief Tells whether an entry brings back a server that was removed in a former era. */
[[nodiscard]] auto revives_removed(const server_table& table, const backend_server& row) noexcept -> bool;

/*! @brief Tells whether an entry calls an incarnation ready that was draining in a former era. */
[[nodiscard]] auto revives_drained(const backend_server& known, const backend_server& row) noexcept -> bool;

/*! @brief Records that a complete listing has been merged, apart from the removal of entries that it lacks. */
auto note_listing(server_table& table, store_version version) -> void;

/**
 * @brief Merges a complete listing: entries that it lacks are removed unless they are newer than the listing.
 * @param rows All entries.
 * @param version Lower bound of the version of the listing.
 * @return Ids of the removed entries.
 */
auto merge_listing(server_table& table, std::vector<backend_server> rows, store_version version)
    -> std::vector<std::string>;

/*! @brief Records that an incarnation is leaving. @return Whether this was not known. */
auto merge_leaving(leaving_table& table, std::string_view id, leaving_server value) -> bool;

/*! @brief Tells whether an incarnation, or a later one of the same id, is leaving. Only a new incarnation clears it. */
[[nodiscard]] auto is_leaving(const leaving_table& table, std::string_view id, std::uint64_t started_ms) noexcept
    -> bool;

/*! @brief Version of the list of backend servers that a peer knows and this process does not. */
struct missed_version {
    store_version m_version{};
    /*! @brief Since when it is missed. */
    time_point m_since{};
};

/*! @brief Time for which a working watch may miss a version: it reads changes in batches 0.5 s apart. */
inline constexpr duration max_watch_lag = std::chrono::milliseconds{700};

/**
 * @brief Records which version of the list of backend servers a peer knows.
 * @param missed Highest version that is missed so far.
 * @param known Version that this process knows.
 * @param told Version that the peer knows.
 * @return Whether a version has been missed for longer than `max_watch_lag`; the time counts anew then.
 */
[[nodiscard]] auto note_told_version(missed_version& missed, store_version known, store_version told,
                                     time_point now) noexcept -> bool;

/*! @brief Computes an order-independent digest of ids and versions, by which tables of two processes are compared. */
[[nodiscard]] auto fingerprint(const server_table& table) noexcept -> std::uint64_t;

/*! @brief Computes the digest without eras, for processes that do not know of them. */
[[nodiscard]] auto fingerprint_of_revisions(const server_table& table) noexcept -> std::uint64_t;

/**
 * @brief Adds versions that a runner is known to have loaded from intact pieces. This stays true for its incarnation: a
 * loader that has a version loaded again has never reported it as proven.
 */
auto add_proven(std::vector<held_model>& proven, std::span<const held_model> reported) -> void;

/*! @brief Selects the models whose version is known to have been loaded from intact pieces.
 * @param held What a runner holds, by a source that does not know how it was loaded. */
[[nodiscard]] auto select_proven(std::span<const held_model> held, std::span<const held_model> proven)
    -> std::vector<held_model>;

/**
 * @brief Returns the version of a model of which all layers are held.
 * @param layers Layers of the model.
 * @return The version; 0 if the model is not held completely.
 */
[[nodiscard]] auto complete_version(const std::vector<held_model>& models, std::string_view model, unsigned layers)
    -> std::uint64_t;

} // namespace rhubarbwharf::fleet
