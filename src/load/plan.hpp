#pragma once

#include <string>
#include <vector>

#include "load/options.hpp"

namespace rhubarbwharf::load {

/*! @brief One request to come. */
struct arrival {
    /*! @brief Time since the start. */
    duration m_at{};
    std::uint32_t m_target{};
    std::uint32_t m_key{};
    std::uint32_t m_prefix{};
    /*! @brief Number of the prompt under its prefix; prompts are sent more than once. */
    std::uint32_t m_variant{};
};

/**
 * @brief Lays out all arrivals of a run: a Poisson process, with skewed prefixes.
 * @param wanted The settings; the same ones give the same arrivals.
 * @return The arrivals, by time.
 */
[[nodiscard]] auto lay_out(const settings& wanted) -> std::vector<arrival>;

/**
 * @brief Writes the prompt of an arrival.
 * @param wanted The settings.
 * @param of The arrival.
 * @return The prompt; arrivals with the same prefix share its first three quarters.
 */
[[nodiscard]] auto prompt(const settings& wanted, const arrival& of) -> std::string;

/**
 * @brief Makes the request of an arrival.
 * @param wanted The settings.
 * @param of The arrival.
 * @return The request.
 */
[[nodiscard]] auto make_request(const settings& wanted, const arrival& of) -> net::http_request;

} // namespace rhubarbwharf::load
