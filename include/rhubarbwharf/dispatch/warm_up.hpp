#pragma once

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>
#include <rhubarbwharf/fleet/configuration.hpp>

namespace rhubarbwharf::dispatch {

/**
 * @brief Time for which a backend server is cold, as far as this gateway knows.
 *
 * Load pattern: the servers of a data centre return together, cold and empty, and each gateway would fill them at once;
 * a server that gets well above its rate for cold servers crashes. A server may turn cold at a moment that no message
 * announces, so a gateway that cannot know assumes it.
 */
struct warm_up {
    /*! @brief Until when it counts as cold. */
    time_point m_cold_until{};
    /*! @brief Whether it has neither responded nor reported, so that it may have started again meanwhile. */
    bool m_is_out_of_sight{false};
};

/*! @brief Records what a server's entry states. @param remaining Time for which it stays cold. */
auto note_stated_warm_up(warm_up& state, const fleet::warm_up_terms& terms, duration remaining, time_point now) noexcept
    -> void;

/*! @brief Records that a server has started, or may have without saying so: it counts as cold for the whole time. */
auto note_possible_start(warm_up& state, const fleet::warm_up_terms& terms, time_point now) noexcept -> void;

/*! @brief Records that a server is out of sight, or that it reports again, after which it may have started. */
auto note_sight(warm_up& state, const fleet::warm_up_terms& terms, bool is_out_of_sight, time_point now) noexcept
    -> void;

/*! @brief Returns the requests per second that a server takes from all gateways together while it is cold.
 * @return `fleet::no_limit` if it is warm. */
[[nodiscard]] auto cold_rate(const warm_up& state, const fleet::warm_up_terms& terms, time_point now) noexcept
    -> double;

} // namespace rhubarbwharf::dispatch
