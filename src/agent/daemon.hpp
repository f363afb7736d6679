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

/*! @brief Contents of the last messages sent to the entries, to send only what has changed. */
struct last_report {
    /*! @brief Sequence number of the last full report; 0 forces a full report. */
    std::uint64_t m_sequence{};
    /*! @brief Serialised full report without the fields that a `Pulse` carries. */
    std::string m_stable_fields{};
    /*! @brief Last serialised `InForce`. */
    std::string m_in_force{};
    /*! @brief Sequence number of the report that was sent together with that `InForce`. */
    std::uint64_t m_in_force_sequence{};
};

/*! @brief State of one agent process; accessed only on the thread of its loop. */
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
    /*! @brief Digest of `m_desired`. */
    digest m_desired_digest{ticket::fingerprint({})};
    /*! @brief Lists of members, by the entry that sent them. */
    std::unordered_map<std::string, member_list> m_member_lists{};
    /*! @brief Other members of this instance's group. */
    std::vector<member> m_members{};
    /*! @brief Bus addresses of the other agents, by instance. */
    std::unordered_map<std::string, net::endpoint> m_agent_addresses{};
    /*! @brief Agents that this one has connected to. */
    std::unordered_set<std::string> m_connected_agents{};
    /*! @brief Relays of running and waiting attempts. */
    std::unordered_map<attempt_id, std::shared_ptr<relay>, attempt_hash> m_relays{};
    /*! @brief Last state reported by the engine. */
    engine_state m_engine_state{};

    /*! @brief Epoch in the fencing numbers of this agent's load orders; 0 until it has been acquired. */
    std::uint64_t m_epoch{};
    std::uint64_t m_report_sequence{};
    last_report m_last_report{};
    phase m_reported_phase{phase::unknown};
    bool m_is_probing{};
    /*! @brief Whether all chunks of the target version are held, so that it can be loaded. */
    bool m_is_ready{};
    /*! @brief Time at which the target version became ready; valid while `m_is_ready` is set. */
    time_point m_ready_since{};
    /*! @brief Manifest of the version last added to the exchange; all zero for none. */
    digest m_fetched_manifest{};
    /**
     * @brief Manifest of the version added before that; all zero for none. Its chunks are kept until a load succeeds or
     * a further version is added.
     */
    digest m_previous_manifest{};
    std::uint64_t m_prefixes_sent{};

    /*! @brief Whether the service has non-idempotent operations, which need the journal. */
    bool m_has_journal{};
    execution::owner m_owner{};
    /*! @brief Relays of non-idempotent calls, by the number of the call. */
    std::unordered_map<std::uint64_t, std::shared_ptr<relay>> m_calls{};
    std::uint64_t m_last_call_number{};
    bool m_is_commit_scheduled{};
    /*! @brief Whether a list of members has been received. */
    bool m_has_members{};
    /*! @brief Time until which shards are not acquired unless a list of members has been received. */
    time_point m_member_discovery_deadline{};
    /*! @brief Digest of the owned shards in the last report. */
    std::uint64_t m_reported_shards_digest{};

    bool m_is_stopping{};
    /*! @brief Time until which a stop waits for the release of the shards. */
    time_point m_shard_release_deadline{};
    /*! @brief Number of requests that an immediate stop ended. */
    std::uint64_t m_requests_cut{};
    int m_exit_status{};
};

/**
 * @brief Opens the listeners, connects to the entries and starts the timers.
 * @return `ok`, `settings_range` for a malformed address, or the error of the listener that failed.
 */
[[nodiscard]] auto start(daemon& self) -> code;

/*! @brief Sends an envelope to an instance and counts failures. @return Whether the envelope was queued. */
auto send(daemon& self, std::string_view peer, const wire::Envelope& message) -> bool;

/**
 * @brief Sends an envelope to another agent, connecting to it first if necessary.
 *
 * The protocol version and the incarnation are set here; unknown agents are ignored.
 */
auto send_to_agent(daemon& self, std::string_view peer, const wire::Envelope& message) -> void;

/*! @brief Sends an envelope to all entries. */
auto send_to_entries(daemon& self, const wire::Envelope& message) -> void;

/*! @brief Creates an envelope with the protocol version and the incarnation, but without a body. */
[[nodiscard]] auto make_envelope(const daemon& self) -> wire::Envelope;

/*! @brief Handles a frame received on the bus; malformed and unexpected frames are counted and dropped. */
auto on_frame(daemon& self, std::string_view peer, std::string_view bytes) -> void;

/*! @brief Sends the state of this instance to the entries, as a full report or as a pulse. */
auto send_report(daemon& self) -> void;

/*! @brief Rebuilds the members and peers from the lists that the entries have sent. */
auto apply_members(daemon& self) -> void;

/*! @brief Sets the target of the gate from the entries of the desired state that apply to this instance. */
auto apply_desired_state(daemon& self) -> void;

/*! @brief Acquires an epoch above all earlier ones of this instance by compare-and-swap; retries until it succeeds. */
auto acquire_epoch(daemon& self) -> void;

/*! @brief Requests the state of the backend server, unless such a request is already in progress. */
auto send_probe(daemon& self) -> void;

/*! @brief Advances the gate and executes the resulting command. */
auto advance_gate(daemon& self) -> void;

/*! @brief Handles a request. @param peer The entry that sent it. @param message Envelope with a `Dispatch`. */
auto on_dispatch(daemon& self, std::string_view peer, const wire::Envelope& message) -> void;

/*! @brief Cancels an attempt. @param peer The entry that sent it. @param message Envelope with a `Cancel`. */
auto on_cancel(daemon& self, std::string_view peer, const wire::Envelope& message) -> void;

/*! @brief Starts waiting attempts while slots are free; refuses those that have expired or that the gate rejects. */
auto process_queue(daemon& self) -> void;

/*! @brief Result of an attempt, as reported to the entry. */
struct attempt_end {
    code m_code{code::ok};
    /*! @brief Whether it is certain that the attempt did not run and never will. */
    bool m_not_run{};
    duration m_retry_after{};
    std::string m_detail{};
    /*! @brief Whether the backend server closed the connection while the attempt was running. */
    bool m_crashed{};
};

/*! @brief Reports the result of an attempt to its entry. */
auto send_end(daemon& self, const relay& attempt, const attempt_end& end) -> void;

/*! @brief Handles a request to the admin listener. */
auto serve_admin(daemon& self, const net::http_request& request, net::responder& answer) -> void;

/*! @brief Returns the state of the agent as the text of a JSON object. */
[[nodiscard]] auto dump(const daemon& self) -> std::string;

/**
 * @brief Starts a graceful stop at the first stop signal; stops immediately at a second one.
 * @param signals Number of stop signals received so far.
 */
auto stop(daemon& self, int signals) -> void;

} // namespace rhubarbwharf::agent
