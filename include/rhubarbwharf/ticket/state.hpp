#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/ticket/fwd.hpp>

namespace rhubarbwharf::ticket {

/*! @brief Complete desired state of one scope. */
struct scope_state {
    /*! @brief Model name in the requests of callers; empty for a plain service. */
    std::string m_model{};
    /*! @brief Manifest of the model version; all zero for none. */
    digest m_manifest{};
    std::string m_adapter{};
    /*! @brief Role of the engine: `serve`, `prefill` or `decode`; empty means `serve`. */
    std::string m_role{};
    /*! @brief Whether requests are routed to the scope. */
    bool m_traffic{true};

    [[nodiscard]] auto operator==(const scope_state&) const noexcept -> bool = default;
};

/**
 * @brief A scope, its state and the ticket that set it.
 *
 * Scopes are `group:NAME` for a group of model runners or a plain service, and `instance:NAME` for one backend
 * server. An instance scope can only exclude its backend server from traffic.
 */
struct scope_entry {
    std::string m_scope{};
    ticket_number m_ticket{};
    scope_state m_state{};

    [[nodiscard]] auto operator==(const scope_entry&) const noexcept -> bool = default;
};

/*! @brief An accepted submission, recorded so that a client that lost the response can retry it. */
struct submission {
    std::string m_id{};
    ticket_number m_ticket{};

    [[nodiscard]] auto operator==(const submission&) const noexcept -> bool = default;
};

/*! @brief Desired state of all scopes. A join-semilattice under `merge`. */
struct desired_state {
    /*! @brief One entry per scope, sorted by scope. */
    std::vector<scope_entry> m_entries{};
    /*! @brief The most recent accepted submissions, oldest first; not part of the fingerprint. */
    std::vector<submission> m_submissions{};
};

/*! @brief New state of one scope. */
struct change {
    std::string m_scope{};
    scope_state m_state{};
};

/*! @brief Request of an operator to set the complete state of one or more scopes. */
struct ticket {
    /*! @brief Number that orders tickets; zero requests the next free number. */
    ticket_number m_number{};
    /*! @brief Idempotency id of the submission; retries use the same id. */
    std::string m_submission_id{};
    std::vector<change> m_changes{};
};

/*! @brief Result of submitting a ticket. */
struct accept_result {
    /*! @brief `ok`, `ticket_conflict`, `ticket_malformed` or `state_too_large`. */
    code m_code{code::ok};
    /*! @brief Number assigned to the ticket; after a conflict, the number of the ticket in force. */
    ticket_number m_number{};
    /*! @brief Conflicting or malformed scope. */
    std::string m_scope{};
    /*! @brief Whether the submission had already been accepted earlier. */
    bool m_duplicate{};
};

/*! @brief Accepted submissions kept in the desired state. */
inline constexpr std::size_t max_submissions = 64;

/*! @brief Maximum size of the serialized desired state, in bytes. */
inline constexpr std::size_t max_state_bytes = 512U * 1024U;

/**
 * @brief Finds the entry of a scope.
 * @return The entry, or null if there is none; valid until the next change of the state.
 */
[[nodiscard]] auto find(const desired_state& state, std::string_view scope) noexcept -> const scope_entry*;

/**
 * @brief Applies an entry if its ticket number exceeds that of the current entry of its scope.
 * @return Whether the state changed.
 */
auto merge(desired_state& state, const scope_entry& entry) -> bool;

/**
 * @brief Applies all entries whose ticket numbers exceed those of the current entries.
 * @param entries Entries in any order.
 * @return Number of entries applied.
 */
auto merge(desired_state& state, std::span<const scope_entry> entries) -> std::size_t;

/**
 * @brief Applies a ticket to all of its scopes or, if any of them conflicts, to none.
 * @param state Changed only if the result is `ok` and the submission is not a retry.
 */
[[nodiscard]] auto accept(desired_state& state, const ticket& candidate) -> accept_result;

/**
 * @brief Returns the highest ticket number of all entries; zero if there are none.
 */
[[nodiscard]] auto highest_ticket(const desired_state& state) noexcept -> ticket_number;

/**
 * @brief Returns the SHA-256 of a canonical encoding of the entries, identical on all machines.
 */
[[nodiscard]] auto fingerprint(const desired_state& state) -> digest;

/**
 * @brief Returns the scopes in which an applied state is older than the desired state.
 * @return Scopes whose ticket in `applied` is absent or lower than in `desired`; views into `desired`.
 */
[[nodiscard]] auto outdated_scopes(const desired_state& applied, const desired_state& desired)
    -> std::vector<std::string_view>;

} // namespace rhubarbwharf::ticket
