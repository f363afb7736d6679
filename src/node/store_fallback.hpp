#pragma once

#include <cstdint>

#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::node {

/*! @brief Time without a gateway after which a loader reads the store itself; it doubles with each further read. */
inline constexpr duration min_fallback_delay = std::chrono::seconds{4};
inline constexpr duration max_fallback_delay = std::chrono::seconds{32};

/*! @brief When a loader reads the store next, as it hears no gateway. */
struct store_fallback {
    /*! @brief Longest time until the next read; zero while a gateway is heard. */
    duration m_delay{};
    time_point m_due{};
};

/**
 * @brief Tells whether a loader is to read the store, checked periodically.
 *
 * Load pattern: after a power cut of all, hundreds of loaders hear no gateway for seconds. Each read of the operators'
 * keys is as large as the configuration, so that reads at a fixed interval keep the links to the store's region full,
 * and with them the gateways from reading the configuration.
 * @param gateway_alive Whether a gateway has been heard lately.
 * @param random Random bits, which spread the reads over half of the delay.
 */
[[nodiscard]] auto is_due(store_fallback& state, bool gateway_alive, time_point now, std::uint64_t random) noexcept
    -> bool;

} // namespace rhubarbwharf::node
