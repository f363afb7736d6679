#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include <rhubarbwharf/config/settings.hpp>
#include <rhubarbwharf/net/bus.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/platform/client.hpp>

namespace rhubarbwharf::setup {

/*! @brief Returns the limits of an HTTP listener. */
[[nodiscard]] auto http_limits_of(const config::limit_settings& limits) -> net::http_limits;

/*! @brief Returns the limits of the message bus. */
[[nodiscard]] auto bus_limits_of(const config::limit_settings& limits) -> net::bus_limits;

/*! @brief Returns the settings of the platform client. Addresses that cannot be parsed are left out. */
[[nodiscard]] auto client_settings_of(const config::platform_settings& settings) -> platform::client_settings;

/*! @brief Generates a random 64-bit number that distinguishes this run of the process from earlier ones. */
[[nodiscard]] auto draw_incarnation() -> std::uint64_t;

/**
 * @brief Finds the owner of the bearer key in the `Authorization` header. All keys are compared in constant time, so
 * that the duration reveals nothing about them.
 * @return The element of `keys`, or null if the key is missing or unknown.
 */
[[nodiscard]] auto owner_of(std::span<const config::key_settings> keys, const std::vector<net::header>& headers)
    -> const config::key_settings*;

} // namespace rhubarbwharf::setup
