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
#include <rhubarbwharf/routing/bench.hpp>
#include <rhubarbwharf/routing/choice.hpp>
#include <rhubarbwharf/routing/queue.hpp>

namespace rhubarbwharf::routing::internal {

using std::chrono::milliseconds;

constexpr std::size_t entries = 8;
constexpr std::size_t engines = 30;
constexpr std::size_t organisations = 10;
/*! @brief Those that stay under their share at every load. */
constexpr std::size_t small_organisations = 2;
constexpr std::uint64_t prefixes_each = 40;
constexpr std::uint32_t engine_slots = 16;
constexpr std::size_t engine_queue = 64;
constexpr std::size_t engine_prefixes = 24;
constexpr duration prefill_miss = milliseconds{100};
constexpr duration prefill_hit = milliseconds{20};
constexpr duration token_time = milliseconds{20};
constexpr double tokens_mean = 100.0;
constexpr duration hop = milliseconds{3};
constexpr duration report_period = std::chrono::seconds{1};
constexpr duration queue_time = milliseconds{500};
constexpr duration first_token_limit = milliseconds{1100};
constexpr duration request_deadline = std::chrono::seconds{30};
constexpr duration warm_up = std::chrono::seconds{10};
constexpr duration run_time = std::chrono::seconds{70};
constexpr duration down_time = std::chrono::seconds{20};
constexpr std::uint32_t storm_tries = 3;
constexpr double capacity_per_second = engines * engine_slots / (tokens_mean * 0.020 + 0.060);

enum class kind : std::uint8_t { arrive, reach, first_token, end, ended, report, tick, die, revive };

struct event {
    time_point m_at{};
    std::uint64_t m_order{};
    kind m_kind{};
    /*! @brief Request, or engine. */
    std::size_t m_subject{};
    std::uint32_t m_attempt{};
    code m_code{code::ok};

    [[nodiscard]] auto operator>(const event& other) const noexcept -> bool {
        return std::pair{m_at, m_order} > std::pair{other.m_at, other.m_order};
    }
};

struct job {
    std::size_t m_entry{};
    organisation_id m_organisation{};
    std::uint64_t m_prefix{};
    std::uint32_t m_tokens{};
    std::uint32_t m_tries{};
    time_point m_arrived{};
    time_point m_first{};
    time_point m_sent{};
    flight m_flight{};
    std::size_t m_engine{engines};
    bool m_running{false};
    bool m_hit{false};
    bool m_done{false};
    bool m_whole{false};
    time_point m_ended{};
};

struct engine {
    bool m_alive{true};
    double m_slowness{1.0};
    std::uint32_t m_running{};
    std::deque<std::size_t> m_waiting{};
    std::deque<std::uint64_t> m_cached{};
    std::vector<std::uint64_t> m_news{};
    time_point m_prefill_free{};
};

struct entry_state {
    std::array<backend, engines> m_backends{};
    std::array<bool, engines> m_live{};
    fair_queue m_queue{};
    retry_budget m_budget{};
    std::size_t m_next{};
};

struct world {
    bench_case m_setup{};
    std::mt19937_64 m_random{};
    time_point m_now{};
    std::uint64_t m_order{};
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events{};
    std::vector<job> m_jobs{};
    std::array<engine, engines> m_engines{};
    std::array<entry_state, entries> m_entries{};
    std::size_t m_retries{};
};

/*! @brief Plans an event. @param all The world. @param delay Time until it. @param what Its kind.
 * @param subject Request or engine. @param attempt Attempt at the request. @param why How the attempt ended. */
auto schedule(world& all, duration delay, kind what, std::size_t subject, std::uint32_t attempt = 0,
              code why = code::ok) -> void;

/*! @brief Draws a number from 0 to 1. @param all The world. @return The number. */
[[nodiscard]] auto uniform(world& all) -> double;

/*! @brief Multiplies a time. @param time The time. @param factor The factor. @return The product. */
[[nodiscard]] auto scaled(duration time, double factor) -> duration;

/*! @brief Carries an event out. @param all The world. @param what The event. */
auto handle(world& all, const event& what) -> void;

/*! @brief Plans what goes wrong in the case. @param all The world. */
auto plan_trouble(world& all) -> void;

} // namespace rhubarbwharf::routing::internal
