#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>
#include <rhubarbwharf/dispatch/health.hpp>
#include <rhubarbwharf/dispatch/turns.hpp>
#include <rhubarbwharf/dispatch/warm_up.hpp>
#include <rhubarbwharf/fleet/configuration.hpp>
#include <rhubarbwharf/fleet/server.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::dispatch {

/**
 * @brief Slots of a backend server that its last report showed free, and what this gateway has made of them since.
 *
 * Load pattern: a full fleet, where requests wait at many gateways. A report reaches all of them at the same time; were
 * each to send a request for the slot that it shows free, most of them would wait at the server. Where there are fewer
 * gateways than slots, quotas of whole requests prevent that.
 */
struct free_slots {
    /*! @brief Slots without a request according to the report, negative for waiting requests; without a bound before
     * the first report. */
    double m_reported{std::numeric_limits<double>::infinity()};
    /*! @brief Random number from 0 to 1 by which this gateway's part, a fraction, is rounded. */
    double m_rounding{};
    /*! @brief Requests of this gateway that were sent since the report, less those that have ended since. */
    int m_used{};
};

/*! @brief Load of a backend server as one gateway knows it. */
struct server_load {
    std::string m_id{};
    /*! @brief Start of the incarnation, Unix ms. */
    std::uint64_t m_started_ms{};
    std::string m_service{};
    net::endpoint m_address{};
    std::string m_data_centre{};
    /*! @brief Region of its data centre; empty if that is not known. */
    std::string m_region{};
    unsigned m_slots{1};
    bool m_draining{false};
    /*! @brief Whether its data centre is being evacuated. */
    bool m_evacuated{false};
    warm_up m_warm_up{};
    /*! @brief Whether it, or a peer, has said that it is leaving. */
    bool m_leaving{false};
    /*! @brief Until when it wants no request from this gateway. */
    time_point m_paused_until{};
    /*! @brief Whether it was removed from the server list; the row is kept until the requests of this gateway there
     * have ended. */
    bool m_removed{false};
    /*! @brief Until when it counts as ended, as the loader at its address has reported another incarnation; the
     * platform lists an ended one until its entry lapses. */
    time_point m_replaced_until{};
    /*! @brief Models that it holds and may be used for. */
    std::vector<fleet::held_model> m_models{};
    /*! @brief Versions that its loader has reported as loaded from intact pieces; see `fleet::select_proven`. */
    std::vector<fleet::held_model> m_proven_models{};
    /*! @brief Requests that this gateway may have in progress there when slots are scarce. */
    double m_quota{};
    /*! @brief Requests of this gateway in progress there. */
    unsigned m_own_requests{};
    /*! @brief Prompt tokens of this gateway's requests whose answer has not begun. */
    double m_unread_prompt_tokens{};
    /*! @brief Requests of other gateways according to the last report. */
    double m_other_requests{};
    /*! @brief Requests of other gateways that were waiting according to the last report. */
    double m_other_waiting_requests{};
    /*! @brief Running and waiting requests of the last report. */
    unsigned m_reported_running{};
    unsigned m_reported_waiting{};
    /*! @brief What the last report left free, and this gateway's part in it. */
    free_slots m_free{};
    /*! @brief When the last report was made, as far as is known; the epoch if none was received. */
    time_point m_last_reported{};
    /*! @brief When its loader last reported to this gateway itself; the epoch if it never did. */
    time_point m_last_heard{};
    /*! @brief Instance of that loader; empty if it never reported to this gateway itself. */
    std::string m_loader{};
    /*! @brief When it last refused a request for lack of capacity. */
    time_point m_last_refused{};
    /*! @brief `m_other_requests` before a refusal raised it. */
    double m_other_requests_before{};
    /*! @brief Whether a refusal has raised `m_other_requests` and no report has come since. */
    bool m_counts_as_full{false};
    /*! @brief Whether it is loading weights; no new request starts while it does. */
    bool m_loading{false};
    /*! @brief Ratio of its processing times to the normal ones. */
    double m_slowdown{1.0};
    health m_health{};
    /*! @brief This gateway's share in the limit that it has named, or in its rate while it is cold; nothing if it has
     * neither. */
    std::optional<turn_share> m_turns{};
    /*! @brief Whether this gateway awaits something from it. */
    bool m_is_awaited{false};
    /*! @brief When it last sent something to this gateway, or its loader last reported that it responds. */
    time_point m_last_sign{};
    /*! @brief When it last sent something, or when the first request was sent to which it has not reacted since. */
    time_point m_awaited_since{};
};

