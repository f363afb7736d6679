#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/execution/command.hpp>
#include <rhubarbwharf/execution/fwd.hpp>
#include <rhubarbwharf/execution/key.hpp>
#include <rhubarbwharf/execution/segment.hpp>

namespace rhubarbwharf::execution {

/*! @brief Settings of the owners of one service. */
struct options {
    std::string m_service{};
    std::uint32_t m_shards{16};
    duration m_lease{std::chrono::seconds{10}};
    /*! @brief Time before the lease's end from which no claim is taken. */
    duration m_margin{std::chrono::seconds{2}};
    std::chrono::milliseconds m_retention{std::chrono::hours{24}};
    /*! @brief Time for which a claim waits for others to share its write. */
    duration m_group_commit{std::chrono::milliseconds{5}};
    std::size_t m_segment_bytes{65'536};
    std::size_t m_answer_bytes{1'024};
    /*! @brief Journal writes a second of all shards together; a second's worth is saved up. */
    double m_writes_per_second{100.0};
};

/*! @brief Largest difference of two processes' wall clocks; keys from further ahead are refused. */
inline constexpr std::chrono::milliseconds clock_skew_max = std::chrono::minutes{5};
/*! @brief Time past the retention after which a segment may be deleted: two clocks may differ both ways. */
inline constexpr std::chrono::milliseconds fold_margin = 2 * clock_skew_max;
/*! @brief Longest time that an end waits for a claim to share its write. */
inline constexpr duration end_delay = std::chrono::milliseconds{200};
/*! @brief Time between tries to delete an old segment. */
inline constexpr std::chrono::milliseconds fold_retry_time = std::chrono::minutes{1};
/*! @brief Time between tries after the key-value service failed. */
inline constexpr duration journal_retry_time = std::chrono::milliseconds{500};
/*! @brief Age of a write in flight from which new calls are refused at once. */
inline constexpr duration slow_write_time = std::chrono::seconds{1};
/*! @brief Claims that may wait in one shard. */
inline constexpr std::size_t pending_claims_max = 4096;
/*! @brief Calls with the same key that may wait for the first one's answer. */
inline constexpr std::size_t waiters_max = 8;

/*! @brief What is known of a key. */
enum class key_state : std::uint8_t {
    /*! @brief Its claim waits to be written. */
    pending,
    /*! @brief Its claim is being written. */
    writing,
    /*! @brief Its claim is written; the call has started, or its former owner may have started it. */
    claimed,
    /*! @brief Its call ran and the answer is known. */
    ended,
    /*! @brief Its claim was given up, but may be written yet. */
    doubtful,
};

/*! @brief One key of a shard. */
struct key_entry {
    key_state m_state{key_state::pending};
    call_key m_content{};
    std::uint64_t m_key_time_ms{};
    /*! @brief Segment of the claim. */
    std::uint64_t m_segment{};
    kept_answer m_answer{};
    /*! @brief Calls that wait for the claim; the first brought it in. */
    std::vector<call_number> m_callers{};
};

/*! @brief How far the ownership of a shard is. */
enum class shard_phase : std::uint8_t {
    idle,
    /*! @brief The owner's key is being written. */
    acquiring,
    /*! @brief The segments are being read. */
    reading,
    /*! @brief The own fencing token is being swapped into the open segment. */
    taking,
    owned,
    /*! @brief Takes no more claims, ends what runs, then deletes the owner's key. */
    releasing,
};

/*! @brief A full segment. */
struct sealed_segment {
    std::uint64_t m_number{};
    std::uint64_t m_revision{};
    /*! @brief Latest time of any key claimed in it, in milliseconds since the Unix epoch. */
    std::uint64_t m_newest_ms{};
};

/*! @brief One shard of the service's keys. */
struct shard {
    shard_id m_id{};
    shard_phase m_phase{shard_phase::idle};
    /*! @brief Operation in flight; completions of others are stale. */
    operation_number m_operation{};
    bool m_is_in_flight{};
    bool m_is_folding{};
    operation_number m_fold_operation{};
    wall_time m_fold_at{};
    /*! @brief Whether the operation in flight deletes the owner's key. */
    bool m_is_removing{};
    time_point m_sent_at{};
    time_point m_retry_at{};
    /*! @brief Whether the last write succeeded; if not, no claim is taken until one does. */
    bool m_is_healthy{true};

    std::uint64_t m_owner_revision{};
    fencing_token m_token{};
    /*! @brief Open segment without its records, as last written; revision 0: not created yet. */
    segment m_open{};
    std::string m_open_bytes{};
    std::uint64_t m_open_revision{};
    std::uint64_t m_open_newest_ms{};
    /*! @brief Number of the write in flight, and whether it seals. */
    std::uint64_t m_write{};
    bool m_is_sealing{};

    std::vector<record> m_pending{};
    std::vector<record> m_writing{};
    std::size_t m_pending_claims{};
    time_point m_claims_since{};
    time_point m_ends_since{};

    std::unordered_map<call_key, key_entry> m_keys{};
    /*! @brief Keys in the state `doubtful`. */
    std::vector<call_key> m_doubtful{};
    std::deque<sealed_segment> m_sealed{};
    /*! @brief How often the owner's key was found free, or the shard's preferred owner found to be another. */
    std::uint32_t m_polls{};
};

/*! @brief A call at the backend server. */
struct running_call {
    shard_id m_shard{};
    call_key m_content{};
    std::vector<call_number> m_callers{};
};

/*! @brief Counts for metrics. */
struct owner_counts {
    std::uint64_t m_claims{};
    std::uint64_t m_journal_writes{};
    std::uint64_t m_runs{};
    std::uint64_t m_fenced{};
    std::uint64_t m_takeovers{};
    std::uint64_t m_folded{};
    std::uint64_t m_unknown_writes{};
};

/*! @brief All that one process holds to own shards of one service. */
struct owner {
    options m_options{};
    /*! @brief Instance and incarnation; no other process ever has the same. */
    std::string m_name{};
    std::string m_instance{};
    /*! @brief Live instances of the service, the own one among them. */
    std::vector<std::string> m_members{};
    std::int64_t m_lease{};
    /*! @brief End of the lease, reckoned from when its grant or renewal was sent. */
    time_point m_lease_until{};
    time_point m_lease_sent{};
    time_point m_lease_retry{};
    bool m_is_lease_in_flight{};
    bool m_is_listing{};
    time_point m_list_at{};
    bool m_is_giving_back{};
    bool m_is_given_back{};
    /*! @brief Whether the backend server can't serve: no shard is taken, those held are handed over. */
    bool m_is_suspended{};
    std::uint64_t m_last_operation{};
    std::uint64_t m_last_write{};
    /*! @brief Journal writes saved up, and when that was reckoned. */
    double m_writes_saved{};
    time_point m_saved_at{};
    std::vector<shard> m_shards{};
    std::unordered_map<call_key, running_call> m_running{};
    owner_counts m_counts{};
};

/*! @brief A call that has come in. */
struct call_request {
    call_number m_call{};
    call_key m_key{};
    call_key m_content{};
    std::uint64_t m_key_time_ms{};
};

/*! @brief How a call at the backend server ended. */
struct call_result {
    enum class kind : std::uint8_t {
        /*! @brief It ran; the answer is whole. */
        answered,
        /*! @brief No byte of it can have reached the backend server. */
        not_run,
        /*! @brief It may have run. */
        unknown,
    };

    kind m_kind{kind::unknown};
    kept_answer m_answer{};
};

/*! @brief How a write or delete ended; as `platform::put_outcome`. */
struct write_result {
    code m_code{code::ok};
    outcome m_written{outcome::not_run};
    /*! @brief After `ok` the new revision; after `compare_failed` that of the value that stands, 0 for none. */
    std::uint64_t m_revision{};
    /*! @brief After `compare_failed`: the value that stands. */
    std::string m_value{};
};

/*! @brief An owner's key as listed. */
struct owner_listing {
    shard_id m_shard{};
    std::uint64_t m_revision{};
    std::string m_owner{};
};

/**
 * @brief Makes the tables of a process that owns nothing yet.
 * @param settings The settings.
 * @param instance The instance's name.
 * @param incarnation Number that no other start of the instance has.
 * @return The tables.
 */
[[nodiscard]] auto make_owner(options settings, std::string_view instance, std::uint64_t incarnation) -> owner;

/**
 * @brief Moves leases, shards and writes on.
 * @param table The tables.
 * @param now Steady time.
 * @param wall Wall-clock time.
 * @param out Gets what to do.
 */
auto tick(owner& table, time_point now, wall_time wall, commands& out) -> void;

/*! @brief Takes the live instances of the service. @param table The tables. @param members Their names. */
auto set_members(owner& table, std::vector<std::string> members) -> void;

/*! @brief Ends `grant_lease`. @param table The tables. @param value How. @param lease The lease. */
auto on_granted(owner& table, code value, std::int64_t lease) -> void;

/*! @brief Ends `renew_lease`. @param table The tables. @param value How. */
auto on_renewed(owner& table, code value) -> void;

/*! @brief Ends `revoke_lease`. @param table The tables. */
auto on_revoked(owner& table) -> void;

/*! @brief Ends `list_owners`. @param table The tables. @param value How. @param owners The keys. @param now The time.
 * @param out Gets what to do. */
auto on_owners(owner& table, code value, std::span<const owner_listing> owners, time_point now, commands& out) -> void;

/*! @brief Ends `list_segments`. @param table The tables. @param shard The shard. @param operation The operation.
 * @param value How. @param segments All segments, by number. @param now The time. @param out Gets what to do. */
auto on_segments(owner& table, shard_id shard, operation_number operation, code value,
                 std::span<const stored_segment> segments, time_point now, commands& out) -> void;

/*! @brief Ends `write_key` or `remove_key`. @param table The tables. @param shard The shard. @param operation The
 * operation. @param value How. @param now The time. @param out Gets what to do. */
auto on_written(owner& table, shard_id shard, operation_number operation, const write_result& value, time_point now,
                commands& out) -> void;

/**
 * @brief Takes a call. It is answered by an `answer_call`, now or later, exactly once.
 * @param table The tables.
 * @param request The call.
 * @param now Steady time.
 * @param wall Wall-clock time.
 * @param out Gets what to do.
 */
auto on_call(owner& table, const call_request& request, time_point now, wall_time wall, commands& out) -> void;

/**
 * @brief Ends `run_call`.
 * @param table The tables.
 * @param key The key.
 * @param value How.
 * @param now The time.
 * @param out Gets what to do.
 */
auto on_result(owner& table, const call_key& key, const call_result& value, time_point now, commands& out) -> void;

/*! @brief Gives all shards back: no more claims, and the lease once all has ended. @param table The tables. */
auto give_back(owner& table) -> void;

/*! @brief Returns whether claims may be taken. @param table The tables. @param now The time. */
[[nodiscard]] auto holds_lease(const owner& table, time_point now) -> bool;

/*! @brief Returns the instance that should own a shard, by rendezvous hashing. @param members The live instances.
 * @param shard The shard. @return The instance with the highest hash; empty if there is none. */
[[nodiscard]] auto preferred(std::span<const std::string> members, shard_id shard) -> std::string_view;

} // namespace rhubarbwharf::execution
