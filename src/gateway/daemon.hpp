#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/dispatch/hedge.hpp>
#include <rhubarbwharf/dispatch/placement.hpp>
#include <rhubarbwharf/dispatch/retry_budget.hpp>
#include <rhubarbwharf/dispatch/wait_queue.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/routing/prompt_parts.hpp>
#include <rhubarbwharf/routing/quarantine.hpp>

#include <gateway/event_stream.hpp>
#include <gateway/weights.hpp>
#include <node/core.hpp>

namespace rhubarbwharf::gateway {

/*! @brief Interval between checks of queues, deadlines and response timeouts. */
inline constexpr duration tick_interval = std::chrono::milliseconds{20};
/*! @brief Interval between heartbeats to the other gateways. */
inline constexpr duration heartbeat_interval = std::chrono::milliseconds{300};

/*! @brief How long a crash stays attributed to a request that was running on the backend server. */
inline constexpr duration crash_attribution_retention = std::chrono::seconds{120};

/*! @brief One attempt to run a request on a backend server. */
struct attempt {
    std::shared_ptr<dispatch::server_load> m_backend{};
    std::shared_ptr<net::call> m_call{};
    time_point m_sent_at{};
    /*! @brief Version of the weights that the server was known to hold when the request was sent; 0 for none. */
    std::uint64_t m_held_version{};
    /*! @brief Prompt tokens added to the backend server's unread tokens; 0 once its response has begun. */
    double m_unread_tokens{};
    /*! @brief Status and headers of the response; empty until they have been received. */
    std::optional<net::http_response> m_head{};
    /*! @brief Body received so far, if the response is buffered instead of streamed. */
    std::string m_body{};
    bool m_is_stream{false};
    /*! @brief Whether an earlier attempt may have reached a server, so that this one counts as a retry. */
    bool m_is_retry{false};
    /*! @brief Times at which complete events arrived, up to `begun_deliveries`. */
    unsigned m_deliveries{};
    /*! @brief Events received so far if this is a hedge; those of the other attempt go to the exchange's. */
    event_stream m_events{};
};

/*! @brief A caller's request, from its arrival to the end of its response. */
struct exchange {
    request_id m_id{};
    /*! @brief Attempt id that the caller sent; empty if it sent none. */
    std::string m_attempt_id{};
    /*! @brief Configuration in force at arrival; used until the exchange ends. */
    fleet::shared_configuration m_configuration{};
    const fleet::route* m_route{};
    const fleet::service* m_service{};
    std::string m_organisation{};
    /*! @brief Regions in which it may be served, by its route and its organisation. */
    fleet::allowed_regions m_allowed_regions{};
    unsigned m_priority{};
    /*! @brief Kinds of route of the service that are more urgent than the own one. */
    unsigned m_urgency{};
    /*! @brief Request to forward, without the headers that differ between attempts. */
    net::http_request m_request{};
    std::shared_ptr<net::responder> m_responder{};
    time_point m_arrived_at{};
    /*! @brief When the caller's or the route's timeout expires, whichever is earlier. */
    time_point m_deadline{};
    /*! @brief Latest on-time start of the response; may be before `m_arrived_at` for a caller that retries after a
     * refusal. */
    time_point m_first_byte_deadline{};
    double m_prompt_tokens{};
    double m_output_tokens{};
    std::string m_model{};
    /*! @brief Digest of content and organisation; identifies requests that crash backend servers. */
    std::uint64_t m_content_digest{};
    /*! @brief Parts of the prompt that other requests may share. */
    std::vector<routing::part_id> m_parts{};
    /*! @brief Suspect parts for which this request is the trial; empty if it is none. */
    std::vector<routing::part_id> m_trial_parts{};
    /*! @brief Whether a backend server has begun the answer, which speaks for the parts; the request itself may still
     * end servers later in its answer. */
    bool m_has_begun{false};
    /*! @brief Whether the connection of an attempt broke, so that no server has answered the request from its begin. */
    bool m_has_lost_connection{false};

