#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <rhubarbwharf.pb.h>
#include <rhubarbwharf/config/settings.hpp>
#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/names.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/entry/fwd.hpp>
#include <rhubarbwharf/membership/table.hpp>
#include <rhubarbwharf/net/bus.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>
#include <rhubarbwharf/net/metrics.hpp>
#include <rhubarbwharf/platform/client.hpp>
#include <rhubarbwharf/routing/attempt.hpp>
#include <rhubarbwharf/routing/backend_choice.hpp>
#include <rhubarbwharf/routing/fair_queue.hpp>
#include <rhubarbwharf/routing/quarantine.hpp>
#include <rhubarbwharf/ticket/state.hpp>

namespace rhubarbwharf::entry {

/*! @brief Key of the desired state in the key-value service. */
inline constexpr std::string_view desired_state_key = "rhubarbwharf/state";
/*! @brief Interval at which queues and deadlines are checked. */
inline constexpr duration tick_interval = std::chrono::milliseconds{20};

/*! @brief Another entry. */
struct peer {
    config::entry_settings m_settings{};
    std::uint64_t m_incarnation{};
    time_point m_last_received{};
    bool m_leaving{false};
    /*! @brief Highest ticket in its desired state, as last reported. */
    ticket_number m_highest_ticket{};
    /*! @brief Digest of its desired state, as last reported. */
    digest m_state_digest{};
};

/*! @brief Desired state that an agent last reported, and what was exchanged with it. */
struct agent_sync_state {
    ticket_number m_ticket{};
    digest m_state_digest{};
    /*! @brief When the complete desired state was last pushed to the agent. */
    time_point m_last_pushed{};
    /*! @brief Sequence number of its last full report. */
    std::uint64_t m_report_sequence{};
};

/*! @brief A caller's request, from its arrival to its final response. */
struct request {
    request_id m_id{};
    organisation_id m_organisation{};
    std::string m_group{};
    /*! @brief Keyed digest of target, body and organisation; identifies the request in the quarantine table. */
    std::uint64_t m_content_digest{};
    /*! @brief Hash of the start of the prompt; 0 if there is no prompt. */
    std::uint64_t m_prefix_hash{};
    /*! @brief Template of the message that starts an attempt; the fields that differ by attempt are set on a copy. */
    wire::Dispatch m_dispatch{};
    std::shared_ptr<net::responder> m_responder{};
    routing::request_progress m_progress{};
    time_point m_arrived{};

    /*! @brief Backend server of the attempt in progress. */
    std::optional<instance_id> m_backend{};
    /*! @brief Backend server of the previous attempt. */
    std::optional<instance_id> m_previous_backend{};
    /*! @brief Whether a backend server has crashed while it was running this content. */
    bool m_suspect{false};
    time_point m_attempt_sent{};
    /*! @brief Whether the response head of the attempt in progress has arrived. */
    bool m_has_head{false};
    /*! @brief Response parts received in the attempt in progress. */
    std::uint32_t m_part_count{};
    /*! @brief Tokens forwarded to the caller over all attempts. */
    std::uint32_t m_forwarded_tokens{};
    /*! @brief Model version of a stream whose head was forwarded; all zero before. */
    digest m_version{};
    /*! @brief Response received so far, unless it is streamed to the caller. */
    net::http_response m_buffered_response{};
};

/*! @brief List of members as last sent to the agents. */
struct member_list {
    /*! @brief Sequence number of the list, incremented in each round with changes; 0 before the first round. */
    std::uint64_t m_sequence{};
    /*! @brief Serialised rows as last sent, by `instance_id`; empty for a member that is not listed. */
    std::vector<std::string> m_sent_rows{};

    /*! @brief Last update that was sent to an agent. */
    struct sent_update {
        std::uint64_t m_sequence{};
        time_point m_sent{};
    };

    /*! @brief By agent; an agent without an element gets the full list next. */
    std::unordered_map<std::string, sent_update> m_last_updates{};
};

/*! @brief Attributed crash that the other entries are told of. */
struct crash_notice {
    /*! @brief Entries that have not acknowledged it. */
    std::set<std::string, std::less<>> m_awaited{};
    std::function<void()> m_told{};
};

/*! @brief State of one entry process; accessed only by the thread of its event loop. */
struct daemon {
    explicit daemon(const config::settings& settings);

