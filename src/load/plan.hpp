#pragma once

#include <string>
#include <vector>

#include "load/options.hpp"

namespace rhubarbwharf::load {

/*! @brief One request of a run, with the random choices made for it. */
struct scheduled_request {
    /*! @brief Time to send it, relative to the start of the run. */
    duration m_offset{};
    std::uint32_t m_target_index{};
    std::uint32_t m_key_index{};
    std::uint32_t m_prefix_index{};
    /*! @brief Index of the prompt among those with the same prefix; prompts recur during a run. */
    std::uint32_t m_variant_index{};
};

/**
 * @brief Generates the requests of a run: Poisson arrivals with Zipf-distributed prefixes.
 * @param config The settings; equal settings give equal schedules.
 * @return The requests, sorted by time.
 */
[[nodiscard]] auto make_schedule(const settings& config) -> std::vector<scheduled_request>;

/*! @brief Generates the prompt of a request; prompts of the same prefix share their first three quarters. */
[[nodiscard]] auto make_prompt(const settings& config, const scheduled_request& scheduled) -> std::string;

/*! @brief Builds the HTTP completion request for a scheduled request. */
[[nodiscard]] auto make_request(const settings& config, const scheduled_request& scheduled) -> net::http_request;

} // namespace rhubarbwharf::load