    /*! @brief Ids of the backend servers tried so far, in order. */
    std::vector<std::string> m_tried_servers{};
    /*! @brief Attempt in progress; null while the request is queued. */
    std::shared_ptr<attempt> m_attempt{};
    /*! @brief Second attempt, made because `m_attempt` is silent; the first of both that delivers is kept. */
    std::shared_ptr<attempt> m_hedge{};
    /*! @brief Whether the request waits in the queue for a second backend server although `m_attempt` is in progress.
     */
    bool m_hedge_waits{false};
    /*! @brief Whether `m_hedge` was sent as the response was slow; its server is then not taken for a silent one. */
    bool m_hedged_as_slow{false};
    /*! @brief Tried backend servers that got no byte of the request, so that they do not count as attempts. */
    std::size_t m_unsent_attempts{};
    /*! @brief Whether the retry budget has granted a further attempt that was not sent yet. */
    bool m_has_retry_grant{false};
    /*! @brief Whether the retry budget has denied it a further attempt since the last grant; told once, as a hedge asks
     * at each check. */
    bool m_is_retry_denied{false};
    /*! @brief Whether an earlier attempt may have run the request. */
    bool m_may_have_run{false};
    /*! @brief Whether an attempt was withdrawn from a server with outdated weights. Its caller gets no refusal that
     * states that it did not run, so it waits for a place as long as time is left. */
    bool m_withdrawn{false};
    /*! @brief Error response that a backend server gave to an attempt after which others were tried. */
    std::optional<net::http_response> m_server_error{};
    bool m_ended{false};

    event_stream m_events{};
    /*! @brief Whether part of a stream has been forwarded to the caller. */
    bool m_stream_started{false};
    /*! @brief Whether a hedge resumed the stream without a further event, and none has come since, so that it may be
     * complete already. */
    bool m_resumed_to_end{false};
    /*! @brief When the last event was forwarded, or the first attempt was sent. */
    time_point m_last_event_at{};
    /*! @brief Time from which silence counts anew, as no second backend server could be asked before. */
    time_point m_silence_checked_at{};
    /*! @brief Time between sending the last attempt and the first byte of its response. */
    duration m_first_byte_latency{};
    /*! @brief Longest pause between two events so far. */
    duration m_longest_pause{};
    /*! @brief Version of the weights that produced the stream; 0 until its head has been received. */
    std::uint64_t m_weights_version{};
    /*! @brief Bytes of events forwarded so far. */
    std::size_t m_event_bytes{};
};

/*! @brief Queue, retry budget and backend servers of one service. */
struct service_state {
    dispatch::wait_queue m_queue{};
    dispatch::service_retry_budget m_retry_budget{};
    dispatch::hedge_allowance m_hedge_allowance{};
    std::vector<std::shared_ptr<dispatch::server_load>> m_backends{};
};

/*! @brief Pause that an incarnation of a backend server has asked for. */
struct server_pause {
    /*! @brief Start of the incarnation, Unix ms. */
    std::uint64_t m_started_ms{};
    time_point m_until{};
};

/*! @brief Longest timeout that the callers of a route have sent recently. */
struct caller_timeout {
    duration m_longest{};
    time_point m_observed_at{};
};

/*! @brief All state of one gateway; accessed by the event loop's thread only. */
struct daemon {
    daemon(const config::node_settings& settings, std::string file);

    std::string m_settings_file{};
    node::core m_core;
    net::http_server m_caller_server;
    net::http_server m_readiness_server;
    net::http_server m_directory_server;
    net::http_server m_metrics_server;
    net::http_server m_control_server;
    net::http_server m_bulk_server;

