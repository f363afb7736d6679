#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/dispatch/placement.hpp>

namespace rhubarbwharf::dispatch {

namespace {

constexpr std::size_t gateway_count = 20U;
constexpr std::size_t runner_count = 47U;
constexpr unsigned slots = 8U;
constexpr double report_interval_ms = 150.0;
constexpr double duration_ms = 30'000.0;
constexpr double output_tokens = 74.0;
constexpr double mean_prompt_tokens = 960.0;

[[nodiscard]] auto profile() -> fleet::engine_profile {
    fleet::engine_profile out{};
    out.m_slots = slots;
    out.m_step_ms = 13.3;
    out.m_step_ms_per_request = 0.0582;
    out.m_steps_per_pass = 5.0;
    out.m_prefill_tokens_per_ms = 12.7;
    out.m_mean_prompt_tokens = mean_prompt_tokens;
    out.m_mean_output_tokens = output_tokens;
    return out;
}

/*! @brief A request at a runner. */
struct job {
    std::size_t m_gateway{};
    double m_sent_ms{};
    double m_prompt{};
    double m_unread{};
    double m_unwritten{output_tokens};
    bool m_answered{false};
};

/*! @brief A runner that works in passes: each writes some tokens of all running requests and reads prompts. */
struct runner {
    std::deque<job> m_running{};
    std::deque<job> m_waiting{};
    double m_pass_ends_ms{};
};

/*! @brief One region of a large fleet: gateways place requests by reports that lag. */
class region {
public:
    explicit region(const placement_options& options) : m_options{options} {
        m_options.m_gateway_count = static_cast<double>(gateway_count);
        m_options.m_quota_only_slots = static_cast<double>(slots) * quota_only_fraction;
        for (auto& gateway : m_views) {
            for (std::size_t index = 0U; index < runner_count; ++index) {
                auto row = std::make_unique<server_load>();
                row->m_id = std::to_string(index);
                row->m_slots = slots;
                row->m_quota = std::bernoulli_distribution{slots / 20.0}(m_random) ? 1.0 : 0.0;
                gateway.push_back(std::move(row));
            }
        }
    }

    /*! @brief Plays requests that arrive at a rate per second. @return Fraction that is answered later than 600 ms. */
    [[nodiscard]] auto play(const double rate) -> double {
        std::exponential_distribution<double> pause{rate / 1'000.0};
        auto next_arrival = pause(m_random);
        for (m_now_ms = 0.0; m_now_ms < duration_ms; m_now_ms += 1.0) {
            for (; next_arrival <= m_now_ms; next_arrival += pause(m_random)) {
                place();
            }
            for (std::size_t index = 0U; index < runner_count; ++index) {
                step(index);
            }
        }
        return static_cast<double>(m_late) / static_cast<double>(std::max<std::size_t>(1U, m_answered));
    }

private:
    [[nodiscard]] auto now() const -> time_point {
        return time_point{std::chrono::hours{1}} +
               std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{m_now_ms});
    }

