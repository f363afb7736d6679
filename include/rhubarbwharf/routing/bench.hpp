#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <rhubarbwharf/routing/fwd.hpp>

namespace rhubarbwharf::routing {

/*! @brief How a backend server is chosen; `product` is the routing of this system, the others are baselines. */
enum class policy : std::uint8_t { random, round_robin, least_reported, power_of_two, prefix_affinity, product };

/*! @brief Fault that a case injects. */
enum class bench_fault : std::uint8_t {
    none,
    /*! @brief One backend server runs at a tenth of its speed. */
    slow_one,
    /*! @brief Ten backend servers crash at once in the middle of the run and return 20 s later. */
    ten_die,
    /*! @brief A third of the backend servers is lost for the second half of the run. */
    region_lost,
    /*! @brief Callers immediately resend what was refused or failed, up to three times. */
    retry_storm,
    /*! @brief One organisation sends ten times its share on top of the load. */
    greedy_one,
};

/*! @brief One case of the benchmark. */
struct bench_case {
    policy m_policy{policy::product};
    bench_fault m_fault{bench_fault::none};
    /*! @brief Offered load relative to the capacity of all backend servers. */
    double m_relative_load{0.8};
    std::uint64_t m_seed{};
};

/*! @brief Metrics of one case; times are in milliseconds from the arrival of the request. */
struct bench_metrics {
    double m_first_token_ms_p50{};
    double m_first_token_ms_p95{};
    double m_first_token_ms_p99{};
    /*! @brief Rate of answers that did not fail and whose first token was on time, relative to the capacity. */
    double m_relative_goodput{};
    /*! @brief Fraction of the answers, without failed ones, whose prefix was cached. */
    double m_prefix_hit_rate{};
    /*! @brief Fraction of the requests that were refused or failed. */
    double m_refused_fraction{};
    /*! @brief Fraction of the refusals and failures that occurred within 50 ms. */
    double m_fast_refusal_fraction{};
    double m_refusal_ms_p99{};
    /*! @brief Lowest fraction, over the organisations that stay below their share, of the requests whose first token
     * was on time. */
    double m_min_small_organisation_fraction{};
    /*! @brief Attempts after the first, per request. */
    double m_retries_per_request{};
    std::size_t m_request_count{};
};

/*! @brief Simulates one case with the decision functions of this module. */
[[nodiscard]] auto run_bench_case(const bench_case& setup) -> bench_metrics;

[[nodiscard]] auto to_string(policy value) noexcept -> std::string_view;

[[nodiscard]] auto to_string(bench_fault value) noexcept -> std::string_view;

/*! @brief Formats a case and its metrics as one line of JSON, without a line break. */
[[nodiscard]] auto to_json(const bench_case& setup, const bench_metrics& metrics) -> std::string;

} // namespace rhubarbwharf::routing
