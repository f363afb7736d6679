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

/*! @brief Stands for the origin wherever a source is named. */
inline constexpr instance_id origin{UINT32_MAX};

/*! @brief Numbers that steer the exchange; alike in all instances. */
struct policy {
    /*! @brief Mean count of neighbours in the own region. */
    std::uint32_t m_degree{24};
    /*! @brief Gateway instances that use one link between regions at once. */
    std::uint32_t m_gateways{2};
    /*! @brief Size up to which every instance of a region is a gateway of each link. */
    std::uint32_t m_small_region{3};
    /*! @brief Gateway instances that stand by for each link. */
    std::uint32_t m_spares{2};
    /*! @brief Copies that may be read from the origin. */
    std::uint32_t m_origin_copies{1};
    /*! @brief Instances that read one copy from the origin, each its own part. */
    std::uint32_t m_origin_readers{4};
    /*! @brief Fetches from the own region that one instance has under way. */
    std::uint32_t m_parallel{4};
    /*! @brief Fetches over each link that a gateway instance has under way. */
    std::uint32_t m_link_parallel{2};
    /*! @brief Uploads into the own region that one instance has under way. */
    std::uint32_t m_uploads{4};
    /*! @brief Uploads to other regions that one instance has under way. */
    std::uint32_t m_link_uploads{16};
    /*! @brief Time after which a fetch is given up. */
    duration m_fetch_time{std::chrono::seconds{10}};
    /*! @brief Least time between two have-maps to the same peer. */
    duration m_announce_gap{std::chrono::milliseconds{500}};
    /*! @brief Have-maps that one instance sends a second, over all its peers. */
    std::uint32_t m_announces_per_second{50};
    /*! @brief Time after which a have-map is repeated while the version is not whole. */
    duration m_heartbeat{std::chrono::seconds{1}};
    /*! @brief Time without a have-map after which a gateway instance is passed over. */
    duration m_silence{std::chrono::seconds{4}};
    /*! @brief Time for which a source that was busy is left alone. */
    duration m_busy_time{std::chrono::milliseconds{100}};
    /*! @brief Time for which a source keeps a turn for an instance that it refused. */
    duration m_turn_time{std::chrono::milliseconds{400}};
    /*! @brief Time for which a source that failed is left alone; doubles with each failure. */
    duration m_avoid_time{std::chrono::seconds{2}};
    /*! @brief Time for which a source that sent a corrupt chunk is left alone. */
    duration m_corrupt_time{std::chrono::seconds{30}};
    /*! @brief Time for which a claim keeps other gateway instances from a chunk. */
    duration m_claim_time{std::chrono::seconds{6}};
    /*! @brief Time that a link may be idle before chunks of other links are fetched over it. */
    duration m_steal_time{std::chrono::seconds{2}};
    /*! @brief Time without any new chunk after which an instance asks the origin itself. */
    duration m_patience{std::chrono::seconds{30}};
};

/*! @brief One instance that takes part; its id is its place in the table of members. */
struct member {
    /*! @brief Stable hash of the instance's name. */
    std::uint64_t m_hash{};
    region_id m_region{};
    /*! @brief False for instances that are gone; their place is kept. */
    bool m_live{true};
};

/*! @brief A chunk that another instance fetches over a link between regions or from the origin. */
struct claim_row {
    std::uint32_t m_chunk{};
    time_point m_since{};
};

/*! @brief What is known of one source of chunks. */
struct source_row {
    instance_id m_instance{};
    region_id m_region{};
    bit_set m_held{};
    std::vector<claim_row> m_claims{};
    time_point m_heard{};
    /*! @brief When it last held more chunks than before. */
    time_point m_grown{};
    /*! @brief When the own have-map was last sent to it. */
    std::optional<time_point> m_told{};
    time_point m_busy_until{};
    time_point m_avoid_until{};
    std::uint32_t m_failures{};
    std::uint32_t m_fetches{};
    /*! @brief Whether the own have-map goes to it. */
    bool m_target{};
    /*! @brief Whether it waits for an answer to its have-map. */
    bool m_asked{};
    /*! @brief False once the source is gone. */
    bool m_live{true};
};

