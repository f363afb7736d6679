#pragma once

#include <string>
#include <vector>

#include "load/options.hpp"

namespace rhubarbwharf::load {

/*! @brief One request to come. */
struct scheduled_request {
    /*! @brief Time since the start. */
    duration m_offset{};
    std::uint32_t m_target_index{};
    std::uint32_t m_key_index{};
    std::uint32_t m_prefix_index{};
    /*! @brief Number of the prompt under its prefix; prompts are sent more than once. */
    std::uint32_t m_variant_index{};
};

/**
 * @brief Lays out all arrivals of a run: a Poisson process, with skewed prefixes.
 * @param wanted The settings; the same ones give the same arrivals.
 * @return The arrivals, by time.
 */
[[nodiscard]] auto make_schedule(const settings& config) -> std::vector<scheduled_request>;

/**
 * @brief Writes the prompt of an arrival.
 * @param wanted The settings.
 * @param of The arrival.
 * @return The prompt; arrivals with the same prefix share its first three quarters.
 */
[[nodiscard]] auto make_prompt(const settings& config, const scheduled_request& scheduled) -> std::string;

/**
 * @brief Makes the request of an arrival.
 * @param wanted The settings.
 * @param of The arrival.
 * @return The request.
 */
[[nodiscard]] auto make_request(const settings& config, const scheduled_request& scheduled) -> net::http_request;

} // namespace rhubarbwharf::load