    weights_relay m_weights_relay{};
    std::map<std::string, service_state, std::less<>> m_services{};
    /*! @brief Backend servers by id. */
    std::map<std::string, std::shared_ptr<dispatch::server_load>, std::less<>> m_backends{};
    /*! @brief Pauses by id of the backend server; kept while its entry is missing from the server list. */
    std::map<std::string, server_pause, std::less<>> m_pauses{};
    std::unordered_map<request_id, std::shared_ptr<exchange>> m_exchanges{};
    routing::quarantine m_quarantine{};
    routing::part_table m_parts{};
    /*! @brief When the verdicts on parts were last sent to all gateways. */
    time_point m_last_parts_sent{};
    /*! @brief By name of the route. */
    std::map<std::string, caller_timeout, std::less<>> m_caller_timeouts{};
    /*! @brief By name of the route. */
    std::map<std::string, dispatch::tail_latency, std::less<>> m_tail_latencies{};
    /*! @brief Retries that peers have told to count, by name of the gateway and of the service. */
    std::map<std::string, std::map<std::string, dispatch::told_retries, std::less<>>, std::less<>> m_peer_retries{};
    dispatch::gateway_peak m_gateway_peak{};
    dispatch::budget_part m_retry_part{};
    /*! @brief Whether a peer has told what the predecessor of this process may have spent of the retry budgets. */
    bool m_knows_predecessor{false};
    std::uint64_t m_last_request_id{};
    /*! @brief Number of gateways that accept traffic, this one included; at least 1. */
    double m_gateway_count{1.0};
    /*! @brief Requests received since the last demand measurement. */
    std::uint64_t m_recent_requests{};
    /*! @brief When the stop signal was received; `time_point::max()` once the event loop is about to stop. */
    time_point m_leaving_since{};
    /*! @brief Whether new requests are refused because the gateway is stopping. */
    bool m_draining{false};
};

/*! @brief Accepts a caller's request: resolves its route, then schedules or refuses it. */
auto on_caller_request(daemon& self, net::http_request incoming, std::shared_ptr<net::responder> responder) -> void;

/*! @brief Sends a request to a backend server, queues it, or refuses it. */
auto schedule(daemon& self, const std::shared_ptr<exchange>& item) -> void;

/*! @brief Sends queued requests of a service as far as its backend servers have capacity.
 * @param name Name of the service. */
auto dispatch_queued(daemon& self, std::string_view name) -> void;

/*! @brief Starts an attempt on a backend server; it is a hedge if another one is in progress.
 * @param prediction Prediction that the choice is based on, for the log. */
auto dispatch_to(daemon& self, const std::shared_ptr<exchange>& item,
                 const std::shared_ptr<dispatch::server_load>& backend, const dispatch::choice& prediction) -> void;

/*! @brief Returns when the caller of a request that no server ran should return: at once if another server may run it,
 * else when one may have become available. */
[[nodiscard]] auto retry_after_failure(daemon& self, const exchange& item) -> duration;

/*! @brief Returns the `Retry-After` of a request if only pauses keep it from being sent, jitter included. */
[[nodiscard]] auto retry_after_pause(daemon& self, const exchange& item) -> std::optional<duration>;

/*! @brief Sends a request to a second backend server beside the attempt in progress, or lets it wait in the queue for
 * one with capacity. */
auto hedge(daemon& self, const std::shared_ptr<exchange>& item) -> void;

/*! @brief Sends a request whose response is slow to a second backend server that has room, if operators allow it. */
auto hedge_slow(daemon& self, const std::shared_ptr<exchange>& item) -> void;

/*! @brief Ends the wait of a request for a second backend server, as it is no longer needed. */
auto withdraw_hedge(daemon& self, exchange& item) -> void;

/*! @brief Cancels one attempt of an exchange and removes it from the load of its backend server. If another one is in
 * progress, that one becomes `m_attempt`.
 * @param ended The attempt, by value as it is removed from the exchange.
 * @param reason Reason, for the log. */
auto cancel_attempt(daemon& self, const std::shared_ptr<exchange>& item, std::shared_ptr<attempt> ended,
                    std::string_view reason) -> void;

/*! @brief Cancels all attempts of an exchange.
 * @param reason Reason, for the log. */
auto cancel_attempts(daemon& self, const std::shared_ptr<exchange>& item, std::string_view reason) -> void;

/*! @brief Cancels the other attempt of an exchange, if any, as this one has delivered. If that is the hedge, the server
 * that was silent until then has failed. */
auto keep_attempt(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& kept) -> void;

/*! @brief Outcome of an attempt without a response that can be forwarded. */
struct attempt_failure {
    /*! @brief Whether the backend server is known not to have run the request. */
    bool m_not_run{false};
    /*! @brief Whether any byte may have reached the backend server. */
    bool m_sent{true};
    std::string_view m_reason{};
};

/*! @brief Ends a failed attempt. Unless another one is in progress, retries the request on another backend server if
 * the route, the retry budget and the deadline allow it; otherwise ends it with a failure. */
auto retry_or_end(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<attempt>& failed,
                  const attempt_failure& failure) -> void;

/*! @brief Ends an exchange with a buffered response; aborts the response if a stream has already started.
 * @param reason Reason, for the log. */
auto end_with_response(daemon& self, const std::shared_ptr<exchange>& item, net::http_response response,
                       std::string_view reason) -> void;

/*! @brief Ends an exchange that has no response in time: with 503 if it cannot have run, else with 504, or by cutting
 * its stream.
 * @param reason Reason, for the caller and the log. */
auto end_unanswered(daemon& self, const std::shared_ptr<exchange>& item, std::string_view reason) -> void;

/*! @brief Ends all exchanges as `end_unanswered` does. */
auto end_all_unanswered(daemon& self, std::string_view reason) -> void;

/*! @brief Removes an exchange whose response has ended or whose caller has disconnected.
 * @param status Status of the response; 0 if it was cut.
 * @param reason Reason, for the log. */
auto close_exchange(daemon& self, const std::shared_ptr<exchange>& item, std::uint16_t status, std::string_view reason)
    -> void;

/**
 * @brief Creates the response that refuses a request which has not run.
 * @param status 503, or 429.
 * @param detail Explanation for the caller.
 * @param retry_after Value of `Retry-After`; zero omits the header.
 */
[[nodiscard]] auto refusal_response(std::uint16_t status, std::string_view detail, duration retry_after)
    -> net::http_response;

/*! @brief Creates the response for a request that may or may not have run.
 * @param status 502 or 504.
 * @param detail Explanation for the caller. */
[[nodiscard]] auto failure_response(std::uint16_t status, std::string_view detail) -> net::http_response;

/*! @brief Creates the response to a request that may have run and is given up: a backend server's error response if
 * there is one, else one of the gateway.
 * @param status 502 or 504, for the latter. */
[[nodiscard]] auto give_up_response(const exchange& item, std::uint16_t status, std::string_view reason)
    -> net::http_response;

/*! @brief Enforces deadlines, hedges requests whose backend servers are silent, then dispatches queued requests. */
auto check_timeouts(daemon& self, time_point now) -> void;

/*! @brief Moves the times back that bound exchanges and a stop, after a suspension of the machine: callers' time has
 * passed, although the steady clock did not count it. The silence of servers, which is no time of the callers, stays.
 */
auto note_suspension(daemon& self, duration suspended) -> void;

/*! @brief Updates the load entry of one backend server from its registration; removes it if it is not registered. */
auto refresh_backend(daemon& self, const std::string& id) -> void;

/*! @brief Excludes the backend servers of a data centre whose evacuation has begun, or takes them back as cold ones. */
auto on_evacuation(daemon& self, std::string_view data_centre) -> void;

/*! @brief Applies what the headers of a response say of its backend server: that it is leaving, or wants a pause. */
auto on_server_headers(daemon& self, dispatch::server_load& backend, const net::http_response& head) -> void;

/*! @brief Recalculates this gateway's quota at each backend server from gateways, backend servers and demand. */
auto assign_quotas(daemon& self) -> void;

/*! @brief Sends the loads of the region's backend servers to the other regions, if this gateway is the first
 * representative of its region and the fleet is so large that loaders report to their own region only. */
auto send_region_loads(daemon& self) -> void;

/*! @brief Handles a frame that only gateways process.
 * @param peer Name of the sender. */
auto on_frame(daemon& self, std::string_view peer, const wire::fleet::Frame& frame) -> void;

/*! @brief Returns the mean failure rate of a service's backend servers, without the given one; 1 if it is the only one,
 * 0 if the service is unknown. */
[[nodiscard]] auto service_failure_rate(const daemon& self, const dispatch::server_load& backend) -> double;

/*! @brief Returns the addresses of the gateways nearest to a caller's region and data centre. */
auto on_directory(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void;
/*! @brief Returns 200 if the gateway is ready, else 503. */
auto on_readiness(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void;
/*! @brief Returns metrics in the Prometheus text format, or a JSON dump of the gateway's state. */
auto on_metrics(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void;
/*! @brief Returns the gateway's whole state as a serialized `State` message. */
auto on_control(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void;

} // namespace rhubarbwharf::gateway
