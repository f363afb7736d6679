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

/*! @brief Settings of the shard owners of one service. */
struct options {
    std::string m_service{};
    std::uint32_t m_shard_count{16};
    duration m_lease_ttl{std::chrono::seconds{10}};
    /*! @brief Time before the expiry of the lease from which claims are no longer accepted. */
    duration m_lease_margin{std::chrono::seconds{2}};
    /*! @brief Age beyond which an unknown key is refused; stored keys are kept at least `segment_expiry_margin` longer.
     */
    std::chrono::milliseconds m_retention{std::chrono::hours{24}};
    /*! @brief Time for which a claim waits for others to be written with it. */
    duration m_group_commit_delay{std::chrono::milliseconds{5}};
    std::size_t m_max_segment_bytes{65'536};
    /*! @brief Maximum size of an answer's body that is stored; larger bodies are omitted. */
    std::size_t m_max_answer_bytes{1'024};
    /*! @brief Rate limit of the journal writes of all shards together; bursts of one second are allowed. */
    double m_max_writes_per_second{100.0};
};

/*! @brief Maximum difference between the wall clocks of two processes; keys from further in the future are refused. */
inline constexpr std::chrono::milliseconds max_clock_skew = std::chrono::minutes{5};
/*! @brief Additional retention of a segment; twice the skew since clocks may differ in both directions. */
inline constexpr std::chrono::milliseconds segment_expiry_margin = 2 * max_clock_skew;
/*! @brief Maximum time for which an end record waits to be written together with a claim. */
inline constexpr duration max_end_record_delay = std::chrono::milliseconds{200};
/*! @brief Interval between attempts to delete an expired segment. */
inline constexpr std::chrono::milliseconds segment_expiry_retry_interval = std::chrono::minutes{1};
/*! @brief Interval between retries after an operation on the key-value service failed. */
inline constexpr duration journal_retry_interval = std::chrono::milliseconds{500};
/*! @brief Age of a write in flight beyond which new calls are refused immediately. */
inline constexpr duration slow_write_threshold = std::chrono::seconds{1};
/*! @brief Maximum number of pending claims of a shard. */
inline constexpr std::size_t max_pending_claims = 4096;
/*! @brief Maximum number of calls with the same key that wait for one answer. */
inline constexpr std::size_t max_waiters_per_key = 8;

/*! @brief State of an idempotency key. */
enum class key_state : std::uint8_t {
    /*! @brief The claim waits to be written. */
    pending,
    /*! @brief The claim is being written. */
    writing,
    /*! @brief The claim is stored; the call has been started, or a previous owner may have started it. */
    claimed,
    /*! @brief The call ran and its answer is known. */
    ended,
    /*! @brief Writing the claim failed with unknown outcome; it may still take effect. */
    uncertain,
};

/*! @brief State of one key of a shard. */
struct key_entry {
    key_state m_state{key_state::pending};
    call_key m_content{};
    std::uint64_t m_key_time_ms{};
    /*! @brief Number of the segment that holds the claim. */
    std::uint64_t m_segment{};
    stored_answer m_answer{};
    /*! @brief Calls that wait for the claim; the first one created it. */
    std::vector<call_number> m_callers{};
};

/*! @brief Phases of the ownership of a shard. */
enum class shard_phase : std::uint8_t {
    idle,
    /*! @brief The owner key is being written. */
    acquiring,
    /*! @brief The segments are being read. */
    reading,
    /*! @brief The new fencing token is being written to the open segment by compare-and-swap. */
    taking,
    owned,
    /*! @brief No more claims are accepted; the owner key is deleted once running calls have ended. */
    releasing,
};

/*! @brief Segment to which no more records are appended. */
struct sealed_segment {
    std::uint64_t m_number{};
    std::uint64_t m_revision{};
    /*! @brief Latest creation time of the keys claimed in it, in milliseconds since the Unix epoch. */
    std::uint64_t m_newest_key_time_ms{};
};

/*! @brief State of one shard of the service's keys. */
struct shard {
    shard_id m_id{};
    shard_phase m_phase{shard_phase::idle};
    /*! @brief Last operation; completions with another number are stale and ignored. */
    operation_number m_operation{};
    bool m_is_in_flight{};
    bool m_is_expiring{};
    operation_number m_expiry_operation{};
    wall_time m_next_expiry_at{};
    /*! @brief Whether the operation in flight deletes the owner key. */
    bool m_is_deleting_owner_key{};
    time_point m_sent_at{};
    time_point m_retry_at{};
    /*! @brief False after a failed write; claims are refused until a write succeeds. */
    bool m_is_healthy{true};

    std::uint64_t m_owner_revision{};
    fencing_token m_token{};
    /*! @brief Open segment as last written, without its records; does not exist yet while the revision is 0. */
    segment m_open_header{};
    std::string m_open_bytes{};
    std::uint64_t m_open_revision{};
    std::uint64_t m_open_newest_key_time_ms{};
    /*! @brief Number of the last write, and whether it seals the segment. */
    std::uint64_t m_write_number{};
    bool m_is_sealing{};

    std::vector<record> m_pending_records{};
    std::vector<record> m_writing_records{};
    std::size_t m_pending_claims{};
    time_point m_claims_pending_since{};
    time_point m_ends_pending_since{};

    std::unordered_map<call_key, key_entry> m_keys{};
    /*! @brief Keys in the state `key_state::uncertain`. */
    std::vector<call_key> m_uncertain_keys{};
    std::deque<sealed_segment> m_sealed_segments{};
    /*! @brief Consecutive listings in which the owner key was missing or another instance was preferred. */
    std::uint32_t m_ownership_polls{};
};

/*! @brief Call that runs at the backend server. */
struct running_call {
    shard_id m_shard{};
    call_key m_content{};
    std::vector<call_number> m_callers{};
};

/*! @brief Counters that are exported as metrics. */
struct owner_counts {
    std::uint64_t m_claims{};
    std::uint64_t m_journal_writes{};
    std::uint64_t m_runs{};
    std::uint64_t m_fenced_writes{};
    std::uint64_t m_takeovers{};
    std::uint64_t m_expired_segments{};
    std::uint64_t m_unknown_writes{};
};

/*! @brief State of a process that owns shards of one service. */
struct owner {
    options m_options{};
    /*! @brief Instance and incarnation; unique among all processes ever started. */
    std::string m_name{};
    std::string m_instance{};
    /*! @brief Live instances of the service, including this one. */
    std::vector<std::string> m_members{};
    std::int64_t m_lease{};
    /*! @brief Expiry of the lease, counted from when its grant or renewal was sent. */
    time_point m_lease_expires_at{};
    time_point m_lease_sent_at{};
    time_point m_lease_retry_at{};
    bool m_is_lease_in_flight{};
    bool m_is_list_in_flight{};
    time_point m_next_list_at{};
    bool m_is_releasing_all{};
    bool m_is_all_released{};
    /*! @brief Whether the backend server cannot serve; no shards are acquired and owned ones are handed over. */
    bool m_is_suspended{};
    std::uint64_t m_last_operation{};
    std::uint64_t m_last_write_number{};
    /*! @brief Journal writes that the rate limit allows now, and when this was last updated. */
    double m_write_tokens{};
    time_point m_write_tokens_updated_at{};
    std::vector<shard> m_shards{};
    std::unordered_map<call_key, running_call> m_running_calls{};
    owner_counts m_counts{};
};

/*! @brief Incoming call. */
struct call_request {
    call_number m_call{};
    call_key m_key{};
    call_key m_content{};
    std::uint64_t m_key_time_ms{};
};

/*! @brief Result of a call at the backend server. */
struct call_result {
    enum class kind : std::uint8_t {
        /*! @brief The call ran; the answer is complete. */
        answered,
        /*! @brief No byte of the call can have reached the backend server. */
        not_run,
        /*! @brief The call may have run. */
        unknown,
    };

    kind m_kind{kind::unknown};
    stored_answer m_answer{};
};

/*! @brief Result of a write or delete; see `platform::put_outcome`. */
struct write_result {
    code m_code{code::ok};
    /*! @brief After a failure: whether the operation may still have taken effect. */
    outcome m_written{outcome::not_run};
    /*! @brief New revision after `ok`; current one after `compare_failed`, or 0 if the key does not exist. */
    std::uint64_t m_revision{};
    /*! @brief Current value after `compare_failed`. */
    std::string m_value{};
};

/*! @brief Entry of a listing of the owner keys. */
struct owner_listing {
    shard_id m_shard{};
    std::uint64_t m_revision{};
    std::string m_owner{};
};

/**
 * @brief Creates the state of a process that owns no shards yet.
 * @param incarnation Number that is unique to this start of the instance.
 */
[[nodiscard]] auto make_owner(options settings, std::string_view instance, std::uint64_t incarnation) -> owner;

/**
 * @brief Advances the lease, the ownership of shards and the journal writes; must be called regularly.
 * @param out Commands are appended here, as in all functions below.
 */
auto tick(owner& state, time_point now, wall_time wall, commands& out) -> void;

/*! @brief Sets the live instances of the service. @param members Instance names; this one is added if missing. */
auto set_members(owner& state, std::vector<std::string> members) -> void;

/*! @brief Completes `grant_lease`. @param lease Id of the lease; used only if the code is `ok`. */
auto on_granted(owner& state, code value, std::int64_t lease) -> void;

/*! @brief Completes `renew_lease`. */
auto on_renewed(owner& state, code value) -> void;

/*! @brief Completes `revoke_lease`. */
auto on_revoked(owner& state) -> void;

/*! @brief Completes `list_owners`. */
auto on_owners(owner& state, code value, std::span<const owner_listing> owners, time_point now, commands& out) -> void;

/*! @brief Completes `list_segments`. @param segments All segments of the shard, by ascending number. */
auto on_segments(owner& state, shard_id shard, operation_number operation, code value,
                 std::span<const stored_segment> segments, time_point now, commands& out) -> void;

/*! @brief Completes `write_key` or `remove_key`. */
auto on_written(owner& state, shard_id shard, operation_number operation, const write_result& value, time_point now,
                commands& out) -> void;

/**
 * @brief Accepts or refuses a call.
 *
 * The call is answered by exactly one `answer_call`, either immediately or later.
 */
auto on_call(owner& state, const call_request& request, time_point now, wall_time wall, commands& out) -> void;

/*! @brief Completes `run_call`. */
auto on_result(owner& state, const call_key& key, const call_result& value, time_point now, commands& out) -> void;

/*! @brief Starts to release all shards: stops accepting claims and revokes the lease once all calls have ended. */
auto release_all(owner& state) -> void;

/*! @brief Checks whether the lease is held for at least the margin, so that claims may be accepted. */
[[nodiscard]] auto holds_lease(const owner& state, time_point now) -> bool;

/*! @brief Returns the instance that should own a shard, by rendezvous hashing; empty without members. */
[[nodiscard]] auto preferred_owner(std::span<const std::string> members, shard_id shard) -> std::string_view;

} // namespace rhubarbwharf::execution
