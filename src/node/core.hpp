#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/config/node.hpp>
#include <rhubarbwharf/fleet/change_account.hpp>
#include <rhubarbwharf/fleet/configuration.hpp>
#include <rhubarbwharf/fleet/configuration_offers.hpp>
#include <rhubarbwharf/fleet/evacuation.hpp>
#include <rhubarbwharf/fleet/limit.hpp>
#include <rhubarbwharf/fleet/member.hpp>
#include <rhubarbwharf/fleet/region.hpp>
#include <rhubarbwharf/fleet/server.hpp>
#include <rhubarbwharf/fleet/stall.hpp>
#include <rhubarbwharf/net/bus.hpp>
#include <rhubarbwharf/net/events.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>
#include <rhubarbwharf/net/metrics.hpp>

#include <node/follower.hpp>
#include <node/registration.hpp>
#include <node/store_fallback.hpp>
#include <platform/store.hpp>

namespace rhubarbwharf::wire::fleet {
class Frame;
class Pull;
class State;
} // namespace rhubarbwharf::wire::fleet

namespace rhubarbwharf::node {

/*! @brief Callbacks of a role; the constructor of `core` sets each to a no-op. */
struct core_handlers {
    /*! @brief Called after the configuration in force has changed. */
    std::function<void()> m_on_configuration{};
    /*! @brief Called after a weights target has been added. */
    std::function<void()> m_on_weights{};
    /*! @brief Called with the id of a backend server after it has been added, changed or removed. */
    std::function<void(const std::string&)> m_on_server{};
    /*! @brief Called with the name of a data centre after its evacuation has begun or ended. */
    std::function<void(const std::string&)> m_on_evacuation{};
    /*! @brief Called with the name of a gateway whose process is new to this one. */
    std::function<void(const std::string&)> m_on_gateway{};
    /*! @brief Called with the sender and each state that a peer or a seed has sent, before its configuration is
     * applied.
     */
    std::function<void(std::string_view, const wire::fleet::State&)> m_on_state{};
    /*! @brief Called with the length of a suspension of the machine, which the steady clock did not count. */
    std::function<void(duration)> m_on_suspension{};
    /*! @brief Called with the sender and each frame that the core does not handle. */
    std::function<void(std::string_view, const wire::fleet::Frame&)> m_on_frame{};
};

/*! @brief Key written by an operator, with what is known of the time of the write. */
struct operator_item {
    adapter::key_value m_item{};
    /*! @brief When it was written. */
    fleet::arrival_time m_written{};
};

/*! @brief Version of the store, and a time at which the store had no later one; of the boot-time clock. */
struct told_store_version {
    fleet::store_version m_version{};
    time_point m_as_of{};
};

/*! @brief Request of a gateway for the version of the store. */
struct store_version_request {
    std::uint64_t m_number{};
    /*! @brief When it arrived; of the boot-time clock. */
    time_point m_arrived_at{};
};

/*! @brief Digests of the table of backend servers, computed when it has changed. */
struct server_digests {
    std::uint64_t m_changes{UINT64_MAX};
    std::uint64_t m_versions{};
    std::uint64_t m_revisions{};
};

/*! @brief Configuration as it is sent to other processes; each part is empty until it is needed. */
struct compressed_configuration {
    std::uint64_t m_version{};
    std::string m_whole{};
    /*! @brief Without what only gateways use. */
    std::string m_for_loaders{};
};

/*! @brief State common to gateways and loaders; accessed only on the loop's thread. */
struct core {
    core(const config::node_settings& settings, bool follows_servers);

    config::node_settings m_settings{};
    std::uint64_t m_incarnation{};
    std::mt19937_64 m_random;
    time_point m_started{};

    net::loop m_loop{};
    net::event_log m_events;
    net::counters m_counters{};
    net::http_client m_http;
    net::bus m_bus;
    adapter::store m_store;

