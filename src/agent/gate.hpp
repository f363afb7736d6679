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

/*! @brief What the backend server is at; the numbers are those of the wire. */
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

/*! @brief What an engine serves. */
struct version {
    std::string m_model{};
    /*! @brief Digest of the manifest; all zero for none. */
    digest m_manifest{};
    digest m_content{};
    std::string m_adapter{};
    std::string m_role{};

    [[nodiscard]] auto operator==(const version&) const noexcept -> bool = default;
};

/*! @brief Number of an order: an engine that checks fencing refuses one below the highest it has seen. */
struct order_number {
    ticket_number m_ticket{};
    std::uint64_t m_epoch{};

    [[nodiscard]] auto operator<=>(const order_number&) const noexcept = default;
};

/*! @brief State that an engine reports of itself. */
struct engine_state {
    version m_version{};
    order_number m_order{};
    std::uint32_t m_running{};
    std::uint32_t m_waiting{};
    std::uint64_t m_crashes{};
    std::vector<std::uint64_t> m_cached_prefixes{};
};

/*! @brief Answer to a state request. */
struct probe_result {
    /*! @brief Nothing if there was no answer. */
    std::optional<engine_state> m_state{};
    /*! @brief Whether the connection was refused: the backend server is not there. */
    bool m_connection_refused{};
};

/*! @brief What a ticket wants of the backend server. */
struct target {
    /*! @brief Without the content's digest, which the manifest gives. */
    version m_version{};
    /*! @brief Highest ticket that touches the instance. */
    ticket_number m_ticket{};
    /*! @brief Ticket of the group's scope. */
    ticket_number m_group_ticket{};
    bool m_traffic{true};

    [[nodiscard]] auto operator==(const target&) const noexcept -> bool = default;
};

/*! @brief What the gate is told at each step by the rest of the agent. */
struct gate_input {
    /*! @brief Whether the wanted version is held whole, and the digest of its content. */
    bool m_is_complete{};
    digest m_content{};
    /*! @brief Whether it is this instance's turn to go out of service. */
    bool m_is_turn{};
    /*! @brief Requests at the backend server. */
    std::uint32_t m_requests_in_progress{};
    /*! @brief Own epoch; 0 until it is taken. */
    std::uint64_t m_epoch{};
    time_point m_now{};
};

/*! @brief What the shell is to do for the gate. */
struct gate_command {
    enum class kind : std::uint8_t { none, fetch, load };

    kind m_kind{kind::none};
    version m_version{};
    order_number m_order{};
};

/*! @brief Decides whether requests reach the backend server. One engine has one gate. */
struct gate {
    phase m_phase{phase::empty};
    bool m_plain_service{};
    /*! @brief Version that the engine has confirmed whole, and the order it came by; meaningful while `serving`. */
    version m_confirmed_version{};
    ticket_number m_ticket{};
    std::optional<target> m_target{};
    /*! @brief Whether a load order is under way, and which. */
    bool m_load_in_progress{};
    order_number m_order{};
    version m_ordered_version{};
    /*! @brief Raised each time the gate opens or closes; an answer counts only in the state it was admitted in. */
    std::uint64_t m_generation{};
    /*! @brief No load order before this time. */
    time_point m_retry_at{};
    std::uint64_t m_crashes{};
    bool m_was_probed{};
    /*! @brief State requests in a row without an answer. */
    std::uint32_t m_unanswered_probes{};
    bool m_is_draining{};
    /*! @brief An order of a later epoch was seen at the engine: another agent has taken over. */
    bool m_is_fenced{};
    std::uint64_t m_probe_closures{};
};

/*! @brief Time between load orders that failed. */
inline constexpr duration load_retry_delay = std::chrono::seconds{2};

/*! @brief State requests in a row without an answer that close the gate. */
inline constexpr std::uint32_t unanswered_probe_limit = 3;

/**
 * @brief Takes a wanted state over; its tickets are never below those held.
 * @param table The gate.
 * @param wanted The wanted state.
 * @return Whether the wanted state changed.
 */
auto set_target(gate& table, const target& wanted) -> bool;

/**
 * @brief Moves the gate on.
 * @param table The gate.
 * @param around What the rest of the agent knows.
 * @return What to do.
 */
[[nodiscard]] auto step(gate& table, const gate_input& around) -> gate_command;

/**
 * @brief Takes the state that the engine reports; a version changed behind the agent's back closes the gate.
 * @param table The gate.
 * @param seen The answer.
 * @return Whether the gate opened or closed.
 */
auto on_probe(gate& table, const probe_result& seen) -> bool;

/**
 * @brief Takes the end of a load order. The state must have been read back after the order's own answer.
 * @param table The gate.
 * @param accepted Whether the engine took the order.
 * @param read_back The state; nothing if it could not be read.
 * @param now The time.
 */
auto on_loaded(gate& table, bool accepted, const std::optional<engine_state>& read_back, time_point now) -> void;

/**
 * @brief Decides whether a request may be sent to the backend server now.
 * @param table The gate.
 * @param manifest Version asked for; all zero for any whole one.
 * @return `ok`, `draining`, `wrong_version` or `no_backend_server`.
 */
[[nodiscard]] auto admits(const gate& table, const digest& manifest) -> code;

/**
 * @brief Decides as `admits`, for a request that was accepted before a planned stop began.
 * @param table The gate.
 * @param manifest Version asked for; all zero for any whole one.
 * @return `ok`, `wrong_version` or `no_backend_server`.
 */
[[nodiscard]] auto admits_queued(const gate& table, const digest& manifest) -> code;

/**
 * @brief Checks the mark that an answer carries against the version it was admitted for.
 * @param admitted The version.
 * @param mark First 16 hexadecimal digits of the content's digest.
 * @return Whether they agree.
 */
[[nodiscard]] auto matches_fingerprint(const version& admitted, std::string_view mark) -> bool;

/*! @brief Returns whether the gate waits for its turn with the wanted version whole. @param table The gate. */
[[nodiscard]] auto needs_load(const gate& table) -> bool;

/*! @brief Names a phase for the dump. @param value The phase. @return Its name. */
[[nodiscard]] auto to_string(phase value) noexcept -> std::string_view;

} // namespace rhubarbwharf::agent
