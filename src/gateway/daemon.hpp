#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/dispatch/budget.hpp>
#include <rhubarbwharf/dispatch/choice.hpp>
#include <rhubarbwharf/dispatch/wait.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/routing/quarantine.hpp>

#include <gateway/event_stream.hpp>
#include <gateway/weights.hpp>
#include <node/core.hpp>

namespace rhubarbwharf::gateway {

/*! @brief Time between looks at queues, deadlines and answers that do not come. */
inline constexpr duration tick_period = std::chrono::milliseconds{20};
/*! @brief Time between words to the other gateways. */
inline constexpr duration pulse_period = std::chrono::milliseconds{300};

/*! @brief Time for which a request that was running when a backend server crashed is remembered. */
inline constexpr duration blame_time = std::chrono::seconds{120};

/*! @brief One attempt of an exchange at a backend server. */
struct attempt {
    std::shared_ptr<dispatch::server_load> m_backend{};
    std::shared_ptr<net::call> m_call{};
    time_point m_sent{};
    /*! @brief Prompt tokens counted as unread at the backend server; 0 once its answer has begun. */
    double m_unread{};
    std::optional<net::http_response> m_head{};
    /*! @brief Body so far, of an answer that is passed on whole. */
    std::string m_body{};
    bool m_is_stream{false};
};

/*! @brief A caller's request from its arrival to its one final answer. */
struct exchange {
    request_id m_id{};
    /*! @brief The caller's number of this attempt. */
    std::string m_name{};
    /*! @brief Configuration under which it began, and under which it ends. */
    fleet::shared_configuration m_configuration{};
    const fleet::route* m_route{};
    const fleet::service* m_service{};
    std::string m_organisation{};
    unsigned m_priority{};
    /*! @brief Request as it goes to a backend server, but for what differs between attempts. */
    net::http_request m_request{};
    std::shared_ptr<net::responder> m_answer{};
    time_point m_arrived{};
    /*! @brief When its caller or its route stops waiting. */
    time_point m_deadline{};
    /*! @brief When an answer that begins later is late; before `m_arrived` for a caller that came back. */
    time_point m_target{};
    double m_prompt{};
    double m_output{};
    std::string m_model{};
    /*! @brief Digest of content and caller, to find requests that crash backend servers. */
    std::uint64_t m_content{};

    /*! @brief Backend servers it was sent to. */
    std::vector<std::string> m_tried{};
    /*! @brief Attempt in progress; empty while it waits. */
    std::shared_ptr<attempt> m_attempt{};
    /*! @brief Whether an earlier attempt may have run. */
    bool m_may_have_run{false};
    bool m_ended{false};

    event_stream m_events{};
    /*! @brief Whether part of a stream has been passed on. */
    bool m_started{false};
    time_point m_last_event{};
    /*! @brief Time from the sending of the last attempt to the first byte of its answer. */
    duration m_first{};
    /*! @brief Longest pause between events so far. */
    duration m_longest_pause{};
    std::uint64_t m_version{};
    std::size_t m_event_bytes{};
};

/*! @brief Requests and backend servers of one service. */
struct service_state {
    dispatch::wait_queue m_queue{};
    dispatch::repeat_budget m_budget{};
    std::vector<std::shared_ptr<dispatch::server_load>> m_backends{};
};

/*! @brief Longest time that callers have given. */
struct patience {
    duration m_longest{};
    time_point m_since{};
};

/*! @brief All state of one gateway; only its loop's thread touches it. */
struct daemon {
    daemon(const config::node_settings& settings, std::string file);

    std::string m_file{};
    node::core m_core;
    net::http_server m_callers;
    net::http_server m_readiness;
    net::http_server m_directory;
    net::http_server m_metrics;
    net::http_server m_control;
    net::http_server m_bulk;

