#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "arrivals.hpp"
#include "crash.hpp"
#include "store.hpp"

namespace rhubarbwharf::standin_site {

/*! @brief Violated invariants, each as a human-readable line. */
struct violations {
    std::vector<std::string> m_lines{};

    auto add(std::string line) -> void { m_lines.push_back(std::move(line)); }
};

/*! @brief Time in which a server names a limit. */
struct limit_period {
    std::string m_server{};
    double m_per_s{};
    /*! @brief When a response first named it; `time_point::max()` if none has. */
    time_point m_named_at{time_point::max()};
    /*! @brief End of the period; `time_point::max()` while it lasts. */
    time_point m_ended_at{time_point::max()};
    std::vector<time_point> m_arrivals{};
};

/*! @brief State and counters shared by all servers of a site. */
struct site_observations {
    /*! @brief Executions of each attempt, by attempt id. */
    std::map<std::string, unsigned> m_executions{};
    /*! @brief Requests received, by server id. */
    std::map<std::string, unsigned> m_arrivals{};
    /*! @brief When requests arrived, by server id. */
    std::map<std::string, std::vector<time_point>> m_arrival_times{};
    std::vector<std::shared_ptr<limit_period>> m_limit_periods{};
    /*! @brief Requests that reached a server later than 0.5 s after it had asked for a pause and before its end. */
    unsigned m_arrivals_in_pause{};
    /*! @brief When a request last reached a server that had announced leaving; the epoch if none did. */
    time_point m_last_arrival_when_leaving{};
    /*! @brief When a request last began, by the version of the weights that it began on. */
    std::map<std::uint64_t, time_point> m_last_begin{};
    /*! @brief Begins of streamed answers, in the order of time. */
    std::vector<version_begin> m_version_begins{};
    /*! @brief Stays of requests at servers, by attempt id. */
    arrivals m_stays{};
    /*! @brief Requests for reports that were refused. */
    unsigned m_refused_reports{};
    /*! @brief Load orders that were accepted or refused. */
    unsigned m_handled_orders{};
    /*! @brief Time since which every daemon can reach the store; `time_point::max()` while one of them can't. */
    time_point m_store_reachable_since{};
    /*! @brief API keys of the organisations; none of them may be forwarded to a server. */
    std::set<std::string> m_api_keys{};
    /*! @brief Crashes that requests cause at every runner. */
    crash_faults m_crash_faults{};
    crash_observations m_prompts{};
    violations m_violations{};
};

/*! @brief Faults that a server injects until they are replaced; requests count whether executed or not. */
struct server_faults {
    /*! @brief Accepts requests without responding. */
    bool m_unresponsive{false};
    /*! @brief Cuts the stream of every n-th request in the middle of its fourth event; 0 disables the fault. */
    unsigned m_cut_every{};
    /*! @brief Executes every n-th request, but closes the connection instead of responding; 0 disables the fault. */
    unsigned m_lose_reply_every{};
    /*! @brief Refuses every n-th request with 503, as an overloaded server does; 0 disables the fault. */
    unsigned m_refuse_every{};
    /*! @brief Event before which each stream pauses for `m_pause`; 0 disables the fault. A plain response is event 1.
     */
    unsigned m_pause_event{};
    duration m_pause{};
    /*! @brief Status of a plain response to a request that resumes a stream; 0 resumes it. */
    std::uint16_t m_resume_status{};
    /*! @brief Ends each resumed stream at once, without an event. */
    bool m_resume_empty{false};
    /*! @brief Time for which a refusal asks its sender for a pause; zero omits the header. */
    duration m_retry_after{};
    /*! @brief Time from the arrival of a load order until it is handled, while later requests overtake it. */
    duration m_order_delay{};
    /*! @brief Number of reads of staged pieces that get no response. */
    unsigned m_unanswered_reads{};
    /*! @brief Value of the header with which reports are refused for a while; empty disables the fault. */
    std::string m_report_retry_after{};
    /*! @brief Requests a second that the server names in its responses; 0 omits the header. */
    double m_limit_per_s{};
};

/*! @brief Properties of one server. */
struct server_options {
    std::string m_id{};
    std::string m_service{};
    std::string m_data_centre{};
    unsigned m_slot_count{4};
    /*! @brief Model that a runner serves; empty for a plain server. */
    std::string m_model{};
    /*! @brief Loaded version of the weights; 0 if none is loaded. */
    std::uint64_t m_version{};
    unsigned m_layer_count{4};
    std::size_t m_piece_count{};
    /*! @brief Execution time of a plain request, and the interval between two events of a stream. */
    duration m_step_duration{std::chrono::milliseconds{5}};
    /*! @brief Whether events and every second plain response are sent in two parts, between which a pause may fall. */
    bool m_split_output{false};
    /*! @brief Time after its start for which it says that it is cold. */
    duration m_cold_time{};
};

/*! @brief Stand-in for one backend server: a model runner, or a plain server if it has no model. */
class server {
public:
    /*! @brief Creates a stopped server. The loop, the store and the observations must outlive it. */
    server(net::loop& owner, store& registry, site_observations& observations, server_options options);
    ~server();
    server(const server&) = delete;
    server(server&&) = delete;
    auto operator=(const server&) -> server& = delete;
    auto operator=(server&&) -> server& = delete;

    /**
     * @brief Starts listening on the loopback interface and registers the server in the store.
     * @param port Port; 0 selects a free one.
     * @return False if the port can't be bound.
     */
    [[nodiscard]] auto start(std::uint16_t port) -> bool;

    /*! @brief Announces that the server is draining; it continues to serve requests. */
    auto drain() -> void;

    /*! @brief Says in its entry that it is cold for a while. */
    auto turn_cold(duration length) -> void;

