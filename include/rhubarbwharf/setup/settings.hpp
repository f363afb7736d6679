#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include <rhubarbwharf/config/settings.hpp>
#include <rhubarbwharf/net/bus.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/platform/client.hpp>

namespace rhubarbwharf::setup {

/*! @brief Makes the limits of an HTTP listener. @param limits The settings. @return The limits. */
[[nodiscard]] auto http_limits_of(const config::limit_settings& limits) -> net::http_limits;

/*! @brief Makes the limits of the bus. @param limits The settings. @return The limits. */
[[nodiscard]] auto bus_limits_of(const config::limit_settings& limits) -> net::bus_limits;

/*! @brief Makes the settings of the platform's client. @param settings The settings. @return The client's settings. */
[[nodiscard]] auto client_settings_of(const config::platform_settings& settings) -> platform::client_settings;

/*! @brief Draws a number that tells this process from one that it replaces. @return 64 random bits. */
[[nodiscard]] auto draw_incarnation() -> std::uint64_t;

/**
 * @brief Finds who the bearer key of a request belongs to, in a time that does not depend on the key.
 * @param keys Those who may come.
 * @param headers The request's headers.
 * @return The owner's settings, or null; lives as long as `keys`.
 */
[[nodiscard]] auto owner_of(std::span<const config::key_settings> keys, const std::vector<net::header>& headers)
    -> const config::key_settings*;

} // namespace rhubarbwharf::setup
