#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::agent {

/*! @brief Phase of a backend server; the values are those of `wire::Phase`. */
enum class phase : std::uint8_t {
    unknown = 0,
    empty = 1,
    fetching = 2,
    closing = 3,
    loading = 4,
    serving = 5,
    draining = 6,
    failed = 7,
};

/*! @brief Version of a model that an engine serves. */
struct version {
    std::string m_model{};
    /*! @brief Digest of the manifest; all zero for none. */
    digest m_manifest{};
    digest m_content{};
    std::string m_adapter{};
    /*! @brief Empty is equivalent to `serve`. */
    std::string m_role{};

    [[nodiscard]] auto operator==(const version&) const noexcept -> bool = default;
};

/*! @brief Fencing number of a load order: an engine that checks it rejects numbers below the highest it has seen. */
struct order_number {
    ticket_number m_ticket{};
    std::uint64_t m_epoch{};

    [[nodiscard]] auto operator<=>(const order_number&) const noexcept = default;
};

/*! @brief State reported by an engine. */
struct engine_state {
    version m_version{};
    /*! @brief Highest load order that the engine has seen. */
    order_number m_order{};
    std::uint32_t m_running{};
    std::uint32_t m_waiting{};
    /*! @brief Crash count of the engine. */
    std::uint64_t m_crashes{};
    /*! @brief Hashes of cached prompt prefixes. */
    std::vector<std::uint64_t> m_cached_prefixes{};
};

/*! @brief Result of a state request. */
struct probe_result {
    /*! @brief State of the engine; nothing if there was no valid answer. */
    std::optional<engine_state> m_state{};
    /*! @brief Whether the connection was refused, i.e. no backend server is listening. */
    bool m_connection_refused{};
};

/*! @brief State that the tickets in force require of the backend server. */
struct target {
    /*! @brief Version to serve, without the content digest, which comes from the manifest. */
    version m_version{};
    /*! @brief Highest ticket that applies to the instance. */
    ticket_number m_ticket{};
    /*! @brief Ticket of the group's scope. */
    ticket_number m_group_ticket{};
    /*! @brief Whether requests may be sent to the backend server. */
    bool m_traffic{true};

    [[nodiscard]] auto operator==(const target&) const noexcept -> bool = default;
};

/*! @brief State of the rest of the agent that the gate needs for a step. */
struct gate_input {
    /*! @brief Whether all chunks of the target version are held. */
    bool m_is_complete{};
    /*! @brief Digest of the content of the target version. */
    digest m_content{};
    /*! @brief Whether this instance may go out of service. */
    bool m_is_turn{};
    std::uint32_t m_requests_in_progress{};
    /*! @brief Epoch of this agent; 0 until it has been acquired. */
    std::uint64_t m_epoch{};
    time_point m_now{};
};

/*! @brief Action that the agent has to execute for the gate. */
struct gate_command {
    enum class kind : std::uint8_t { none, fetch, load };

    kind m_kind{kind::none};
    version m_version{};
    /*! @brief Fencing number; set for `load`. */
    order_number m_order{};
};

/*! @brief State machine that decides whether requests are sent to the backend server; one per backend server. */
struct gate {
    phase m_phase{phase::empty};
    /*! @brief Whether the backend server is a plain HTTP service without versions. */
    bool m_plain_service{};
    /*! @brief Complete version confirmed by the engine, empty for a plain service; valid in the phase `serving`. */
    version m_confirmed_version{};
    /*! @brief Ticket in force; valid in the phase `serving`. */
    ticket_number m_ticket{};
    std::optional<target> m_target{};
    bool m_load_in_progress{};
    /*! @brief Fencing number of the last load order; all zero for none. */
    order_number m_order{};
    /*! @brief Version of the last load order. */
    version m_ordered_version{};
    /*! @brief Incremented whenever the gate opens or closes, to detect answers to requests of an earlier generation. */
    std::uint64_t m_generation{};
    /*! @brief Earliest time of the next load order. */
    time_point m_retry_at{};
    /*! @brief Crash count last reported by the engine. */
    std::uint64_t m_crashes{};
    /*! @brief Whether a state request has completed since the start. */
    bool m_was_probed{};
    /*! @brief Number of consecutive state requests without an answer. */
    std::uint32_t m_unanswered_probes{};
    /*! @brief Whether a planned stop has begun. */
    bool m_is_draining{};
    /*! @brief Whether an order of a later epoch was observed: another agent has taken over the engine. */
    bool m_is_fenced{};
    /*! @brief Number of times that a changed engine state closed the gate. */
    std::uint64_t m_probe_closures{};
};

/*! @brief Minimum time between a failed load order and the next one for the same target. */
inline constexpr duration load_retry_delay = std::chrono::seconds{2};

/*! @brief Number of consecutive state requests without an answer that close the gate. */
inline constexpr std::uint32_t unanswered_probe_limit = 3;

/**
 * @brief Replaces the target.
 * @param wanted The new target; its ticket must not be lower than that of the current one.
 * @return Whether the target changed.
 */
auto set_target(gate& state, const target& wanted) -> bool;

/*! @brief Advances the state machine and returns the action to execute. */
[[nodiscard]] auto step(gate& state, const gate_input& input) -> gate_command;

/**
 * @brief Applies the result of a state request. Opens the gate for the version that the engine reports; closes it if
 * the engine crashed, changed its version without a load order, is fenced or is unreachable.
 * @return Whether the gate opened or closed.
 */
auto on_probe(gate& state, const probe_result& result) -> bool;

/**
 * @brief Completes a load order; opens the gate if the engine reports the ordered version and no later order.
 * @param accepted Whether the engine accepted the order.
 * @param read_back State that was requested after the engine had answered the order; nothing if the request failed.
 */
auto on_loaded(gate& state, bool accepted, const std::optional<engine_state>& read_back, time_point now) -> void;

/**
 * @brief Decides whether a new request may be sent to the backend server.
 * @param manifest Requested version; all zero for any complete version.
 * @return `ok`, `draining`, `wrong_version` or `no_backend_server`.
 */
[[nodiscard]] auto admits(const gate& state, const digest& manifest) -> code;

/**
 * @brief Decides like `admits`, but lets requests pass that were accepted before a planned stop began.
 * @param manifest Requested version; all zero for any complete version.
 * @return `ok`, `wrong_version` or `no_backend_server`.
 */
[[nodiscard]] auto admits_queued(const gate& state, const digest& manifest) -> code;

/**
 * @brief Checks the fingerprint of an answer against the version that its request was admitted for.
 * @param fingerprint First 16 hexadecimal digits of the content digest.
 */
[[nodiscard]] auto matches_fingerprint(const version& admitted, std::string_view fingerprint) -> bool;

/*! @brief Checks whether the target names a version that the backend server does not serve. */
[[nodiscard]] auto needs_load(const gate& state) -> bool;

/*! @brief Returns the name of a phase; `unknown` for values out of range. */
[[nodiscard]] auto to_string(phase value) noexcept -> std::string_view;

} // namespace rhubarbwharf::agent