/*! @brief An instance that was refused an upload and has its turn when it asks again. */
struct refused_row {
    instance_id m_instance{};
    time_point m_at{};
};

/*! @brief A link into the own region, for which this instance is a gateway or a spare. */
struct link_row {
    /*! @brief Region at the other end; that of the origin for a lane. */
    region_id m_from{};
    /*! @brief Whether chunks are read from the origin itself. */
    bool m_direct{};
    /*! @brief Which of the copies from the origin is read, from 0. */
    std::uint32_t m_lane{};
    /*! @brief Instances that use the link at once. */
    std::uint32_t m_width{1};
    /*! @brief Gateway instances and spares by descending rank, this one among them. */
    std::vector<instance_id> m_candidates{};
    std::uint32_t m_fetches{};
    /*! @brief When a chunk of its own part was last fetched over the link. */
    time_point m_idle_since{};
    /*! @brief Time before which nothing is fetched over the link, after failures. */
    time_point m_wait_until{};
    /*! @brief Fetches over the link that failed since one ended well. */
    std::uint32_t m_failures{};
};

/*! @brief A fetch under way. */
struct fetch_row {
    std::uint64_t m_attempt{};
    std::uint32_t m_chunk{};
    instance_id m_source{};
    /*! @brief Place in the table of links; nothing for a fetch within the region. */
    std::optional<std::uint32_t> m_link{};
    time_point m_started{};
};

/*! @brief Tables of one version at one instance. */
struct swarm {
    instance_id m_self{};
    std::uint64_t m_self_hash{};
    region_id m_region{};
    region_id m_origin_region{};
    /*! @brief Regions that have members, by ascending hash, without the origin's. */
    std::vector<region_id> m_remote_regions{};
    std::uint64_t m_version_hash{};
    /*! @brief Verified chunks: the only ones that are offered. */
    bit_set m_held{};
    bit_set m_fetching{};
    /*! @brief For each chunk, the known copies at other instances of the own region. */
    std::vector<std::uint16_t> m_copies{};
    std::vector<source_row> m_sources{};
    /*! @brief Place in `m_sources` by member; `no_row` for none. */
    std::vector<std::uint32_t> m_rows{};
    std::vector<link_row> m_links{};
    std::vector<fetch_row> m_fetches{};
    std::uint64_t m_next_attempt{1};
    /*! @brief Fetches within the region that failed since one ended well. */
    std::uint32_t m_failures{};
    time_point m_progress{};
    std::uint32_t m_uploads{};
    std::uint32_t m_link_uploads{};
    std::vector<refused_row> m_refused{};
    /*! @brief Changes of the own have-map; told apart by when each target was told. */
    time_point m_changed{};
    bool m_reported_whole{};
};

inline constexpr std::uint32_t no_row = UINT32_MAX;

/**
 * @brief Stretches the times of a policy to the size of the chunks and the rates they travel at.
 * @param rules The policy.
 * @param chunk_bytes Size of a chunk.
 * @param link_bytes_per_second Rate of a link between regions that bulk may use; zero for no limit.
 * @param upload_bytes_per_second Rate at which one instance may upload; zero for no limit.
 * @return The policy with times that such a fetch ends within.
 */
[[nodiscard]] auto stretch(policy rules, double chunk_bytes, double link_bytes_per_second,
                           double upload_bytes_per_second) noexcept -> policy;

/*! @brief What a shell is asked to do. */
enum class command_kind : std::uint8_t {
    /*! @brief Fetch `m_chunk` from `m_source`. */
    fetch,
    /*! @brief Give up the fetch `m_attempt`. */
    cancel,
    /*! @brief Send the have-map to `m_source`. */
    announce,
    /*! @brief The version has become whole. */
    whole,
};