    config::settings m_settings{};
    std::uint64_t m_incarnation{};
    std::mt19937_64 m_random{};
    /*! @brief Key of the content digests; derived from the settings, so that all entries have the same. */
    digest m_quarantine_key{};
    time_point m_started{};
    /*! @brief When queues and deadlines were last checked; far in the past right after a suspension. */
    time_point m_last_check{steady_now()};
    /*! @brief When the process last resumed after a suspension; the epoch if it never was suspended. */
    time_point m_resumed{};

    net::loop m_loop{};
    net::counters m_counters{};
    net::http_client m_http_client;
    net::bus m_bus;
    net::http_server m_caller_server;
    net::http_server m_admin_server;
    platform::client m_platform_client;

    membership::table m_members{};
    membership::liveness_timeouts m_member_limits{};
    /*! @brief Indexed by `instance_id`. */
    std::vector<routing::backend_state> m_backends{};
    std::unordered_map<std::string, agent_sync_state> m_agents{};
    member_list m_member_list{};
    std::map<std::string, peer, std::less<>> m_peers{};
    std::uint64_t m_summary_sequence{};
    /*! @brief Next position in the rotation over the entries of other data centres; taken modulo their number. */
    std::size_t m_next_remote_peer{};

    ticket::desired_state m_desired_state{};
    /*! @brief Admin requests that wait for the tables of another process, by the number of the pull. */
    std::unordered_map<std::uint64_t, std::shared_ptr<net::responder>> m_pending_dumps{};
    /*! @brief Digest of `m_desired_state`. */
    digest m_state_digest{};

    names<organisation_id> m_organisations{};
    std::map<request_id, std::shared_ptr<request>> m_requests{};
    std::uint64_t m_last_request_id{};
    /*! @brief By group. */
    std::map<std::string, routing::fair_queue, std::less<>> m_queues{};
    routing::retry_budget m_retry_budget{};
    routing::choice_options m_choice_options{};
    routing::quarantine m_quarantine{};
    /*! @brief Crashes that other entries have not acknowledged yet, by number. */
    std::map<std::uint64_t, crash_notice> m_crash_notices{};
    std::uint64_t m_last_crash_notice{};

