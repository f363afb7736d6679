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

/*! @brief Whole state of one scope. */
struct scope_state {
    /*! @brief Model that callers name; empty for a plain service. */
    std::string m_model{};
    /*! @brief Digest of the manifest of the version; all zero for none. */
    digest m_manifest{};
    std::string m_adapter{};
    /*! @brief Role order for the engine, as `serve`, `prefill` or `decode`; empty for `serve`. */
    std::string m_role{};
    /*! @brief Whether the scope takes traffic. */
    bool m_traffic{true};

    [[nodiscard]] auto operator==(const scope_state&) const noexcept -> bool = default;
};

/**
 * @brief A scope, its state, and the ticket that put it there.
 *
 * Scopes are `group:NAME` for a group of model runners or a plain service, and `instance:NAME` for one backend
 * server; the latter only takes its instance out of traffic.
 */
struct scope_entry {
    std::string m_scope{};
    ticket_number m_ticket{};
    scope_state m_state{};

    [[nodiscard]] auto operator==(const scope_entry&) const noexcept -> bool = default;
};

/*! @brief A submission that was accepted, kept so that a lost answer can be settled. */
struct submission {
    std::string m_id{};
    ticket_number m_ticket{};

    [[nodiscard]] auto operator==(const submission&) const noexcept -> bool = default;
};

/*! @brief Desired state of all scopes. A join-semilattice under `merge`. */
struct desired_state {
    /*! @brief Sorted by scope, one entry a scope. */
    std::vector<scope_entry> m_entries{};
    /*! @brief The last submissions accepted, oldest first; not part of the digest. */
    std::vector<submission> m_submissions{};
};

/*! @brief What a ticket does to one scope. */
struct change {
    std::string m_scope{};
    scope_state m_state{};
};

/*! @brief An operator's order: the whole new state of all that it touches. */
struct ticket {
    /*! @brief The operator's number; zero takes the next one. */
    ticket_number m_number{};
    /*! @brief Unique to this submission, the same when it is sent again. */
    std::string m_submission{};
    std::vector<change> m_changes{};
};

/*! @brief What becomes of a ticket. */
struct verdict {
    /*! @brief `ok`, `ticket_conflict`, `ticket_malformed` or `state_too_large`. */
    code m_code{code::ok};
    /*! @brief Number that the ticket has got; after a conflict, that of the winner. */
    ticket_number m_number{};
    /*! @brief Scope of the conflict or of the fault. */
    std::string m_scope{};
    /*! @brief Whether this submission had been accepted before. */
    bool m_repeated{};
};

/*! @brief Submissions remembered in the desired state. */
inline constexpr std::size_t submissions_kept = 64;

/*! @brief Largest written form of the desired state, in bytes. */
inline constexpr std::size_t state_bytes_max = 512U * 1024U;

/**
 * @brief Looks a scope up.
 * @param state The desired state.
 * @param scope The scope.
 * @return Its entry, or null; lives until the state changes.
 */
[[nodiscard]] auto find(const desired_state& state, std::string_view scope) noexcept -> const scope_entry*;

/**
 * @brief Takes one entry over if its ticket is above the one in force in its scope.
 * @param state The desired state.
 * @param entry The entry.
 * @return Whether the state changed.
 */
auto merge(desired_state& state, const scope_entry& entry) -> bool;

/**
 * @brief Takes all entries over that are above those in force.
 * @param state The desired state.
 * @param entries The entries, in any order.
 * @return The count of entries taken over.
 */
auto merge(desired_state& state, std::span<const scope_entry> entries) -> std::size_t;

/**
 * @brief Accepts a ticket whole or not at all.
 * @param state The desired state; changed only if the verdict is `ok` and not repeated.
 * @param order The ticket.
 * @return The verdict.
 */
[[nodiscard]] auto accept(desired_state& state, const ticket& order) -> verdict;

/**
 * @brief Returns the highest ticket in force in any scope.
 * @param state The desired state.
 * @return The number; zero if there is none.
 */
[[nodiscard]] auto highest(const desired_state& state) noexcept -> ticket_number;

/**
 * @brief Digests the entries, alike on every machine.
 * @param state The desired state.
 * @return The digest.
 */
[[nodiscard]] auto fingerprint(const desired_state& state) -> digest;

/**
 * @brief Returns the scopes of a ticket where an applied state lags behind.
 * @param applied What is in force somewhere.
 * @param wanted What should be in force.
 * @return The scopes whose ticket in `applied` is below that in `wanted`; views into `wanted`.
 */
[[nodiscard]] auto behind(const desired_state& applied, const desired_state& wanted) -> std::vector<std::string_view>;

} // namespace rhubarbwharf::ticket
