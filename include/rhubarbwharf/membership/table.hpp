#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/names.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/membership/fwd.hpp>

namespace rhubarbwharf::membership {

/*! @brief Lifecycle phase of a backend server, as reported by its agent. */
enum class phase : std::uint8_t { unknown, empty, fetching, closing, loading, serving, draining, failed };

/*! @brief Status of a member from the view of this process. */
enum class member_status : std::uint8_t {
    live,
    /*! @brief No message within the timeout, or the connection is lost. */
    suspected,
    /*! @brief Accepts no new requests, by its own announcement; reset only by a new incarnation. */
    leaving,
};

/*! @brief Effect of a report on the table. */
enum class apply_result : std::uint8_t {
    /*! @brief Late, duplicate or from a replaced incarnation; nothing changed. */
    stale,
    /*! @brief Only figures that are not shared with peers, such as the load, changed. */
    refreshed,
    /*! @brief The member is new, or state that is shared with peers changed. */
    changed,
};

/*! @brief A shard of the idempotency keys and the fencing number of its ownership. */
struct owned_shard {
    shard_id m_shard{};
    fencing_token m_fencing{};

    [[nodiscard]] auto operator==(const owned_shard&) const noexcept -> bool = default;
};

/*! @brief Report of an agent about itself and its backend server. */
struct report {
    std::string m_instance{};
    /*! @brief Random id of one run of the process, drawn at its start. */
    std::uint64_t m_incarnation{};
    /*! @brief Increases with each report of an incarnation. */
    std::uint64_t m_sequence{};
    std::string m_region{};
    std::string m_data_centre{};
    /*! @brief Group of model runners, or name of the plain service. */
    std::string m_group{};
    bool m_plain_service{false};
    std::string m_bus_address{};
    std::string m_bulk_address{};
    phase m_phase{phase::unknown};
    std::string m_model{};
    /*! @brief Manifest of the version that the engine has confirmed as complete; all zero for none. */
    digest m_manifest{};
    std::string m_adapter{};
    /*! @brief Highest ticket that the agent has applied. */
    ticket_number m_ticket{};
    /*! @brief Requests that are being executed. */
    std::uint32_t m_running_requests{};
    /*! @brief Requests that are queued. */
    std::uint32_t m_waiting_requests{};
    /*! @brief Requests that can be executed at once. */
    std::uint32_t m_capacity{};
    /*! @brief Hashes of prompt prefixes cached since the last report. */
    std::vector<std::uint64_t> m_cached_prefixes{};
    std::vector<owned_shard> m_shards{};
    std::uint32_t m_chunks_held{};
    std::uint32_t m_chunks_total{};
    std::uint64_t m_engine_crashes{};
    /*! @brief Whether the agent holds a complete newer version and waits for its turn to load it. */
    bool m_ready_to_load{false};
};

/*! @brief Replaced incarnations recorded for each member, so that their late reports are rejected. */
inline constexpr std::size_t max_replaced_incarnations = 4;

/*! @brief Entry of the table. */
struct member {
    report m_report{};
    /*! @brief Arrival of the last report that was not stale, or of the last message passed to `record_message`. */
    time_point m_last_received{};
    member_status m_status{member_status::live};
    /*! @brief Replaced incarnations, oldest first; at most `max_replaced_incarnations`. */
    std::vector<std::uint64_t> m_replaced_incarnations{};
};

/*! @brief Timeouts for members that have gone silent. */
struct liveness_timeouts {
    /*! @brief Silence after which a member is suspected and gets no new requests. */
    duration m_suspect_timeout{std::chrono::seconds{3}};
    /*! @brief Silence after which a member is omitted from lists of members. */
    duration m_retention{std::chrono::minutes{10}};
};

/*! @brief All members that have ever reported to this process, indexed by `instance_id`; entries are never removed. */
struct table {
    names<instance_id> m_names{};
    std::vector<member> m_members{};
};

/**
 * @brief Stores a report unless it is stale.
 * @param now Time of arrival.
 * @return Effect on the table.
 */
auto apply(table& members, const report& update, time_point now) -> apply_result;

/**
 * @brief Records that a message of any kind arrived from a member.
 * @param instance Name of the member.
 * @param incarnation Incarnation that sent the message.
 * @param now Time of arrival.
 * @return False if the sender is not the current incarnation of a known member; the table is then unchanged.
 */
auto record_message(table& members, std::string_view instance, std::uint64_t incarnation, time_point now) -> bool;

/**
 * @brief Marks a member as leaving until a new incarnation reports.
 * @param instance Name of the member.
 * @param incarnation Incarnation that leaves; ignored unless it is the current one.
 * @return Whether the table changed.
 */
auto mark_leaving(table& members, std::string_view instance, std::uint64_t incarnation) -> bool;

/**
 * @brief Marks a live member as suspected before its timeout, for example after a failed connection.
 * @return Whether the table changed.
 */
auto mark_suspected(table& members, instance_id instance) -> bool;

/**
 * @brief Marks every live member as suspected whose last message is older than `m_suspect_timeout`.
 * @return The members that changed from live to suspected.
 */
auto suspect_silent_members(table& members, time_point now, const liveness_timeouts& timeouts)
    -> std::vector<instance_id>;

/**
 * @brief Finds a member by name.
 * @return The member, or null if it is unknown; valid until the next change of the table.
 */
[[nodiscard]] auto find(const table& members, std::string_view instance) noexcept -> const member*;

/**
 * @brief Checks whether new requests may be sent to a member: it is live and serving, and its last message arrived
 * within `m_suspect_timeout`.
 *
 * The age of the last message is checked here as well as in the periodic check, because a process that was suspended
 * by its host would otherwise act on outdated entries after it resumes.
 */
[[nodiscard]] auto accepts_requests(const member& row, time_point now, const liveness_timeouts& timeouts) noexcept
    -> bool;

/**
 * @brief Checks whether the last message of a member arrived within `m_retention`.
 */
[[nodiscard]] auto is_retained(const member& row, time_point now, const liveness_timeouts& timeouts) noexcept -> bool;

/**
 * @brief Finds the owner of a shard of a plain service.
 * @param group Name of the plain service.
 * @return The member with the highest fencing number for the shard among those that accept new requests, or null.
 */
[[nodiscard]] auto find_shard_owner(const table& members, std::string_view group, shard_id shard, time_point now,
                                    const liveness_timeouts& timeouts) noexcept -> const member*;

/*! @brief Returns the name that dumps and the admin interface show. */
[[nodiscard]] auto to_string(phase value) noexcept -> std::string_view;

/*! @brief Returns the name that dumps and the admin interface show. */
[[nodiscard]] auto to_string(member_status value) noexcept -> std::string_view;

} // namespace rhubarbwharf::membership
