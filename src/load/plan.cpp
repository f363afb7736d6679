#include <algorithm>
#include <cmath>
#include <random>

#include "load/plan.hpp"

namespace rhubarbwharf::load {

namespace internal {

constexpr std::uint32_t variants_per_prefix = 4U;

[[nodiscard]] auto prefix_distribution(const settings& config) -> std::discrete_distribution<std::uint32_t> {
    std::vector<double> weights{};
    for (std::uint32_t rank = 1U; rank <= config.m_prefixes; ++rank) {
        weights.push_back(std::pow(static_cast<double>(rank), -config.m_skew));
    }
    return {weights.begin(), weights.end()};
}

[[nodiscard]] auto last_index(const std::size_t size) -> std::uint32_t {
    return static_cast<std::uint32_t>(std::max<std::size_t>(size, 1U) - 1U);
}

} // namespace internal

auto make_schedule(const settings& config) -> std::vector<scheduled_request> {
    std::mt19937_64 generator{config.m_seed};
    std::exponential_distribution<double> interarrival_seconds{config.m_rate};
    std::uniform_int_distribution<std::uint32_t> target_index{0U, internal::last_index(config.m_targets.size())};
    std::uniform_int_distribution<std::uint32_t> key_index{0U, internal::last_index(config.m_keys.size())};
    std::uniform_int_distribution<std::uint32_t> variant_index{0U, internal::variants_per_prefix - 1U};
    auto prefix_index = internal::prefix_distribution(config);
    const auto next_interarrival = [&] {
        return std::chrono::ceil<duration>(std::chrono::duration<double>{interarrival_seconds(generator)});
    };
    std::vector<scheduled_request> schedule{};
    for (auto offset = next_interarrival(); offset < config.m_run_time; offset += next_interarrival()) {
        schedule.push_back(
            {offset, target_index(generator), key_index(generator), prefix_index(generator), variant_index(generator)});
    }
    return schedule;
}

auto make_prompt(const settings& config, const scheduled_request& scheduled) -> std::string {
    const auto prefix_bytes = static_cast<std::size_t>(config.m_prompt_bytes) * 3U / 4U;
    auto prompt =
        "Prefix " + std::to_string(scheduled.m_prefix_index) + " of seed " + std::to_string(config.m_seed) + ". ";
    prompt.resize(std::max(prefix_bytes, prompt.size()), 'x');
    prompt += " Question " + std::to_string(scheduled.m_variant_index) + ": ";
    prompt.resize(std::max<std::size_t>(config.m_prompt_bytes, prompt.size()), 'y');
    return prompt;
}

auto make_request(const settings& config, const scheduled_request& scheduled) -> net::http_request {
    net::http_request request{"POST", "/v1/completions", {{"Content-Type", "application/json"}}, {}, {}};
    if (!config.m_keys.empty()) {
        request.m_headers.push_back({"Authorization", "Bearer " + config.m_keys[scheduled.m_key_index]});
    }
    const auto deadline_ms = std::chrono::duration_cast<std::chrono::milliseconds>(config.m_deadline).count();
    request.m_headers.push_back({"X-Deadline-Ms", std::to_string(deadline_ms)});
    request.m_body.append("{\"model\":").append(net::json_string(config.m_model));
    request.m_body.append(",\"prompt\":").append(net::json_string(make_prompt(config, scheduled)));
    request.m_body.append(",\"max_tokens\":").append(std::to_string(config.m_tokens));
    request.m_body.append(config.m_stream ? ",\"stream\":true}" : ",\"stream\":false}");
    return request;
}

} // namespace rhubarbwharf::load
