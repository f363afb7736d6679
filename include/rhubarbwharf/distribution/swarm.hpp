#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/distribution/bit_set.hpp>
#include <rhubarbwharf/distribution/fwd.hpp>

namespace rhubarbwharf::distribution {

/*! @brief Source id that denotes the origin rather than an instance. */
inline constexpr instance_id origin{UINT32_MAX};

/*! @brief Parameters of the chunk exchange; must be the same in all instances. */
struct policy {
    /*! @brief Mean number of neighbours of an instance within its region. */
    std::uint32_t m_degree{24};
    /*! @brief Gateway instances that use one link between regions concurrently. */
    std::uint32_t m_gateways_per_link{2};
    /*! @brief Regions with at most this many instances use all of them as gateways of each link. */
    std::uint32_t m_small_region_size{3};
    /*! @brief Standby gateway instances of each link. */
    std::uint32_t m_spare_gateways{2};
    /*! @brief Number of complete copies that may be read from the origin. */
    std::uint32_t m_origin_copies{1};
    /*! @brief Instances that share the reading of one copy from the origin, each a disjoint part. */
    std::uint32_t m_origin_readers{4};
    /*! @brief Maximum number of concurrent fetches of an instance within its region. */
    std::uint32_t m_max_fetches{4};
    /*! @brief Maximum number of concurrent fetches of a gateway instance over each link. */
    std::uint32_t m_max_link_fetches{2};
    /*! @brief Maximum number of concurrent uploads of an instance within its region. */
    std::uint32_t m_max_uploads{4};
    /*! @brief Maximum number of concurrent uploads of an instance to other regions. */
    std::uint32_t m_max_link_uploads{16};
    /*! @brief Time after which a fetch is cancelled; grows while fetches keep failing. */
    duration m_fetch_timeout{std::chrono::seconds{10}};
    /*! @brief Minimum interval between two have-maps to the same peer. */
    duration m_min_announce_interval{std::chrono::milliseconds{500}};
    /*! @brief Rate limit of the have-maps that one instance sends, over all its peers. */
    std::uint32_t m_max_announces_per_second{50};
    /*! @brief Interval at which an unchanged have-map is sent again while the version is incomplete. */
    duration m_heartbeat_interval{std::chrono::seconds{1}};
    /*! @brief Time without a have-map after which a gateway instance is passed over. */
    duration m_gateway_timeout{std::chrono::seconds{4}};
    /*! @brief Time for which no chunk is requested from a source that answered busy. */
    duration m_busy_backoff{std::chrono::milliseconds{100}};
    /*! @brief Time for which a source reserves an upload slot for an instance that it refused. */
    duration m_reservation_timeout{std::chrono::milliseconds{400}};
    /*! @brief Initial backoff after a failed fetch; doubles with each consecutive failure. */
    duration m_failure_backoff{std::chrono::seconds{2}};
    /*! @brief Initial backoff after a source sent a corrupt chunk; doubles with each consecutive failure. */
    duration m_corrupt_backoff{std::chrono::seconds{30}};
    /*! @brief Time for which a claim keeps other gateway instances from fetching the chunk. */
    duration m_claim_timeout{std::chrono::seconds{6}};
    /*! @brief Minimum idle time of a link before it fetches chunks that are assigned to other links or gateways. */
    duration m_steal_delay{std::chrono::seconds{2}};
    /*! @brief Time without a new chunk after which an instance fetches from the origin itself. */
    duration m_origin_fallback_timeout{std::chrono::seconds{30}};
};

/*! @brief Participating instance; its id is its index in the table of members. */
struct member {
    /*! @brief Stable hash of the instance's name. */
    std::uint64_t m_hash{};
    region_id m_region{};
    /*! @brief False for removed instances, whose entries are kept so that ids stay valid. */
    bool m_live{true};
};

/*! @brief Chunk that another instance fetches over a link between regions or from the origin. */
struct chunk_claim {
    std::uint32_t m_chunk{};
    time_point m_claimed_at{};
};

/*! @brief State of one source of chunks. */
struct source_state {
    instance_id m_instance{};
    region_id m_region{};
    bit_set m_held_chunks{};
    std::vector<chunk_claim> m_claims{};
    /*! @brief When its last have-map was received. */
    time_point m_last_received_at{};
    /*! @brief When its number of chunks last increased. */
    time_point m_last_growth_at{};
    /*! @brief When this instance's have-map was last sent to it; empty if never. */
    std::optional<time_point> m_last_announced_at{};
    time_point m_busy_until{};
    time_point m_backoff_until{};
    /*! @brief Consecutive failed fetches from this source. */
    std::uint32_t m_consecutive_failures{};
    /*! @brief Active fetches from this source. */
    std::uint32_t m_active_fetches{};
    /*! @brief Whether this instance's have-map is sent to it regularly. */
    bool m_is_announce_target{};
    /*! @brief Whether its last have-map was incomplete and has not been answered with one in return. */
    bool m_needs_reply{};
    /*! @brief False once the instance has been removed. */
    bool m_live{true};
};

/*! @brief Instance that was refused an upload and is served first when it requests again. */
struct upload_refusal {
    instance_id m_instance{};
    time_point m_refused_at{};
};

/*! @brief Link into this instance's region of which the instance is a gateway or a spare. */
struct link_state {
    /*! @brief Region at the other end; the origin's region for a link that reads from the origin. */
    region_id m_from{};
    /*! @brief Whether chunks are read from the origin itself. */
    bool m_reads_origin{};
    /*! @brief Which of the copies from the origin is read, from 0. */
    std::uint32_t m_copy_index{};
    /*! @brief Number of instances that use the link concurrently. */
    std::uint32_t m_concurrent_gateways{1};
    /*! @brief Gateway instances and spares by descending rank, including this instance. */
    std::vector<instance_id> m_candidates{};
    /*! @brief Active fetches over the link. */
    std::uint32_t m_active_fetches{};
    /*! @brief When the last fetch of an assigned chunk began; advances while this instance is only a spare. */
    time_point m_idle_since{};
    /*! @brief No chunk is fetched over the link before this time. */
    time_point m_backoff_until{};
    /*! @brief Failed fetches over the link since the last successful one. */
    std::uint32_t m_consecutive_failures{};
};

/*! @brief Fetch that has been started and has not ended. */
struct active_fetch {
    std::uint64_t m_attempt{};
    std::uint32_t m_chunk{};
    instance_id m_source{};
    /*! @brief Index into `swarm::m_links`; empty for a fetch that uses none of them. */
    std::optional<std::uint32_t> m_link_index{};
    time_point m_started_at{};
};

/*! @brief Exchange state of one version at one instance. */
struct swarm {
    instance_id m_self{};
    std::uint64_t m_self_hash{};
    region_id m_region{};
    region_id m_origin_region{};
    /*! @brief Regions that have live members, except the origin's but including this instance's, by ascending hash. */
    std::vector<region_id> m_non_origin_regions{};
    std::uint64_t m_version_hash{};
    /*! @brief Verified chunks; only these are offered to other instances. */
    bit_set m_held_chunks{};
    bit_set m_fetching_chunks{};
    /*! @brief For each chunk, the number of known copies at other instances of the same region. */
    std::vector<std::uint16_t> m_copy_counts{};
    std::vector<source_state> m_sources{};
    /*! @brief Index into `m_sources` by member id; `no_source` if there is none. */
    std::vector<std::uint32_t> m_source_indices{};
    std::vector<link_state> m_links{};
    std::vector<active_fetch> m_fetches{};
    std::uint64_t m_next_attempt{1};
    /*! @brief Failed fetches within the region since the last successful one. */
    std::uint32_t m_consecutive_region_failures{};
    /*! @brief When a chunk was last added to `m_held_chunks`. */
    time_point m_last_progress_at{};
    /*! @brief Active uploads within the region. */
    std::uint32_t m_active_uploads{};
    /*! @brief Active uploads to other regions. */
    std::uint32_t m_active_link_uploads{};
    std::vector<upload_refusal> m_upload_refusals{};
    /*! @brief When this instance's have-map last changed; compared with the time of the last announcement to each
     * target. */
    time_point m_have_map_changed_at{};
    bool m_is_completion_reported{};
};

/*! @brief Value in `swarm::m_source_indices` of a member that has no entry in `swarm::m_sources`. */
inline constexpr std::uint32_t no_source = UINT32_MAX;

/**
 * @brief Raises the timeouts of a policy to fit the size of the chunks and the transfer rates.
 * @param rules Policy whose claim and fetch timeouts are lower bounds.
 * @param chunk_bytes Size of a chunk.
 * @param link_bytes_per_second Rate that bulk transfers may use on a link between regions; zero for no limit.
 * @param upload_bytes_per_second Upload rate of one instance; zero for no limit.
 * @return The policy with timeouts within which a fetch of such a chunk ends.
 */
[[nodiscard]] auto scale_timeouts(policy rules, double chunk_bytes, double link_bytes_per_second,
                                  double upload_bytes_per_second) noexcept -> policy;

/*! @brief Kinds of commands that `plan` issues. */
enum class command_kind : std::uint8_t {
    /*! @brief Fetch `m_chunk` from `m_source`. */
    fetch,
    /*! @brief Cancel the fetch `m_attempt`. */
    cancel,
    /*! @brief Send the have-map to `m_source`. */
    announce,
    /*! @brief All chunks of the version are held; issued once. */
    complete,
};

/*! @brief Command that the caller of `plan` has to execute. */
struct command {
    command_kind m_kind{};
    instance_id m_source{};
    std::uint32_t m_chunk{};
    std::uint64_t m_attempt{};
    /*! @brief Region at the other end of the link whose rate limit applies; empty for a fetch that uses no link. */
    std::optional<region_id> m_link_region{};
    /*! @brief Number of instances that share the link's rate. */
    std::uint32_t m_concurrent_gateways{1};
};

/*! @brief Result of a fetch. */
enum class fetch_result : std::uint8_t {
    /*! @brief The bytes have arrived and match the digest in the manifest. */
    verified,
    corrupt,
    /*! @brief The source has no free upload slot. */
    busy,
    /*! @brief The source does not hold the chunk. */
    not_held,
    failed,
};

/**
 * @brief Creates the state of a version; `set_members` must be called before `plan`.
 * @param self Id of this instance in the table of members.
 * @param version_hash Hash of the manifest's digest.
 * @param held Chunks that are already verified; its size is the number of chunks of the manifest.
 */
[[nodiscard]] auto make_swarm(instance_id self, std::uint64_t version_hash, bit_set held, time_point now) -> swarm;

/**
 * @brief Applies a new table of members: selects neighbours, links and the targets of have-maps.
 * @param members All members by id, including this instance; the id of a member never changes.
 * @param regions Stable hash of the name of each region, by id.
 * @param origin_region Region in which the origin is located; below the number of regions.
 */
auto set_members(swarm& state, std::span<const member> members, std::span<const std::uint64_t> regions,
                 region_id origin_region, const policy& rules, time_point now) -> void;

/**
 * @brief Applies a have-map that was received from another instance.
 * @param held The sender's chunks; a have-map of another size is ignored.
 * @param claims Chunks that the sender is fetching over a link or from the origin.
 */
auto apply_have_map(swarm& state, instance_id from, region_id region, const bit_set& held,
                    std::span<const std::uint32_t> claims, time_point now) -> void;

/**
 * @brief Ends a fetch and records its result.
 * @param attempt Number from the fetch command; ignored if no such fetch is active.
 */
auto finish_fetch(swarm& state, std::uint64_t attempt, fetch_result result, const policy& rules, time_point now)
    -> void;

/*! @brief Adds a chunk that was verified without a fetch, such as one shared with an older version. */
auto add_chunk(swarm& state, std::uint32_t chunk, time_point now) -> void;

/**
 * @brief Decides which chunks to fetch, which fetches to cancel and which have-maps to send.
 * @param random Random bits that are new for each call.
 * @param commands Commands are appended here.
 */
auto plan(swarm& state, const policy& rules, time_point now, std::uint64_t random, std::vector<command>& commands)
    -> void;

/**
 * @brief Decides whether to accept an upload; each accepted one must be ended by `end_upload`.
 * @param requester Requesting instance; `origin` if unknown.
 * @param remote Whether the requester is in another region.
 * @return `verified` if accepted, else `busy` or `not_held`.
 */
[[nodiscard]] auto begin_upload(swarm& state, std::uint32_t chunk, instance_id requester, bool remote,
                                const policy& rules, time_point now) -> fetch_result;

/*! @brief Ends an accepted upload. @param remote As given to `begin_upload`. */
auto end_upload(swarm& state, bool remote) -> void;

/*! @brief Returns the chunks that this instance is fetching over links, for its have-map. */
[[nodiscard]] auto claimed_chunks(const swarm& state) -> std::vector<std::uint32_t>;

} // namespace rhubarbwharf::distribution