    auto place() -> void {
        const auto gateway = static_cast<std::size_t>(m_random() % gateway_count);
        const auto prompt =
            std::min(3'500.0, std::exponential_distribution<double>{1.0 / mean_prompt_tokens}(m_random));
        std::vector<const server_load*> rows{};
        for (const auto& each : m_views[gateway]) {
            rows.push_back(each.get());
        }
        const auto chosen = choose_server(rows, &m_engine, {prompt, {}, 0U, 0U, 0U, {}}, m_options, m_random(), now());
        if (!chosen) {
            ++m_late;
            ++m_answered;
            return;
        }
        auto& row = *m_views[gateway][chosen->m_index];
        ++row.m_own_requests;
        row.m_unread_prompt_tokens += prompt;
        m_runners[chosen->m_index].m_waiting.push_back({gateway, m_now_ms, prompt, prompt});
    }

    auto report(const std::size_t index) -> void {
        const auto& from = m_runners[index];
        for (auto& gateway : m_views) {
            auto& row = *gateway[index];
            const auto load = static_cast<double>(from.m_running.size() + from.m_waiting.size());
            row.m_other_requests = std::max(0.0, load - row.m_own_requests);
            row.m_other_waiting_requests = std::min(row.m_other_requests, static_cast<double>(from.m_waiting.size()));
            row.m_last_reported = now();
            row.m_last_heard = now();
        }
    }

    auto step(const std::size_t index) -> void {
        auto& at = m_runners[index];
        if (std::fmod(m_now_ms + static_cast<double>(index * 37U), report_interval_ms) < 1.0) {
            report(index);
        }
        if (m_now_ms < at.m_pass_ends_ms) {
            return;
        }
        finish_pass(index);
        while (!at.m_waiting.empty() && at.m_running.size() < slots) {
            at.m_running.push_back(at.m_waiting.front());
            at.m_waiting.pop_front();
        }
        if (at.m_running.empty()) {
            return;
        }
        constexpr double chunk = 2'048.0;
        auto left = chunk;
        auto writers = 0.0;
        for (auto& each : at.m_running) {
            writers += each.m_unread <= 0.0 ? 1.0 : 0.0;
            const auto read = std::min(left, each.m_unread);
            each.m_unread -= read;
            left -= read;
        }
        const auto writing = writers > 0.0 ? m_engine.m_steps_per_pass : 1.0;
        at.m_pass_ends_ms = m_now_ms + (chunk - left) / m_engine.m_prefill_tokens_per_ms +
                            writing * (m_engine.m_step_ms + writers * m_engine.m_step_ms_per_request);
    }

    auto finish_pass(const std::size_t index) -> void {
        auto& at = m_runners[index];
        for (auto& each : at.m_running) {
            auto& row = *m_views[each.m_gateway][index];
            if (each.m_unread > 0.0) {
                continue;
            }
            if (!std::exchange(each.m_answered, true)) {
                constexpr double target_ms = 600.0;
                row.m_unread_prompt_tokens = std::max(0.0, row.m_unread_prompt_tokens - each.m_prompt);
                ++m_answered;
                m_late += m_now_ms - each.m_sent_ms > target_ms ? 1U : 0U;
            }
            each.m_unwritten -= m_engine.m_steps_per_pass;
        }
        std::erase_if(at.m_running, [&](const job& each) {
            const auto ended = each.m_unwritten <= 0.0;
            auto& row = *m_views[each.m_gateway][index];
            row.m_own_requests -= ended ? 1U : 0U;
            return ended;
        });
    }

    placement_options m_options{};
    fleet::engine_profile m_engine{profile()};
    std::mt19937_64 m_random{20'261'204U};
    std::array<std::vector<std::unique_ptr<server_load>>, gateway_count> m_views{};
    std::array<runner, runner_count> m_runners{};
    double m_now_ms{};
    std::size_t m_answered{};
    std::size_t m_late{};
};

[[nodiscard]] auto late_fraction(const double sample_size, const double rate) -> double {
    placement_options options{};
    options.m_sample_size = sample_size;
    return region{options}.play(rate);
}

} // namespace

// Load pattern: the gateways of a region all place by the same reports, up to 150 ms old. Were each to take the best of
// all runners, they would take the same one until the next report.
TEST_CASE("gateways that place by the same stale reports do not crowd a few runners") {
    // The target of the product: 95 in 100 first tokens in time.
    constexpr double max_late = 0.05;
    for (const auto rate : {80.0, 120.0, 160.0}) {
        const auto sampled = late_fraction(placement_options{}.m_sample_size, rate);
        const auto best_of_all = late_fraction(static_cast<double>(runner_count), rate);
        MESSAGE(rate, " requests a second, late: ", sampled, ", choosing among all: ", best_of_all);
        CHECK(sampled < best_of_all);
        CHECK(sampled < max_late);
    }
}

} // namespace rhubarbwharf::dispatch
