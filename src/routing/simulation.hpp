#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include <rhubarbwharf/routing/attempt.hpp>
#include <rhubarbwharf/routing/backend_choice.hpp>
#include <rhubarbwharf/routing/bench.hpp>
#include <rhubarbwharf/routing/fair_queue.hpp>

namespace rhubarbwharf::routing::internal {

using std::chrono::milliseconds;

constexpr std::size_t entry_count = 8;
constexpr std::size_t engine_count = 30;
constexpr std::size_t organisation_count = 10;
/*! @brief Organisations that stay below their share at every load. */
constexpr std::size_t small_organisation_count = 2;
constexpr std::uint64_t prefixes_per_organisation = 40;
constexpr std::uint32_t engine_slots = 16;
constexpr std::size_t engine_queue_capacity = 64;
/*! @brief Prefixes that an engine caches. */
constexpr std::size_t engine_cache_capacity = 24;
constexpr duration cache_miss_prefill_time = milliseconds{100};
constexpr duration cache_hit_prefill_time = milliseconds{20};
constexpr duration time_per_token = milliseconds{20};
constexpr double mean_output_tokens = 100.0;
/*! @brief One-way delay between an entry and an engine. */
constexpr duration network_delay = milliseconds{3};
constexpr duration report_interval = std::chrono::seconds{1};
constexpr duration max_queue_time = milliseconds{500};
/*! @brief Time to the first token within which an answer counts as on time. */
constexpr duration first_token_limit = milliseconds{1100};
constexpr duration request_deadline = std::chrono::seconds{30};
/*! @brief Start of the run that is left out of the metrics. */
constexpr duration warm_up_duration = std::chrono::seconds{10};
constexpr duration run_duration = std::chrono::seconds{70};
constexpr duration outage_duration = std::chrono::seconds{20};
/*! @brief Times that a caller resends a failed request in a retry storm. */
constexpr std::uint32_t max_resubmissions = 3;
/*! @brief Requests per second that all engines can serve, at 20 ms per token and a mean prefill time of 60 ms. */
constexpr double capacity_per_second = engine_count * engine_slots / (mean_output_tokens * 0.020 + 0.060);

enum class event_kind : std::uint8_t {
    caller_arrival,
    engine_arrival,
    first_token,
    engine_finished,
    attempt_ended,
    load_report,
    queue_tick,
    engine_crash,
    engine_restart
};

struct simulation_event {
    time_point m_time{};
    std::uint64_t m_sequence{};
    event_kind m_kind{};
    /*! @brief Index of a request or of an engine, depending on the kind. */
    std::size_t m_target{};
    std::uint32_t m_attempt{};
    code m_code{code::ok};

    [[nodiscard]] auto operator>(const simulation_event& other) const noexcept -> bool {
        return std::pair{m_time, m_sequence} > std::pair{other.m_time, other.m_sequence};
    }
};

struct simulated_request {
    std::size_t m_entry{};
    organisation_id m_organisation{};
    std::uint64_t m_prefix{};
    std::uint32_t m_tokens{};
    std::uint32_t m_resubmissions{};
    time_point m_arrived{};
    time_point m_first_token{};
    time_point m_sent{};
    request_progress m_progress{};
    /*! @brief Index of the engine that it was last sent to; `engine_count` if none. */
    std::size_t m_engine{engine_count};
    bool m_running{false};
    bool m_prefix_hit{false};
    bool m_done{false};
    /*! @brief Whether it ended with a complete answer. */
    bool m_completed{false};
    time_point m_ended{};
};

struct engine {
    bool m_alive{true};
    double m_slowdown{1.0};
    std::uint32_t m_running{};
    std::deque<std::size_t> m_waiting{};
    std::deque<std::uint64_t> m_cached_prefixes{};
    std::vector<std::uint64_t> m_unreported_prefixes{};
    /*! @brief When it can start to process another prompt. */
    time_point m_prefill_available{};
};

struct entry_state {
    std::array<backend_state, engine_count> m_backends{};
    std::array<bool, engine_count> m_live{};
    fair_queue m_queue{};
    retry_budget m_budget{};
    std::size_t m_next_backend{};
};

struct simulation {
    bench_case m_case{};
    std::mt19937_64 m_random{};
    time_point m_now{};
    std::uint64_t m_sequence{};
    std::priority_queue<simulation_event, std::vector<simulation_event>, std::greater<>> m_events{};
    std::vector<simulated_request> m_requests{};
    std::array<engine, engine_count> m_engines{};
    std::array<entry_state, entry_count> m_entries{};
    std::size_t m_retries{};
};

/*! @brief Schedules an event. @param delay Time from now. @param target Index of a request or an engine.
 * @param attempt Attempt at the request. @param result How the attempt ended. */
auto schedule(simulation& state, duration delay, event_kind kind, std::size_t target, std::uint32_t attempt = 0,
              code result = code::ok) -> void;

/*! @brief Draws a uniformly distributed number from 0 to below 1. */
[[nodiscard]] auto uniform(simulation& state) -> double;

[[nodiscard]] auto scale(duration time, double factor) -> duration;

/*! @brief Processes an event, which may schedule others. */
auto handle_event(simulation& state, const simulation_event& event) -> void;

/*! @brief Schedules the fault that the case injects. */
auto schedule_faults(simulation& state) -> void;

} // namespace rhubarbwharf::routing::internal
