#include <algorithm>
#include <cmath>
#include <random>

#include "load/plan.hpp"

namespace rhubarbwharf::load {

namespace internal {

constexpr std::uint32_t variants = 4U;

[[nodiscard]] auto popularity(const settings& wanted) -> std::discrete_distribution<std::uint32_t> {
    std::vector<double> weights{};
    for (std::uint32_t rank = 1U; rank <= wanted.m_prefixes; ++rank) {
        weights.push_back(std::pow(static_cast<double>(rank), -wanted.m_skew));
    }
    return {weights.begin(), weights.end()};
}

[[nodiscard]] auto last_index(const std::size_t size) -> std::uint32_t {
    return static_cast<std::uint32_t>(std::max<std::size_t>(size, 1U) - 1U);
}

} // namespace internal

auto lay_out(const settings& wanted) -> std::vector<arrival> {
    std::mt19937_64 random{wanted.m_seed};
    std::exponential_distribution<double> gap{wanted.m_rate};
    std::uniform_int_distribution<std::uint32_t> target{0U, internal::last_index(wanted.m_targets.size())};
    std::uniform_int_distribution<std::uint32_t> key{0U, internal::last_index(wanted.m_keys.size())};
    std::uniform_int_distribution<std::uint32_t> variant{0U, internal::variants - 1U};
    auto prefix = internal::popularity(wanted);
    const auto next = [&] {
        return std::chrono::ceil<duration>(std::chrono::duration<double>{gap(random)});
    };
    std::vector<arrival> arrivals{};
    for (auto at = next(); at < wanted.m_time; at += next()) {
        arrivals.push_back({at, target(random), key(random), prefix(random), variant(random)});
    }
    return arrivals;
}

auto prompt(const settings& wanted, const arrival& of) -> std::string {
    const auto shared = static_cast<std::size_t>(wanted.m_prompt_bytes) * 3U / 4U;
    auto text = "Prefix " + std::to_string(of.m_prefix) + " of seed " + std::to_string(wanted.m_seed) + ". ";
    text.resize(std::max(shared, text.size()), 'x');
    text += " Question " + std::to_string(of.m_variant) + ": ";
    text.resize(std::max<std::size_t>(wanted.m_prompt_bytes, text.size()), 'y');
    return text;
}

auto make_request(const settings& wanted, const arrival& of) -> net::http_request {
    net::http_request request{"POST", "/v1/completions", {{"Content-Type", "application/json"}}, {}, {}};
    if (!wanted.m_keys.empty()) {
        request.m_headers.push_back({"Authorization", "Bearer " + wanted.m_keys[of.m_key]});
    }
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(wanted.m_deadline).count();
    request.m_headers.push_back({"X-Deadline-Ms", std::to_string(limit)});
    request.m_body.append("{\"model\":").append(net::json_string(wanted.m_model));
    request.m_body.append(",\"prompt\":").append(net::json_string(prompt(wanted, of)));
    request.m_body.append(",\"max_tokens\":").append(std::to_string(wanted.m_tokens));
    request.m_body.append(wanted.m_stream ? ",\"stream\":true}" : ",\"stream\":false}");
    return request;
}

} // namespace rhubarbwharf::load
