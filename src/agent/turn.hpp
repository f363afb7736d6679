#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <agent/gate.hpp>

namespace rhubarbwharf::agent {

/*! @brief Another instance of the group, as the last Members message showed it. */
struct member {
    std::string m_instance{};
    phase m_phase{phase::unknown};
    /*! @brief Ticket in force there. */
    ticket_number m_ticket{};
    /*! @brief Whether it holds a newer version whole and waits for its turn. */
    bool m_ready{};
    bool m_leaving{};
};

/*! @brief Own part in the question whose turn it is. */
struct turn_request {
    std::string_view m_instance{};
    /*! @brief Ticket to be put into force. */
    ticket_number m_ticket{};
    /*! @brief Largest share of the group that may be out of service at once. */
    double m_out_of_service_share{};
    /*! @brief Whether this instance has waited so long that members without the version no longer hold it up. */
    bool m_is_overdue{};
};

/*! @brief Time for which an instance that is ready lets those without the version go first. */
inline constexpr duration turn_wait_timeout = std::chrono::seconds{20};

/**
 * @brief Returns how many instances of a group may be out of service at once: the share rounded down, at least one.
 * @param members Count of instances.
 * @param share The share, 0 to 1.
 * @return The count.
 */
[[nodiscard]] auto batch_size(std::size_t members, double share) -> std::size_t;

/**
 * @brief Decides whether an instance may close its gate to load the version of a ticket.
 *
 * All members rank themselves alike by the ticket and their names. One may go once fewer than a batch of those ranked
 * before it still have the ticket to put into force; as that only ever falls, at most a batch is closed at once however
 * late the views are.
 * @param others The other members of the group.
 * @param question The instance that asks.
 * @return Whether it may.
 */
[[nodiscard]] auto is_turn(std::span<const member> others, const turn_request& question) -> bool;

} // namespace rhubarbwharf::agent
