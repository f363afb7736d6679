#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <agent/gate.hpp>

namespace rhubarbwharf::agent {

/*! @brief Another instance of the group, as reported by the last `Members` message. */
struct member {
    std::string m_instance{};
    phase m_phase{phase::unknown};
    /*! @brief Ticket in force at the instance. */
    ticket_number m_ticket{};
    /*! @brief Whether it holds a complete newer version and waits for its turn to load it. */
    bool m_ready{};
    bool m_leaving{};
};

/*! @brief Request of an instance to go out of service in a rolling update. */
struct turn_request {
    std::string_view m_instance{};
    /*! @brief Ticket to be put into force. */
    ticket_number m_ticket{};
    /*! @brief Maximum share of the group that may be out of service at the same time, 0 to 1. */
    double m_out_of_service_share{};
    /*! @brief Whether it has waited for `turn_wait_timeout`: serving members without the version don't block it. */
    bool m_is_overdue{};
};

/*! @brief Time for which a ready instance lets higher-ranked members without the version go first. */
inline constexpr duration turn_wait_timeout = std::chrono::seconds{20};

/**
 * @brief Returns how many instances of a group may be out of service at the same time.
 * @param members Number of instances in the group.
 * @param share Maximum share of the group, 0 to 1.
 * @return The share of the group rounded down, at least one.
 */
[[nodiscard]] auto batch_size(std::size_t members, double share) -> std::size_t;

/**
 * @brief Decides whether an instance may close its gate to load the version of a ticket.
 *
 * Every member computes the same ranking from the ticket and the instance names. An instance may go once fewer than a
 * batch of the members ranked before it still have to put the ticket into force. Unless members fail or join, that
 * number never increases, so at most a batch is out of service at the same time, even if the members' views are
 * outdated. An overdue instance counts the members without the ticket that are out of service, and the ready ones
 * ranked before it; the limit then depends on views that are up to date.
 * @param others The other members of the group.
 */
[[nodiscard]] auto is_turn(std::span<const member> others, const turn_request& request) -> bool;

} // namespace rhubarbwharf::agent