    fleet::member m_self{};
    fleet::shared_configuration m_configuration{};
    compressed_configuration m_compressed_configuration{};
    /*! @brief Gateways that have a newer configuration. */
    fleet::configuration_offers m_configuration_offers{};
    /*! @brief Request for it; null if there is none in progress. */
    std::shared_ptr<net::call> m_configuration_call{};
    time_point m_last_configuration_request{};
    /*! @brief All targets in the order in which they were learned: the time limit of an older version stays in force
     * next to that of a newer one. */
    std::vector<fleet::weights_target> m_weights_targets{};
    fleet::server_table m_servers{};
    fleet::leaving_table m_leaving_servers{};
    /*! @brief Limits that backend servers have named. */
    fleet::limit_table m_server_limits{};
    fleet::evacuation_table m_evacuations{};
    fleet::member_table m_members{};
    /*! @brief Status of the other regions. */
    fleet::region_table m_regions{};
    /*! @brief Heartbeats sent. */
    std::uint64_t m_pulses_sent{};
    /*! @brief Digests of the backend servers, and the count of changes of their table at which they were computed. */
    server_digests m_server_digests{};
    fleet::stall_record m_stalls{};
    /*! @brief Whether a seed has sent its full state since the start. */
    bool m_state_received{false};
    unsigned m_seed_requests{};
    /*! @brief Seeds that have been tried since the start, the same one several times included. */
    std::size_t m_seeds_tried{};
    /*! @brief Position of the seed that is tried first. */
    std::size_t m_first_seed{};
    /*! @brief Whether operators' keys from the store are applied. At the start they are held until the seeds have been
     * asked, as a store that was restored from a copy may contain older ones than the peers know. */
    bool m_applies_operator_items{false};
    std::vector<operator_item> m_held_operator_items{};
    /*! @brief Removals that are delayed because the store has just become reachable again or begun a new era, by id. */
    std::map<std::string, fleet::store_version, std::less<>> m_pending_removals{};
    /*! @brief Entries that are held because a new era brings back what was removed in the former one, by id. A listing
     * does not count as complete meanwhile. */
    std::map<std::string, fleet::store_version, std::less<>> m_held_servers{};

    /*! @brief Whether backend servers are followed; false for loaders. */
    bool m_follows_servers{false};
    bool m_store_reachable{false};
    /*! @brief When the store last responded after a silence in which entries may have lapsed; the epoch if it never
     * did. */
    time_point m_store_reachable_since{};
    /*! @brief When a call of the store last ended without a response, after others had got one. */
    time_point m_store_unanswered_at{};
    /*! @brief Whether a probe that was sent then has got no response either; for the log. */
    bool m_store_silent{false};
    /*! @brief Whether the last probe of the store has got no response in time; what is watched may be outdated. */
    bool m_store_doubted{false};
    /*! @brief Probes of the store that were sent, and the last of them that was answered. */
    std::uint64_t m_store_probes{};
    std::uint64_t m_answered_store_probe{};
    /*! @brief When the present era of the store became known; the epoch if it is the first one. */
    time_point m_store_era_since{};
    /*! @brief Smoothed rate of requests that reach this gateway, per second. */
    double m_demand{};
    bool m_ready{false};
    bool m_leaving{false};
    /*! @brief Whether this gateway watches the store on behalf of its region. */
    bool m_watches_store{true};
    /*! @brief Backend servers whose changes have not been pushed yet. */
    std::set<std::string, std::less<>> m_changed_servers{};
    /*! @brief Sum of the versions of the weights targets that were last pushed to loaders. */
    std::uint64_t m_last_pushed_weights{};
    /*! @brief Whether this process has begun to follow the store, or left that to others: decided by the first list of
     * gateways that it reads. */
    bool m_following_begun{false};
    /*! @brief Whether that read has failed and is repeated soon. */
    bool m_first_read_retry_pending{false};
    /*! @brief Whether the own entry has been written; always true for a loader, which has none. */
    bool m_registered{false};
    /*! @brief Whether the store's list of gateways has been read since then. */
    bool m_members_read{false};
    /*! @brief When a loader that hears no gateway reads the store next. */
    store_fallback m_store_fallback{};
    bool m_push_scheduled{false};
    /*! @brief When a state, or its weights targets only, was last requested from a peer. */
    time_point m_last_state_pull{};
    /*! @brief When a full state was last requested from a peer. */
    time_point m_last_full_pull{};
    /*! @brief Number of the last request for a state; begins at random, as an answer to a former process may come. */
    std::uint64_t m_state_pulls{};
    /*! @brief When the last requests for a state were sent, by number; of the boot-time clock. */
    std::map<std::uint64_t, time_point> m_state_pull_times{};

