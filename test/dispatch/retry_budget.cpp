#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include <rhubarbwharf/dispatch/retry_budget.hpp>

namespace rhubarbwharf::dispatch {

namespace {

const time_point start = time_point{} + std::chrono::hours{1};
constexpr duration step = std::chrono::milliseconds{20};

[[nodiscard]] auto most_in_window(const std::vector<time_point>& times, const duration window) -> std::size_t {
    std::size_t out{};
    for (auto last = times.begin(); last != times.end(); ++last) {
        const auto first = std::lower_bound(times.begin(), last, *last - window);
        out = std::max(out, static_cast<std::size_t>(last - first) + 1U);
    }
    return out;
}

} // namespace

TEST_CASE("retries that wait for a place before they are sent stay within the budget of the window they are sent in") {
    constexpr duration wait = std::chrono::seconds{4};
    service_retry_budget budget{};
    budget.m_extra_retries = 20.0;
    std::vector<time_point> sent{};
    const auto full_until = start + budget.m_window;
    for (auto now = start; now < start + 3 * budget.m_window; now += step) {
        if (try_acquire_retry(budget, now)) {
            sent.push_back(now < full_until ? now + wait : now);
        }
    }
    std::ranges::sort(sent);
    CHECK(static_cast<double>(most_in_window(sent, budget.m_window)) <= budget.m_extra_retries);
}

} // namespace rhubarbwharf::dispatch
