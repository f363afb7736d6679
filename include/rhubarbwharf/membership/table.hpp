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

/*! @brief What a backend server is doing, as its agent reports it. */
enum class phase : std::uint8_t { unknown, empty, fetching, closing, loading, serving, draining, failed };

/*! @brief What a process makes of another one. */
enum class standing : std::uint8_t {
    live,
    /*! @brief No report for longer than the limit, or the connection is gone. */
    suspected,
    /*! @brief Has said that it takes no new work; only a new incarnation takes that back. */
    leaving,
};

/*! @brief What a report did to the table. */
enum class applied : std::uint8_t {
    /*! @brief Late, doubled, or from an incarnation that has been replaced; nothing changed. */
    stale,
    /*! @brief Only load figures and the time of the report changed. */
    refreshed,
    /*! @brief The member is new, or something that peers want to know changed. */
    changed,
};

/*! @brief A shard of the idempotency keys and the fencing number under which it is held. */
struct owned_shard {
    shard_id m_shard{};
    fencing_token m_fencing{};

    [[nodiscard]] auto operator==(const owned_shard&) const noexcept -> bool = default;
};

/*! @brief One report of an agent. */
struct report {
    std::string m_instance{};
    /*! @brief Number that the process drew at its start. */
    std::uint64_t m_incarnation{};
    /*! @brief Grows with each report of one incarnation. */
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
    /*! @brief Manifest that the engine has confirmed whole; all zero for none. */
    digest m_manifest{};
    std::string m_adapter{};
    /*! @brief Highest ticket applied there. */
    ticket_number m_ticket{};
    std::uint32_t m_running{};
    std::uint32_t m_waiting{};
    std::uint32_t m_capacity{};
    /*! @brief Hashes of prompt prefixes cached since the last report. */
    std::vector<std::uint64_t> m_cached_prefixes{};
    std::vector<owned_shard> m_shards{};
    std::uint32_t m_chunks_held{};
    std::uint32_t m_chunks_total{};
    std::uint64_t m_engine_crashes{};
    /*! @brief Whether the agent holds a newer version whole and waits for its turn to load it. */
    bool m_ready{false};
};

/*! @brief Incarnations that are remembered as replaced, for each member. */
inline constexpr std::size_t replaced_kept = 4;

/*! @brief One row of the table. */
struct member {
    report m_report{};
    /*! @brief When the last report that counted arrived. */
    time_point m_heard{};
    standing m_standing{standing::live};
    /*! @brief Incarnations that a later one has replaced, oldest first. */
    std::vector<std::uint64_t> m_replaced{};
};

/*! @brief Times after which silence counts. */
struct limits {
    duration m_suspect{std::chrono::seconds{3}};
    /*! @brief Silence after which a member is no longer listed. */
    duration m_forget{std::chrono::minutes{10}};
};

/*! @brief All members that this process has heard of; indices are `instance_id` values and never move. */
struct table {
    names<instance_id> m_names{};
    std::vector<member> m_members{};
};

/**
 * @brief Takes a report over if it is newer than what is held.
 * @param members The table.
 * @param news The report.
 * @param now When it arrived.
 * @return What it did.
 */
auto apply(table& members, const report& news, time_point now) -> applied;

/**
 * @brief Notes that a member sent something, which counts against silence.
 * @param members The table.
 * @param instance Its name.
 * @param incarnation Incarnation that sent it; any but the current one is passed over.
 * @param now When it arrived.
 * @return Whether the sender is the current incarnation of a member.
 */
auto touch(table& members, std::string_view instance, std::uint64_t incarnation, time_point now) -> bool;

/**
 * @brief Marks a member as leaving until a new incarnation of it reports.
 * @param members The table.
 * @param instance Its name.
 * @param incarnation Incarnation that leaves; a replaced one is passed over.
 * @return Whether the table changed.
 */
auto leave(table& members, std::string_view instance, std::uint64_t incarnation) -> bool;

/**
 * @brief Marks a member as suspected at once, as when nothing can be sent to it.
 * @param members The table.
 * @param instance The member.
 * @return Whether the table changed.
 */
auto suspect(table& members, instance_id instance) -> bool;

/**
 * @brief Suspects every member that has been silent for too long.
 * @param members The table.
 * @param now The time.
 * @param bounds The limits.
 * @return The members that were live until now.
 */
auto sweep(table& members, time_point now, const limits& bounds) -> std::vector<instance_id>;

/**
 * @brief Looks a member up.
 * @param members The table.
 * @param instance Its name.
 * @return Its row, or null; lives until the table changes.
 */
[[nodiscard]] auto find(const table& members, std::string_view instance) noexcept -> const member*;

/**
 * @brief Tells whether a member may get new work. Its last word must be fresh, so that a process that was frozen
 * sends nothing by what it knew before.
 * @param row The member.
 * @param now The time.
 * @param bounds The limits.
 * @return Whether it is live and serving, and was heard within `m_suspect`.
 */
[[nodiscard]] auto takes_work(const member& row, time_point now, const limits& bounds) noexcept -> bool;

/**
 * @brief Tells whether a member is still worth listing.
 * @param row The member.
 * @param now The time.
 * @param bounds The limits.
 * @return Whether it has been heard within `m_forget`.
 */
[[nodiscard]] auto listed(const member& row, time_point now, const limits& bounds) noexcept -> bool;

/**
 * @brief Finds the owner of a shard of a plain service.
 * @param members The table.
 * @param group Name of the plain service.
 * @param shard The shard.
 * @param now The time.
 * @param bounds The limits.
 * @return The member that takes work and holds the shard under the highest fencing number, or null.
 */
[[nodiscard]] auto owner(const table& members, std::string_view group, shard_id shard, time_point now,
                         const limits& bounds) noexcept -> const member*;

/*! @brief Returns the name of a phase. @param value The phase. @return The name. */
[[nodiscard]] auto to_string(phase value) noexcept -> std::string_view;

/*! @brief Returns the name of a standing. @param value The standing. @return The name. */
[[nodiscard]] auto to_string(standing value) noexcept -> std::string_view;

} // namespace rhubarbwharf::membership