    /*! @brief Says in each response that the server is leaving, while its entry in the store stays as it is. */
    auto announce_leaving() -> void;

    /*! @brief Removes the entry of the server from the store, as the platform does for an unresponsive server. */
    auto unregister() -> void;

    /*! @brief Sends and handles nothing for a while, then continues; connections stay open. */
    auto pause(duration length) -> void;

    /*! @brief Resets all connections and stops listening; the server is back later, as `crash_faults` says.
     * @param part Part of a prompt that caused it; empty if no request did. */
    auto crash(const std::string& part) -> void;

    /*! @brief Replaces the injected faults; aborts unanswered requests unless the server stays unresponsive. */
    auto set_faults(const server_faults& faults) -> void;

    [[nodiscard]] auto address() const -> net::endpoint;

    [[nodiscard]] auto id() const noexcept -> const std::string& { return m_options.m_id; }

    [[nodiscard]] auto data_centre() const noexcept -> const std::string& { return m_options.m_data_centre; }

    [[nodiscard]] auto version() const noexcept -> std::uint64_t { return m_options.m_version; }

    [[nodiscard]] auto is_draining() const noexcept -> bool { return m_draining; }

    /*! @brief Returns the time at which draining was announced. */
    [[nodiscard]] auto draining_since() const noexcept -> time_point { return m_draining_since; }

private:
    using responder_ptr = std::shared_ptr<net::responder>;

    struct stream;

    auto on_request(const net::http_request& request, const responder_ptr& responder) -> void;
    /*! @brief Handles a request when no pause is in progress. */
    auto handle_request(const net::http_request& request, const responder_ptr& responder, time_point arrived_at)
        -> void;
    auto on_control(const net::http_request& request, const responder_ptr& responder) -> bool;
    auto on_load_order(const net::http_request& request, const responder_ptr& responder) -> void;
    /*! @brief Accepts an order for a part of the layers, after which no complete version is held. */
    auto give_up_version() -> void;
    auto handle_load_order(const net::http_request& request, const responder_ptr& responder) -> void;
    auto on_stage(const net::http_request& request, const responder_ptr& responder) -> void;
    auto execute(const net::http_request& request, const responder_ptr& responder) -> void;
    auto execute_stream(const net::http_request& request, const responder_ptr& responder) -> void;
    auto schedule_event(const std::shared_ptr<stream>& output) -> void;
    /*! @brief Returns the time until an event of a response is sent. */
    [[nodiscard]] auto delay_before(unsigned event) const -> duration;
    auto send_event(const std::shared_ptr<stream>& output) -> void;
    auto finish_event(const std::shared_ptr<stream>& output) -> void;
    auto send_plain_response(const std::string& attempt, const responder_ptr& responder) -> void;
    /*! @brief Runs a task after a delay, and not before a pause of the server has ended. */
    auto run_after(duration delay, std::function<void()> task) -> void;
    auto respond(const responder_ptr& responder, net::http_response response) const -> void;
    auto add_server_headers(net::http_response& response) const -> void;
    auto refuse(const responder_ptr& responder) -> void;
    /*! @brief Ends the period of a limit, and begins another one. @param per_s Its limit; 0 for none. */
    auto set_limit(double per_s) -> void;
    auto check_request(const net::http_request& request, time_point arrived_at) -> void;
    auto publish_entry() -> void;
    /*! @brief Crashes the server if a request crashes it after as many events. @return Whether it has crashed. */
    auto crash_after_events(const std::string& body, unsigned events) -> bool;
    /*! @brief Records that an answer begins. @return False if the request crashes the server instead. */
    [[nodiscard]] auto begin_answer(prompt_event request) -> bool;
    /*! @brief Records the version on which an answer begins, unless the gateway has left. */
    auto record_version(const std::string& attempt, bool is_resumed) -> void;
    /*! @brief Starts a crashed server as a new incarnation that holds only the staged pieces. */
    auto come_back() -> void;
    [[nodiscard]] auto make_entry() const -> boost::json::object;

    net::loop& m_loop;
    store& m_store;
    site_observations& m_observations;
    server_options m_options{};
    /*! @brief Null while the server is down after a crash. */
    std::unique_ptr<net::http_server> m_server{};
    std::uint16_t m_port{};
    std::map<std::size_t, std::string> m_staged_pieces{};
    server_faults m_faults{};
    /*! @brief Null unless a limit is named. */
    std::shared_ptr<limit_period> m_limit{};
    std::vector<responder_ptr> m_unanswered{};
    std::uint64_t m_start_time_us{};
    time_point m_cold_until{};
    std::uint64_t m_accepted_orders{};
    unsigned m_running_requests{};
    unsigned m_request_count{};
    bool m_loading{false};
    bool m_draining{false};
    time_point m_draining_since{};
    time_point m_paused_until{};
    /*! @brief When leaving was announced; the epoch if it was not. */
    time_point m_leaving_since{};
    time_point m_pause_requested_at{};
    time_point m_pause_requested_until{};
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

/*! @brief Returns the 512 bytes of a piece of the weights, which differ between versions and between pieces. */
[[nodiscard]] auto piece_bytes(std::uint64_t version, std::size_t piece) -> std::string;

/*! @brief Returns the response body that a plain server sends for an attempt id. */
[[nodiscard]] auto plain_server_body(std::string_view attempt) -> std::string;

/**
 * @brief Returns one server-sent event of a streamed response.
 * @param content Body of the request.
 * @param index Number of the event, from 1.
 * @return The event including the blank line that ends it.
 */
[[nodiscard]] auto event_text(std::string_view content, unsigned index) -> std::string;

/*! @brief Number of events of a complete stream. */
inline constexpr unsigned events_per_stream = 12;

} // namespace rhubarbwharf::standin_site