    core_handlers m_handlers{};
    std::shared_ptr<follower> m_operator_follower{};
    std::shared_ptr<follower> m_server_follower{};
    /*! @brief Changes of the store that the watches have delivered. */
    fleet::change_account m_change_account{};
    /*! @brief Version up to which this process has all changes because a watcher of its region had no others when it
     * had received them; a watch that begins here continues from it. */
    fleet::store_version m_delivered_version{};
    /*! @brief Whether both watches are being checked. */
    bool m_watch_check_active{false};
    /*! @brief Whether the last check has failed, so that a change may still be missing. */
    bool m_watch_check_failed{false};
    /*! @brief Time up to which all changes of the store are known for certain; none before the first one. Of the
     * boot-time clock. */
    std::optional<time_point> m_store_known_until{};
    /*! @brief Latest version of the store that was read, here or by another gateway, and when. */
    std::optional<told_store_version> m_told_version{};
    /*! @brief Last requests of other gateways for it, by name. */
    std::map<std::string, store_version_request, std::less<>> m_version_requesters{};
    /*! @brief Number of the last request to another gateway for it; begins at random, as an answer to a former process
     * may come. */
    std::uint64_t m_version_requests{};
    /*! @brief When that request was sent; of the boot-time clock. */
    time_point m_version_requested_at{};
    /*! @brief Version of the list of backend servers that the own watch has not delivered. */
    fleet::missed_version m_missed_version{};
    /*! @brief Entry of a gateway in the store; null for a loader, which gateways know from its reports. */
    std::shared_ptr<registration> m_registration{};
};

/*! @brief Protocol version of frames; frames of another version are dropped. */
inline constexpr std::uint32_t frame_protocol_version = 1;

/*! @brief Opens the bus, starts to follow the store, registers this process there and requests the state of a seed.
 * @return False if the bus cannot listen; nothing else is started then. */
[[nodiscard]] auto start(core& self) -> bool;

/*! @brief Reads everything anew and registers again after the store has begun a new era. */
auto on_store_era(core& self, std::uint64_t former, std::uint64_t era) -> void;

/*! @brief Applies the operators' keys that were held since the start, and from now on all further ones at once. */
auto apply_held_operator_items(core& self) -> void;

/*! @brief Removes the own entry from the store and announces the departure to the peers. */
auto leave(core& self) -> void;

/*! @brief Applies a configuration if it is valid and newer than the current one.
 * @param text Configuration as the operator wrote it. @param source Sender, for the log. */
auto accept_configuration(core& self, std::string_view text, std::string_view source) -> void;

/*! @brief Adds a weights target, or merges another report of the write of a known one. A version that is learned after
 * a newer one counts as well: its limit ends earlier.
 * @param source Sender, for the log. */
auto accept_weights_target(core& self, fleet::weights_target target, std::string_view source) -> void;

/*! @brief Returns the newest wanted version of a model. @return 1 if no target names the model. */
[[nodiscard]] auto wanted_version(const core& self, std::string_view model) -> std::uint64_t;

/*! @brief Returns the time since a version was written. @return None if it is not known exactly. */
[[nodiscard]] auto write_age(const core& self, std::string_view model, std::uint64_t version, time_point now)
    -> std::optional<duration>;

/*! @brief Time after the store's return, or the begin of a new era, in which what it lacks is written again. */
inline constexpr duration store_recovery_window = std::chrono::milliseconds{2'300};

/*! @brief Time before a version's time limit from which requests start on that version or a newer one. Covers the wait
 * at a runner whose slots have just been filled. */
inline constexpr duration version_margin = std::chrono::milliseconds{1'500};
/*! @brief Margin while no runner holds a newer version. Covers the transfer to a runner with a free slot and its next
 * step, before requests are withdrawn. */
inline constexpr duration min_version_margin = std::chrono::milliseconds{600};
/*! @brief Time before a version's time limit at which a request that has not started on an older version is withdrawn.
 * The notice reaches the runner within the one-way delay of the longest link. */
inline constexpr duration version_withdrawal_margin = std::chrono::milliseconds{300};

/**
 * @brief Returns the oldest version on which a request may still start.
 * @param self State that holds the weights targets.
 * @param model Name of the model.
 * @param now Current time.
 * @param margin Time before a version's time limit from which older versions are excluded.
 * @return The version; 0 if any version is allowed.
 */
[[nodiscard]] auto min_allowed_version(const core& self, std::string_view model, time_point now, duration margin)
    -> std::uint64_t;

/*! @brief Sends a frame to a peer. Sets the protocol version and the incarnation of the frame. */
auto send(core& self, std::string_view peer, wire::fleet::Frame& frame) -> void;

/*! @brief Connects to a gateway unless it is connected; no effect on a loader, which connects by itself. */
auto connect_to_gateway(core& self, std::string_view name) -> void;

/*! @brief Sends a frame to members by name; connects to gateways first. Sets the protocol version and the incarnation
 * of the frame. */
auto send_to(core& self, std::span<const std::string> peers, wire::fleet::Frame& frame) -> void;

/*! @brief Sends a frame to all other gateways of all regions; for what is rare and must reach them at once. */
auto send_to_gateways(core& self, wire::fleet::Frame& frame) -> void;

/*! @brief Sends a frame to the other gateways of the own region. */
auto send_to_region(core& self, wire::fleet::Frame& frame) -> void;

/*! @brief Returns the region of a data centre, from the settings or else from its members.
 * @return Empty if it is not known. */
[[nodiscard]] auto region_of(const core& self, std::string_view data_centre) -> std::string_view;

/*! @brief Tells whether another gateway of the own region has been heard of lately. */
[[nodiscard]] auto has_live_regional_gateway(const core& self, time_point now) -> bool;

/*! @brief Handles a message from the bus. */
auto on_message(core& self, std::string_view from, std::string_view bytes) -> void;

/*! @brief Sends a digest of the own state to the gateways of the region and to the loaders of the data centre, and
 * removes expired members. A representative of the region also sends it to those of the other regions, and tells its
 * own region what it has heard of them. */
auto send_pulse(core& self) -> void;

/*! @brief Merges the state of a peer; newer versions replace older ones.
 * @param source Sender, for the log.
 * @param requested_at When the state was requested, of the boot-time clock; none if it came unasked. */
auto accept_state(core& self, const wire::fleet::State& state, std::string_view source,
                  std::optional<time_point> requested_at = std::nullopt) -> void;

/*! @brief Returns the own state for a peer.
 * @param known_configuration Version of the configuration that the peer has; an older or equal one is left out.
 * @param with_servers Whether backend servers are included. */
[[nodiscard]] auto full_state(const core& self, std::uint64_t known_configuration, bool with_servers)
    -> wire::fleet::State;

/*! @brief Returns what a process of a region needs to start: the configuration, weights targets, the gateways of its
 * region and the representatives of the others.
 * @param with_servers Whether backend servers are included; without a region, all of the own state is returned. */
[[nodiscard]] auto startup_state(const core& self, std::string_view region, bool with_servers) -> wire::fleet::State;

/*! @brief Schedules a push to the other gateways of the region, with the changes read from the store. Loaders of the
 * region receive only the weights targets. No effect on a process that does not watch the store.
 * @param server Backend server that has changed; empty for none. */
auto schedule_push(core& self, const std::string& server) -> void;

/*! @brief Decides whether this gateway watches the store, and pauses or resumes the followers accordingly. */
auto update_store_watch(core& self) -> void;

/*! @brief Leaves the watch of the store to other gateways of the region. */
auto pause_store_watch(core& self) -> void;

/*! @brief Requests the state of a seed, repeatedly until a configuration is known and a seed has answered or the
 * attempts are used up. At the start, the seeds are asked one after another until one knows a configuration. */
auto request_seed_state(core& self) -> void;

/*! @brief Adds or updates a member, and connects to it if it is a gateway. @param is_listed Whether the store lists it.
 */
auto update_member(core& self, const fleet::member& value, bool is_listed) -> void;

/*! @brief Returns when a message that is handled now reached this machine. */
[[nodiscard]] auto arrival_now(core& self) -> fleet::arrival_time;

/*! @brief Records that the process runs. After a suspension of the machine, which the steady clock does not count,
 * moves the times at which versions were learned back by its length. */
auto note_running(core& self) -> void;

/*! @brief Records that an incarnation of a backend server is leaving; the next pulse tells the peers.
 * @param source Who says so, for the log. */
auto mark_server_leaving(core& self, std::string_view id, const fleet::leaving_server& server, std::string_view source)
    -> void;

/*! @brief Merges what a response of a backend server says of its limit; the next pulse tells the peers.
 * @param sent_at When the request of the response was sent. */
auto note_server_limit(core& self, std::string_view id, const fleet::server_limit& limit, time_point sent_at) -> void;

/*! @brief Merges a limit that a peer has told. @param source Sender, for the log. */
auto accept_server_limit(core& self, std::string_view id, const fleet::server_limit& limit, std::string_view source)
    -> void;

/**
 * @brief Merges an entry of a backend server. In the recovery window of a new era, an entry that was removed in the
 * former one is held unless it has just been written; an incarnation that was draining counts as leaving.
 * @param is_new_write Whether the entry has just been written.
 * @return Whether the table changed.
 */
auto offer_server(core& self, const fleet::backend_server& row, bool is_new_write) -> bool;

/*! @brief Removes a backend server. If the store has just become reachable again or begun a new era, the removal is
 * delayed, as the entry may be written again. @param version Store version of the removal. */
auto handle_server_removal(core& self, const std::string& id, fleet::store_version version) -> void;

} // namespace rhubarbwharf::node
