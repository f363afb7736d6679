#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
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
#include <rhubarbwharf/routing/choice.hpp>
#include <rhubarbwharf/routing/quarantine.hpp>
#include <rhubarbwharf/routing/queue.hpp>
#include <rhubarbwharf/ticket/state.hpp>

namespace rhubarbwharf::entry {

/*! @brief Key of the desired state in the key-value service. */
inline constexpr std::string_view desired_state_key = "rhubarbwharf/state";
/*! @brief Time between looks at queues and deadlines. */
inline constexpr duration tick_interval = std::chrono::milliseconds{20};

/*! @brief Another entry. */
struct peer {
    config::entry_settings m_settings{};
    std::uint64_t m_incarnation{};
    time_point m_last_received{};
    bool m_leaving{false};
    /*! @brief Highest ticket that it holds. */
    ticket_number m_highest_ticket{};
    /*! @brief Digest of its desired state, by its last word. */
    digest m_state_digest{};
};

/*! @brief What an agent has said of its desired state. */
struct agent_sync_state {
    ticket_number m_ticket{};
    digest m_state_digest{};
    /*! @brief When the whole state was pushed to it last. */
    time_point m_last_pushed{};
    /*! @brief Sequence of its last whole report. */
    std::uint64_t m_report_sequence{};
};

/*! @brief A caller's request from its arrival to its one final answer. */
struct request {
    request_id m_id{};
    organisation_id m_organisation{};
    std::string m_group{};
    /*! @brief Keyed digest of content and organisation. */
    std::uint64_t m_content_digest{};
    std::uint64_t m_prefix_hash{};
    wire::Dispatch m_dispatch{};
    std::shared_ptr<net::responder> m_responder{};
    routing::flight m_progress{};
    time_point m_arrived{};

    /*! @brief Backend server of the attempt in progress. */
    std::optional<instance_id> m_backend{};
    /*! @brief Backend server of the attempt before. */
    std::optional<instance_id> m_previous_backend{};
    bool m_suspect{false};
    time_point m_attempt_sent{};
    bool m_has_head{false};
    std::uint32_t m_part_count{};
    std::uint32_t m_forwarded_tokens{};
    /*! @brief Version that the answer comes from, once its head is there. */
    digest m_version{};
    /*! @brief Answer collected so far, where it is not passed on as it comes. */
    net::http_response m_buffered_response{};
};

/*! @brief The list of members as the agents were told it. */
struct member_list {
    /*! @brief Counts the changes told. */
    std::uint64_t m_sequence{};
    /*! @brief Rows as last told, by `instance_id`; empty for a member that is not on the list. */
    std::vector<std::string> m_sent_rows{};

    /*! @brief What each agent was told: the sequence, and when. */
    struct sent_update {
        std::uint64_t m_sequence{};
        time_point m_sent{};
    };

    std::unordered_map<std::string, sent_update> m_last_updates{};
};

/*! @brief All state of one entry process; only its loop's thread touches it. */
struct daemon {
    explicit daemon(const config::settings& settings);

    config::settings m_settings{};
    std::uint64_t m_incarnation{};
    std::mt19937_64 m_random{};
    digest m_quarantine_key{};
    time_point m_started{};
    /*! @brief When this process last looked at queues and deadlines; far back after it has been suspended. */
    time_point m_last_check{steady_now()};
    /*! @brief When it last went on after a suspension; the epoch if it never did. */
    time_point m_resumed{};

    net::loop m_loop{};
    net::counters m_counters{};
    net::http_client m_http_client;
    net::bus m_bus;
    net::http_server m_caller_server;
    net::http_server m_admin_server;
    platform::client m_platform_client;

    membership::table m_members{};
    membership::limits m_member_limits{};
    /*! @brief By `instance_id`. */
    std::vector<routing::backend> m_backends{};
    std::unordered_map<std::string, agent_sync_state> m_agents{};
    member_list m_member_list{};
    std::map<std::string, peer, std::less<>> m_peers{};
    std::uint64_t m_summary_sequence{};
    /*! @brief Counts the entries of other data centres told so far, which are told in turns. */
    std::size_t m_next_remote_peer{};