/*! @brief What a request requires of a backend server. */
struct request_requirements {
    /*! @brief Prompt tokens; 0 for a plain service. */
    double m_prompt_tokens{};
    /*! @brief Model whose weights are needed; empty for none. */
    std::string_view m_model{};
    /*! @brief Layers of that model. */
    unsigned m_layers{};
    /*! @brief Lowest version that may answer; 0 for any. */
    std::uint64_t m_min_version{};
    /*! @brief The only version that may answer, as when a stream is resumed; 0 for any. */
    std::uint64_t m_required_version{};
    /*! @brief Regions in which the request may be served; null for all. */
    const fleet::allowed_regions* m_allowed_regions{};
    /*! @brief Ids of backend servers to which the request was already sent. */
    std::span<const std::string> m_tried_servers{};
};

/*! @brief Options of the placement that do not depend on the request. */
struct placement_options {
    /*! @brief Data centre of the gateway. */
    std::string_view m_data_centre{};
    /*! @brief Added to the predicted time of a backend server in another data centre, in ms. */
    double m_remote_penalty_ms{15.0};
    /*! @brief Requests that a backend server may hold in excess of its slots; negative for slots to be left free. */
    double m_max_excess_requests{0.0};
    /*! @brief Longest predicted time to the first byte at a runner without a free slot, in ms. */
    double m_max_excess_first_byte_ms{std::numeric_limits<double>::infinity()};
    /*! @brief Slots of a backend server that are filled by quota only; further free slots are shared by all gateways.
     */
    double m_quota_only_slots{3.0};
    /*! @brief Number of gateways that share free slots. */
    double m_gateway_count{1.0};
    /*! @brief Whether gateways divide the slots that a report shows free, where kinds of unlike urgency compete for
     * them.
     */
    bool m_divides_free_slots{false};
    /*! @brief Mean number of backend servers that are sampled for one request. Gateways that hold the same reports
     * would otherwise all choose the same one until the next report. */
    double m_sample_size{6.0};
    /*! @brief Upper bound of the random time added to each prediction, so that gateways with the same reports choose
     * differently, in ms. */
    double m_jitter_ms{8.0};
    /*! @brief Whether the backend server with the fewest requests is preferred whatever the prediction, as the request
     * may end it. */
    bool m_prefers_idle{false};
};

/*! @brief Added to the predicted time for each request at a backend server if idle ones are preferred, in ms: more than
 * any other term. */
inline constexpr double busy_penalty_ms_per_request = 10'000.0;

