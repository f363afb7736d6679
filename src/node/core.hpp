#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/config/node.hpp>
#include <rhubarbwharf/fleet/configuration.hpp>
#include <rhubarbwharf/fleet/member.hpp>
#include <rhubarbwharf/fleet/server.hpp>
#include <rhubarbwharf/net/bus.hpp>
#include <rhubarbwharf/net/events.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>
#include <rhubarbwharf/net/metrics.hpp>

#include <node/follower.hpp>
#include <node/registration.hpp>
#include <platform/store.hpp>

namespace rhubarbwharf::wire::fleet {
class Frame;
class State;
} // namespace rhubarbwharf::wire::fleet

namespace rhubarbwharf::node {

/*! @brief What a role adds to the core; any may be empty. */
struct core_handlers {
    /*! @brief Called after the configuration in force has changed. */
    std::function<void()> m_on_configuration{};
    /*! @brief Called after a weights target has been added. */
    std::function<void()> m_on_weights{};
    /*! @brief Called after a backend server has been added, changed or removed. */
    std::function<void(const std::string&)> m_on_server{};
    /*! @brief Gets frames that the core does not handle. */
    std::function<void(std::string_view, const wire::fleet::Frame&)> m_on_frame{};
};

/*! @brief State that gateways and loaders share; only the loop's thread touches it. */
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
    /*! @brief Every target learned, oldest first: an older version's time limit goes on beside a newer one's. */
    std::vector<fleet::weights_target> m_weights_targets{};
    fleet::servers m_servers{};
    fleet::member_table m_members{};
    /*! @brief When the store last told what the operators wrote. */
    time_point m_last_operator_update{duration{1}};
    /*! @brief How far the clock that counts suspensions is ahead of the steady one, at the last look. */
    duration m_boot_clock_offset{};
    bool m_boot_clock_offset_known{false};
    /*! @brief Whether a peer has told its whole state since the start. */
    bool m_state_received{false};
    unsigned m_seed_requests{};
    /*! @brief Backend servers whose removal waits, because the store has just come back. */
    std::set<std::string, std::less<>> m_pending_removals{};

    bool m_follows_servers{false};
    bool m_store_reachable{false};
    /*! @brief When the store was last away; the epoch if it never was. */
    time_point m_store_reachable_since{};
    /*! @brief Requests a second that reach this gateway, smoothed. */
    double m_demand{};
    bool m_ready{false};
    bool m_leaving{false};
    /*! @brief Whether this gateway watches the store for its region. */
    bool m_watches_store{true};
    /*! @brief Backend servers whose changes are to be passed on. */
    std::set<std::string, std::less<>> m_changed_servers{};
    /*! @brief Version of the configuration that was passed on last. */
    std::uint64_t m_last_pushed_configuration{};
    /*! @brief Sum of the versions of the weights targets that were passed on last. */
    std::uint64_t m_last_pushed_weights{};
    /*! @brief Whether the store's list of members has been read. */
    bool m_members_read{false};
    bool m_push_scheduled{false};
    /*! @brief When a whole state was last asked of a peer. */
    time_point m_last_state_pull{};

    core_handlers m_handlers{};
    std::shared_ptr<follower> m_operator_follower{};
    std::shared_ptr<follower> m_server_follower{};
    std::shared_ptr<registration> m_registration{};
};

/*! @brief Frame version; frames of another one are dropped. */
inline constexpr std::uint32_t frame_protocol_version = 1;

/*! @brief Opens the bus and begins to follow the store. @param self The core. @return Whether the bus listens. */
[[nodiscard]] auto start(core& self) -> bool;

/*! @brief Ends the own entry and tells the peers. @param self The core. */
auto leave(core& self) -> void;

/*! @brief Takes a configuration over if it is newer. @param self The core. @param text As the operator wrote it.
 * @param source Who told it, for the log. */
auto accept_configuration(core& self, std::string_view text, std::string_view source) -> void;

/*! @brief Takes a weights target over if it is new. @param self The core. @param target The target.
 * @param source Who told it, for the log. */
auto accept_target(core& self, fleet::weights_target target, std::string_view source) -> void;

/*! @brief Returns the newest version wanted of a model. @param self The core. @param model The model.
 * @return The version; 1 if none has been named. */
[[nodiscard]] auto wanted_version(const core& self, std::string_view model) -> std::uint64_t;

/*! @brief Time before a version's time limit from which requests keep to it: it covers a wait at a runner that has just
 * filled up. */
inline constexpr duration version_margin = std::chrono::milliseconds{1'500};
/*! @brief The same where no runner holds a newer version yet: the way to a runner that has a free slot, and its next
 * step, before requests are taken back. */
inline constexpr duration version_least_margin = std::chrono::milliseconds{600};
/*! @brief Time before a version's time limit at which a request that has not begun on an older one is taken back: its
 * runner hears of that within one way over the farthest link. */
inline constexpr duration version_last_call = std::chrono::milliseconds{300};

/**
 * @brief Returns the oldest version that a request may still begin on.
 * @param self The core.
 * @param model The model.
 * @param now The time.
 * @param margin Time before the version's time limit from which it counts.
 * @return The version; 0 if any will do.
 */
[[nodiscard]] auto least_version(const core& self, std::string_view model, time_point now, duration margin)
    -> std::uint64_t;

/*! @brief Sends a frame. @param self The core. @param peer The peer. @param frame The frame; the head is filled in. */
auto send(core& self, std::string_view peer, wire::fleet::Frame& frame) -> void;

/*! @brief Sends a frame to all other gateways. @param self The core. @param frame The frame. */
auto send_to_gateways(core& self, wire::fleet::Frame& frame) -> void;

/*! @brief Handles one message of the bus. @param self The core. @param from The peer. @param bytes The message. */
auto on_message(core& self, std::string_view from, std::string_view bytes) -> void;

/*! @brief Tells the gateways, and the loaders nearby, what is known here. @param self The core. */
auto pulse(core& self) -> void;

/*! @brief Takes over what a peer knows, newest version first in each part. @param self The core. @param state It.
 * @param source Who told it. */
auto accept_state(core& self, const wire::fleet::State& state, std::string_view source) -> void;

/*! @brief Writes what is known here. @param self The core. @param has_configuration Version that the reader has.
 * @param with_servers Whether backend servers are wanted. @return The state. */
[[nodiscard]] auto whole_state(const core& self, std::uint64_t has_configuration, bool with_servers)
    -> wire::fleet::State;

/*! @brief Passes what the store has told on to the gateways of the region, soon. @param self The core.
 * @param server Backend server that has changed; empty for none. */
auto schedule_push(core& self, const std::string& server) -> void;

/*! @brief Decides anew whether this gateway watches the store. @param self The core. */
auto review_watch(core& self) -> void;

/*! @brief Asks the seeds for their state, until one has answered. @param self The core. */
auto request_seed_state(core& self) -> void;

/*! @brief Connects to a member and takes its entry over. @param self The core. @param value The member.
 * @param is_listed Whether the store lists it. */
auto note_member(core& self, const fleet::member& value, bool is_listed) -> void;

/*! @brief Moves the times of versions back by what the machine has been suspended, which the steady clock leaves out.
 * @param self The core. */
auto note_suspension(core& self) -> void;

/*! @brief Removes a backend server, or doubts it for a while if the store has just come back. @param self The core.
 * @param id The server. @param revision Revision of the removal. */
auto handle_server_removal(core& self, const std::string& id, std::uint64_t revision) -> void;

} // namespace rhubarbwharf::node
