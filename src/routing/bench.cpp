#include <algorithm>
#include <array>
#include <numeric>
#include <sstream>
#include <vector>

#include <routing/simulation.hpp>

namespace rhubarbwharf::routing {

namespace internal {

[[nodiscard]] auto quantile(std::vector<double>& values, const double fraction) -> double {
    if (values.empty()) {
        return 0.0;
    }
    const auto position = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1U));
    std::ranges::nth_element(values, values.begin() + position);
    return values[static_cast<std::size_t>(position)];
}

[[nodiscard]] auto to_milliseconds(const duration time) -> double {
    return static_cast<double>(time.count()) / 1e3;
}

[[nodiscard]] auto min_small_organisation_fraction(const std::array<double, organisation_count>& on_time,
                                                   const std::array<double, organisation_count>& requested) -> double {
    double fraction = 1.0;
    for (std::size_t index = organisation_count - small_organisation_count; index < organisation_count; ++index) {
        fraction = std::min(fraction, on_time[index] / std::max(requested[index], 1.0));
    }
    return fraction;
}

[[nodiscard]] auto collect_metrics(const simulation& state) -> bench_metrics {
    bench_metrics out{};
    std::vector<double> first_tokens_ms{};
    std::vector<double> refusals_ms{};
    std::array<double, organisation_count> on_time{};
    std::array<double, organisation_count> requested{};
    std::size_t prefix_hits = 0;
    std::size_t answered = 0;
    const auto from = time_point{} + warm_up_duration;
    const auto until = time_point{} + run_duration - first_token_limit;
    for (const auto& request : state.m_requests) {
        if (request.m_arrived < from || request.m_arrived > until) {
            continue;
        }
        ++out.m_request_count;
        const auto organisation = request.m_organisation.value();
        requested[organisation] += 1.0;
        if (request.m_done && !request.m_completed) {
            refusals_ms.push_back(to_milliseconds(request.m_ended - request.m_arrived));
        }
        if (request.m_first_token == time_point{} || (request.m_done && !request.m_completed)) {
            continue;
        }
        ++answered;
        prefix_hits += request.m_prefix_hit ? 1U : 0U;
        first_tokens_ms.push_back(to_milliseconds(request.m_first_token - request.m_arrived));
        on_time[organisation] += request.m_first_token - request.m_arrived <= first_token_limit ? 1.0 : 0.0;
    }
    const auto seconds = std::chrono::duration<double>{until - from}.count();
    const auto requests = static_cast<double>(std::max<std::size_t>(out.m_request_count, 1U));
    out.m_relative_goodput = std::reduce(on_time.begin(), on_time.end()) / seconds / capacity_per_second;
    out.m_first_token_ms_p50 = quantile(first_tokens_ms, 0.50);
    out.m_first_token_ms_p95 = quantile(first_tokens_ms, 0.95);
    out.m_first_token_ms_p99 = quantile(first_tokens_ms, 0.99);
    out.m_prefix_hit_rate = static_cast<double>(prefix_hits) / static_cast<double>(std::max<std::size_t>(answered, 1U));
    out.m_refused_fraction = static_cast<double>(refusals_ms.size()) / requests;
    out.m_refusal_ms_p99 = quantile(refusals_ms, 0.99);
    const auto fast_refusals = std::ranges::count_if(refusals_ms, [](const double time) { return time <= 50.0; });
    out.m_fast_refusal_fraction =
        static_cast<double>(fast_refusals) / static_cast<double>(std::max<std::size_t>(refusals_ms.size(), 1U));
    out.m_min_small_organisation_fraction = min_small_organisation_fraction(on_time, requested);
    out.m_retries_per_request = static_cast<double>(state.m_retries) / static_cast<double>(state.m_requests.size());
    return out;
}

} // namespace internal

auto run_bench_case(const bench_case& setup) -> bench_metrics {
    internal::simulation state{};
    state.m_case = setup;
    state.m_random.seed(setup.m_seed);
    for (auto& entry : state.m_entries) {
        entry.m_live.fill(true);
        for (auto& row : entry.m_backends) {
            row.m_capacity = internal::engine_slots;
        }
        for (std::uint32_t index = 0; index < internal::organisation_count; ++index) {
            set_weight(entry.m_queue, organisation_id{index}, 1.0);
        }
    }
    for (std::size_t index = 0; index < internal::engine_count; ++index) {
        internal::schedule(state, internal::scale(internal::report_interval, internal::uniform(state)),
                           internal::event_kind::load_report, index);
    }
    internal::schedule_faults(state);
    internal::schedule(state, {}, internal::event_kind::queue_tick, 0);
    internal::schedule(state, {}, internal::event_kind::caller_arrival, 0);
    const auto end = time_point{} + internal::run_duration;
    while (state.m_events.top().m_time < end) {
        const auto event = state.m_events.top();
        state.m_events.pop();
        state.m_now = event.m_time;
        internal::handle_event(state, event);
    }
    return internal::collect_metrics(state);
}

auto to_string(const policy value) noexcept -> std::string_view {
    constexpr auto names = std::to_array<std::string_view>(
        {"random", "round_robin", "least_reported", "power_of_two", "prefix_affinity", "product"});
    return names[static_cast<std::size_t>(value)];
}

auto to_string(const bench_fault value) noexcept -> std::string_view {
    constexpr auto names =
        std::to_array<std::string_view>({"none", "slow_one", "ten_die", "region_lost", "retry_storm", "greedy_one"});
    return names[static_cast<std::size_t>(value)];
}

auto to_json(const bench_case& setup, const bench_metrics& metrics) -> std::string {
    std::ostringstream out{};
    out << R"({"bench":"routing","case":")" << to_string(setup.m_policy) << '/' << to_string(setup.m_fault) << '/'
        << setup.m_relative_load << R"(","seed":)" << setup.m_seed << R"(,"figures":{"first_token_ms_50":)"
        << metrics.m_first_token_ms_p50 << R"(,"first_token_ms_95":)" << metrics.m_first_token_ms_p95
        << R"(,"first_token_ms_99":)" << metrics.m_first_token_ms_p99 << R"(,"goodput":)" << metrics.m_relative_goodput
        << R"(,"prefix_hits":)" << metrics.m_prefix_hit_rate << R"(,"refused":)" << metrics.m_refused_fraction
        << R"(,"refused_at_once":)" << metrics.m_fast_refusal_fraction << R"(,"refusal_ms_99":)"
        << metrics.m_refusal_ms_p99 << R"(,"small_least":)" << metrics.m_min_small_organisation_fraction
        << R"(,"retries":)" << metrics.m_retries_per_request << R"(,"requests":)" << metrics.m_request_count << "}}";
    return out.str();
}

} // namespace rhubarbwharf::routing