    weights_relay m_weights{};
    std::map<std::string, service_state, std::less<>> m_services{};
    /*! @brief By id. */
    std::map<std::string, std::shared_ptr<dispatch::server_load>, std::less<>> m_backends{};
    std::unordered_map<request_id, std::shared_ptr<exchange>> m_exchanges{};
    routing::quarantine m_quarantine{};
    /*! @brief Longest time that callers of a route have given lately, by the route's name. */
    std::map<std::string, patience, std::less<>> m_patience{};
    std::uint64_t m_last_request{};
    /*! @brief Gateways that take traffic, this one included. */
    double m_gateways{1.0};
    /*! @brief Requests since the last look at the demand. */
    std::uint64_t m_arrivals{};
    time_point m_left{};
    bool m_closed{false};
};

/*! @brief Takes a request of a caller. @param self The gateway. @param incoming The request. @param answer Its answer.
 */
auto on_caller(daemon& self, net::http_request incoming, std::shared_ptr<net::responder> answer) -> void;

/*! @brief Sends an exchange to a backend server, lets it wait, or refuses it. @param self The gateway.
 * @param item The exchange. */
auto place(daemon& self, const std::shared_ptr<exchange>& item) -> void;

/*! @brief Tells whether a backend server that an exchange was not sent to has room. @param self The gateway.
 * @param item The exchange. @param now The time. @return Whether one has. */
[[nodiscard]] auto has_room_elsewhere(daemon& self, const exchange& item, time_point now) -> bool;

/*! @brief Sends those that wait for a service, as far as there is room. @param self The gateway. @param name The
 * service. */
auto pump(daemon& self, std::string_view name) -> void;

/*! @brief Sends an exchange to a backend server. @param self The gateway. @param item The exchange.
 * @param to The backend server. @param why Prediction that it rests on. */
auto dispatch_to(daemon& self, const std::shared_ptr<exchange>& item, const std::shared_ptr<dispatch::server_load>& to,
                 const dispatch::choice& why) -> void;

/*! @brief Takes the attempt in progress back: its counts, and its call if it still runs. @param self The gateway.
 * @param item The exchange. @param why Reason, for the log. */
auto drop_attempt(daemon& self, const std::shared_ptr<exchange>& item, std::string_view why) -> void;

/*! @brief What is known of an attempt that gave no answer to pass on. */
struct failure {
    /*! @brief Whether the backend server surely did not run it. */
    bool m_not_run{false};
    /*! @brief Whether any byte was sent. */
    bool m_sent{true};
    std::string_view m_reason{};
};

/*! @brief Tries an exchange again elsewhere, or ends it. @param self The gateway. @param item The exchange.
 * @param what What is known. */
auto retry_or_end(daemon& self, const std::shared_ptr<exchange>& item, const failure& what) -> void;

/*! @brief Ends an exchange with an answer of this gateway. @param self The gateway. @param item The exchange.
 * @param answer The answer. @param reason Reason, for the log. */
auto end_with(daemon& self, const std::shared_ptr<exchange>& item, net::http_response answer, std::string_view reason)
    -> void;

/*! @brief Forgets an exchange whose answer has ended or whose caller has left. @param self The gateway.
 * @param item The exchange. @param status Status that it ended with; 0 if it was cut. @param reason Reason, for the
 * log. */
auto forget(daemon& self, const std::shared_ptr<exchange>& item, std::uint16_t status, std::string_view reason) -> void;

/**
 * @brief Makes a refusal of a request that has not run.
 * @param status 503, or 429.
 * @param detail Why.
 * @param retry_after When a place is expected; zero leaves it out.
 * @return The response.
 */
[[nodiscard]] auto refusal(std::uint16_t status, std::string_view detail, duration retry_after) -> net::http_response;

/*! @brief Makes a failure that promises nothing of the effect. @param status 502 or 504. @param detail Why.
 * @return The response. */
[[nodiscard]] auto failed(std::uint16_t status, std::string_view detail) -> net::http_response;

/*! @brief Acts on deadlines, answers that do not come, and pauses in streams. @param self The gateway. @param now The
 * time. */
auto expire(daemon& self, time_point now) -> void;

/*! @brief Brings the row of one backend server up to what the core knows. @param self The gateway. @param id It. */
auto refresh_backend(daemon& self, const std::string& id) -> void;

/*! @brief Works the quotas out anew, as gateways, backend servers and demand change. @param self The gateway. */
auto assign_quotas(daemon& self) -> void;

/*! @brief Takes frames over that concern gateways alone. @param self The gateway. @param from The peer.
 * @param frame The frame. */
auto on_frame(daemon& self, std::string_view from, const wire::fleet::Frame& frame) -> void;

/*! @brief Notes that a request was running when its backend server crashed, and tells the others. @param self The
 * gateway. @param item The exchange. */
auto blame(daemon& self, const exchange& item) -> void;

/*! @brief Mean failure rate of the other backend servers of a service. @param self The gateway. @param row The one
 * left out. @return The rate. */
[[nodiscard]] auto service_failure_rate(const daemon& self, const dispatch::server_load& row) -> double;

/*! @brief Answers what is not a caller's request. */
auto on_directory(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer)
    -> void;
auto on_readiness(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer)
    -> void;
auto on_metrics(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer) -> void;
auto on_control(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer) -> void;

} // namespace rhubarbwharf::gateway