    ticket::desired_state m_desired_state{};
    /*! @brief Operators who wait for the tables of another process, by the number of the pull. */
    std::unordered_map<std::uint64_t, std::shared_ptr<net::responder>> m_pending_dumps{};
    digest m_state_digest{};

    names<organisation_id> m_organisations{};
    std::map<request_id, std::shared_ptr<request>> m_requests{};
    std::uint64_t m_last_request_id{};
    std::map<std::string, routing::fair_queue, std::less<>> m_queues{};
    routing::retry_budget m_retry_budget{};
    routing::choice_limits m_choice_options{};
    routing::quarantine m_quarantine{};

    bool m_leaving{false};
    time_point m_leave_started{};
    bool m_listener_closed{false};
};

// keys.cpp

/*! @brief Digests a request's content with the key that the entries share. @param self The entry.
 * @param organisation Name of the organisation. @param content What to digest. @return The digest. */
[[nodiscard]] auto keyed_digest(const daemon& self, std::string_view organisation, std::string_view content)
    -> std::uint64_t;

// callers.cpp

/*! @brief Takes a caller's HTTP request. @param self The entry. @param incoming The request.
 * @param answer The responder. */
auto on_caller_request(daemon& self, net::http_request incoming, std::shared_ptr<net::responder> responder) -> void;

// requests.cpp

/*! @brief Takes a new request in: sends it, lets it wait, or refuses it. @param self The entry.
 * @param fresh The request. */
auto submit_request(daemon& self, const std::shared_ptr<request>& pending) -> void;

/*! @brief Ends the attempt in progress and does what follows from it. @param self The entry.
 * @param target The request. @param end How the attempt ended. */
auto end_attempt(daemon& self, const std::shared_ptr<request>& pending, const routing::attempt_end& end) -> void;

/*! @brief Answers a request whose answer is whole. @param self The entry. @param target The request. */
auto finish_request(daemon& self, const std::shared_ptr<request>& pending) -> void;

/*! @brief Notes that this process has been suspended, if it has not looked at its queues for long. @param self The
 * entry. @param now The time. */
auto detect_suspension(daemon& self, time_point now) -> void;

/*! @brief Sends waiting requests for which there is room. @param self The entry. */
auto send_queued_requests(daemon& self) -> void;

/*! @brief Ends what has waited too long or passed its deadline. @param self The entry. @param now The time. */
auto expire_requests(daemon& self, time_point now) -> void;

/*! @brief Ends all attempts at a backend server that is gone. @param self The entry. @param gone The member. */
auto fail_attempts_on(daemon& self, instance_id lost) -> void;

/*! @brief Forgets a request whose caller left. @param self The entry. @param id The request. */
auto on_caller_disconnected(daemon& self, request_id id) -> void;

/*! @brief Returns the load row of a member. @param self The entry. @param id The member. @return The row. */
[[nodiscard]] auto backend_of(daemon& self, instance_id id) -> routing::backend&;

// answers.cpp

/*! @brief Takes an AnswerHead, AnswerPart or AnswerEnd. @param self The entry. @param from The sender.
 * @param message The envelope. */
auto on_answer(daemon& self, std::string_view from, const wire::Envelope& message) -> void;

// tickets.cpp

/*! @brief Starts to watch the desired state, if the settings say so. @param self The entry. */
auto watch_desired_state(daemon& self) -> void;

/*! @brief Takes entries of the desired state over and tells the others. @param self The entry.
 * @param entries The entries. @param from Who sent them; empty for the key-value service. */
auto apply_state(daemon& self, const std::vector<ticket::scope_entry>& entries, std::string_view from) -> void;

/*! @brief Answers `POST /v1/tickets`. @param self The entry. @param body The ticket. @param answer The responder. */
auto submit_ticket(daemon& self, std::string_view body, const std::shared_ptr<net::responder>& responder) -> void;

/*! @brief Answers `GET /v1/tickets` and `GET /v1/tickets/{number}`. @param self The entry. @param number The number
 * as text; empty for the list. @param answer The responder. */
auto show_ticket(daemon& self, std::string_view number, const std::shared_ptr<net::responder>& responder) -> void;

// gossip.cpp

/*! @brief Makes an envelope of this process. @param self The entry. @return The envelope. */
[[nodiscard]] auto make_envelope(const daemon& self) -> wire::Envelope;

/*! @brief Sends an envelope. @param self The entry. @param to The peer. @param message The envelope.
 * @return `ok`, or why nothing was sent. */
auto send(daemon& self, std::string_view to, const wire::Envelope& message) -> code;

/*! @brief Takes a frame from the bus. @param self The entry. @param from The sender. @param bytes The frame. */
auto on_frame(daemon& self, std::string_view from, std::string_view bytes) -> void;

/*! @brief Connects to the other entries. @param self The entry. */
auto connect_peers(daemon& self) -> void;

/*! @brief Tells whether another entry has been silent for too long; those of other data centres are heard in turns.
 * @param self The entry. @param other The other one. @param now The time. @return Whether it is too long. */
[[nodiscard]] auto is_silent(const daemon& self, const peer& other, time_point now) -> bool;

/*! @brief Does what is due once a report period. @param self The entry. @param now The time. */
auto gossip(daemon& self, time_point now) -> void;

/*! @brief Pushes entries of the desired state to all agents and entries. @param self The entry.
 * @param entries The entries. @param but Who needs none. */
auto push_state(daemon& self, const std::vector<ticket::scope_entry>& entries, std::string_view except) -> void;

/*! @brief Tells the other entries of crashes. @param self The entry. @param content Keyed digest of the request.
 * @param crashes Crashes noted. */
auto broadcast_crashes(daemon& self, std::uint64_t content, std::uint32_t crashes) -> void;

/*! @brief Tells the other entries that this one leaves. @param self The entry. */
auto broadcast_leaving(daemon& self) -> void;

// members.cpp

/*! @brief Tells the agents for which this entry is the teller what changed in the list of members. @param self The
 * entry. @param now The time. */
auto push_member_list(daemon& self, time_point now) -> void;

/*! @brief Lets an agent get the whole list next time. @param self The entry. @param agent Its name. */
auto schedule_full_member_list(daemon& self, std::string_view agent) -> void;

// admin.cpp and dump.cpp

/*! @brief Takes a request on the admin listener. @param self The entry. @param incoming The request.
 * @param answer The responder. */
auto on_admin_request(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void;

/*! @brief Writes all tables as JSON. @param self The entry. @return The JSON. */
[[nodiscard]] auto dump_tables(const daemon& self) -> std::string;

/*! @brief Asks another process for its tables. @param self The entry. @param instance Its name.
 * @param answer The responder, which gets the tables or a refusal. */
auto request_dump(daemon& self, std::string_view instance, const std::shared_ptr<net::responder>& responder) -> void;

/*! @brief Passes the tables of another process on. @param self The entry. @param said The message. */
auto on_dump(daemon& self, const wire::Dump& reply) -> void;

/*! @brief Sends the own tables to another entry. @param self The entry. @param to Its name. @param number The pull's
 * number. */
auto send_dump(daemon& self, std::string_view to, std::uint64_t number) -> void;

// run.cpp

/*! @brief Opens all listeners. @param self The entry. @return Whether all could be opened. */
[[nodiscard]] auto open_listeners(daemon& self) -> bool;

/*! @brief Starts timers, connections to the other entries and the watch. @param self The entry. */
auto start(daemon& self) -> void;

/*! @brief Begins the planned stop. @param self The entry. */
auto begin_leaving(daemon& self) -> void;

} // namespace rhubarbwharf::entry
