#pragma once

#include <map>
#include <string>
#include <vector>

#include <soak/clients.hpp>

namespace rhubarbwharf::soak {

/*! @brief Time in which one part of prompts ended each runner that began to answer it. */
struct guilty_time {
    std::string m_part{};
    time_point m_from{};
    time_point m_to{time_point::max()};
    /*! @brief When the service without any disturbance began, which lasts until `m_from`; the epoch if other faults
     * overlap. */
    time_point m_calm_from{};
};

/*! @brief Troubles of prompts and weights that the soak caused. */
struct prompt_troubles {
    std::vector<guilty_time> m_guilty_times{};
    /*! @brief When each version of the weights was named. */
    std::map<std::uint64_t, time_point> m_named_at{};
    /*! @brief Times in which no daemon could use the store. */
    std::vector<disturbance> m_store_cuts{};
};

/*! @brief Violations, and how much was there to check. */
struct prompt_report {
    std::vector<std::string> m_lines{};
    std::size_t m_crashes{};
    /*! @brief Guilty parts that crashed runners often enough to be held back. */
    std::size_t m_checked_parts{};
    std::size_t m_checked_services{};
    /*! @brief Begins on a version after a newer one was named. */
    std::size_t m_older_begins{};
    /*! @brief Begins on an older version after its limit that a disturbance of the gateway excuses. */
    std::size_t m_excused_begins{};
};

/**
 * @brief Checks the service beside guilty parts, and the versions on which requests begin.
 *
 * - At most three requests with a guilty part reach runners later than 3 s after its fifth crash; those by gateways
 * that were killed, frozen, started or cut from the store within 3 s before do not count.
 * - In a calm time, sound requests with the same key or first part begin at their first runner at least half as often
 *   from 6 s after the fifth crash (the last one if there are fewer) as before the trouble, if there are 20 or more.
 * - No request begins on an older version later than the limit after a newer one was named, unless its gateway was
 * frozen or cut from the store within 3 s before. The continuation of an answer is no begin.
 */
[[nodiscard]] auto find_prompt_faults(const client_statistics& statistics, const std::vector<daemon>& daemons,
                                      standin_site::site& platform, const prompt_troubles& troubles) -> prompt_report;

} // namespace rhubarbwharf::soak