    bool m_leaving{false};
    time_point m_leave_started{};
    /*! @brief Whether the caller listener has been closed. */
    bool m_listener_closed{false};
};

// keyed_digest.cpp

/*! @brief Computes a digest of a request with the quarantine key. @param organisation Name of the organisation.
 * @param content Target and body of the request. @return The first 8 bytes of the digest; equal on all entries. */
[[nodiscard]] auto keyed_digest(const daemon& self, std::string_view organisation, std::string_view content)
    -> std::uint64_t;

// callers.cpp

/*! @brief Validates a caller's HTTP request and submits it, or refuses it. */
auto on_caller_request(daemon& self, net::http_request incoming, std::shared_ptr<net::responder> responder) -> void;

// requests.cpp

/*! @brief Registers a new request, then sends, queues or refuses it. */
auto submit_request(daemon& self, const std::shared_ptr<request>& pending) -> void;

/*! @brief Ends the attempt in progress, then completes, retries, resumes or refuses the request. */
auto end_attempt(daemon& self, const std::shared_ptr<request>& pending, const routing::attempt_result& end) -> void;

/*! @brief Completes the response to a request whose last attempt succeeded. */
auto finish_request(daemon& self, const std::shared_ptr<request>& pending) -> void;

/*! @brief Records a suspension of this process if the last check was at least half the suspect timeout ago. */
auto detect_suspension(daemon& self, time_point now) -> void;

/*! @brief Sends queued requests while backend servers have capacity. */
auto send_queued_requests(daemon& self) -> void;

/*! @brief Refuses requests that have waited too long, and abandons those past their deadline. */
auto expire_requests(daemon& self, time_point now) -> void;

/*! @brief Fails all attempts on a backend server that was restarted or is suspected. */
auto fail_attempts_on(daemon& self, instance_id lost) -> void;

/*! @brief Cancels and removes the request of a caller that disconnected. */
auto on_caller_disconnected(daemon& self, request_id id) -> void;

/*! @brief Returns the load state of a member; created on first use. @return Valid until another member is added. */
[[nodiscard]] auto backend_of(daemon& self, instance_id id) -> routing::backend_state&;

// answers.cpp

/*! @brief Handles an AnswerHead, AnswerPart or AnswerEnd. @param from Name of the sender. */
auto on_answer(daemon& self, std::string_view from, const wire::Envelope& message) -> void;

// tickets.cpp

/*! @brief Starts to watch the desired state in the key-value service, if the settings enable it. */
auto watch_desired_state(daemon& self) -> void;

/*! @brief Merges entries into the desired state and pushes those that were newer to agents and other entries.
 * @param from The entry that sent them, which does not get them back; empty for the key-value service. */
auto apply_state(daemon& self, const std::vector<ticket::scope_entry>& entries, std::string_view from) -> void;

/*! @brief Responds to `POST /v1/tickets`. */
auto submit_ticket(daemon& self, std::string_view body, const std::shared_ptr<net::responder>& responder) -> void;

/*! @brief Responds to `GET /v1/tickets` and `GET /v1/tickets/{number}`. @param number The number as text; empty for the
 * list. */
auto show_ticket(daemon& self, std::string_view number, const std::shared_ptr<net::responder>& responder) -> void;

// gossip.cpp

/*! @brief Makes an envelope with the protocol version and the incarnation of this process, but without a body. */
[[nodiscard]] auto make_envelope(const daemon& self) -> wire::Envelope;

/*! @brief Sends an envelope to an agent or entry. @return `ok`, or the reason why it was not sent. */
auto send(daemon& self, std::string_view to, const wire::Envelope& message) -> code;

/*! @brief Handles a frame from the bus; malformed frames and other protocol versions are dropped and counted.
 * @param from Name of the sender. */
auto on_frame(daemon& self, std::string_view from, std::string_view bytes) -> void;

/*! @brief Connects to all other entries in the settings. */
auto connect_peers(daemon& self) -> void;

/*! @brief Checks whether an entry has been silent for longer than the suspect timeout. The timeout is longer for
 * entries of other data centres, which send their summaries in rotation. */
[[nodiscard]] auto is_silent(const daemon& self, const peer& other, time_point now) -> bool;

/*! @brief Runs once per report interval: suspects silent members, evicts expired quarantine records, and sends a
 * summary and digests of the desired state. */
auto gossip(daemon& self, time_point now) -> void;

/*! @brief Pushes entries of the desired state to all agents and other entries. @param except Name of the entry that is
 * left out; may be empty. */
auto push_state(daemon& self, const std::vector<ticket::scope_entry>& entries, std::string_view except) -> void;

/*! @brief Sends the other entries the crashes that this entry has attributed to a request. @param content Keyed digest
 * of the request. @param crashes Total that this entry has observed. @param told Runs once all live entries know of it,
 * or after `max_crash_notice_time`. */
auto broadcast_crashes(daemon& self, std::uint64_t content, std::uint32_t crashes, std::function<void()> told) -> void;

/*! @brief Announces to the other entries that this one is leaving. */
auto broadcast_leaving(daemon& self) -> void;

// members.cpp

/*! @brief Sends changes of the list of members to the agents that this entry is responsible for. */
auto push_member_list(daemon& self, time_point now) -> void;

/*! @brief Makes the next update to an agent the full list. */
auto schedule_full_member_list(daemon& self, std::string_view agent) -> void;

// admin.cpp, dump.cpp and dump_pull.cpp

/*! @brief Handles a request on the admin listener. */
auto on_admin_request(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void;

/*! @brief Serialises all tables as JSON. */
[[nodiscard]] auto dump_tables(const daemon& self) -> std::string;

/*! @brief Requests the tables of a process and responds with them, or with an error if it is not connected or does not
 * reply in time.
 * @param instance Name of the process; may be this one. */
auto request_dump(daemon& self, std::string_view instance, const std::shared_ptr<net::responder>& responder) -> void;

/*! @brief Forwards the tables of another process to the admin request that waits for them. */
auto on_dump(daemon& self, const wire::Dump& reply) -> void;

/*! @brief Sends the tables of this process to another entry. @param number Number of the pull. */
auto send_dump(daemon& self, std::string_view to, std::uint64_t number) -> void;

// run.cpp

/*! @brief Opens all listeners. @return False if one could not be opened. */
[[nodiscard]] auto open_listeners(daemon& self) -> bool;

/*! @brief Starts the timers, the connections to the other entries and the watch. */
auto start(daemon& self) -> void;

/*! @brief Begins a planned stop; has no effect if one is in progress. */
auto begin_leaving(daemon& self) -> void;

} // namespace rhubarbwharf::entry
