#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <rhubarbwharf/routing/fwd.hpp>

namespace rhubarbwharf::routing {

/*! @brief How a request is given to a backend server. */
enum class policy : std::uint8_t { random, round_robin, least_reported, power_of_two, prefix_affinity, product };

/*! @brief What goes wrong in a case. */
enum class trouble : std::uint8_t {
    none,
    /*! @brief One backend server runs at a tenth of its speed. */
    slow_one,
    /*! @brief Ten backend servers die at once in the middle of the run, and come back 20 s later. */
    ten_die,
    /*! @brief A third of the backend servers is lost for the second half of the run. */
    region_lost,
    /*! @brief Callers send again at once, up to three times, what was refused or failed. */
    retry_storm,
    /*! @brief One organisation sends ten times its share on top of the load. */
    greedy_one,
};

/*! @brief One case of the bench. */
struct bench_case {
    policy m_policy{policy::product};
    trouble m_fault{trouble::none};
    /*! @brief Offered load over the capacity of all backend servers. */
    double m_relative_load{0.8};
    std::uint64_t m_seed{};
};

/*! @brief What one case gave; times in milliseconds. */
struct bench_metrics {
    double m_first_token_ms_p50{};
    double m_first_token_ms_p95{};
    double m_first_token_ms_p99{};
    /*! @brief Whole answers a second whose first token came in time, over the capacity. */
    double m_relative_goodput{};
    double m_prefix_hit_rate{};
    /*! @brief Share of the requests that were refused. */
    double m_refused_fraction{};
    /*! @brief Share of the refusals that came within 50 ms. */
    double m_fast_refusal_fraction{};
    double m_refusal_ms_p99{};
    /*! @brief Least share of its requests that any small organisation got answered in time. */
    double m_min_small_organisation_fraction{};
    /*! @brief Attempts beyond the first over requests. */
    double m_retries_per_request{};
    std::size_t m_request_count{};
};

/*! @brief Runs one case over the decision functions of this module. @param setup The case. @return The figures. */
[[nodiscard]] auto run(const bench_case& setup) -> bench_metrics;

/*! @brief Returns the name of a policy. @param value The policy. @return The name. */
[[nodiscard]] auto to_string(policy value) noexcept -> std::string_view;

/*! @brief Returns the name of a trouble. @param value The trouble. @return The name. */
[[nodiscard]] auto to_string(trouble value) noexcept -> std::string_view;

/*! @brief Writes a case and its figures as one line of JSON. @param setup The case. @param got The figures.
 * @return The line, without its end. */
[[nodiscard]] auto to_json(const bench_case& setup, const bench_metrics& metrics) -> std::string;

} // namespace rhubarbwharf::routing
