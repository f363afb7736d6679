#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <agent/admission.hpp>
#include <agent/gate.hpp>
#include <agent/member_list.hpp>
#include <agent/relay.hpp>
#include <agent/turn.hpp>
#include <rhubarbwharf/config/settings.hpp>
#include <rhubarbwharf/exchange/exchange.hpp>
#include <rhubarbwharf/execution/owner.hpp>
#include <rhubarbwharf/net/bus.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>
#include <rhubarbwharf/net/metrics.hpp>
#include <rhubarbwharf/platform/client.hpp>
#include <rhubarbwharf/ticket/state.hpp>

namespace rhubarbwharf::agent {

/*! @brief What the entries were told last. */
struct last_report {
    /*! @brief Sequence of the last whole report; zero lets the next one be whole. */
    std::uint64_t m_sequence{};
    /*! @brief That report without the figures that a pulse carries. */
    std::string m_stable_fields{};
    /*! @brief The last InForce, and the sequence of the report that went with it. */
    std::string m_in_force{};
    std::uint64_t m_in_force_sequence{};
};

/*! @brief All that one agent holds; the functions below run over it on the loop's thread. */
struct daemon {
    explicit daemon(const config::settings& settings);

    config::settings m_settings;
    net::endpoint m_backend{};
    std::uint64_t m_incarnation{};
    net::loop m_loop{};
    net::counters m_counters{};
    net::http_client m_http;
    net::bus m_bus;
    platform::client m_platform;
    exchange::exchange m_exchange;
    net::http_server m_bulk;
    net::http_server m_admin;

    gate m_gate{};
    admission m_admission{};
    ticket::desired_state m_desired{};
    /*! @brief Digest of `m_desired`; made anew when it changes. */
    digest m_desired_digest{ticket::fingerprint({})};
    std::unordered_map<std::string, member_list> m_member_lists{};
    /*! @brief Other members of the own group. */
    std::vector<member> m_members{};
    /*! @brief Bus addresses of the other agents, by instance. */
    std::unordered_map<std::string, net::endpoint> m_agent_addresses{};
    /*! @brief Agents that this one has connected to. */
    std::unordered_set<std::string> m_connected_agents{};
    std::unordered_map<attempt_id, std::shared_ptr<relay>, attempt_hash> m_relays{};
    engine_state m_engine_state{};

    std::uint64_t m_epoch{};
    std::uint64_t m_report_sequence{};
    last_report m_last_report{};
    phase m_reported_phase{phase::unknown};
    bool m_is_probing{};
    bool m_is_ready{};
    time_point m_ready_since{};
    /*! @brief Version fetched last, and the one before it until the last one is loaded. */
    digest m_fetched_manifest{};
    digest m_previous_manifest{};
    std::uint64_t m_prefixes_sent{};

    /*! @brief Whether the service has non-idempotent operations, and the shards of its keys. */
    bool m_has_journal{};
    execution::owner m_owner{};
    std::unordered_map<std::uint64_t, std::shared_ptr<relay>> m_calls{};
    std::uint64_t m_last_call_number{};
    bool m_is_commit_scheduled{};
    bool m_has_members{};
    /*! @brief Time to which the first shards wait for word of the other members. */
    time_point m_member_discovery_deadline{};
    std::uint64_t m_reported_shards_digest{};

    bool m_is_stopping{};
    /*! @brief Time to which a stop waits for the shards to be given back. */
    time_point m_shard_release_deadline{};
    std::uint64_t m_requests_cut{};
    int m_exit_status{};
};

/*! @brief Opens the listeners and starts all that runs by time. @param self The agent. @return `ok` or the fault. */
[[nodiscard]] auto start(daemon& self) -> code;

/*! @brief Sends an envelope to an instance. @param self The agent. @param peer Its name. @param message The envelope.
 * @return Whether it was queued. */
auto send(daemon& self, std::string_view peer, const wire::Envelope& message) -> bool;

/*! @brief Sends an envelope to another agent, and connects to it first if need be. @param self The agent. @param peer
 * Its name. @param message The envelope. */
auto send_to_agent(daemon& self, std::string_view peer, const wire::Envelope& message) -> void;

/*! @brief Sends an envelope to every entry. @param self The agent. @param message The envelope. */
auto send_to_entries(daemon& self, const wire::Envelope& message) -> void;

/*! @brief Makes an envelope without a body. @param self The agent. @return The envelope. */
[[nodiscard]] auto make_envelope(const daemon& self) -> wire::Envelope;

/*! @brief Takes a frame from the bus. @param self The agent. @param peer The sender. @param bytes The frame. */
auto on_frame(daemon& self, std::string_view peer, std::string_view bytes) -> void;

/*! @brief Tells the entries where this instance stands. @param self The agent. */
auto send_report(daemon& self) -> void;

/*! @brief Rebuilds the list of peers from what the entries said. @param self The agent. */
auto apply_members(daemon& self) -> void;

/*! @brief Puts what the desired state says of this instance to the gate. @param self The agent. */
auto apply_desired_state(daemon& self) -> void;

/*! @brief Takes an epoch above all earlier ones of this instance, by compare-and-swap. @param self The agent. */
auto acquire_epoch(daemon& self) -> void;

/*! @brief Asks the backend server for its state. @param self The agent. */
auto send_probe(daemon& self) -> void;

/*! @brief Moves the gate on and carries out what it orders. @param self The agent. */
auto advance_gate(daemon& self) -> void;

/*! @brief Takes a request. @param self The agent. @param peer The entry. @param message Envelope with a Dispatch. */
auto on_dispatch(daemon& self, std::string_view peer, const wire::Envelope& message) -> void;

/*! @brief Ends an attempt. @param self The agent. @param peer The entry. @param message Envelope with a Cancel. */
auto on_cancel(daemon& self, std::string_view peer, const wire::Envelope& message) -> void;

/*! @brief Starts waiting requests and refuses those whose time is over. @param self The agent. */
auto process_queue(daemon& self) -> void;

/*! @brief How an attempt ended, for the entry. */
struct attempt_end {
    code m_code{code::ok};
    bool m_not_run{};
    duration m_retry_after{};
    std::string m_detail{};
    bool m_crashed{};
};

/*! @brief Tells an entry that an attempt has ended. @param self The agent. @param target The attempt. @param end How.
 */
auto send_end(daemon& self, const relay& target, const attempt_end& end) -> void;

/*! @brief Answers on the admin listener. @param self The agent. @param request The request. @param answer Responder. */
auto serve_admin(daemon& self, const net::http_request& request, net::responder& answer) -> void;

/*! @brief Writes all tables as JSON. @param self The agent. @return The JSON. */
[[nodiscard]] auto dump(const daemon& self) -> std::string;

/*! @brief Starts a graceful stop, or with the second signal ends at once. @param self The agent. @param signals Count.
 */
auto stop(daemon& self, int signals) -> void;

} // namespace rhubarbwharf::agent