/*! @brief Age from which a report is stale: three reports were missed, and the backend server may be unreachable. */
inline constexpr duration stale_report_age = std::chrono::milliseconds{1'400};
/*! @brief Time for which a backend server counts as ended after a report of another incarnation at its address: while
 * that one's loader reports. A report that was sent just before a restart does not keep the new incarnation out. */
inline constexpr duration replacement_memory = stale_report_age;
/*! @brief Added to the predicted time of a backend server whose last report is stale, in ms. */
inline constexpr double stale_report_penalty_ms = 400.0;

/*! @brief Added to the predicted time of a runner whose load another region has told, for each ms of the report's age:
 * requests of the gateways there that are not counted yet. Where all choose by such reports, they choose the same ones.
 */
inline constexpr double relayed_report_penalty = 0.25;

/*! @brief Part of a runner's slots that is filled by quota only, as reports lag: three of sixteen slots. */
inline constexpr double quota_only_fraction = 3.0 / 16.0;

/*! @brief Part of a runner's slots, the last ones to be taken, that gateways divide by what a report shows free: six of
 * sixteen. Before them there is room for what several gateways send by the same report. */
inline constexpr double rationed_slots_fraction = 6.0 / 16.0;

/*! @brief Added to the predicted time of a runner where this gateway has used its quota, in ms. Quotas differ between
 * gateways, which keeps them from choosing the same runner by the same report. */
inline constexpr double over_quota_penalty_ms = 30.0;

/*! @brief Passes until the first token of a request that gets a slot at once: on average half of the current pass, and
 * one of its own. */
inline constexpr double passes_before_first_token = 1.5;

/*! @brief Passes until the first token when all slots are taken and prompts are processed continuously: prefill is then
 * spread over several passes. */
inline constexpr double passes_before_first_token_when_full = 2.5;

/**
 * @brief Predicts the time of one pass over all running requests. With all slots taken, prefill of arriving requests
 * takes as long as decoding.
 * @param requests Requests at the runner; those beyond its slots have no effect.
 * @return The time in ms.
 */
[[nodiscard]] auto predict_pass_ms(const fleet::engine_profile& engine, double requests) noexcept -> double;

/*! @brief Requests that wait at a runner beyond its slots for each kind of route that is less urgent, and slots that
 * are left free for each that is more urgent. */
inline constexpr double excess_requests_per_kind = 1.0;
inline constexpr double max_excess_requests = 2.0;

/**
 * @brief Returns how many requests a runner may hold beyond its slots for one of a given urgency.
 *
 * Load pattern: kinds of route that may wait for unlike times compete for too few slots, which are spread over many
 * gateways, so that each gateway sees a slot come free less often than an urgent request can wait, and a less urgent
 * one that may wait longer takes it. Urgent requests therefore wait at the runners, which admit the most urgent first,
 * while the least urgent ones wait at the gateways and leave the last slots of each runner free.
 * @param urgency Kinds of route of the service that are more urgent.
 * @param kinds Kinds of route of the service.
 * @return Requests beyond the slots; negative for slots that are left free.
 */
[[nodiscard]] auto excess_of_urgency(unsigned urgency, std::size_t kinds) noexcept -> double;

/*! @brief Result of a placement. */
struct choice {
    /*! @brief Index of the backend server in the rows passed. */
    std::size_t m_index{};
    /*! @brief Predicted time to the first byte without penalties and jitter, in ms. */
    double m_first_byte_ms{};
    /*! @brief Estimated requests at the backend server. */
    double m_load{};
};

/*! @brief Estimates the requests at a backend server, running and waiting. */
[[nodiscard]] auto estimate_load(const server_load& row) noexcept -> double;

/**
 * @brief Predicts the time to the first byte of an answer.
 * @param engine Profile of the service's engine; null for a plain service.
 * @param prompt Prompt tokens.
 * @return The time in ms.
 */
[[nodiscard]] auto predict_first_byte_ms(const server_load& row, const fleet::engine_profile* engine,
                                         double prompt) noexcept -> double;

/**
 * @brief Returns the time until a request can be sent, if a pause that a backend server has asked for is all that keeps
 * it from being sent.
 * @return The time until the first suitable backend server is available, tried ones included; nothing if one that has
 * not been tried is available now, or if none has asked for a pause.
 */
[[nodiscard]] auto time_until_resumed(std::span<const std::shared_ptr<server_load>> rows,
                                      const request_requirements& required, time_point now) -> std::optional<duration>;

/*! @brief When requests can be sent to backend servers that have all named a limit. */
struct turn_outlook {
    /*! @brief Time until the first turn; `duration::max()` if this gateway holds no share. */
    duration m_first{};
    /*! @brief Turns per second of this gateway at all of them. */
    double m_per_s{};
};

/*! @brief Returns when a request has a turn. @return Nothing if a backend server that could run it has named no limit,
 * or if none could run it. */
[[nodiscard]] auto find_turns(std::span<const std::shared_ptr<server_load>> rows, const request_requirements& required,
                              time_point now) -> std::optional<turn_outlook>;

/*! @brief Returns the time until a request has a turn behind others that wait. @return `duration::max()` if it never
 * has one. */
[[nodiscard]] auto wait_for_turn(const turn_outlook& outlook, std::size_t waiting) noexcept -> duration;

/*! @brief Tells whether any backend server holds the model in a version that the request accepts, even if it cannot run
 * the request now. */
[[nodiscard]] auto is_version_held(std::span<const std::shared_ptr<server_load>> rows,
                                   const request_requirements& required) noexcept -> bool;

/*! @brief Tells whether a backend server can run a request at all, regardless of its load. */
[[nodiscard]] auto is_eligible(const server_load& row, const request_requirements& required, time_point now) noexcept
    -> bool;

/*! @brief Time for which a backend server that refused a request for lack of capacity counts as full, unless a report
 * comes before: as long as the interval of reports at most is. */
inline constexpr duration refusal_memory = std::chrono::milliseconds{450};

/*! @brief Records that a backend server refused a request for lack of capacity: it counts as full for a while. */
auto record_refusal(server_load& row, time_point now) noexcept -> void;

/*! @brief Restores the load of the backend servers that have not refused a request for `refusal_memory`. */
auto expire_refusals(std::span<const std::shared_ptr<server_load>> rows, time_point now) noexcept -> void;

/*! @brief Records what a report says of a backend server's load.
 * @param requests Requests at the server, running and waiting. @param random Random bits. */
auto note_free_slots(server_load& row, double requests, std::uint64_t random) noexcept -> void;

/**
 * @brief Tells whether one of the slots that the last report showed free, or that this gateway has freed since, is its
 * to use. Each gateway takes its part of the free slots: that of its quota, or an equal one if that is more, rounded at
 * random so that all of them together use about as many as are free.
 */
[[nodiscard]] auto may_use_free_slot(const server_load& row, const placement_options& options, time_point now) noexcept
    -> bool;

/*! @brief Records that a request is sent to a backend server: it counts as one of this gateway's, and uses a turn. */
auto record_request(server_load& row, time_point now) noexcept -> void;

/*! @brief Records that a backend server has sent something. */
auto record_sign_of_life(server_load& row, time_point now) noexcept -> void;

/*! @brief Time after a broken connection from which a sign of life shows that the server has not ended; what it had
 * sent before can still arrive. */
inline constexpr duration crash_settling_time = std::chrono::milliseconds{200};

/*! @brief Tells whether a backend server lives although a connection to it broke at a time. */
[[nodiscard]] auto has_lived_since(const server_load& row, time_point broke_at) noexcept -> bool;

/*! @brief Records that a request at a backend server has ended, whether answered or not. */
auto record_request_end(server_load& row, time_point now) noexcept -> void;

/**
 * @brief Tells whether a backend server neither reacts to requests of this gateway nor reports: its machine may stand
 * still.
 *
 * Load pattern: a runner stands still with all slots taken, and the fleet is full. Each request whose caller leaves
 * seems to free a slot there; a new request would wait as long as the former one.
 */
[[nodiscard]] auto is_silent(const server_load& row, time_point now) noexcept -> bool;

/*! @brief Tells whether this gateway may send a backend server one more request. */
[[nodiscard]] auto has_capacity(const server_load& row, const placement_options& options) noexcept -> bool;

/*! @brief Tells whether the load of a backend server is known from its own loader. */
[[nodiscard]] auto is_reported_directly(const server_load& row, time_point now) noexcept -> bool;

/**
 * @brief Chooses the backend server with the lowest predicted time to the first byte, including penalties and jitter,
 * among the eligible ones that have capacity, and prefers sampled ones. Requests of this gateway count immediately, so
 * that a burst is spread out although reports lag. Servers that report to this gateway itself and those whose load
 * other regions tell are sampled separately: a request leaves its region where that pays although their load is older.
 * @param rows Backend servers of one service.
 * @param engine Profile of the service's engine; null for a plain service.
 * @param random Random bits.
 * @return The choice; empty if no eligible backend server has capacity.
 */
[[nodiscard]] auto choose_server(std::span<const server_load* const> rows, const fleet::engine_profile* engine,
                                 const request_requirements& required, const placement_options& options,
                                 std::uint64_t random, time_point now) -> std::optional<choice>;

} // namespace rhubarbwharf::dispatch
