#include <algorithm>
#include <array>
#include <numeric>
#include <sstream>
#include <vector>

#include <routing/world.hpp>

namespace rhubarbwharf::routing {

namespace internal {

[[nodiscard]] auto quantile(std::vector<double>& values, const double share) -> double {
    if (values.empty()) {
        return 0.0;
    }
    const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1U));
    std::ranges::nth_element(values, values.begin() + place);
    return values[static_cast<std::size_t>(place)];
}

[[nodiscard]] auto in_milliseconds(const duration time) -> double {
    return static_cast<double>(time.count()) / 1e3;
}

[[nodiscard]] auto small_least(const std::array<double, organisations>& good,
                               const std::array<double, organisations>& asked) -> double {
    double share = 1.0;
    for (std::size_t index = organisations - small_organisations; index < organisations; ++index) {
        share = std::min(share, good[index] / std::max(asked[index], 1.0));
    }
    return share;
}

[[nodiscard]] auto measure(const world& all) -> bench_figures {
    bench_figures out{};
    std::vector<double> first{};
    std::vector<double> refusals{};
    std::array<double, organisations> good{};
    std::array<double, organisations> asked{};
    std::size_t hits = 0;
    std::size_t whole = 0;
    const auto from = time_point{} + warm_up;
    const auto until = time_point{} + run_time - first_token_limit;
    for (const auto& work : all.m_jobs) {
        if (work.m_arrived < from || work.m_arrived > until) {
            continue;
        }
        ++out.m_requests;
        const auto organisation = work.m_organisation.value();
        asked[organisation] += 1.0;
        if (work.m_done && !work.m_whole) {
            refusals.push_back(in_milliseconds(work.m_ended - work.m_arrived));
        }
        if (work.m_first == time_point{} || (work.m_done && !work.m_whole)) {
            continue;
        }
        ++whole;
        hits += work.m_hit ? 1U : 0U;
        first.push_back(in_milliseconds(work.m_first - work.m_arrived));
        good[organisation] += work.m_first - work.m_arrived <= first_token_limit ? 1.0 : 0.0;
    }
    const auto seconds = std::chrono::duration<double>{until - from}.count();
    const auto requests = static_cast<double>(std::max<std::size_t>(out.m_requests, 1U));
    out.m_goodput = std::reduce(good.begin(), good.end()) / seconds / capacity_per_second;
    out.m_first_token_50 = quantile(first, 0.50);
    out.m_first_token_95 = quantile(first, 0.95);
    out.m_first_token_99 = quantile(first, 0.99);
    out.m_prefix_hits = static_cast<double>(hits) / static_cast<double>(std::max<std::size_t>(whole, 1U));
    out.m_refused = static_cast<double>(refusals.size()) / requests;
    out.m_refusal_99 = quantile(refusals, 0.99);
    const auto prompt = std::ranges::count_if(refusals, [](const double time) { return time <= 50.0; });
    out.m_refused_at_once =
        static_cast<double>(prompt) / static_cast<double>(std::max<std::size_t>(refusals.size(), 1U));
    out.m_small_least = small_least(good, asked);
    out.m_retries = static_cast<double>(all.m_retries) / static_cast<double>(all.m_jobs.size());
    return out;
}

} // namespace internal

auto run(const bench_case& setup) -> bench_figures {
    internal::world all{};
    all.m_setup = setup;
    all.m_random.seed(setup.m_seed);
    for (auto& entry : all.m_entries) {
        entry.m_live.fill(true);
        for (auto& row : entry.m_backends) {
            row.m_capacity = internal::engine_slots;
        }
        for (std::uint32_t index = 0; index < internal::organisations; ++index) {
            set_weight(entry.m_queue, organisation_id{index}, 1.0);
        }
    }
    for (std::size_t index = 0; index < internal::engines; ++index) {
        internal::schedule(all, internal::scaled(internal::report_period, internal::uniform(all)),
                           internal::kind::report, index);
    }
    internal::plan_trouble(all);
    internal::schedule(all, {}, internal::kind::tick, 0);
    internal::schedule(all, {}, internal::kind::arrive, 0);
    const auto end = time_point{} + internal::run_time;
    while (all.m_events.top().m_at < end) {
        const auto next = all.m_events.top();
        all.m_events.pop();
        all.m_now = next.m_at;
        internal::handle(all, next);
    }
    return internal::measure(all);
}

auto to_string(const policy value) noexcept -> std::string_view {
    constexpr auto texts = std::to_array<std::string_view>(
        {"random", "round_robin", "least_reported", "power_of_two", "prefix_affinity", "product"});
    return texts[static_cast<std::size_t>(value)];
}

auto to_string(const trouble value) noexcept -> std::string_view {
    constexpr auto texts =
        std::to_array<std::string_view>({"none", "slow_one", "ten_die", "region_lost", "retry_storm", "greedy_one"});
    return texts[static_cast<std::size_t>(value)];
}

auto to_json(const bench_case& setup, const bench_figures& got) -> std::string {
    std::ostringstream out{};
    out << R"({"bench":"routing","case":")" << to_string(setup.m_policy) << '/' << to_string(setup.m_trouble) << '/'
        << setup.m_load << R"(","seed":)" << setup.m_seed << R"(,"figures":{"first_token_ms_50":)"
        << got.m_first_token_50 << R"(,"first_token_ms_95":)" << got.m_first_token_95 << R"(,"first_token_ms_99":)"
        << got.m_first_token_99 << R"(,"goodput":)" << got.m_goodput << R"(,"prefix_hits":)" << got.m_prefix_hits
        << R"(,"refused":)" << got.m_refused << R"(,"refused_at_once":)" << got.m_refused_at_once
        << R"(,"refusal_ms_99":)" << got.m_refusal_99 << R"(,"small_least":)" << got.m_small_least << R"(,"retries":)"
        << got.m_retries << R"(,"requests":)" << got.m_requests << "}}";
    return out.str();
}

} // namespace rhubarbwharf::routing