/*! @brief One command for a shell. */
struct command {
    command_kind m_kind{};
    instance_id m_source{};
    std::uint32_t m_chunk{};
    std::uint64_t m_attempt{};
    /*! @brief Region at the other end of the link that the fetch is paced on; nothing within the region. */
    std::optional<region_id> m_link{};
    /*! @brief Instances that share the link at once. */
    std::uint32_t m_width{1};
};

/*! @brief How a fetch ended. */
enum class fetch_end : std::uint8_t {
    /*! @brief The bytes are there and have the digest of the manifest. */
    verified,
    corrupt,
    /*! @brief The source has no free upload. */
    busy,
    /*! @brief The source does not hold the chunk. */
    not_held,
    failed,
};

/**
 * @brief Makes the tables of a version of which some chunks may be held already.
 * @param self Own id in the table of members.
 * @param version_hash Hash of the manifest's digest.
 * @param held Verified chunks, of the size of the manifest.
 * @param now The time.
 * @return The tables; `set_members` has still to be called.
 */
[[nodiscard]] auto make_swarm(instance_id self, std::uint64_t version_hash, bit_set held, time_point now) -> swarm;

/**
 * @brief Takes a new table of members: works out neighbours, links and who gets have-maps.
 * @param state The tables.
 * @param members All members; ids never change their meaning.
 * @param regions Stable hash of the name of each region, by id.
 * @param origin_region Region that the origin stands in; below the count of regions.
 * @param rules The policy.
 * @param now The time.
 */
auto set_members(swarm& state, std::span<const member> members, std::span<const std::uint64_t> regions,
                 region_id origin_region, const policy& rules, time_point now) -> void;

/**
 * @brief Takes a have-map.
 * @param state The tables.
 * @param from The sender.
 * @param region The sender's region.
 * @param held Its chunks; one of another size is left out.
 * @param claims Chunks that it is fetching over a link.
 * @param now The time.
 */
auto take_have(swarm& state, instance_id from, region_id region, const bit_set& held,
               std::span<const std::uint32_t> claims, time_point now) -> void;

/**
 * @brief Takes the end of a fetch; an attempt that is not known any more changes nothing.
 * @param state The tables.
 * @param attempt The attempt from the command.
 * @param end How it ended.
 * @param rules The policy.
 * @param now The time.
 */
auto take_end(swarm& state, std::uint64_t attempt, fetch_end end, const policy& rules, time_point now) -> void;

/**
 * @brief Takes chunks that were verified outside a fetch.
 * @param state The tables.
 * @param chunk The chunk.
 * @param now The time.
 */
auto take_chunk(swarm& state, std::uint32_t chunk, time_point now) -> void;

/**
 * @brief Decides what to fetch, to give up and to announce.
 * @param state The tables.
 * @param rules The policy.
 * @param now The time.
 * @param random Fresh random bits.
 * @param commands Commands are appended here.
 */
auto plan(swarm& state, const policy& rules, time_point now, std::uint64_t random, std::vector<command>& commands)
    -> void;

/**
 * @brief Decides whether a chunk is uploaded now; each accepted upload must be ended by `end_upload`.
 * @param state The tables.
 * @param chunk The chunk.
 * @param asker Who asks; `origin` if it is not known.
 * @param remote Whether the asker stands in another region.
 * @param rules The policy.
 * @param now The time.
 * @return `verified` if accepted, else `busy` or `not_held`.
 */
[[nodiscard]] auto begin_upload(swarm& state, std::uint32_t chunk, instance_id asker, bool remote, const policy& rules,
                                time_point now) -> fetch_end;

/*! @brief Ends an accepted upload. @param state The tables. @param remote As given to `begin_upload`. */
auto end_upload(swarm& state, bool remote) -> void;

/*! @brief Returns the chunks that are being fetched over links. @param state The tables. @return The chunks. */
[[nodiscard]] auto claims(const swarm& state) -> std::vector<std::uint32_t>;

} // namespace rhubarbwharf::distribution
